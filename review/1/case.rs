//! Items that fail at each run, while the store loses the answers to some appends.

use harness::{call, has_trouble, job_body, route, sleep_ms, stamped, Action, AppendFault, Fleet, Req};
use std::{
    collections::HashSet,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

/// Jobs that are submitted.
const JOBS: usize = 120;
/// Items of a job, one of which fails at each run.
const ITEMS: usize = 20;
/// Runs with an answer of 500 before which an item may not be given up.
const ATTEMPTS: usize = 3;
/// Length of a disruption and the pause after it, in milliseconds.
const LOSS_MS: u128 = 4_500;
const PAUSE_MS: u128 = 1_000;
/// Share of the appends whose answer is lost meanwhile, in percent.
const LOST_PERCENT: u64 = 35;

const HEADERS: [(&str, &str); 2] = [("Host", "a.example"), ("Authorization", "Bearer key-1")];

fn main() {
    let failing: Arc<Mutex<HashSet<String>>> = Arc::default();
    let known = Arc::clone(&failing);
    let work = Arc::new(move |req: &Req, replica: &str| {
        if known.lock().unwrap().contains(req.header("x-cicadagate-attempt-id")) {
            sleep_ms(20);
            return Action::Respond(500, stamped(req, replica), b"failed".to_vec());
        }
        let events = (0..5).map(|at| format!("id: {at}\ndata: piece {at}\n\n")).collect();
        let mut headers = stamped(req, replica);
        headers.push(("Content-Type".to_owned(), "text/event-stream".to_owned()));
        Action::Stream(headers, events, Duration::from_millis(15))
    });
    let routes = route("jobs", "batch", 15_000, u32::try_from(ATTEMPTS).unwrap());
    let fleet = Fleet::start(3, 4, 8, &routes, work);
    sleep_ms(2_000);
    let started = Instant::now();
    let random = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let lost = Arc::new(AtomicU64::new(0));
    if has_trouble() {
        let lost = Arc::clone(&lost);
        fleet.store.on_append(move |_, _| {
            let is_on = started.elapsed().as_millis() % (LOSS_MS + PAUSE_MS) < LOSS_MS;
            let drawn = random
                .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst)
                .wrapping_mul(0xbf58_476d_1ce4_e5b9);
            if is_on && (drawn >> 33) % 100 < LOST_PERCENT {
                lost.fetch_add(1, Ordering::SeqCst);
                return AppendFault::Lost;
            }
            AppendFault::None
        });
    }
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let job = format!("7c41e09b52{number:06x}");
        let items: Vec<String> = (0..ITEMS).map(|at| format!("e5b2907c{number:04x}{at:04x}")).collect();
        failing.lock().unwrap().insert(items[number % ITEMS].clone());
        let body = job_body(&items, "/jobs/3/91c4");
        let front = fleet.gateways[number % fleet.gateways.len()].front;
        let headers = [HEADERS[0], HEADERS[1], ("X-Cicadagate-Attempt-Id", job.as_str())];
        let reply = call(front, "POST", "/jobs/7c41e0", &headers, body.as_bytes(), Duration::from_secs(4));
        fleet.record.note(&format!("job {job} answered {}", reply.status));
        if reply.status == 202 {
            accepted.push((job, items[number % ITEMS].clone()));
        }
        sleep_ms(80);
    }
    sleep_ms(12_000);
    let (mut broken, mut abandoned) = (0, 0);
    for (job, item) in &accepted {
        let target = format!("/lots/{job}?after=0");
        let reply = call(fleet.gateways[0].front, "GET", &target, &HEADERS, b"", Duration::from_secs(4));
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let of_item = text.split("{\"id\":").find(|part| part.contains(item.as_str()));
        let is_abandoned = of_item.is_some_and(|part| part.contains("\"abandoned\""));
        let runs = fleet.runs_of(item).len();
        abandoned += usize::from(is_abandoned);
        if is_abandoned && runs < ATTEMPTS {
            broken += 1;
            let line = format!("MIXED broken: item {item} of job {job} is listed as abandoned after {runs} answers of 500");
            fleet.record.note(&line);
        }
    }
    if accepted.len() < JOBS / 2 || abandoned == 0 {
        harness::give_up("too few jobs were accepted, or no item was given up");
    }
    let lost = lost.load(Ordering::SeqCst);
    let verdict = format!(
        "{} of {JOBS} jobs accepted, {abandoned} items abandoned, {lost} answers lost; rule broken {broken} time(s)",
        accepted.len()
    );
    fleet.finish(broken, &verdict);
}
