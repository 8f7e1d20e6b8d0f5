//! A replica restarts under its id with another version of its software while it streams.
//!
//! Two replicas serve one service: one runs version v2 already, the other v1. The second one
//! crashes and is back at once, with v2, as at the end of an upgrade in place. The callers of
//! its streams take them up again a little later.

use super::{
    Case,
    fleet::Fleet,
    http::{Connection, Message},
    replica::Replica,
};
use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Time from the crash until the replica is back.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Time after which a caller takes up a stream that was cut.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Streams that callers begin.
const STREAMS: usize = 16;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"ask","host":"a.example","prefix":"/ask/","kind":"streaming","timeoutMs":10000,"sloMs":300,"priority":0,
"service":"llm","attempts":2,"anonymous":false,"sticky":false,"resumable":true,"gapAimMs":300}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka","apiKeys":["key-1"],"ratePerS":500,"burst":500}]}"#;

/// Sends a request without a body; returns the status.
pub fn get(addr: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut conn = Connection::new(stream);
    let req = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    conn.stream.write_all(req.as_bytes()).ok()?;
    Some(conn.read_head().ok()??.status())
}

#[derive(Default)]
struct Stream {
    /// Versions and numbers of the events.
    events: Vec<(String, u64)>,
    is_complete: bool,
}

/// One client attempt; adds its events to the stream.
fn attempt(case: &Case, to: SocketAddr, id: &str, resumes: &str, stream: &mut Stream) -> Option<()> {
    let tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut conn = Connection::new(tcp);
    let resumption = stream.events.last().map_or_else(String::new, |(_, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {resumes}\r\n")
    });
    let req = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n\
         X-Cicadagate-Attempt-Id: {id}\r\nX-Cicadagate-Deadline-Ms: 8000\r\n{resumption}\
         Content-Length: 2\r\n\r\n{{}}"
    );
    case.record.add(format!("{id} is sent to {to} {}", resumption.replace("\r\n", " ")));
    conn.stream.write_all(req.as_bytes()).ok()?;
    let head: Message = conn.read_head().ok()??;
    case.record.add(format!("{id} gets {}", head.status()));
    if head.status() != 200 {
        return None;
    }
    let mut text = String::new();
    let ended = loop {
        match conn.read_chunk() {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(_) => break false,
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let (version, number) = data.and_then(|data| data.split_once(' ')).unwrap_or(("?", "0"));
            stream.events.push((version.to_owned(), number.parse().unwrap_or(0)));
            text = rest.to_owned();
        }
    };
    let last = stream.events.last().map_or("none".to_owned(), |(version, number)| format!("{version} {number}"));
    case.record.add(format!("{id} {}, last event {last}", if ended { "is complete" } else { "is cut" }));
    stream.is_complete = ended;
    ended.then_some(())
}

/// A caller: begins a stream, and takes it up twice at most.
fn call(case: &Case, fronts: &[SocketAddr], number: usize) -> Stream {
    let mut stream = Stream::default();
    let mut first = String::new();
    for retry in 0..3 {
        let id = format!("c{number:02}{retry}f00d");
        let to = fronts[(number + retry) % fronts.len()];
        if first.is_empty() {
            first.clone_from(&id);
        }
        if attempt(case, to, &id, &first, &mut stream).is_some() {
            break;
        }
        thread::sleep(RETRY_DELAY);
    }
    stream
}

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let mut fleet = Fleet::new()?;
    fleet.store.put("keyed.op", "config", CONFIG);
    let new = |id, host| Arc::new(Replica::new(id, "llm", fleet.addr(host), &fleet.store, &case.record));
    let (old, upgraded) = (new("i-old", 201), new("i-new", 202));
    old.start("v1")?;
    upgraded.start("v2")?;
    fleet.start(2, &case.record)?;
    let fronts: Vec<SocketAddr> = fleet.processes.iter().map(|process| process.front).collect();
    let streams: Vec<Stream> = thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                thread::sleep(Duration::from_millis(10));
                let fronts = &fronts;
                scope.spawn(move || call(case, fronts, number))
            })
            .collect();
        thread::sleep(Duration::from_millis(900));
        if case.has_trouble {
            old.crash();
            thread::sleep(DOWN_TIME);
            old.start("v2")?;
        }
        Ok::<_, String>(callers.into_iter().filter_map(|caller| caller.join().ok()).collect())
    })?;
    let begun_at_old = streams.iter().filter(|it| it.events.first().is_some_and(|(version, _)| version == "v1"));
    let begun_at_old = begun_at_old.count();
    let is_mixed = |it: &&Stream| it.events.iter().any(|(version, _)| *version != it.events[0].0);
    let mixed = streams.iter().filter(is_mixed).count();
    let complete = streams.iter().filter(|it| it.is_complete).count();
    case.record.add(format!(
        "{STREAMS} streams, {begun_at_old} began at v1, {complete} are complete, {mixed} hold events of both versions"
    ));
    if begun_at_old < 3 {
        return Err("fewer than three streams began at the replica that restarts".to_owned());
    }
    if !case.has_trouble && complete < STREAMS {
        return Err("not all streams are complete without the disruption".to_owned());
    }
    // More than two such streams break the rule.
    Ok((mixed > 2).then(|| format!("ORDER: {mixed} streams hold events of two software versions")))
}
