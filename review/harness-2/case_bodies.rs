//! Large batch jobs come at once while the store is slow, at a process that serves other callers.

use super::{
    Case,
    case_full::send,
    case_memory::{CALLERS, CONFIG, MEMORY_MB, call},
    fleet::Fleet,
    http::base64,
    replica::Replica,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const JOBS: usize = 13;
/// Items of a job, and bytes of the body of each: with base64, just below `maxBodyBytes`.
const ITEMS: usize = 20;
const ITEM_BYTES: usize = 150_000;
/// How many times as long the store's answers take: the sheet's largest dose.
const SLOWNESS: u32 = 60;

pub fn run(case: &Case) -> Result<Option<String>, String> {
    let record = &case.record;
    let mut fleet = Fleet::new()?;
    fleet.memory_mb = MEMORY_MB;
    fleet.store.put("keyed.op", "config", CONFIG);
    for index in 0..4 {
        let mut replica = Replica::new(&format!("i-{index}"), "llm", fleet.addr(200 + index), &fleet.store, record);
        replica.events = 20;
        Arc::new(replica).start("v1")?;
    }
    let mut map = Replica::new("i-map", "map", fleet.addr(210), &fleet.store, record);
    (map.events, map.event_time, map.slots) = (2, Duration::from_millis(10), 32);
    map.first_delay = Duration::from_millis(800);
    Arc::new(map).start("v1")?;
    fleet.start(2, record)?;
    let front = fleet.processes[0].front;
    let text = base64(&vec![b'p'; ITEM_BYTES]);
    let (stop, served, lost) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let accepted = AtomicUsize::new(0);
    let mut peak = 0;
    let mut is_killed = false;
    thread::scope(|scope| {
        let (stop, served, lost, accepted, text) = (&stop, &served, &lost, &accepted, &text);
        for number in 0..CALLERS {
            scope.spawn(move || {
                if call(case, front, number, stop, served) == Some(true) {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        if case.has_trouble {
            fleet.store.slowness.store(SLOWNESS, Ordering::SeqCst);
            record.add(format!("the store's answers take {SLOWNESS} times as long"));
        }
        for number in 0..JOBS {
            scope.spawn(move || {
                let job = format!("7c41e09b52d6{number:04}");
                let items = (0..ITEMS).map(|item| {
                    format!(
                        "{{\"id\":\"e5b29{number:04}{item:04}\",\"path\":\"/digest/{item}\",\"headers\":{{}},\"body\":\"{text}\",\"tokens\":900}}"
                    )
                });
                let body = format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","));
                let headers = format!("X-Cicadagate-Attempt-Id: {job}\r\nContent-Type: application/json\r\n");
                let answer = send(record, front, "POST", "/digest/7c41e0", &headers, &body);
                record.add(format!("job {job} of {} bytes: {:?}", body.len(), answer.as_ref().map(|(status, _)| status)));
                if answer.is_some_and(|(status, _)| status == 202) {
                    accepted.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let until = Instant::now() + Duration::from_millis(4_500);
        while Instant::now() < until {
            let memory_mb = fleet.processes[0].memory_mb();
            if memory_mb > peak {
                peak = memory_mb;
                record.add(format!("the process takes {peak} MiB"));
            }
            // As the platform does.
            if memory_mb > MEMORY_MB && !is_killed {
                is_killed = true;
                record.add(format!("the process exceeds memoryMb, {MEMORY_MB}, and is killed"));
                fleet.processes[0].kill();
            }
            thread::sleep(Duration::from_millis(5));
        }
        fleet.store.slowness.store(1, Ordering::SeqCst);
        stop.store(true, Ordering::SeqCst);
    });
    let (served, lost, accepted) = (served.into_inner(), lost.into_inner(), accepted.into_inner());
    record.add(format!(
        "peak of {peak} MiB; {accepted} of {JOBS} jobs accepted; {served} requests served, {lost} passed on and cut without an answer"
    ));
    if served < CALLERS {
        return Err("the callers were not served before".to_owned());
    }
    Ok((lost > 3).then(|| format!("LOST: {lost} requests on kept connections got no answer")))
}
