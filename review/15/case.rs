//! All replicas of a service crash while the first requests with a new part of a prompt run there,
//! and are back after some seconds. From then on every machine refuses every request with that part.
#[path = "../harness-3/mod.rs"]
mod harness;

use {
    harness::*,
    std::{
        net::SocketAddr,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// Replicas of the service and their slots, as many as `permit-llm` has.
const REPLICAS: u8 = 9;
const SLOTS: usize = 8;
/// A stream has 20 events and takes 2 s.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The usual tenant: a request each 400 ms all the time.
const USUAL_INTERVAL_MS: u64 = 400;
/// The tenant with the new part: a group of requests each 10 s.
const GROUP: usize = 12;
const GROUPS: u64 = 7;
const GROUP_INTERVAL_MS: u64 = 10_000;
/// Time from the first group to the crash, and from the crash to the return.
const CRASH_AFTER_MS: u64 = 1_000;
const DOWN_MS: u64 = 4_500;
const OTHER_KEY: &str = "7cd1x0ffq3kkd2b9wue4";

/// What came of the requests of a tenant.
#[derive(Default)]
struct Tenant {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    broken: AtomicUsize,
    /// `Retry-After` of the last refusal.
    retry_after: Mutex<String>,
}

impl Tenant {
    fn say(&self, log: &Log, what: &str) {
        let get = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        log.say(format!(
            "{what}: {} sent, {} served, {} refused with 503 (Retry-After: {}), {} broken off or failed",
            get(&self.sent),
            get(&self.served),
            get(&self.refused),
            self.retry_after.lock().unwrap(),
            get(&self.broken)
        ));
    }

    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::SeqCst).max(1);
        self.served.load(Ordering::SeqCst) as f64 / sent as f64
    }
}

/// Sends a request with a part of a prompt that others share. Streams that can't be resumed are
/// not sent again after a failure, as on the pages.
fn send(tenant: Arc<Tenant>, front: SocketAddr, key: &'static str, part: &str, number: usize) {
    let part = part.to_owned();
    tenant.sent.fetch_add(1, Ordering::SeqCst);
    thread::spawn(move || {
        let id = format!("9c41{}{number:08}", &key[..2]);
        let bearer = format!("Bearer {key}");
        let prefix = format!("{part}:800,{id}:250");
        let mut headers = job_headers(&bearer, &id);
        headers.push(("X-Cicadagate-Deadline-Ms", "6000"));
        headers.push(("X-Cicadagate-Prompt-Prefix", &prefix));
        let target = format!("/query/{id}");
        let body = id.as_bytes();
        match call(front, "POST", &target, &headers, body, ms(6_500)) {
            Ok(res) if res.status() == 200 && res.complete => {
                tenant.served.fetch_add(1, Ordering::SeqCst);
            }
            Ok(res) if res.status() == 503 => {
                tenant.refused.fetch_add(1, Ordering::SeqCst);
                let retry_after = res.header("retry-after").unwrap_or("none").to_owned();
                *tenant.retry_after.lock().unwrap() = retry_after;
            }
            _ => {
                tenant.broken.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
}

fn start_replicas(fleet: &Fleet, start: u8) -> Vec<Arc<Replica>> {
    let replicas = (0..REPLICAS).map(|index| {
        let addr = SocketAddr::new(loopback(150 + start * 10 + index).into(), 8080);
        let id = format!("i-7f3a9{start}{index:02}");
        Replica::start(
            &fleet.store,
            &fleet.runs,
            &id,
            "llm",
            addr,
            SLOTS,
            EVENTS,
            EVENT_INTERVAL,
        )
    });
    replicas.collect()
}

fn configure(fleet: &Fleet) {
    let query = route("query", "streaming", "\"service\":\"llm\"", "")
        .replace("\"resumable\":true", "\"resumable\":false");
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"ratePerS\":400,\"burst\":400}}"
        )
    };
    let text = format!(
        "{{\"version\":7,\"routes\":[{query}],\
         \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{},{}]}}",
        tenant("huka270", KEY),
        tenant("omri114", OTHER_KEY)
    );
    fleet.store.put_keyed("keyed.op", "config", text.as_bytes());
}

fn main() {
    let log = Log::create("review/15/record.txt");
    let trouble = has_trouble();
    log.say(format!("TROUBLE={}", u8::from(trouble)));
    let mut fleet = Fleet::create(3, 300);
    configure(&fleet);
    let replicas = start_replicas(&fleet, 0);
    fleet.start();
    fleet.wait_until_ready();
    log.say(format!(
        "3 machines are ready; the service llm has {REPLICAS} replicas of {SLOTS} slots"
    ));
    let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(Node::front).collect();
    let (usual, other) = (Arc::new(Tenant::default()), Arc::new(Tenant::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let usual_calls = {
        let (usual, is_over, fronts) = (Arc::clone(&usual), Arc::clone(&is_over), fronts.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let front = fronts[number % fronts.len()];
                send(Arc::clone(&usual), front, KEY, "5c1e07a2", number);
                number += 1;
                sleep(ms(USUAL_INTERVAL_MS));
            }
        })
    };
    sleep(ms(8_000));
    usual.say(&log, "tenant huka270 so far");
    let begun = Instant::now();
    let until = |at: u64| sleep((begun + ms(at)).saturating_duration_since(Instant::now()));
    let mut number = 0;
    let mut later = Vec::new();
    for group in 0..GROUPS {
        until(group * GROUP_INTERVAL_MS);
        let before = other.served.load(Ordering::SeqCst);
        for at in 0..GROUP {
            let front = fronts[at % fronts.len()];
            send(Arc::clone(&other), front, OTHER_KEY, "91bd3f06", number);
            number += 1;
        }
        if group == 0 && trouble {
            until(CRASH_AFTER_MS);
            let runs = fleet.runs.lock().unwrap().clone();
            let running = |replica: &Replica| {
                let runs = runs
                    .iter()
                    .filter(|run| run.replica == replica.id && !run.ended);
                runs.filter(|run| run.tenant == "omri114").count()
            };
            let running: Vec<usize> = replicas.iter().map(|it| running(it)).collect();
            for replica in &replicas {
                replica.crash();
            }
            log.say(format!(
                "all replicas of llm crash; streams of tenant omri114 at each: {running:?}"
            ));
            until(CRASH_AFTER_MS + DOWN_MS);
            later = start_replicas(&fleet, 1);
            log.say("the replicas are back");
        }
        until((group + 1) * GROUP_INTERVAL_MS - 500);
        let served = other.served.load(Ordering::SeqCst) - before;
        log.say(format!(
            "group {}: {served} of {GROUP} requests of tenant omri114 served",
            group + 1
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = usual_calls.join();
    sleep(ms(3_000));
    usual.say(&log, "tenant huka270");
    other.say(&log, "tenant omri114");
    let busy: Vec<u64> = replicas.iter().chain(&later).map(|it| it.busy()).collect();
    log.say(format!("requests at the replicas at the end: {busy:?}"));
    let sum =
        |a: &AtomicUsize, b: &AtomicUsize| a.load(Ordering::SeqCst) + b.load(Ordering::SeqCst);
    let all = sum(&usual.served, &other.served) as f64 / sum(&usual.sent, &other.sent) as f64;
    let share = other.share();
    log.say(format!(
        "log lines PROMPT_QUARANTINED: {}",
        fleet.count_in_logs("PROMPT_QUARANTINED")
    ));
    log.say(format!(
        "served: tenant omri114 {share:.3}, all requests {all:.3}"
    ));
    drop(fleet);
    if usual.share() < 0.5 {
        log.say("the case could not run");
        exit(2);
    }
    if share < all / 4.0 {
        log.say("STARVED is broken");
        exit(1);
    }
    log.say("STARVED holds");
    exit(0);
}
