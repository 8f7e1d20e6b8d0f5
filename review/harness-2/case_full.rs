//! Four batch jobs come at once. While their items run, the gateways save the whole output of
//! each item again and again, and delete nothing, until the store takes no more records. The
//! items' outputs are complete then, and can't be listed.

use super::{
    Case, Record,
    fleet::Fleet,
    http::{Connection, base64},
    replica::Replica,
};
use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// What the store holds at most, by the pages.
const STORE_BYTES: usize = 400_000_000;
/// Replicas of the sheet, with eight slots each.
const REPLICAS: u8 = 18;
const JOBS: usize = 4;
/// Most items of a job, by the pages.
const ITEMS: usize = 200;
/// Most events of an item of the sheet, of the longest ones there.
const EVENTS: u64 = 386;
const EVENT_BYTES: usize = 390;
const EVENT_TIME: Duration = Duration::from_millis(30);
/// `finishS` of the settings.
const FINISH: Duration = Duration::from_secs(18);
/// Time after which the items must have run.
const MAX_RUN: Duration = Duration::from_secs(85);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"digest","host":"a.example","prefix":"/digest/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,
"service":"llm","attempts":3,"anonymous":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"retentionS":60}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka","apiKeys":["key-1"],"ratePerS":500,"burst":500}]}"#;

/// Sends a request on a new connection; returns the status and the body.
pub fn send(record: &Record, to: SocketAddr, method: &str, target: &str, headers: &str, body: &str) -> Option<(u16, String)> {
    let tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut conn = Connection::new(tcp);
    let req = format!(
        "{method} {target} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    conn.stream.write_all(req.as_bytes()).ok()?;
    let head = conn.read_head().ok()??;
    let answer = conn.read_body(&head).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    record.add(format!("{method} {target} at {to}: {}", head.status()));
    Some((head.status(), answer))
}

/// Returns the number of results from a position on.
pub fn read_results(record: &Record, to: SocketAddr, job: &str, from: usize) -> Option<(usize, usize)> {
    let (status, body) = send(record, to, "GET", &format!("/lots/{job}?after={from}"), "", "")?;
    if status != 200 {
        return None;
    }
    let done = body.matches("\"state\":\"done\"").count();
    let abandoned = body.matches("\"state\":\"abandoned\"").count();
    record.add(format!("{done} done and {abandoned} abandoned from position {from} on"));
    Some((done, abandoned))
}

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let record = &case.record;
    let mut fleet = Fleet::new()?;
    if case.has_trouble {
        fleet.store.max_bytes.store(STORE_BYTES, Ordering::SeqCst);
    }
    fleet.store.put("keyed.op", "config", CONFIG);
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let id = format!("i-{index}");
        let mut replica = Replica::new(&id, "llm", fleet.addr(200 + index), &fleet.store, record);
        replica.events = EVENTS;
        replica.event_time = EVENT_TIME;
        replica.padding = EVENT_BYTES - 20;
        let replica = Arc::new(replica);
        replica.start("v1")?;
        replicas.push(replica);
    }
    fleet.start(2, record)?;
    let fronts: Vec<SocketAddr> = fleet.processes.iter().map(|process| process.front).collect();
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("7c41e09b52d6a3f{job}")).collect();
    for (number, job) in jobs.iter().enumerate() {
        let items = (0..ITEMS).map(|item| {
            format!(
                "{{\"id\":\"e5b2907c14{number:02}{item:04}\",\"path\":\"/digest/{item}\",\"headers\":{{\"X-Cicadagate-Model\":\"m\"}},\
                 \"body\":\"{}\",\"tokens\":900}}",
                base64(b"a batch of applications")
            )
        });
        let body = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
        let headers = format!("X-Cicadagate-Attempt-Id: {job}\r\nContent-Type: application/json\r\n");
        let accepted = send(record, fronts[number % 2], "POST", "/digest/7c41e0", &headers, &body);
        if accepted.is_none_or(|(status, _)| status != 202) {
            return Err("a job is not accepted".to_owned());
        }
    }
    // All items have run once no replica has had one for the last 5 s.
    let start = Instant::now();
    let mut idle_since = None;
    let mut last_note = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(100));
        let running: u64 = replicas.iter().map(|replica| replica.running.load(Ordering::SeqCst)).sum();
        if last_note.elapsed() > Duration::from_secs(2) {
            last_note = Instant::now();
            let (bytes, refused) = fleet.store.usage();
            record.add(format!("{running} items run; the store has {bytes} bytes and refused {refused} appends"));
        }
        if running > 0 {
            idle_since = None;
        } else if start.elapsed() > Duration::from_secs(5) {
            let since = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() > Duration::from_secs(5) {
                break;
            }
        }
        if start.elapsed() > MAX_RUN {
            return Err("the items did not run in time".to_owned());
        }
    }
    record.add("no replica has had an item for 5 s");
    thread::sleep(FINISH.saturating_sub(Duration::from_secs(5)));
    let (mut listed, mut failures) = (0, 0);
    for job in &jobs {
        let mut from = 0;
        while from < ITEMS && failures < 3 {
            match read_results(record, fronts[1], job, from) {
                Some((done, abandoned)) if done + abandoned > 0 => from += done + abandoned,
                Some(_) => break,
                None => failures += 1,
            }
        }
        listed += from;
    }
    let total = JOBS * ITEMS;
    record.add(fleet.store.sizes());
    let (bytes, refused) = fleet.store.usage();
    record.add(format!("{listed} of {total} items are listed; the store has {bytes} bytes and refused {refused} appends"));
    if failures == 3 {
        return Err("the results can't be read".to_owned());
    }
    Ok((listed < total).then(|| format!("LOST: {} of {total} items are not listed", total - listed)))
}
