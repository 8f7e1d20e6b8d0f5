/*!
An emulated platform: log, instance list and weight store on one address.

`POST /control/faults` with a JSON object injects faults. It sets the fields
that the object contains and leaves the others as they are.
*/

mod list;
mod log;

use {
    crate::serve_announced,
    actix_http::{HttpMessage as _, Method, Request, Response, body::BoxBody},
    cicadagate_node::connection::http::{query_param, read_body, respond, respond_json},
    cicadagate_policy::{ids::hash64, time::Time},
    list::InstanceList,
    log::Log,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{cell::RefCell, convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// Behaviour of the platform without injected faults.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum rate of appends, per second.
    pub appends_per_sec: u64,
    /// Time that an append takes, in milliseconds.
    pub append_ms: u64,
}

/// Injected faults.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// Appends and reads get no response.
    log_down: Option<bool>,
    /// Additional time of each log operation, in milliseconds.
    log_slow_ms: Option<u64>,
    /// Number of next appends that are executed but get no response.
    lose_answers: Option<u64>,
    /// Expires all but this number of last records of each stream, once.
    expire_to: Option<usize>,
    /// Delay of the instance list, in milliseconds.
    list_lag_ms: Option<u64>,
    /// The instance list responds with status 503.
    list_down: Option<bool>,
}

struct Platform {
    cfg: Config,
    faults: RefCell<Faults>,
    log: Log,
    list: InstanceList,
    clock: cicadagate_node::clock::Clock,
}

/// Maximum length of a request body, and so of a record, in bytes.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Throughput of the weight store, in bytes per second.
const WEIGHT_BYTES_PER_SEC: u64 = 1024 * 1024 * 1024;

/// Serves the platform until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(addr: SocketAddr, cfg: Config) -> io::Result<()> {
    let platform = Rc::new(Platform {
        cfg,
        faults: RefCell::default(),
        log: Log::default(),
        list: InstanceList::default(),
        clock: cicadagate_node::clock::Clock::start(),
    });
    let handler = move |req| {
        let platform = Rc::clone(&platform);
        async move { Ok::<_, Infallible>(handle_request(&platform, req).await) }
    };
    serve_announced(addr, "platform", handler).await
}

async fn handle_request(platform: &Platform, mut req: Request) -> Response<BoxBody> {
    let path = req.path().to_owned();
    let query = req.uri().query().unwrap_or("").to_owned();
    let Ok(body) = read_body(&mut req, MAX_RECORD_BYTES).await else {
        return respond(413, "text/plain", "too long\n");
    };
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (req.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "streams", stream, "records"]) => {
            append(platform, stream, body).await
        }
        (&Method::GET, ["v1", "streams", stream, "records"]) => {
            read(platform, stream, &query).await
        }
        (&Method::GET, ["v1", "instances"]) => instances(platform, &req),
        (&Method::POST, ["v1", "instances"]) => put_instance(platform, &body),
        (&Method::DELETE, ["v1", "instances", id]) => {
            platform.list.remove(platform.clock.now(), id);
            respond(200, "text/plain", "removed\n")
        }
        (&Method::GET, ["v1", "weights", version]) => weights(version, &query).await,
        (&Method::POST, ["control", "faults"]) => set_faults(platform, &body),
        (&Method::GET, ["control", "stats"]) => respond_json(200, &platform.log.stats()),
        _ => respond(404, "text/plain", "no such page\n"),
    }
}

/// Responds with status 503 after 20 seconds, to emulate a service that is
/// down.
async fn respond_down() -> Response<BoxBody> {
    actix_rt::time::sleep(Duration::from_secs(20)).await;
    respond(503, "text/plain", "down\n")
}

impl Platform {
    async fn delay_log(&self) {
        let ms = self.faults.borrow().log_slow_ms.unwrap_or(0);
        if ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    fn is_log_down(&self) -> bool {
        self.faults.borrow().log_down.unwrap_or(false)
    }

    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let left = faults.lose_answers.unwrap_or(0);
        faults.lose_answers = Some(left.saturating_sub(1));
        left > 0
    }
}

async fn append(platform: &Platform, stream: &str, body: bytes::Bytes) -> Response<BoxBody> {
    if platform.is_log_down() {
        return respond_down().await;
    }
    platform.delay_log().await;
    if !platform
        .log
        .take_append_token(platform.clock.now(), platform.cfg.appends_per_sec)
    {
        return respond(429, "text/plain", "too many appends\n");
    }
    actix_rt::time::sleep(Duration::from_millis(platform.cfg.append_ms)).await;
    let offset = platform.log.append(stream, body);
    if platform.take_lost_response() {
        return respond_down().await;
    }
    respond_json(200, &json!({"offset": offset}))
}

async fn read(platform: &Platform, stream: &str, query: &str) -> Response<BoxBody> {
    let number = |name| query_param(query, name).and_then(|value| value.parse::<u64>().ok());
    let from = number("from").unwrap_or(1);
    let limit = usize::try_from(number("limit").unwrap_or(100))
        .unwrap_or(100)
        .clamp(1, 10_000);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
    platform.delay_log().await;
    platform.log.wait_for(stream, from, wait).await;
    if platform.is_log_down() {
        return respond_down().await;
    }
    let (body, end, oldest) = platform.log.read(stream, from, limit);
    let mut res = respond(200, "application/octet-stream", body);
    for (name, value) in [("x-end-offset", end), ("x-oldest-offset", oldest)] {
        let name = actix_http::header::HeaderName::from_static(name);
        res.headers_mut().insert(name, value.into());
    }
    res
}

fn instances(platform: &Platform, req: &Request) -> Response<BoxBody> {
    let faults = platform.faults.borrow();
    if faults.list_down.unwrap_or(false) {
        return respond(503, "text/plain", "down\n");
    }
    let lag_ms = faults.list_lag_ms.unwrap_or(0);
    let body = platform
        .list
        .as_of(platform.clock.now(), lag_ms)
        .to_string();
    let tag = format!("\"{:016x}\"", hash64(&[body.as_bytes()]));
    let known = req
        .headers()
        .get("if-none-match")
        .and_then(|tag| tag.to_str().ok());
    let mut res = if known == Some(tag.as_str()) {
        respond(304, "application/json", "")
    } else {
        respond(200, "application/json", body)
    };
    if let Ok(tag) = tag.parse() {
        res.headers_mut()
            .insert(actix_http::header::HeaderName::from_static("etag"), tag);
    }
    res
}

fn put_instance(platform: &Platform, body: &[u8]) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(instance) => {
            platform.list.put(platform.clock.now(), instance);
            respond(200, "text/plain", "listed\n")
        }
        Err(err) => respond(400, "text/plain", format!("{err}\n")),
    }
}

async fn weights(version: &str, query: &str) -> Response<BoxBody> {
    let bytes: u64 = query_param(query, "bytes")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let ms = (bytes * 1000 / WEIGHT_BYTES_PER_SEC).min(30_000);
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
    respond_json(200, &json!({"version": version, "bytes": bytes}))
}

fn set_faults(platform: &Platform, body: &[u8]) -> Response<BoxBody> {
    let new: Faults = match serde_json::from_slice(body) {
        Ok(faults) => faults,
        Err(err) => return respond(400, "text/plain", format!("{err}\n")),
    };
    let mut faults = platform.faults.borrow_mut();
    if let Some(keep) = new.expire_to {
        platform.log.expire_to(keep);
    }
    faults.log_down = new.log_down.or(faults.log_down);
    faults.log_slow_ms = new.log_slow_ms.or(faults.log_slow_ms);
    faults.lose_answers = new.lose_answers.or(faults.lose_answers);
    faults.list_lag_ms = new.list_lag_ms.or(faults.list_lag_ms);
    faults.list_down = new.list_down.or(faults.list_down);
    respond(200, "text/plain", "set\n")
}

/// A change of an instance and its time, for a delayed instance list.
type TimedChange = (Time, Value);
