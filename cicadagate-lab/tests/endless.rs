//! Endpoints that answer without end, and readers that are slower than they.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::{
        fleet::Fleet,
        load::{Outcome, caller::job_lines},
    },
    serde_json::{Value, json},
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{LIMIT, MODEL, Setup, run, small_spec, start, wait_for_job},
};

/// Bytes after which the endpoint sends no more, so that a failing test leaves the machine
/// its memory.
const MAX_SENT_BYTES: usize = 640 * 1024 * 1024;
/// Bytes of each event.
const EVENT_BYTES: usize = 16 * 1024;
/// Most memory that a process may have taken at any time.
const MAX_PEAK_BYTES: u64 = 200 * 1024 * 1024;
/// Time for which the endpoint may send.
const SEND_TIME: Duration = Duration::from_secs(8);

/// An endpoint whose responses have no end.
struct EndlessEndpoint {
    addr: SocketAddr,
    sent: Arc<AtomicUsize>,
}

impl EndlessEndpoint {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("an address");
        let sent = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&sent);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = Arc::clone(&counter);
                thread::spawn(move || send_without_end(stream, &counter));
            }
        });
        Self { addr, sent }
    }

    async fn list(&self, fleet: &Fleet, kind: &str) {
        let instance = json!({
            "id": "endless-1",
            "kind": kind,
            "data_centre": "a",
            "state": "live",
            "address": self.addr,
            "deployment": "endless",
            "max_streams": 8,
        });
        fleet.put_instance(&instance).await.expect("listed");
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Sends token events, each as a chunk, until the reader ends the connection.
fn send_without_end(mut stream: TcpStream, sent: &AtomicUsize) {
    let mut head = Vec::new();
    let mut buf = [0; 4_096];
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(read @ 1..) => head.extend_from_slice(&buf[..read]),
            _ => return,
        }
    }
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let text = "x".repeat(EVENT_BYTES);
    let event = format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    while sent.load(Ordering::Relaxed) < MAX_SENT_BYTES {
        if stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
        sent.fetch_add(chunk.len(), Ordering::Relaxed);
    }
    // The response stays without an end.
    let _ = stream.read(&mut buf);
}

/// Returns the most memory that a process has taken, in bytes.
fn peak_bytes(fleet: &Fleet, name: &str) -> u64 {
    let pid = fleet.pid(name).expect("a process");
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kib: u64 = kib.and_then(|kib| kib.parse().ok()).expect("a number");
    kib * 1024
}

/// Starts a request to a service and reads nothing of its response.
fn call_without_reading(setup: &Setup, entry: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("connected");
    let request = format!(
        "GET /endless HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\r\n",
        setup.key
    );
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

async fn start_with_endless(run: &str, kind: &str) -> (Setup, EndlessEndpoint) {
    let setup = start(small_spec(run)).await;
    let endless = EndlessEndpoint::start();
    endless.list(&setup.fleet, kind).await;
    if kind == "service" {
        let added = setup.fleet.add_service("/endless", "endless");
        added.expect("a service route");
    } else {
        let added = setup.fleet.add_model("endless", "endless");
        added.expect("a model route");
    }
    setup.fleet.wait_in_force().expect("in force");
    // The processes read the list each second.
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    (setup, endless)
}

fn assert_peaks(setup: &Setup, endless: &EndlessEndpoint) {
    let names = setup.fleet.instances().into_iter().flat_map(|instance| {
        ["entry", "dispatch", "batch"].map(|role| format!("{instance}-{role}"))
    });
    let peaks: Vec<(String, u64)> = names
        .map(|name| {
            let peak = peak_bytes(&setup.fleet, &name);
            (name, peak / 1024 / 1024)
        })
        .collect();
    println!(
        "sent {} MiB, peaks in MiB {peaks:?}",
        endless.sent() / 1024 / 1024
    );
    let is_bounded = |peak: &(String, u64)| peak.1 < MAX_PEAK_BYTES / 1024 / 1024;
    assert!(peaks.iter().all(is_bounded), "{peaks:?}");
}

async fn assert_serves(setup: &Setup, entry: SocketAddr) {
    let result = setup.caller.chat(entry, MODEL, "beside", 5, true).await;
    assert_eq!(result.outcome, Outcome::Right);
}

// Guards against an entry that holds without bound what its callers don't read.
#[test]
fn callers_that_do_not_read_do_not_fill_the_entry() {
    run(async {
        let (setup, endless) = start_with_endless("unread", "service").await;
        let entry = setup.fleet.entries()[0];
        let callers: Vec<TcpStream> = (0..4)
            .map(|_| call_without_reading(&setup, entry))
            .collect();
        actix_rt::time::sleep(SEND_TIME).await;
        assert_peaks(&setup, &endless);
        assert!(endless.sent() > 4 * EVENT_BYTES, "it was called");
        assert_serves(&setup, entry).await;
        drop(callers);
    });
}

// Guards against a process that queues without bound what a suspended peer doesn't read.
#[test]
fn a_suspended_entry_does_not_fill_the_processes_that_answer_it() {
    run(async {
        let (mut setup, endless) = start_with_endless("suspended", "service").await;
        let entry = setup.fleet.entries()[0];
        let callers: Vec<TcpStream> = (0..4)
            .map(|_| call_without_reading(&setup, entry))
            .collect();
        let begun = async || endless.sent() > 0;
        setup
            .fleet
            .wait("the endpoint sends", LIMIT, begun)
            .await
            .expect("it was called");
        setup.fleet.freeze("i1-entry").expect("frozen");
        actix_rt::time::sleep(SEND_TIME).await;
        assert_peaks(&setup, &endless);
        let other = setup.fleet.entries()[1];
        assert_serves(&setup, other).await;
        setup.fleet.thaw("i1-entry").expect("thawed");
        drop(callers);
    });
}

// Guards against a completion without end that is gathered without bound, to be sent as one
// body.
#[test]
fn a_completion_without_end_is_not_gathered_without_bound() {
    run(async {
        let (setup, endless) = start_with_endless("gathered", "engine").await;
        let entry = setup.fleet.entries()[0];
        let body = json!({
            "model": "endless",
            "messages": [{"role": "user", "content": "x"}],
            "max_tokens": 10,
        });
        let request = awc::Client::builder()
            .disable_timeout()
            .finish()
            .post(format!("http://{entry}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {}", setup.key)));
        let sent = actix_rt::time::timeout(2 * SEND_TIME, request.send_json(&body)).await;
        assert_peaks(&setup, &endless);
        let mut res = sent.expect("a response in time").expect("a response");
        let status = res.status().as_u16();
        let error: Value = res.json().await.expect("JSON");
        let not_run = &error["error"]["not_run"];
        assert_eq!((status, not_run), (502, &json!(false)), "{error}");
        assert_serves(&setup, entry).await;
    });
}

// Guards against an item whose output has no end and is gathered without bound.
#[test]
fn an_item_without_end_is_not_gathered_without_bound() {
    run(async {
        let (setup, endless) = start_with_endless("item", "engine").await;
        let entry = setup.fleet.entries()[0];
        let lines = job_lines("endless", &["endless item".to_owned()], 10);
        let file = setup.caller.upload(entry, &lines).await.expect("uploaded");
        let job = setup
            .caller
            .create_job(entry, &file, "/v1/chat/completions", &file)
            .await
            .expect("accepted");
        let id = support::id_of(&job);
        let end = wait_for_job(&setup.caller, entry, &id);
        let ended = actix_rt::time::timeout(4 * SEND_TIME, end).await;
        assert_peaks(&setup, &endless);
        let job = ended.expect("the job ends");
        assert_eq!(job["request_counts"]["failed"], 1, "{job}");
        assert_serves(&setup, entry).await;
    });
}
