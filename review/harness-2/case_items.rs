//! Replicas restart under their ids with another version of their software while they run items.
//!
//! Three replicas run one older version each, four the newest, as late in an upgrade in place. One after the other crashes and is back soon, with the newest version.

use super::{
    Case,
    case_full::send,
    fleet::Fleet,
    http::base64,
    replica::Replica,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time from the crash until the replica is back.
const DOWN_TIME: Duration = Duration::from_millis(100);
/// Time between two crashes.
const GAP: Duration = Duration::from_millis(1_500);
const ITEMS: usize = 56;
const EVENTS: u64 = 80;
const EVENT_TIME: Duration = Duration::from_millis(80);
const JOB: &str = "7c41e09b52d6a3f8";

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"digest","host":"a.example","prefix":"/digest/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,
"service":"llm","attempts":3,"anonymous":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"retentionS":60}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka","apiKeys":["key-1"],"ratePerS":500,"burst":500}]}"#;

/// The outputs of the results on a page; the stand-in's texts need no escapes but line feeds.
fn outputs(page: &str) -> Vec<String> {
    let parts = page.split("\"output\":\"").skip(1);
    let outputs = parts.filter_map(|part| part.split('"').next());
    outputs.map(|output| output.replace("\\n", "\n")).collect()
}

/// Returns the versions that wrote a text, in order.
fn versions(text: &str) -> Vec<&str> {
    let mut versions: Vec<&str> = text.lines().filter_map(|line| line.split(' ').next()).collect();
    versions.dedup();
    versions
}

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let record = &case.record;
    let mut fleet = Fleet::new()?;
    fleet.store.put("keyed.op", "config", CONFIG);
    let mut replicas = Vec::new();
    for index in 0..7_u8 {
        let mut replica = Replica::new(&format!("i-{index}"), "llm", fleet.addr(200 + index), &fleet.store, record);
        (replica.events, replica.event_time) = (EVENTS, EVENT_TIME);
        let replica = Arc::new(replica);
        replica.start(&format!("v{}", (index + 1).min(4)))?;
        replicas.push(replica);
    }
    fleet.start(2, record)?;
    let fronts: Vec<SocketAddr> = fleet.processes.iter().map(|process| process.front).collect();
    let items = (0..ITEMS).map(|item| {
        format!(
            "{{\"id\":\"e5b2907c14da{item:04}\",\"path\":\"/digest/{item}\",\"headers\":{{}},\"body\":\"{}\",\"tokens\":900}}",
            base64(b"an application")
        )
    });
    let body = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
    let headers = format!("X-Cicadagate-Attempt-Id: {JOB}\r\nContent-Type: application/json\r\n");
    let accepted = send(record, fronts[0], "POST", "/digest/7c41e0", &headers, &body);
    if accepted.is_none_or(|(status, _)| status != 202) {
        return Err("the job is not accepted".to_owned());
    }
    let start = Instant::now();
    if case.has_trouble {
        thread::sleep(Duration::from_millis(1_200));
        for replica in &replicas[..3] {
            replica.crash();
            thread::sleep(DOWN_TIME);
            replica.start("v4")?;
            thread::sleep(GAP);
        }
    }
    let mut texts = Vec::new();
    while texts.len() < ITEMS {
        if start.elapsed() > Duration::from_secs(60) {
            return Err(format!("{} of {ITEMS} items are done", texts.len()));
        }
        thread::sleep(Duration::from_millis(500));
        let page = send(record, fronts[1], "GET", &format!("/lots/{JOB}?after=0"), "", "");
        texts = page.map_or_else(Vec::new, |(_, page)| outputs(&page));
    }
    let mut mixed = 0;
    for text in &texts {
        let versions = versions(text);
        if versions.len() > 1 {
            mixed += 1;
            let first_of_last = text.lines().position(|line| line.starts_with(versions[1]));
            record.add(format!("a result of {} events holds {versions:?}, the second from line {first_of_last:?}", text.lines().count()));
        }
    }
    record.add(format!("{} results are done, {mixed} hold text of two versions", texts.len()));
    Ok((mixed > 0).then(|| format!("MIXED: {mixed} of {ITEMS} results hold text of two software versions")))
}
