//! Callers read the results of a batch job slowly, at a process that serves other callers.

use super::{
    Case,
    case_full::{read_results, send},
    fleet::Fleet,
    http::{Connection, base64},
    replica::Replica,
    slow,
};
use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `memoryMb` of the sheet of lw-quotegate.
pub const MEMORY_MB: u64 = 140;
const ITEMS: usize = 60;
/// Events and bytes of an item: a result of 15 kB, the mean of the sheet.
const EVENTS: u64 = 241;
const EVENT_BYTES: usize = 65;
const READERS: usize = 170;
pub const CALLERS: usize = 12;
/// Rate at which a slow caller reads: 320 kbit/s.
const SLOW_BYTES_PER_S: usize = 40_000;
const FAST_BYTES_PER_S: usize = 100_000_000;
/// Callers wait 1.5 s longer than the second that they allow.
const PATIENCE: Duration = Duration::from_millis(2_500);
const JOB: &str = "7c41e09b52d6a3f8";

pub const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"digest","host":"a.example","prefix":"/digest/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,
"service":"llm","attempts":3,"anonymous":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"retentionS":60},
{"name":"ask","host":"a.example","prefix":"/ask/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,
"service":"map","attempts":1,"anonymous":false,"sticky":false,"resumable":false,"gapAimMs":300}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370},{"name":"map","healthPath":"/healthz","maxConns":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka","apiKeys":["key-1"],"ratePerS":500,"burst":500}]}"#;

/// Sends requests one after the other on a kept connection, until told to stop; returns
/// whether one that had been passed on to a replica got no answer.
pub fn call(case: &Case, to: SocketAddr, number: usize, stop: &AtomicBool, served: &AtomicUsize) -> Option<bool> {
    let mut conn = Connection::new(TcpStream::connect(to).ok()?);
    conn.stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    for turn in 0..100 {
        if stop.load(Ordering::SeqCst) {
            return Some(false);
        }
        let id = format!("a{number:02}{turn:02}f00d");
        let req = format!(
            "POST /ask/{number} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n\
             X-Cicadagate-Attempt-Id: {id}\r\nX-Cicadagate-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        conn.stream.write_all(req.as_bytes()).ok()?;
        let sent = Instant::now();
        let Ok(Some(head)) = conn.read_head() else {
            case.record.add(format!("{id}: the connection closes without an answer {} ms after the request", sent.elapsed().as_millis()));
            return Some(turn > 0 && sent.elapsed() > Duration::from_millis(50));
        };
        if head.status() != 200 || conn.read_body(&head).is_err() {
            case.record.add(format!("{id}: status {}", head.status()));
            return Some(false);
        }
        served.fetch_add(1, Ordering::SeqCst);
    }
    Some(false)
}

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let record = &case.record;
    let mut fleet = Fleet::new()?;
    fleet.memory_mb = MEMORY_MB;
    fleet.store.put("keyed.op", "config", CONFIG);
    for index in 0..4 {
        let mut replica = Replica::new(&format!("i-{index}"), "llm", fleet.addr(200 + index), &fleet.store, record);
        (replica.events, replica.event_time, replica.padding) = (EVENTS, Duration::from_millis(5), EVENT_BYTES - 6);
        Arc::new(replica).start("v1")?;
    }
    let mut map = Replica::new("i-map", "map", fleet.addr(210), &fleet.store, record);
    (map.events, map.event_time, map.slots) = (2, Duration::from_millis(10), 32);
    map.first_delay = Duration::from_millis(800);
    Arc::new(map).start("v1")?;
    fleet.start(2, record)?;
    let front = fleet.processes[0].front;
    let items = (0..ITEMS).map(|item| {
        format!(
            "{{\"id\":\"e5b2907c14da{item:04}\",\"path\":\"/digest/{item}\",\"headers\":{{}},\"body\":\"{}\",\"tokens\":900}}",
            base64(b"an application")
        )
    });
    let body = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
    let headers = format!("X-Cicadagate-Attempt-Id: {JOB}\r\nContent-Type: application/json\r\n");
    send(record, front, "POST", "/digest/7c41e0", &headers, &body).ok_or("the job is not accepted")?;
    let start = Instant::now();
    while read_results(record, front, JOB, ITEMS - 1).is_none_or(|(done, _)| done == 0) {
        if start.elapsed() > Duration::from_secs(40) {
            return Err("the job is not done".to_owned());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let (stop, served, lost) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let rate = if case.has_trouble { SLOW_BYTES_PER_S } else { FAST_BYTES_PER_S };
    let mut peak = 0;
    let mut is_killed = false;
    thread::scope(|scope| {
        let (stop, served, lost) = (&stop, &served, &lost);
        for number in 0..CALLERS {
            scope.spawn(move || {
                if call(case, front, number, stop, served) == Some(true) {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        record.add(format!("{READERS} callers read the results at {rate} bytes/s each"));
        for _ in 0..READERS {
            scope.spawn(move || {
                let request = format!("GET /lots/{JOB}?after=0 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n\r\n");
                let _ = slow::call(front, &request, rate, PATIENCE);
            });
            thread::sleep(Duration::from_millis(5));
        }
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            let memory_mb = fleet.processes[0].memory_mb();
            if memory_mb > peak {
                peak = memory_mb;
                record.add(format!("the process takes {peak} MiB"));
            }
            // As the platform does.
            if memory_mb > MEMORY_MB && !is_killed {
                is_killed = true;
                record.add(format!("the process exceeds memoryMb, {MEMORY_MB}, and is killed"));
                fleet.processes[0].kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::SeqCst);
    });
    let (served, lost) = (served.into_inner(), lost.into_inner());
    record.add(format!("peak of {peak} MiB; {served} requests served, {lost} passed on and cut without an answer"));
    if served < CALLERS {
        return Err("the callers were not served before".to_owned());
    }
    Ok((lost > 3).then(|| format!("LOST: {lost} requests on kept connections got no answer")))
}
