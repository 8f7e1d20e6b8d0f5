//! Stand-ins for the platform's store, replicas and callers, and gateway
//! processes started by the command of the deploy file. Only the standard
//! library is used; everything listens on loopback addresses.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What happened, written to `record.txt` of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|err| give_up(&format!("{path}: {err}")));
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
        println!("{seconds:8.3} s  {text}");
    }
}

/// Ends the program because the case could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    stop_all();
    std::process::exit(2);
}

/// Waits until a condition holds, and gives up after `seconds`.
pub fn wait_until(what: &str, seconds: f64, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while !holds() {
        if Instant::now() > until {
            give_up(what);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP

/// A request that a server has read.
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (found, value) = pair.split_once('=')?;
            (found == name).then(|| value.replace("%2F", "/").replace("%2E", "."))
        })
    }
}

/// What a server does with a request.
pub enum Action {
    Respond(u16, Vec<(String, String)>, Vec<u8>),
    /// Events of a stream, with the time before each.
    Stream(Vec<(String, String)>, Vec<String>, Duration),
    /// Nothing is sent on this connection any more.
    Silence,
    /// The connection is closed.
    Close,
    /// A head, and then a piece again and again until the caller closes.
    Endless(Vec<u8>, Vec<u8>),
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a chunked body; returns what arrived, and whether that is all of it.
fn read_chunked(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(len) if len > 0) {
            return (body, false);
        }
        let len = line.trim().split(';').next().and_then(|len| usize::from_str_radix(len, 16).ok());
        let Some(len) = len else {
            return (body, false);
        };
        let mut chunk = vec![0; len + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if len == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Req> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = if headers.contains_key("transfer-encoding") {
        let (body, is_whole) = read_chunked(reader);
        is_whole.then_some(body)?
    } else {
        let len = headers.get("content-length").map_or(0, |len| len.parse().unwrap_or(0));
        let mut body = vec![0; len];
        reader.read_exact(&mut body).ok()?;
        body
    };
    Some(Req {
        method,
        target,
        headers,
        body,
    })
}

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// An HTTP server at one address, which can be cut off.
pub struct Server {
    pub addr: SocketAddr,
    is_refusing: AtomicBool,
    is_silent: AtomicBool,
    paused_ms: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    fillers: Mutex<Vec<TcpStream>>,
    handler: Box<dyn Fn(&Req, SocketAddr) -> Action + Send + Sync>,
}

impl Server {
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(&Req, SocketAddr) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(addr)
            .unwrap_or_else(|err| give_up(&format!("can't listen on {addr}: {err}")));
        let server = Arc::new(Self {
            addr,
            is_refusing: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            paused_ms: AtomicU64::new(0),
            open: Mutex::default(),
            fillers: Mutex::default(),
            handler: Box::new(handler),
        });
        let shared = Arc::clone(&server);
        thread::spawn(move || shared.accept(listener));
        server
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        use std::os::fd::AsRawFd;
        listener.set_nonblocking(true).unwrap();
        let mut listener = Some(listener);
        let mut is_silent = false;
        loop {
            if self.is_refusing.load(Ordering::SeqCst) {
                listener = None;
                sleep_ms(2);
                continue;
            }
            if listener.is_none() {
                match TcpListener::bind(self.addr) {
                    Ok(bound) => {
                        bound.set_nonblocking(true).unwrap();
                        listener = Some(bound);
                    }
                    Err(_) => {
                        sleep_ms(20);
                        continue;
                    }
                }
            }
            let bound = listener.as_ref().unwrap();
            if self.is_silent.load(Ordering::SeqCst) {
                if !is_silent {
                    is_silent = true;
                    // New connections hang once the queue of the listener is full.
                    unsafe { listen(bound.as_raw_fd(), 0) };
                    let timeout = Duration::from_millis(30);
                    for _ in 0..4 {
                        if let Ok(filler) = TcpStream::connect_timeout(&self.addr, timeout) {
                            self.fillers.lock().unwrap().push(filler);
                        }
                    }
                }
                sleep_ms(2);
                continue;
            }
            let paused_ms = self.paused_ms.swap(0, Ordering::SeqCst);
            if paused_ms > 0 {
                sleep_ms(paused_ms);
            }
            match bound.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let shared = Arc::clone(&self);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().unwrap().push(copy);
                    }
                    thread::spawn(move || shared.serve(stream));
                }
                Err(_) => sleep_ms(1),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(req) = read_request(&mut reader) {
            if self.is_silent.load(Ordering::SeqCst) {
                sleep_ms(60_000);
                return;
            }
            let action = (self.handler)(&req, self.addr);
            match action {
                Action::Respond(status, headers, body) => {
                    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
                    for (name, value) in headers {
                        out.push_str(&format!("{name}: {value}\r\n"));
                    }
                    out.push_str("\r\n");
                    let mut out = out.into_bytes();
                    out.extend_from_slice(&body);
                    if stream.write_all(&out).is_err() {
                        break;
                    }
                }
                Action::Stream(headers, events, interval) => {
                    let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
                    for (name, value) in headers {
                        out.push_str(&format!("{name}: {value}\r\n"));
                    }
                    out.push_str("\r\n");
                    let mut is_ok = stream.write_all(out.as_bytes()).is_ok();
                    for event in events {
                        thread::sleep(interval);
                        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                        is_ok = is_ok && stream.write_all(chunk.as_bytes()).is_ok();
                        if !is_ok {
                            break;
                        }
                    }
                    if !is_ok || stream.write_all(b"0\r\n\r\n").is_err() {
                        break;
                    }
                }
                Action::Silence => {
                    sleep_ms(60_000);
                    return;
                }
                Action::Close => break,
                Action::Endless(head, piece) => {
                    let mut is_ok = stream.write_all(&head).is_ok();
                    while is_ok {
                        is_ok = stream.write_all(&piece).is_ok();
                    }
                    break;
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Refuses new connections and resets the open ones, or takes connections again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::SeqCst);
        if is_refusing {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends all connections, as a process that restarts does; new ones wait for `ms`, since
    /// the listening socket stays open meanwhile.
    pub fn restart(&self, ms: u64) {
        self.paused_ms.store(ms, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets new connections and requests hang, from some 100 ms later on.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }
}

/// The response to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    /// 0 if the connection ended without a response.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_whole: bool,
}

/// Sends a request on a new connection, as callers do for jobs.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Reply {
    let none = Reply {
        status: 0,
        headers: HashMap::new(),
        body: Vec::new(),
        is_whole: false,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let mut out = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    if stream.write_all(&out).is_err() {
        return none;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else {
        return none;
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let (body, is_whole) = if headers.contains_key("transfer-encoding") {
        read_chunked(&mut reader)
    } else {
        let len = headers.get("content-length").map_or(0, |len| len.parse().unwrap_or(0));
        let mut body = vec![0; len];
        let is_whole = reader.read_exact(&mut body).is_ok();
        (body, is_whole)
    };
    Reply {
        status,
        headers,
        body,
        is_whole,
    }
}

// ---------------------------------------------------------------- store

/// What the store does with an append. It has been carried out already.
pub enum AppendFault {
    None,
    /// The answer is lost: the connection returns nothing further.
    Lost,
    /// The connection is closed without an answer.
    Closed,
}

type Hook = Box<dyn Fn(&str, SocketAddr) -> AppendFault + Send + Sync>;

/// Stand-in for the platform's store: a log of topics and partitions.
pub struct Store {
    parts: Mutex<HashMap<(String, u64), Vec<Vec<u8>>>>,
    /// Addresses of replicas as seen through one address of the store.
    views: Mutex<HashMap<SocketAddr, Vec<(String, String)>>>,
    pub servers: Mutex<Vec<Arc<Server>>>,
    hook: Mutex<Option<Hook>>,
    answer_ms: AtomicU64,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            parts: Mutex::default(),
            views: Mutex::default(),
            servers: Mutex::default(),
            hook: Mutex::default(),
            answer_ms: AtomicU64::new(4),
        })
    }

    pub fn listen(self: &Arc<Self>, addr: SocketAddr) {
        let shared = Arc::clone(self);
        let server = Server::start(addr, move |req, at| shared.serve(req, at));
        self.servers.lock().unwrap().push(server);
    }

    /// Calls `hook` with the topic and the address after each append.
    pub fn on_append(&self, hook: impl Fn(&str, SocketAddr) -> AppendFault + Send + Sync + 'static) {
        *self.hook.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn add_view(&self, at: SocketAddr, from: SocketAddr, to: SocketAddr) {
        let mut views = self.views.lock().unwrap();
        let view = views.entry(at).or_default();
        view.push((format!("\"{from}\""), format!("\"{to}\"")));
    }

    /// Takes the store down at all addresses at once, or up again.
    pub fn set_down(&self, is_down: bool) {
        let servers = self.servers.lock().unwrap();
        for server in servers.iter() {
            server.is_refusing.store(is_down, Ordering::SeqCst);
        }
        // Until all listeners are closed.
        sleep_ms(10);
        // The address of the first gateway comes last, so that no other one still has a
        // connection when that gateway turns to it.
        for server in servers.iter().rev() {
            server.set_refusing(is_down);
        }
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut parts = self.parts.lock().unwrap();
        parts.entry((topic.to_owned(), 0)).or_default().push(record);
    }

    fn seen(&self, record: &[u8], at: SocketAddr) -> Vec<u8> {
        let views = self.views.lock().unwrap();
        let Some(view) = views.get(&at) else {
            return record.to_vec();
        };
        let mut out = record.to_vec();
        for (from, to) in view {
            let found = out.windows(from.len()).position(|it| it == from.as_bytes());
            if let Some(found) = found {
                out.splice(found..found + from.len(), to.bytes());
                break;
            }
        }
        out
    }

    fn serve(&self, req: &Req, at: SocketAddr) -> Action {
        let ok = |body: Vec<u8>| Action::Respond(200, Vec::new(), body);
        sleep_ms(self.answer_ms.load(Ordering::SeqCst));
        let topic = req.query("topic").unwrap_or_default();
        let number = |name: &str| req.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let part = number("part");
        match (req.method.as_str(), req.path()) {
            ("POST", "/log-append") => {
                let (mut offset, mut end) = (0, 0);
                {
                    let mut parts = self.parts.lock().unwrap();
                    let records = parts.entry((topic.clone(), part)).or_default();
                    offset += records.len();
                    let mut rest = &req.body[..];
                    while rest.len() >= 4 {
                        let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                        records.push(rest[4..4 + len].to_vec());
                        rest = &rest[4 + len..];
                    }
                    end += records.len();
                }
                let hook = self.hook.lock().unwrap();
                let fault = hook.as_ref().map_or(AppendFault::None, |hook| hook(&topic, at));
                drop(hook);
                match fault {
                    AppendFault::None => ok(format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes()),
                    AppendFault::Lost => Action::Silence,
                    AppendFault::Closed => Action::Close,
                }
            }
            ("GET", "/log-read") => {
                let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                let from = number("from") as usize;
                loop {
                    let records: Option<(u64, Vec<Vec<u8>>)> = {
                        let parts = self.parts.lock().unwrap();
                        let empty = Vec::new();
                        let records = parts.get(&(topic.clone(), part)).unwrap_or(&empty);
                        let is_due = from < records.len() || Instant::now() >= until;
                        is_due.then(|| {
                            let page = records.iter().skip(from).take(500).cloned().collect();
                            (records.len() as u64, page)
                        })
                    };
                    if let Some((end, page)) = records {
                        let mut out = end.to_be_bytes().to_vec();
                        out.extend_from_slice(&0_u64.to_be_bytes());
                        for record in page {
                            let record = self.seen(&record, at);
                            out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            out.extend_from_slice(&record);
                        }
                        return ok(out);
                    }
                    sleep_ms(4);
                }
            }
            ("GET", "/log-newest") => {
                let (mut newest, end) = (BTreeMap::new(), {
                    let parts = self.parts.lock().unwrap();
                    parts.get(&(topic.clone(), part)).map_or(0, Vec::len)
                });
                let parts = self.parts.lock().unwrap();
                for record in parts.get(&(topic.clone(), part)).into_iter().flatten() {
                    let len = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
                    if record.len() == 1 + len {
                        newest.remove(&key);
                    } else {
                        newest.insert(key, record.clone());
                    }
                }
                drop(parts);
                let items: Vec<String> = newest
                    .into_iter()
                    .map(|(key, record)| {
                        let record = self.seen(&record, at);
                        let value = base64(&record[1 + usize::from(record[0])..]);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":0}}")
                    })
                    .collect();
                ok(format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}", items.join(",")).into_bytes())
            }
            _ => Action::Respond(404, Vec::new(), Vec::new()),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(SYMBOLS[(number >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- replicas

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: usize,
    /// Address at which the replica was reached.
    pub at: SocketAddr,
    pub when: Instant,
}

/// All runs at all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How replicas work.
pub type Work = Arc<dyn Fn(&Req, &str) -> Action + Send + Sync>;

/// Headers of a replica's response to a request that ran.
pub fn stamped(req: &Req, replica: &str) -> Vec<(String, String)> {
    vec![
        ("X-Cicadagate-Attempt-Id".to_owned(), req.header("x-cicadagate-attempt-id").to_owned()),
        ("X-Cicadagate-Server-Stamp".to_owned(), format!("{replica}.1")),
        ("Keep-Alive".to_owned(), "timeout=5".to_owned()),
    ]
}

/// Serves a replica at an address.
pub fn serve_replica(record: &Arc<Record>, runs: &Runs, work: &Work, index: usize, addr: SocketAddr) -> Arc<Server> {
    let (record, runs, work) = (Arc::clone(record), Arc::clone(runs), Arc::clone(work));
    let name = format!("i-{index}");
    Server::start(addr, move |req, at| {
        let expected = req.header("x-cicadagate-expect-instance");
        if !expected.is_empty() && expected != name {
            return Action::Respond(421, Vec::new(), Vec::new());
        }
        if req.path() == "/healthz" || req.path() == "/report" {
            return Action::Respond(200, vec![("X-Cicadagate-Replica-Id".to_owned(), name.clone())], Vec::new());
        }
        let id = req.header("x-cicadagate-attempt-id").to_owned();
        if id.is_empty() {
            return Action::Respond(400, vec![("X-Cicadagate-Not-Run".to_owned(), "1".to_owned())], Vec::new());
        }
        record.note(&format!("replica {name} runs {id}, reached at {at}"));
        runs.lock().unwrap().push(Run {
            id,
            replica: index,
            at,
            when: Instant::now(),
        });
        work(req, &name)
    })
}

// ---------------------------------------------------------------- fleet

static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn stop_all() {
    for child in PROCESSES.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub store: SocketAddr,
    settings: PathBuf,
    pid: Mutex<u32>,
}

/// What a replica runs.
#[derive(Clone, Debug)]
pub struct Software {
    pub version: String,
    /// Unix milliseconds of the start.
    pub born: u128,
}

/// A fleet on loopback addresses of its own.
pub struct Fleet {
    /// Software of each replica.
    pub software: Arc<Mutex<Vec<Software>>>,
    /// Writes the registrations of all replicas now.
    pub register: Arc<dyn Fn() + Send + Sync>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    pub runs: Runs,
    /// The servers of each replica: one for each gateway.
    pub replicas: Vec<Vec<Arc<Server>>>,
    net: u8,
    dir: PathBuf,
    key: String,
    routes: String,
}

fn addr(net: u8, group: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, net, group, host], port))
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn registration(index: usize, addr: SocketAddr, slots: u32, seq: u64, software: &Software) -> String {
    let Software { version, born } = software;
    format!(
        "{{\"service\":\"app\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"{version}\",\"slots\":{slots},\
         \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born},\"i\":{index}}}"
    )
}

impl Fleet {
    /// Starts a fleet. Each gateway reaches the store and each replica at addresses of
    /// its own. `routes` are the routes of the configuration, in JSON.
    pub fn start(gateways: u8, replicas: u8, slots: u32, routes: &str, work: Work) -> Self {
        let one = |_| Software {
            version: "v1".to_owned(),
            born: unix_ms(),
        };
        let software = Arc::new(Mutex::new((0..replicas).map(one).collect()));
        Self::start_with(gateways, software, slots, routes, work)
    }

    /// Starts a fleet whose replicas run this software.
    pub fn start_with(gateways: u8, software: Arc<Mutex<Vec<Software>>>, slots: u32, routes: &str, work: Work) -> Self {
        let replicas = u8::try_from(software.lock().unwrap().len()).unwrap();
        let record = Record::create();
        // Ends a run that hangs before its time is up.
        thread::spawn(|| {
            sleep_ms(105_000);
            give_up("not finished after 105 s");
        });
        let store = Store::new();
        let runs = Runs::default();
        // Another run at the same time gets other addresses.
        let net = 16 + u8::try_from(std::process::id() % 200).unwrap();
        let dir = std::env::temp_dir().join(format!("cicadagate-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap_or_else(|err| give_up(&err.to_string()));
        let deploy = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let key = deploy.split("CICADAGATE_FLEET_KEY = \"").nth(1).and_then(|rest| rest.split('"').next());
        let key = key.unwrap_or_else(|| give_up("no fleet key in the deploy file")).to_owned();
        let register = {
            let (store, software, seq) = (Arc::clone(&store), Arc::clone(&software), AtomicU64::new(0));
            Arc::new(move || {
                let seq = seq.fetch_add(1, Ordering::SeqCst);
                for (index, software) in software.lock().unwrap().iter().enumerate() {
                    let canonical = addr(net, 200, index as u8 + 1, 8080);
                    let value = registration(index, canonical, slots, seq, software);
                    store.put("keyed.servers", &format!("i-{index}"), &value);
                }
            })
        };
        let mut fleet = Self {
            software,
            register,
            record,
            store,
            gateways: Vec::new(),
            runs,
            replicas: Vec::new(),
            net,
            dir,
            key,
            routes: routes.to_owned(),
        };
        for replica in 0..replicas {
            let canonical = addr(net, 200, replica + 1, 8080);
            let mut servers = Vec::new();
            for gateway in 0..gateways {
                let own = addr(net, 100 + gateway, replica + 1, 8080);
                servers.push(serve_replica(&fleet.record, &fleet.runs, &work, usize::from(replica), own));
                fleet.store.add_view(addr(net, 0, 100 + gateway, 8408), canonical, own);
            }
            fleet.replicas.push(servers);
        }
        (fleet.register)();
        fleet.configure(1);
        let register = Arc::clone(&fleet.register);
        thread::spawn(move || loop {
            sleep_ms(1_200);
            register();
        });
        for gateway in 0..gateways {
            fleet.store.listen(addr(net, 0, 100 + gateway, 8408));
        }
        for gateway in 0..gateways {
            let ip = format!("127.{net}.1.{}", gateway + 1);
            let store = addr(net, 0, 100 + gateway, 8408);
            let name = format!("front-{gateway}");
            let settings = fleet.dir.join(format!("{name}.json"));
            let text = settings_text(&name, &ip, store);
            std::fs::write(&settings, text).unwrap_or_else(|err| give_up(&err.to_string()));
            fleet.gateways.push(Gateway {
                name,
                front: format!("{ip}:8405").parse().unwrap(),
                directory: format!("{ip}:8404").parse().unwrap(),
                store,
                settings,
                pid: Mutex::new(0),
            });
        }
        for gateway in &fleet.gateways {
            fleet.start_gateway(gateway);
        }
        let count = fleet.gateways.len();
        wait_until("the gateways don't advertise each other", 20.0, || {
            fleet.gateways.iter().all(|gateway| fleet.advertised(gateway) == count)
        });
        fleet.record.note(&format!("{count} gateways are up"));
        fleet
    }

    fn advertised(&self, gateway: &Gateway) -> usize {
        let timeout = Duration::from_secs(1);
        let reply = call(gateway.directory, "GET", "/resolve?name=a.example&region=r&zone=a", &[("Host", "d")], b"", timeout);
        String::from_utf8_lossy(&reply.body).matches(":8405").count()
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64) {
        let value = format!(
            "{{\"version\":{version},\"routes\":[{}],\
             \"services\":[{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":370}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"key-1\"],\"ratePerS\":500,\"burst\":500}}]}}",
            self.routes
        );
        self.store.put("keyed.op", "config", &value);
    }

    pub fn start_gateway(&self, gateway: &Gateway) {
        let log = self.dir.join(format!("{}.log", gateway.name));
        let log = File::options().append(true).create(true).open(log);
        let log = log.unwrap_or_else(|err| give_up(&err.to_string()));
        let child = Command::new("target/release/cicadagate")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CICADAGATE_SETTINGS", &gateway.settings)
            .env("CICADAGATE_FLEET_KEY", &self.key)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|err| give_up(&format!("target/release/cicadagate: {err}")));
        *gateway.pid.lock().unwrap() = child.id();
        PROCESSES.lock().unwrap().push(child);
    }

    /// Sends a signal to a gateway process: 9 kills, 15 stops it.
    pub fn signal(&self, gateway: &Gateway, signal: i32) {
        let pid = i32::try_from(*gateway.pid.lock().unwrap()).unwrap();
        // Not waited for, so that the id is still the child's.
        unsafe { kill(pid, signal) };
        self.record.note(&format!("signal {signal} to {}", gateway.name));
    }

    /// Runs of a request or item.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Ends all processes and exits: 1 if the rule was broken.
    pub fn finish(self, broken: usize, verdict: &str) -> ! {
        stop_all();
        self.record.note(verdict);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
        let _ = self.net;
        std::process::exit(i32::from(broken > 0));
    }
}

fn settings_text(name: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        "{{\"nodeName\":\"{name}\",\"role\":\"gateway\",\"machineClass\":\"front\",\
         \"serves\":[\"front\",\"directory\"],\"ip\":\"{ip}\",\"zone\":\"a\",\"region\":\"r\",\
         \"zones\":{{\"a\":\"r\"}},\
         \"listen\":{{\"front\":\"{ip}:8405\",\"ready\":\"{ip}:8406\",\"control\":\"{ip}:8407\",\"directory\":\"{ip}:8404\"}},\
         \"portRange\":[7660,7675],\"seeds\":[],\"bootstrap\":true,\"lossCounts\":false,\
         \"limits\":{{\"cpuShare\":0.5,\"cores\":1,\"memoryMb\":300,\"maxFds\":8200,\"linkMbps\":1000.0,\"diskMb\":0}},\
         \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeatMs\":1200,\
         \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4.9,\"drainMs\":2000,\
         \"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"outerMs\":5000,\
         \"quotaWindowS\":5,\"quotaExcess\":0.1,\"quotaSlack\":20,\"recoverS\":12,\"passMs\":120,\"finishS\":18,\
         \"statusS\":120,\"cancelMs\":3000,\"settleMs\":1000,\"ttl_max_s\":5}},\
         \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writesPerS\":800,\"readsPerS\":2000,\"parts\":12,\
         \"appendMs\":2.0,\"partMbPerS\":20.0,\"readMbPerS\":80.0,\"recordBytes\":262144,\"callBytes\":2097152,\
         \"retentionS\":300,\"partMb\":200,\"ttlMinMs\":1000}}}}"
    )
}

/// A batch job of items that all have this path.
pub fn job_body(items: &[String], path: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|id| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"{path}\",\"headers\":{{\"X-Cicadagate-Model\":\"m\",\
                 \"X-Cicadagate-Token-Usage\":\"350,240\"}},\"body\":\"{}\",\"tokens\":590}}",
                base64(id.as_bytes())
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// A route of the configuration, in JSON.
pub fn route(name: &str, kind: &str, timeout_ms: u64, attempts: u32) -> String {
    let jobs = if kind == "batch" {
        ",\"dueMs\":18000,\"retentionS\":60"
    } else {
        ""
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"a.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"sloMs\":300,\"priority\":0,\"service\":\"app\",\"attempts\":{attempts},\"anonymous\":false,\"sticky\":false,\
         \"resumable\":{},\"gapAimMs\":300{jobs}}}",
        kind == "batch"
    )
}
