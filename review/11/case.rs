//! A batch route is split over two services. The only replica of the service that stands first in
//! the split is lost for good, and the six replicas of the other service are free.
#[path = "../harness-3/mod.rs"]
mod harness;

use {
    harness::*,
    std::{net::SocketAddr, process::exit, sync::atomic::Ordering, thread::sleep, time::Instant},
};

const JOBS: usize = 4;
const ITEMS: usize = 10;
const EVENTS: u64 = 40;
/// `finishS` of the settings.
const FINISH_S: u64 = 18;

fn main() {
    let log = Log::create("review/11/record.txt");
    let trouble = has_trouble();
    log.say(format!("TROUBLE={}", u8::from(trouble)));
    let mut fleet = Fleet::create(3, 300);
    let more = ",\"dueMs\":18000,\"retentionS\":60";
    let split = "\"split\":[{\"service\":\"llm-old\",\"weight\":10},{\"service\":\"llm-new\",\"weight\":90}]";
    fleet.configure(
        &route("digest", "batch", split, more),
        &["llm-old", "llm-new"],
    );
    let mut replicas = Vec::new();
    for index in 0..7_u8 {
        let service = if index == 0 { "llm-old" } else { "llm-new" };
        let addr = SocketAddr::new(loopback(200 + index).into(), 8080);
        let id = format!("i-7f3a91c{index}");
        replicas.push(Replica::start(
            &fleet.store,
            &fleet.runs,
            &id,
            service,
            addr,
            8,
            EVENTS,
            ms(20),
        ));
    }
    fleet.start();
    fleet.wait_until_ready();
    log.say("3 machines are ready; llm-old has 1 replica of 8 slots, llm-new has 6");
    sleep(ms(4_000));
    if trouble {
        replicas[0].crash();
        log.say("the replica of llm-old is lost for good (1 of 7 replicas)");
    }
    sleep(ms(6_000));
    let bearer = format!("Bearer {KEY}");
    let mut accepted = Vec::new();
    for job in 0..JOBS {
        let id = format!("7c41e09b52d6a3f{job}");
        let items: Vec<(String, usize)> = (0..ITEMS)
            .map(|item| (format!("e5b2907c14da{job}{item:03}"), 1_500))
            .collect();
        let body = job_body("/digest/", &items);
        let node = &fleet.nodes[job % 3];
        let target = format!("/digest/{id}");
        let sent = Instant::now();
        let res = call(
            node.front(),
            "POST",
            &target,
            &job_headers(&bearer, &id),
            body.as_bytes(),
            ms(4_000),
        );
        let status = res.as_ref().map_or(0, Message::status);
        log.say(format!(
            "job {id} of {ITEMS} items sent to {}: {status} after {} ms",
            node.ip,
            sent.elapsed().as_millis()
        ));
        if status == 202 {
            accepted.push(id);
        }
        sleep(ms(500));
    }
    if accepted.is_empty() {
        log.say("no job was accepted");
        drop(fleet);
        exit(2);
    }
    log.say("the traffic ends here");
    let traffic_end = Instant::now();
    let (mut listed_before, mut last_change, mut last_busy) = (0, Instant::now(), Instant::now());
    let mut listed = Vec::new();
    while traffic_end.elapsed() < ms(FINISH_S * 1_000) {
        listed = accepted
            .iter()
            .enumerate()
            .filter_map(|(at, job)| read_results(fleet.nodes[at % 3].front(), job))
            .map(|(_, results)| results)
            .collect();
        let count: usize = listed.iter().map(Vec::len).sum();
        if count != listed_before {
            log.say(format!("{count} items are listed"));
            (listed_before, last_change) = (count, Instant::now());
        }
        let alive = replicas
            .iter()
            .filter(|replica| !replica.dead.load(Ordering::SeqCst));
        if alive.map(|replica| replica.busy()).sum::<u64>() > 0 {
            last_busy = Instant::now();
        }
        if count == accepted.len() * ITEMS {
            break;
        }
        sleep(ms(300));
    }
    let runs = fleet.runs.lock().unwrap().clone();
    for run in &runs {
        log.say(format!(
            "ran: item {} at {} ({}), {} events",
            run.id, run.replica, run.service, run.events
        ));
    }
    let mut wrong = 0;
    for result in listed.iter().flatten() {
        let (id, state, output) = result;
        if state != "done" || *output != whole_output(id, EVENTS) {
            log.say(format!(
                "item {id} is listed as {state} with {} bytes",
                output.len()
            ));
            wrong += 1;
        }
    }
    let total = accepted.len() * ITEMS;
    let count: usize = listed.iter().map(Vec::len).sum();
    log.say(format!(
        "{} of {total} items are listed {:.1} s after the end of the traffic; the replicas that live had none for {:.1} s, \
         and none was finished for {:.1} s",
        count,
        traffic_end.elapsed().as_secs_f64(),
        last_busy.elapsed().as_secs_f64(),
        last_change.elapsed().as_secs_f64()
    ));
    drop(fleet);
    if listed.len() != accepted.len() {
        log.say("not all jobs can be read");
        exit(2);
    }
    // Of the items a tenth may be meant for the service that has no replica left. They are not
    // counted: the rule is broken if more than half of all items have no result.
    let idle = last_busy.elapsed() >= ms(5_000) && last_change.elapsed() >= ms(3_000);
    if wrong > 0 || ((total - count) * 2 > total && idle) {
        log.say("LOST is broken");
        exit(1);
    }
    log.say("LOST holds");
    exit(0);
}
