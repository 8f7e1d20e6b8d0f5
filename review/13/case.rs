//! All replicas of a service name a `Server-Limit` for five seconds, then none does any more. From
//! then on every machine refuses every request of the service, although its replicas are idle.
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

/// Requests a second that a replica in need takes.
const LIMIT: u64 = 1;
const TRAFFIC_MS: u64 = 88_000;
const TROUBLE_FROM_MS: u64 = 5_000;
const TROUBLE_UNTIL_MS: u64 = 10_000;
/// Requests of the last seconds, that have to show that the state is for good.
const LAST_MS: u64 = 30_000;

#[derive(Clone, Copy, Default)]
struct Count {
    sent: usize,
    served: usize,
    refused: usize,
    last_sent: usize,
    last_served: usize,
}

fn main() {
    let log = Log::create("review/13/record.txt");
    let trouble = has_trouble();
    log.say(format!("TROUBLE={}", u8::from(trouble)));
    let mut fleet = Fleet::create(3, 300);
    let query = route("query", "streaming", "\"service\":\"llm\"", "")
        .replace("\"sloMs\":400", "\"sloMs\":300");
    let tile = route("tile", "streaming", "\"service\":\"map\"", "")
        .replace("\"sloMs\":400", "\"sloMs\":300");
    fleet.configure(&[query, tile].join(","), &["llm", "map"]);
    let mut replicas = Vec::new();
    for index in 0..6_u8 {
        let service = if index < 3 { "llm" } else { "map" };
        let addr = SocketAddr::new(loopback(150 + index).into(), 8080);
        let id = format!("i-7f3a91{index:02}");
        replicas.push(Replica::start(
            &fleet.store,
            &fleet.runs,
            &id,
            service,
            addr,
            8,
            30,
            ms(10),
        ));
    }
    fleet.start();
    fleet.wait_until_ready();
    log.say("3 machines are ready; the services llm and map have 3 replicas of 8 slots each");
    sleep(ms(4_000));
    let bearer = format!("Bearer {KEY}");
    let start = Instant::now();
    let (mut counts, mut window) = ([Count::default(); 2], [Count::default(); 2]);
    let (mut number, mut slice, mut was_on) = (0, 0, false);
    loop {
        let at = start.elapsed().as_millis() as u64;
        if at / 4_000 != slice || at >= TRAFFIC_MS {
            let part = |count: &Count| {
                format!(
                    "{} of {} served, {} refused",
                    count.served, count.sent, count.refused
                )
            };
            log.say(format!(
                "{:2} s to {:2} s: query {}; tile {}",
                slice * 4,
                slice * 4 + 4,
                part(&window[0]),
                part(&window[1])
            ));
            (window, slice) = ([Count::default(); 2], at / 4_000);
        }
        if at >= TRAFFIC_MS {
            break;
        }
        let is_on = trouble && (TROUBLE_FROM_MS..TROUBLE_UNTIL_MS).contains(&at);
        if is_on != was_on {
            was_on = is_on;
            for replica in &replicas[..3] {
                replica
                    .limit
                    .store(if is_on { LIMIT } else { 0 }, Ordering::SeqCst);
            }
            let what = if is_on {
                format!("are in need: Server-Limit: {LIMIT}.0")
            } else {
                "name no limit any more".to_owned()
            };
            log.say(format!("the replicas of llm {what}"));
        }
        let calls: Vec<_> = (0..6_usize)
            .map(|n| {
                let (kind, name) = if n < 3 { (0, "query") } else { (1, "tile") };
                let (front, bearer) = (fleet.nodes[n % 3].front(), bearer.clone());
                let id = format!("9c41d07be2{:06}", number + n);
                let thread = thread::spawn(move || {
                    let prefix = format!("5c1e07a2:100,{id}:250");
                    let mut headers = job_headers(&bearer, &id);
                    headers.push(("X-Cicadagate-Deadline-Ms", "5000"));
                    headers.push(("X-Cicadagate-Prompt-Prefix", &prefix));
                    let res = call(
                        front,
                        "POST",
                        &format!("/{name}/{id}"),
                        &headers,
                        b"x",
                        ms(5_500),
                    );
                    res.map_or(0, |res| if res.complete { res.status() } else { 0 })
                });
                (kind, thread)
            })
            .collect();
        number += calls.len();
        for (kind, thread) in calls {
            let status = thread.join().unwrap_or(0);
            for count in [&mut counts[kind], &mut window[kind]] {
                count.sent += 1;
                count.served += usize::from(status == 200);
                count.refused += usize::from(status == 503);
                if at >= TRAFFIC_MS - LAST_MS {
                    count.last_sent += 1;
                    count.last_served += usize::from(status == 200);
                }
            }
        }
        sleep(ms(100));
    }
    drop(fleet);
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let query = share(counts[0].served, counts[0].sent);
    let all = share(
        counts[0].served + counts[1].served,
        counts[0].sent + counts[1].sent,
    );
    log.say(format!(
        "served over the whole time: query {query:.3}, all requests {all:.3}"
    ));
    log.say(format!(
        "in the last {} s: query {} of {}, tile {} of {}",
        LAST_MS / 1_000,
        counts[0].last_served,
        counts[0].last_sent,
        counts[1].last_served,
        counts[1].last_sent
    ));
    if all < 0.3 {
        log.say("the case could not run");
        exit(2);
    }
    if query < all / 4.0 && counts[0].last_served == 0 {
        log.say("STARVED is broken");
        exit(1);
    }
    log.say("STARVED holds");
    exit(0);
}
