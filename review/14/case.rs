//! All replicas name a `Server-Limit` for some seconds, then none does any more. The online
//! traffic ends. A batch job of one item that comes later is accepted, and its item never runs.
#[path = "../harness-3/mod.rs"]
mod harness;

use {
    harness::*,
    std::{
        net::SocketAddr,
        process::exit,
        sync::atomic::Ordering,
        thread::{self, sleep},
        time::Instant,
    },
};

/// Replicas of the service: the pages name services of up to 90.
const REPLICAS: u8 = 40;
const EVENTS: u64 = 10;
/// Requests a second that a replica in need takes.
const LIMIT: u64 = 1;
/// `finishS` of the settings.
const FINISH_S: u64 = 18;

fn main() {
    let log = Log::create("review/14/record.txt");
    let trouble = has_trouble();
    log.say(format!("TROUBLE={}", u8::from(trouble)));
    let mut fleet = Fleet::create(3, 300);
    let more = ",\"dueMs\":18000,\"retentionS\":60";
    let service = "\"service\":\"llm\"";
    let routes = [
        route("query", "streaming", service, ""),
        route("digest", "batch", service, more),
    ];
    fleet.configure(&routes.join(","), &["llm"]);
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let addr = SocketAddr::new(loopback(150 + index).into(), 8080);
        let id = format!("i-7f3a91{index:02}");
        replicas.push(Replica::start(
            &fleet.store,
            &fleet.runs,
            &id,
            "llm",
            addr,
            8,
            EVENTS,
            ms(10),
        ));
    }
    fleet.start();
    fleet.wait_until_ready();
    log.say(format!(
        "3 machines are ready, and {REPLICAS} replicas of 8 slots"
    ));
    sleep(ms(4_000));
    let limit = |per_s: u64| {
        for replica in &replicas {
            replica.limit.store(per_s, Ordering::SeqCst);
        }
    };
    if trouble {
        limit(LIMIT);
        log.say(format!("all replicas are in need: Server-Limit: {LIMIT}.0"));
    }
    let bearer = format!("Bearer {KEY}");
    let (mut sent, mut served) = (0, 0);
    let traffic = Instant::now();
    while traffic.elapsed() < ms(12_000) {
        let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(Node::front).collect();
        let calls: Vec<_> = (0..24)
            .map(|n: usize| {
                let (front, bearer, id) = (
                    fronts[n % 3],
                    bearer.clone(),
                    format!("9c41d07be2a3{:04}", sent + n),
                );
                thread::spawn(move || {
                    let mut headers = job_headers(&bearer, &id);
                    headers.push(("X-Cicadagate-Deadline-Ms", "5000"));
                    let prefix = format!("5c1e07a2:100,{id}:250");
                    headers.push(("X-Cicadagate-Prompt-Prefix", &prefix));
                    let res = call(
                        front,
                        "POST",
                        &format!("/query/{id}"),
                        &headers,
                        b"x",
                        ms(5_500),
                    );
                    res.is_ok_and(|res| res.status() == 200 && res.complete)
                })
            })
            .collect();
        sent += calls.len();
        served += calls
            .into_iter()
            .filter_map(|call| call.join().ok())
            .filter(|ok| *ok)
            .count();
        sleep(ms(60));
    }
    let reached = {
        let runs = fleet.runs.lock().unwrap();
        let names: std::collections::BTreeSet<&str> =
            runs.iter().map(|run| run.replica.as_str()).collect();
        names.len()
    };
    log.say(format!("{served} of {sent} online requests were served, at {reached} replicas; the online traffic ends"));
    if trouble {
        limit(0);
        log.say("the replicas are sound again and name no limit");
    }
    sleep(ms(8_000));
    let id = "7c41e09b52d6a3f8";
    let item = "e5b2907c14da6f38";
    let body = job_body("/digest/", &[(item.to_owned(), 1_500)]);
    let front = fleet.nodes[0].front();
    let res = call(
        front,
        "POST",
        &format!("/digest/{id}"),
        &job_headers(&bearer, id),
        body.as_bytes(),
        ms(4_000),
    );
    let status = res.as_ref().map_or(0, Message::status);
    log.say(format!("job {id} of 1 item: {status}"));
    if status != 202 {
        drop(fleet);
        exit(2);
    }
    let end = Instant::now();
    let mut last_busy = Instant::now();
    let mut listed = Vec::new();
    let mut readable = false;
    while end.elapsed() < ms(FINISH_S * 1_000) {
        if let Some((_, results)) = read_results(front, id) {
            (listed, readable) = (results, true);
        }
        if replicas.iter().map(|replica| replica.busy()).sum::<u64>() > 0 {
            last_busy = Instant::now();
        }
        if !listed.is_empty() {
            break;
        }
        sleep(ms(100));
    }
    for run in fleet
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.id == item)
    {
        log.say(format!(
            "ran: item {} at {}, {} events",
            run.id, run.replica, run.events
        ));
    }
    let is_right = listed
        .first()
        .is_some_and(|(_, state, output)| state == "done" && *output == whole_output(item, EVENTS));
    log.say(format!(
        "{:.1} s after the job was accepted the item is {}; the replicas had nothing for {:.1} s",
        end.elapsed().as_secs_f64(),
        if is_right {
            "done"
        } else if listed.is_empty() {
            "not listed"
        } else {
            "listed wrongly"
        },
        last_busy.elapsed().as_secs_f64()
    ));
    drop(fleet);
    if !readable {
        exit(2);
    }
    if is_right {
        log.say("LOST holds");
        exit(0);
    }
    if !listed.is_empty() || last_busy.elapsed() >= ms(5_000) {
        log.say("LOST is broken");
        exit(1);
    }
    exit(0);
}
