/*!
An emulated model engine with continuous batching.

Each step generates one token for every running stream. A step takes a base
time, plus a fixed time per stream, plus the time to process the prompt tokens
of new streams that are not in the prefix cache. Requests above the stream
limit wait in order of arrival: the engine has no priorities.

Tokens depend only on the prompt and the position, so that a resumed stream
can be checked byte by byte. A prompt that contains `poison` is rejected with
status 422, as an item that can never succeed.

In addition to the inference protocol there is a control interface: delayed
load reports, cache events with gaps, load orders with or without a check of
the fencing token, statistics, and injected faults.
*/

use {
    crate::{serve_announced, service::has_api_key},
    actix_http::{
        HttpMessage as _, Request, Response,
        body::{BodyStream, BoxBody},
    },
    bytes::Bytes,
    cicadagate_node::{
        clock::Clock,
        connection::http::{read_body, respond, respond_json},
    },
    cicadagate_policy::ids::hash64,
    futures_util::stream::poll_fn,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        convert::Infallible,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
};

/// Behaviour of an engine without injected faults.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of running streams.
    pub max_streams: usize,
    /// Step time without streams, in microseconds.
    pub step_us: u64,
    /// Step time that each stream adds, in microseconds.
    pub stream_us: u64,
    /// Time to process an uncached prompt token, in microseconds.
    pub prompt_token_us: u64,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Whether load orders with an old fencing token are rejected.
    pub checks_fencing: bool,
    /// Delay of load reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_streams: 16,
            step_us: 10_000,
            stream_us: 100,
            prompt_token_us: 20,
            cache_blocks: 512,
            checks_fencing: false,
            load_lag_ms: 500,
        }
    }
}

/// Injected faults.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Breaks the connection of each stream after this number of tokens.
    break_after: Option<u64>,
    /// Rejects all requests with status 503, as a draining endpoint does.
    leaving: bool,
    /// Says in the responses to requests that the engine is leaving, and serves them.
    says_leaving: bool,
    /// Factor by which steps take longer.
    slow_factor: Option<u64>,
}

/// Length of a prompt token, in bytes.
const CHARS_PER_TOKEN: usize = 4;
/// Length of a cache block, in bytes.
const BLOCK_CHARS: usize = 64;
/// Number of tokens generated for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Maximum number of tokens generated for a request.
const MAX_TOKENS: u64 = 4_096;
/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// One of this many cache events is not reported, to emulate lost events.
const LOST_EVENT_INTERVAL: u64 = 7;
/// Number of load samples kept for delayed load reports.
const MAX_LOAD_SAMPLES: usize = 256;

struct Stream {
    prompt_hash: u64,
    prompt_tokens: u64,
    uncached_tokens: u64,
    next_token: u64,
    end_token: u64,
    is_chat: bool,
    is_batch: bool,
    tx: mpsc::UnboundedSender<Result<Bytes, io::Error>>,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    tokens: u64,
    batch_tokens: u64,
    resumed: u64,
    cancelled: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    leaked_keys: u64,
    busy_us: u64,
    stream_us: u64,
}

struct Engine {
    cfg: Config,
    clock: Clock,
    faults: Cell<Faults>,
    running: RefCell<Vec<Stream>>,
    waiting: RefCell<VecDeque<Stream>>,
    arrived: Notify,
    /// Hashes of the cached blocks, least recently used first.
    cache: RefCell<VecDeque<u64>>,
    events: RefCell<Vec<Value>>,
    load_samples: RefCell<VecDeque<(cicadagate_policy::time::Time, usize, usize)>>,
    totals: Cell<Totals>,
    runs_by_request: RefCell<BTreeMap<String, u64>>,
    version: RefCell<String>,
    fencing_token: Cell<u64>,
}

/// Serves the engine until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(addr: SocketAddr, cfg: Config) -> io::Result<()> {
    let engine = Rc::new(Engine {
        cfg,
        clock: Clock::start(),
        faults: Cell::default(),
        running: RefCell::default(),
        waiting: RefCell::default(),
        arrived: Notify::new(),
        cache: RefCell::default(),
        events: RefCell::default(),
        load_samples: RefCell::default(),
        totals: Cell::default(),
        runs_by_request: RefCell::default(),
        version: RefCell::default(),
        fencing_token: Cell::new(0),
    });
    actix_rt::spawn(step_loop(Rc::clone(&engine)));
    let handler = move |req| {
        let engine = Rc::clone(&engine);
        async move { Ok::<_, Infallible>(handle_request(&engine, req).await) }
    };
    serve_announced(addr, "engine", handler).await
}

async fn step_loop(engine: Rc<Engine>) {
    let mut due = actix_rt::time::Instant::now();
    loop {
        engine.admit();
        if engine.running.borrow().is_empty() {
            engine.arrived.notified().await;
            due = actix_rt::time::Instant::now();
            continue;
        }
        let step_us = engine.step_us();
        due = (due + Duration::from_micros(step_us)).max(actix_rt::time::Instant::now());
        actix_rt::time::sleep_until(due).await;
        engine.step(step_us);
    }
}

impl Engine {
    /// Starts waiting streams in order of arrival and records a load sample.
    fn admit(&self) {
        let (mut running, mut waiting) = (self.running.borrow_mut(), self.waiting.borrow_mut());
        while running.len() < self.cfg.max_streams {
            let Some(stream) = waiting.pop_front() else {
                break;
            };
            running.push(stream);
        }
        let mut loads = self.load_samples.borrow_mut();
        if loads.len() == MAX_LOAD_SAMPLES {
            loads.pop_front();
        }
        loads.push_back((self.clock.now(), running.len(), waiting.len()));
    }

    fn step_us(&self) -> u64 {
        let running = self.running.borrow();
        let prompts: u64 = running.iter().map(|stream| stream.uncached_tokens).sum();
        let us = self.cfg.step_us
            + self.cfg.stream_us * running.len() as u64
            + self.cfg.prompt_token_us * prompts;
        us * self.faults.get().slow_factor.unwrap_or(1).max(1)
    }

    /// Generates one token for each running stream.
    fn step(&self, step_us: u64) {
        let faults = self.faults.get();
        let mut totals = self.totals.get();
        totals.busy_us += step_us;
        self.running.borrow_mut().retain_mut(|stream| {
            stream.uncached_tokens = 0;
            if stream.tx.is_closed() {
                totals.cancelled += 1;
                return false;
            }
            if faults
                .break_after
                .is_some_and(|after| stream.next_token >= after)
            {
                // The receiver may already be dropped.
                let _ = stream
                    .tx
                    .send(Err(io::Error::other("stream broken by an injected fault")));
                return false;
            }
            if stream.next_token >= stream.end_token {
                let _ = stream.tx.send(Ok(last_event(stream)));
                return false;
            }
            totals.tokens += 1;
            totals.stream_us += step_us;
            totals.batch_tokens += u64::from(stream.is_batch);
            let _ = stream.tx.send(Ok(token_event(stream)));
            stream.next_token += 1;
            if stream.next_token < stream.end_token {
                return true;
            }
            let _ = stream.tx.send(Ok(last_event(stream)));
            false
        });
        self.totals.set(totals);
    }

    /// Returns the number of prompt tokens that are cached, and caches all
    /// complete blocks of the prompt.
    ///
    /// Only the blocks before the first missing one count as cached: a block's
    /// hash covers all blocks before it.
    fn use_cache(&self, prompt: &str) -> u64 {
        let mut cache = self.cache.borrow_mut();
        let (mut chain, mut cached, mut missed) = (0, 0, false);
        for block in prompt.as_bytes().chunks_exact(BLOCK_CHARS) {
            chain = hash64(&[&u64::to_le_bytes(chain), block]);
            let at = cache.iter().position(|cached| *cached == chain);
            missed |= at.is_none();
            if let Some(at) = at {
                cache.remove(at);
            } else {
                self.record_cache_event("stored", chain);
            }
            cached += if missed {
                0
            } else {
                (BLOCK_CHARS / CHARS_PER_TOKEN) as u64
            };
            cache.push_back(chain);
            if cache.len() > self.cfg.cache_blocks
                && let Some(evicted) = cache.pop_front()
            {
                self.record_cache_event("evicted", evicted);
            }
        }
        cached
    }

    fn record_cache_event(&self, kind: &str, block: u64) {
        let mut events = self.events.borrow_mut();
        let seq = events.len() as u64;
        events.push(json!({"seq": seq, "kind": kind, "block": format!("{block:016x}")}));
    }

    fn load(&self) -> Value {
        let now = self.clock.now();
        let loads = self.load_samples.borrow();
        let is_visible = |sample: &&(cicadagate_policy::time::Time, usize, usize)| {
            now.since(sample.0) >= self.cfg.load_lag_ms
        };
        let (_, running, waiting) = loads
            .iter()
            .rev()
            .find(is_visible)
            .copied()
            .unwrap_or_default();
        json!({"running": running, "waiting": waiting, "version": *self.version.borrow()})
    }

    fn stats(&self) -> Value {
        let totals = self.totals.get();
        let repeated = self
            .runs_by_request
            .borrow()
            .values()
            .filter(|runs| **runs > 1)
            .count();
        json!({
            "tokens": totals.tokens,
            "batch_tokens": totals.batch_tokens,
            "resumed": totals.resumed,
            "cancelled": totals.cancelled,
            "prompt_tokens": totals.prompt_tokens,
            "cached_tokens": totals.cached_tokens,
            "leaked_keys": totals.leaked_keys,
            "busy_us": totals.busy_us,
            "stream_us": totals.stream_us,
            "requests": self.runs_by_request.borrow().len(),
            "run_more_than_once": repeated,
            "running": self.running.borrow().len(),
            "version": *self.version.borrow(),
            "fence": self.fencing_token.get(),
        })
    }
}

/// Returns the text of token `index` of the response to a prompt.
#[must_use]
pub fn token_text(prompt: u64, index: u64) -> String {
    let word = hash64(&[&prompt.to_le_bytes(), &index.to_le_bytes()]) % 10_000;
    format!("w{word} ")
}

/// Returns the hash of a prompt, which determines the response.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    hash64(&[prompt.as_bytes()])
}

fn choice(stream: &Stream, text: &str, finish: Option<&str>) -> Value {
    if stream.is_chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    }
}

fn token_event(stream: &Stream) -> Bytes {
    let choice = choice(
        stream,
        &token_text(stream.prompt_hash, stream.next_token),
        None,
    );
    Bytes::from(format!(
        "data: {}\n\n",
        json!({"choices": [choice], "token": stream.next_token})
    ))
}

fn last_event(stream: &Stream) -> Bytes {
    let choice = choice(stream, "", Some("length"));
    let usage = json!({
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.end_token,
        "total_tokens": stream.prompt_tokens + stream.end_token,
    });
    let last = json!({"choices": [choice], "usage": usage});
    Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
}

async fn handle_request(engine: &Rc<Engine>, mut req: Request) -> Response<BoxBody> {
    let Ok(body) = read_body(&mut req, MAX_BODY_BYTES).await else {
        return respond(413, "text/plain", "too long\n");
    };
    match req.path() {
        "/v1/chat/completions" => handle_completion(engine, &req, &body, true),
        "/v1/completions" => handle_completion(engine, &req, &body, false),
        "/control/load" => respond_json(200, &engine.load()),
        "/control/stats" => respond_json(200, &engine.stats()),
        "/control/cache_events" => {
            let events = engine.events.borrow();
            let kept = |event: &&Value| {
                event["seq"]
                    .as_u64()
                    .is_some_and(|seq| seq % LOST_EVENT_INTERVAL != 0)
            };
            let events: Vec<&Value> = events.iter().filter(kept).collect();
            respond_json(200, &json!({"events": events}))
        }
        "/control/orders" => handle_load_order(engine, &body),
        "/control/faults" => match serde_json::from_slice(&body) {
            Ok(faults) => {
                engine.faults.set(faults);
                respond(200, "text/plain", "set\n")
            }
            Err(err) => respond(400, "text/plain", format!("{err}\n")),
        },
        _ => respond(404, "text/plain", "no such page\n"),
    }
}

#[derive(Deserialize)]
struct LoadOrder {
    version: String,
    fence: u64,
}

fn handle_load_order(engine: &Engine, body: &[u8]) -> Response<BoxBody> {
    let Ok(order) = serde_json::from_slice::<LoadOrder>(body) else {
        return respond(400, "text/plain", "no order\n");
    };
    if engine.cfg.checks_fencing && order.fence < engine.fencing_token.get() {
        return respond(409, "text/plain", "old fencing number\n");
    }
    engine.fencing_token.set(order.fence);
    *engine.version.borrow_mut() = order.version;
    respond_json(200, &json!({"version": *engine.version.borrow()}))
}

/// Returns the prompt of a request; chat messages are joined by newlines.
#[must_use]
pub fn prompt_text(body: &Value, is_chat: bool) -> String {
    if !is_chat {
        return body["prompt"].as_str().unwrap_or_default().to_owned();
    }
    let messages = body["messages"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let texts: Vec<&str> = messages
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect();
    texts.join("\n")
}

fn handle_completion(
    engine: &Rc<Engine>,
    req: &Request,
    body: &[u8],
    is_chat: bool,
) -> Response<BoxBody> {
    if engine.faults.get().leaving {
        return respond(503, "text/plain", "leaving\n");
    }
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return respond(400, "text/plain", "not JSON\n");
    };
    let prompt = prompt_text(&body, is_chat);
    if prompt.contains("poison") {
        return respond_json(
            422,
            &json!({"error": {"message": "this prompt can't be answered"}}),
        );
    }
    let header = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if let Some(id) = header("x-request-id") {
        *engine
            .runs_by_request
            .borrow_mut()
            .entry(id.to_owned())
            .or_insert(0) += 1;
    }
    let resume_from = body["resume_from"].as_u64().unwrap_or(0);
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    let cached = engine.use_cache(&prompt);
    let prompt_tokens = prompt.len().div_ceil(CHARS_PER_TOKEN) as u64;
    let mut totals = engine.totals.get();
    totals.leaked_keys += u64::from(has_api_key(req));
    totals.resumed += u64::from(resume_from > 0);
    totals.prompt_tokens += prompt_tokens;
    totals.cached_tokens += cached.min(prompt_tokens);
    engine.totals.set(totals);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let stream = Stream {
        prompt_hash: prompt_hash(&prompt),
        prompt_tokens,
        uncached_tokens: prompt_tokens.saturating_sub(cached),
        next_token: resume_from,
        end_token: max_tokens.clamp(1, MAX_TOKENS),
        is_chat,
        is_batch: header("x-class") == Some("batch"),
        tx,
    };
    engine.waiting.borrow_mut().push_back(stream);
    engine.arrived.notify_one();
    let events = poll_fn(move |cx| rx.poll_recv(cx));
    let mut res = Response::build(actix_http::StatusCode::OK);
    res.insert_header(("content-type", "text/event-stream"));
    if engine.faults.get().says_leaving {
        res.insert_header(("x-leaving", "1"));
    }
    res.body(BodyStream::new(events)).map_into_boxed_body()
}
