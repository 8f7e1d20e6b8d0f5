//! Stand-in for a replica that streams events. It may be restarted under its id, with another
//! version of its software; it then knows nothing of before and writes a new registration.

use super::{Record, http::{Connection, Message}, store::Store};
use std::{
    io::{self, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time between two renewals of the registration.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub events: u64,
    pub event_time: Duration,
    /// Bytes that fill the data of each event.
    pub padding: usize,
    /// Time from a request to the head of its response.
    pub first_delay: Duration,
    pub slots: u32,
    pub zone: String,
    /// Requests that are running.
    pub running: AtomicU64,
    state: Mutex<State>,
    seq: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    version: String,
    born: u128,
    is_draining: bool,
    connections: Vec<TcpStream>,
    stopped: Arc<AtomicBool>,
}

impl Replica {
    pub fn new(id: &str, service: &str, addr: SocketAddr, store: &Arc<Store>, record: &Arc<Record>) -> Self {
        Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            events: 30,
            event_time: Duration::from_millis(100),
            padding: 0,
            first_delay: Duration::ZERO,
            slots: 8,
            zone: "a".to_owned(),
            running: AtomicU64::new(0),
            state: Mutex::default(),
            seq: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
        }
    }

    /// Starts an incarnation with a version of the software.
    pub fn start(self: &Arc<Self>, version: &str) -> Result<(), String> {
        let listener = TcpListener::bind(self.addr).map_err(|err| err.to_string())?;
        let stopped = Arc::new(AtomicBool::new(false));
        {
            let mut state = self.state.lock().expect("state");
            state.version = version.to_owned();
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            state.born = born.map_or(0, |born| born.as_millis());
            state.stopped = Arc::clone(&stopped);
        }
        self.register();
        self.record.add(format!("replica {} starts with version {version} and registers", self.id));
        let me = Arc::clone(self);
        let halted = Arc::clone(&stopped);
        thread::spawn(move || {
            while !halted.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                if !halted.load(Ordering::SeqCst) {
                    me.register();
                }
            }
        });
        let me = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(kept) = stream.try_clone() else { continue };
                me.state.lock().expect("state").connections.push(kept);
                let me = Arc::clone(&me);
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || {
                    let _ = me.serve(Connection::new(stream), &stopped);
                });
            }
        });
        Ok(())
    }

    /// Ends the incarnation: its listener and all its connections close.
    pub fn crash(&self) {
        let connections = {
            let mut state = self.state.lock().expect("state");
            state.stopped.store(true, Ordering::SeqCst);
            std::mem::take(&mut state.connections)
        };
        self.record.add(format!("replica {} crashes", self.id));
        for stream in connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.addr);
    }

    /// Reports that the replica is draining; it goes on to serve.
    pub fn drain(&self) {
        self.state.lock().expect("state").is_draining = true;
        self.register();
        self.record.add(format!("replica {} reports that it is draining", self.id));
    }

    /// Ends a replica that has drained: it removes its registration.
    pub fn leave(&self) {
        self.crash();
        self.store.put("keyed.servers", &self.id, "");
        self.record.add(format!("replica {} has left", self.id));
    }

    fn register(&self) {
        let (version, born, is_draining) = {
            let state = self.state.lock().expect("state");
            (state.version.clone(), state.born, state.is_draining)
        };
        let entry = if is_draining { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{version}\",\"slots\":{},\
             \"state\":\"{entry}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}",
            self.service, self.addr, self.zone, self.slots
        );
        self.store.put("keyed.servers", &self.id, &value);
    }

    fn serve(&self, mut conn: Connection, stopped: &AtomicBool) -> io::Result<()> {
        let version = self.state.lock().expect("state").version.clone();
        while let Some(req) = conn.read_request()? {
            let id = req.header("x-cicadagate-attempt-id").to_owned();
            if req.method() == "GET" && req.path() == "/healthz" {
                let headers = format!("X-Cicadagate-Replica-Id: {}\r\n", self.id);
                conn.respond(200, &headers, b"")?;
                continue;
            }
            let expected = req.header("x-cicadagate-expect-instance");
            if !expected.is_empty() && expected != self.id {
                let headers = format!("X-Cicadagate-Attempt-Id: {id}\r\nX-Cicadagate-Not-Run: 1\r\n");
                conn.respond(421, &headers, b"")?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let outcome = self.stream(&mut conn, &req, &id, &version, stopped);
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.add(format!("{} ends {id}{}", self.id, if outcome.is_ok() { "" } else { ", cut" }));
            outcome?;
        }
        Ok(())
    }

    fn stream(&self, conn: &mut Connection, req: &Message, id: &str, version: &str, stopped: &AtomicBool) -> io::Result<()> {
        let after = req.header("last-event-id").parse::<u64>().ok();
        let first = after.map_or(0, |after| after + 1);
        let from = after.map_or_else(|| "its start".to_owned(), |after| format!("after event {after}"));
        self.record.add(format!("{} ({version}) runs {id} from {from}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Cicadagate-Attempt-Id: {id}\r\nX-Cicadagate-Server-Stamp: {}.{id}\r\n\r\n",
            self.id
        );
        thread::sleep(self.first_delay);
        conn.stream.write_all(head.as_bytes())?;
        let padding = "x".repeat(self.padding);
        for event in first..self.events {
            let text = format!("id: {event}\ndata: {version} {event}{padding}\n\n");
            conn.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(self.event_time);
            if stopped.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}
