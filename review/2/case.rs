//! Requests that a gateway which is cut off from all replicas sends through another one,
//! which is killed while replicas work on them.

use harness::{call, has_trouble, route, sleep_ms, stamped, wait_until, Action, Fleet, Req};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Requests to the gateway that is cut off.
const REQUESTS: usize = 24;
/// Time that a replica works on a request, in milliseconds.
const WORK_MS: u64 = 300;

fn main() {
    let work = Arc::new(|req: &Req, replica: &str| {
        sleep_ms(WORK_MS);
        Action::Respond(200, stamped(req, replica), b"placed".to_vec())
    });
    let routes = route("order", "non_idempotent", 5_000, 2);
    let fleet = Fleet::start(3, 4, 8, &routes, work);
    sleep_ms(2_500);
    if has_trouble() {
        for replica in &fleet.replicas {
            replica[0].silence();
        }
        sleep_ms(150);
        fleet.record.note("front-0 is cut off from all replicas; its connections hang");
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (record, outcomes) = (Arc::clone(&fleet.record), Arc::clone(&outcomes));
        let front = fleet.gateways[0].front;
        callers.push(thread::spawn(move || {
            sleep_ms(10 * number as u64);
            let id = format!("c0ffee{number:010x}");
            record.note(&format!("sent {id}"));
            let headers = [
                ("Host", "a.example"),
                ("Authorization", "Bearer key-1"),
                ("X-Cicadagate-Attempt-Id", id.as_str()),
                ("X-Cicadagate-Deadline-Ms", "5000"),
            ];
            let reply = call(front, "POST", "/order/1", &headers, b"one", Duration::from_secs(6));
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            record.note(&format!("answered {id}: {} {body}", reply.status));
            outcomes.lock().unwrap().push((id, reply.status));
        }));
    }
    if has_trouble() {
        let helper = &fleet.gateways[1];
        let through_helper = || {
            let runs = fleet.runs.lock().unwrap();
            let at = fleet.replicas.iter().map(|replica| replica[1].addr).collect::<Vec<_>>();
            runs.iter().any(|run| at.contains(&run.at))
        };
        wait_until("no request was sent through front-1", 4.0, through_helper);
        sleep_ms(60);
        fleet.signal(helper, 9);
    }
    for caller in callers {
        let _ = caller.join();
    }
    sleep_ms(500);
    let outcomes = outcomes.lock().unwrap().clone();
    let mut broken = 0;
    for (id, status) in &outcomes {
        let runs = fleet.runs_of(id).len();
        if runs > 0 && [408, 421, 429, 503].contains(status) {
            broken += 1;
            fleet.record.note(&format!("REFUSED broken: {id} was answered {status} and has run {runs} time(s)"));
        }
        if runs > 1 {
            broken += 1;
            fleet.record.note(&format!("TWICE broken: {id} has run {runs} times"));
        }
    }
    let ok = outcomes.iter().filter(|(_, status)| *status == 200).count();
    let verdict = format!("{ok} of {REQUESTS} requests got 200; rule broken {broken} time(s)");
    fleet.finish(broken, &verdict);
}
