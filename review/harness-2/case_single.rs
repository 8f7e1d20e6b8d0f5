//! A service has two replicas with one slot each, and one of them is emptied and taken away.
//! The items of a batch job are not run at the other one, although it is idle.

use super::{
    Case,
    case_full::{read_results, send},
    fleet::Fleet,
    http::base64,
    replica::Replica,
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const ITEMS: usize = 20;
const EVENTS: u64 = 40;
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Time after the job at which one replica drains.
const DRAIN_AFTER: Duration = Duration::from_secs(1);
/// Time for which it goes on to serve.
const LINGER: Duration = Duration::from_millis(3_500);
/// Time after the job at which traffic has ended: twice what one slot needs.
const TRAFFIC_END: Duration = Duration::from_secs(35);
/// `finishS` of the settings.
const FINISH: Duration = Duration::from_secs(18);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"digest","host":"a.example","prefix":"/digest/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,
"service":"llm","attempts":3,"anonymous":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"retentionS":60}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka","apiKeys":["key-1"],"ratePerS":500,"burst":500}]}"#;

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let record = &case.record;
    let mut fleet = Fleet::new()?;
    fleet.store.put("keyed.op", "config", CONFIG);
    let mut replicas = Vec::new();
    for index in 0..2 {
        let mut replica = Replica::new(&format!("i-{index}"), "llm", fleet.addr(200 + index), &fleet.store, record);
        replica.events = EVENTS;
        replica.event_time = EVENT_TIME;
        replica.slots = 1;
        let replica = Arc::new(replica);
        replica.start("v1")?;
        replicas.push(replica);
    }
    fleet.start(2, record)?;
    let fronts: Vec<SocketAddr> = fleet.processes.iter().map(|process| process.front).collect();
    let job = "7c41e09b52d6a3f8";
    let items = (0..ITEMS).map(|item| {
        format!(
            "{{\"id\":\"e5b2907c14da{item:04}\",\"path\":\"/digest/{item}\",\"headers\":{{\"X-Cicadagate-Model\":\"m\"}},\
             \"body\":\"{}\",\"tokens\":900}}",
            base64(b"an application")
        )
    });
    let body = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
    let headers = format!("X-Cicadagate-Attempt-Id: {job}\r\nContent-Type: application/json\r\n");
    let accepted = send(record, fronts[0], "POST", "/digest/7c41e0", &headers, &body);
    if accepted.is_none_or(|(status, _)| status != 202) {
        return Err("the job is not accepted".to_owned());
    }
    let start = Instant::now();
    if case.has_trouble {
        thread::sleep(DRAIN_AFTER);
        replicas[1].drain();
        thread::sleep(LINGER);
        replicas[1].leave();
    }
    let (mut busy_at, mut is_listed) = (Instant::now(), false);
    while start.elapsed() < TRAFFIC_END + FINISH && !is_listed {
        thread::sleep(Duration::from_millis(200));
        let running: u64 = replicas.iter().map(|replica| replica.running.load(Ordering::SeqCst)).sum();
        if running > 0 {
            busy_at = Instant::now();
        }
        if start.elapsed() > TRAFFIC_END {
            is_listed = read_results(record, fronts[1], job, 0).is_some_and(|(done, dead)| done + dead == ITEMS);
        }
    }
    let Some((done, abandoned)) = read_results(record, fronts[1], job, 0) else {
        return Err("the results can't be read".to_owned());
    };
    let listed = done + abandoned;
    record.add(format!(
        "{done} of {ITEMS} items are done and {abandoned} abandoned {} s after the 202; no replica has had an item for {} ms",
        start.elapsed().as_secs(),
        busy_at.elapsed().as_millis()
    ));
    let is_idle = busy_at.elapsed() > Duration::from_secs(5);
    if listed < ITEMS && !is_idle {
        return Err("items still run".to_owned());
    }
    Ok((listed < ITEMS).then(|| format!("LOST: {} of {ITEMS} items are not listed", ITEMS - listed)))
}
