//! Stand-in for the platform's store: a log of partitioned topics. It is sound, and answers
//! appends with 507 when it holds as much as the pages allow.

use super::http::{Connection, Message, base64};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
pub struct Store {
    /// Most bytes of all records; 0 is no limit.
    pub max_bytes: AtomicUsize,
    /// How many times as long as usual an answer takes.
    pub slowness: AtomicU32,
    bytes: AtomicUsize,
    refused: AtomicUsize,
    topics: Mutex<HashMap<(String, u32), Vec<Vec<u8>>>>,
    appended: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(addr).map_err(|err| err.to_string())?;
        let store = Arc::new(Self::default());
        let cx = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&cx);
                thread::spawn(move || {
                    let mut conn = Connection::new(stream);
                    while let Ok(Some(req)) = conn.read_request() {
                        let (status, body) = store.answer(&req);
                        thread::sleep(ANSWER_TIME * store.slowness.load(Ordering::SeqCst).max(1));
                        if conn.respond(status, "", &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    pub fn append(&self, topic: &str, part: u32, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().expect("topics");
        let log = topics.entry((topic.to_owned(), part)).or_default();
        let offset = log.len();
        log.extend(records);
        self.appended.notify_all();
        (offset, log.len())
    }

    /// Returns the bytes of all appended records, and the number of refused appends.
    pub fn usage(&self) -> (usize, usize) {
        (self.bytes.load(Ordering::SeqCst), self.refused.load(Ordering::SeqCst))
    }

    /// Returns the megabytes of each partition that has any.
    pub fn sizes(&self) -> String {
        let topics = self.topics.lock().expect("topics");
        let sizes = topics.iter().map(|((topic, part), log)| {
            let bytes: usize = log.iter().map(Vec::len).sum();
            format!("{topic}/{part}: {} MB", bytes / 1_000_000)
        });
        sizes.collect::<Vec<_>>().join(", ")
    }

    /// Appends a record of a topic with keys.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    fn answer(&self, req: &Message) -> (u16, Vec<u8>) {
        let topic = req.param("topic").unwrap_or_default();
        let number = |name| req.param(name).and_then(|value| value.parse::<u64>().ok());
        let part = number("part").and_then(|part| u32::try_from(part).ok()).unwrap_or(0);
        match (req.method(), req.path()) {
            ("POST", "/log-append") => {
                let mut records = Vec::new();
                let mut rest = &req.body[..];
                while let Some((len, after)) = rest.split_first_chunk::<4>() {
                    let len = u32::from_be_bytes(*len) as usize;
                    if after.len() < len {
                        return (400, Vec::new());
                    }
                    records.push(after[..len].to_vec());
                    rest = &after[len..];
                }
                let added: usize = records.iter().map(Vec::len).sum();
                let max = self.max_bytes.load(Ordering::SeqCst);
                if max > 0 && self.bytes.load(Ordering::SeqCst) >= max {
                    self.refused.fetch_add(1, Ordering::SeqCst);
                    return (507, Vec::new());
                }
                self.bytes.fetch_add(added, Ordering::SeqCst);
                let (offset, end) = self.append(topic, part, records);
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/log-read") => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let from = number("from").unwrap_or(0);
                let max = number("maxKb").unwrap_or(1024) * 1024;
                (200, self.read(topic, part, from, max, wait))
            }
            ("GET", "/log-newest") => (200, self.newest(topic, part, req.param("after"))),
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, part: u32, from: u64, max: u64, wait: Duration) -> Vec<u8> {
        let key = (topic.to_owned(), part);
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("topics");
        loop {
            let log = topics.get(&key).map_or(&[][..], Vec::as_slice);
            let now = Instant::now();
            if (log.len() as u64) <= from && now < until {
                topics = self.appended.wait_timeout(topics, until - now).expect("topics").0;
                continue;
            }
            let mut out = Vec::new();
            out.extend_from_slice(&(log.len() as u64).to_be_bytes());
            out.extend_from_slice(&0_u64.to_be_bytes());
            let first = usize::try_from(from).unwrap_or(usize::MAX);
            for record in log.iter().skip(first) {
                if out.len() > 16 && (out.len() + record.len()) as u64 > max {
                    break;
                }
                out.extend_from_slice(&u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
                out.extend_from_slice(record);
            }
            return out;
        }
    }

    fn newest(&self, topic: &str, part: u32, after: Option<&str>) -> Vec<u8> {
        let topics = self.topics.lock().expect("topics");
        let log = topics.get(&(topic.to_owned(), part)).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let len = usize::from(record.first().copied().unwrap_or(0));
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            newest.insert(key, (offset, record[1 + len..].to_vec()));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}", items.join(","), log.len()).into_bytes()
    }
}
