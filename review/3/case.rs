//! The store goes down while the append that accepts a job is on its way.

use harness::{call, has_trouble, job_body, route, sleep_ms, stamped, Action, AppendFault, Fleet, Req};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Time for which the store is down, in milliseconds.
const DOWN_MS: u64 = 4_500;
/// Attempts of the caller: the first and one retry.
const ATTEMPTS: usize = 2;
/// Time that the caller allows for the job's acceptance, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

fn main() {
    let work = Arc::new(|req: &Req, replica: &str| {
        let events = (0..5).map(|at| format!("id: {at}\ndata: piece {at}\n\n")).collect();
        let mut headers = stamped(req, replica);
        headers.push(("Content-Type".to_owned(), "text/event-stream".to_owned()));
        Action::Stream(headers, events, Duration::from_millis(20))
    });
    let routes = route("jobs", "batch", 15_000, 3);
    let fleet = Fleet::start(3, 3, 8, &routes, work);
    sleep_ms(2_000);
    let is_armed = Arc::new(AtomicBool::new(false));
    {
        let (is_armed, record, store) = (Arc::clone(&is_armed), Arc::clone(&fleet.record), Arc::clone(&fleet.store));
        let entry = fleet.gateways[0].store;
        fleet.store.on_append(move |topic, at| {
            if topic != "cicadagate.jobs" || at != entry || !is_armed.swap(false, Ordering::SeqCst) {
                return AppendFault::None;
            }
            record.note("the store has carried out the append to the job index of front-0, and goes down");
            store.set_down(true);
            let (record, store) = (Arc::clone(&record), Arc::clone(&store));
            thread::spawn(move || {
                sleep_ms(DOWN_MS);
                store.set_down(false);
                record.note("the store is up again");
            });
            AppendFault::Closed
        });
    }
    is_armed.store(has_trouble(), Ordering::SeqCst);
    let job = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..10).map(|at| format!("e5b2907c14da{at:04x}")).collect();
    let body = job_body(&items, "/jobs/3/91c4");
    let mut statuses = Vec::new();
    let started = std::time::Instant::now();
    for attempt in 0..ATTEMPTS {
        let left = Duration::from_millis(DEADLINE_MS).saturating_sub(started.elapsed());
        let deadline = left.as_millis().to_string();
        let headers = [
            ("Host", "a.example"),
            ("Authorization", "Bearer key-1"),
            ("X-Cicadagate-Attempt-Id", job),
            ("X-Cicadagate-Deadline-Ms", deadline.as_str()),
            ("Content-Type", "application/json"),
        ];
        let gateway = &fleet.gateways[attempt];
        fleet.record.note(&format!("attempt {attempt} of job {job} sent to {}", gateway.name));
        let reply = call(gateway.front, "POST", "/jobs/7c41e0", &headers, body.as_bytes(), left);
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        fleet.record.note(&format!("attempt {attempt} answered: {} {text}", reply.status));
        statuses.push(reply.status);
        if reply.status == 202 {
            break;
        }
        let delay = reply.headers.get("retry-after").and_then(|delay| delay.parse::<f64>().ok());
        thread::sleep(Duration::from_secs_f64(delay.unwrap_or(0.1)));
    }
    sleep_ms(DOWN_MS + 6_000);
    let runs: usize = items.iter().map(|id| fleet.runs_of(id).len()).sum();
    let promised = statuses.iter().all(|status| [408, 421, 429, 503].contains(status));
    let broken = if promised { runs } else { 0 };
    if broken > 0 {
        fleet.record.note(&format!("REFUSED broken: attempts answered {statuses:?}, items have run {runs} time(s)"));
    }
    if !has_trouble() && statuses != [202] {
        harness::give_up("the job was not accepted without a disruption");
    }
    let verdict = format!("attempts answered {statuses:?}; {runs} runs of {} items; rule broken {broken} time(s)", items.len());
    fleet.finish(broken, &verdict);
}
