//! Order of batch items under a flood.
//!
//! Pattern: within a few seconds jobs arrive with several times the items that
//! the slots can run by their due time. Online work takes slots back meanwhile.

use {
    cicadagate_policy::{
        ids::JobId,
        process::{
            batch_share::{MAX_PLAN_INTERVAL_MS, MIN_PLAN_INTERVAL_MS, plan_interval_ms},
            item_order::{OpenItem, RunRate, sort},
        },
        version::job_index::ItemRef,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Slots for batch work in a valley and in a peak of online load.
const SLOTS: [usize; 2] = [60, 20];
/// Time between a valley and a peak, in milliseconds.
const HALF_WAVE_MS: u64 = 3_000;
const RUN_MS: u64 = 5_000;
const TOKENS: u32 = 3_450;
const DUE_AFTER_MS: u64 = 18_000;
const STEP_MS: u64 = 100;
/// Items that arrive in each step of the flood.
const ITEMS_PER_STEP: u32 = 20;
const FLOOD_MS: u64 = 12_000;
const DAY_MS: u64 = 40_000;

struct Outcome {
    in_time: usize,
    done: usize,
    /// Runs that were interrupted.
    paused: usize,
}

fn play(order: impl Fn(&mut Vec<OpenItem>, u64)) -> Outcome {
    let mut rate = RunRate::default();
    rate.note(TOKENS, RUN_MS);
    let mut due = BTreeMap::new();
    // Time for which each item has run; its output is kept while it is paused.
    let mut ran_ms: BTreeMap<ItemRef, u64> = BTreeMap::new();
    let mut running = BTreeSet::new();
    let mut outcome = Outcome {
        in_time: 0,
        done: 0,
        paused: 0,
    };
    for now_ms in (0..DAY_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        if now_ms < FLOOD_MS {
            for index in 0..ITEMS_PER_STEP {
                let job = JobId::from_raw(now_ms);
                due.insert(ItemRef { job, index }, now_ms + DUE_AFTER_MS);
            }
        }
        let mut items: Vec<OpenItem> = due
            .iter()
            .map(|(item, due_ms)| {
                let ran = ran_ms.get(item).copied();
                OpenItem {
                    item: *item,
                    due_ms: *due_ms,
                    remaining_ms: rate.estimate_ms(TOKENS) - ran.unwrap_or_default(),
                    is_started: ran.is_some(),
                }
            })
            .collect();
        order(&mut items, now_ms);
        let half_wave = usize::try_from(now_ms / HALF_WAVE_MS % 2).expect("small");
        let chosen: BTreeSet<ItemRef> = items
            .iter()
            .take(SLOTS[half_wave])
            .map(|open| open.item)
            .collect();
        outcome.paused += running.difference(&chosen).count();
        running = chosen;
        for item in running.clone() {
            let ran = ran_ms.entry(item).or_default();
            *ran += STEP_MS;
            if *ran >= RUN_MS {
                running.remove(&item);
                outcome.done += 1;
                let due_ms = due.remove(&item).expect("open");
                outcome.in_time += usize::from(now_ms + STEP_MS <= due_ms);
            }
        }
    }
    outcome
}

#[test]
fn most_of_what_is_done_is_in_time() {
    let due_first = play(|items, _| items.sort_by_key(|open| (open.due_ms, open.item)));
    let chosen = play(|items, now_ms| sort(items, now_ms));
    let slot_ms = (SLOTS[0] + SLOTS[1]) as u64 * DAY_MS / 2;
    let possible = usize::try_from(slot_ms / RUN_MS).expect("small");
    assert!(due_first.in_time * 2 < due_first.done, "the pattern floods");
    // Until the last item is due, three quarters of the slots' time goes to
    // results that are in time.
    let last_due_ms = FLOOD_MS + DUE_AFTER_MS;
    let possible_in_time = possible * usize::try_from(last_due_ms).expect("small")
        / usize::try_from(DAY_MS).expect("small");
    assert!(
        chosen.in_time * 4 >= possible_in_time * 3 && chosen.in_time > due_first.in_time,
        "{} and {} in time of {possible_in_time}",
        chosen.in_time,
        due_first.in_time
    );
    // As many items are done in all: no work is left unfinished for it.
    assert!(
        chosen.done + SLOTS[0] >= possible && chosen.done + SLOTS[0] >= due_first.done,
        "{} and {} done of {possible}",
        chosen.done,
        due_first.done
    );
    // Only online work interrupts runs, at the start of each peak.
    let peaks = usize::try_from(DAY_MS / HALF_WAVE_MS / 2 + 1).expect("small");
    let most = peaks * (SLOTS[0] - SLOTS[1]) + SLOTS[0];
    assert!(chosen.paused <= most, "{} of {most} pauses", chosen.paused);
}

fn open(index: u32, due_ms: u64, remaining_ms: u64, is_started: bool) -> OpenItem {
    OpenItem {
        item: ItemRef {
            job: JobId::from_raw(1),
            index,
        },
        due_ms,
        remaining_ms,
        is_started,
    }
}

#[test]
fn items_are_ordered_by_whether_they_can_be_in_time_then_by_progress_and_due_time() {
    let now_ms = 10_000;
    let mut items = [
        open(0, 9_000, 100, true),     // late, started
        open(1, 14_000, 5_000, false), // can't be in time
        open(2, 30_000, 5_000, false),
        open(3, 20_000, 5_000, false),
        open(4, 40_000, 2_000, true),
        open(5, 16_000, 5_000, false), // in time, but without a margin
        open(6, 11_000, 900, true),    // in time if it goes on
    ];
    sort(&mut items, now_ms);
    let order: Vec<u32> = items.iter().map(|open| open.item.index).collect();
    assert_eq!(order, [6, 4, 3, 2, 0, 1, 5]);
}

#[test]
fn estimates_follow_completed_runs() {
    let mut rate = RunRate::default();
    assert_eq!(rate.estimate_ms(1_000), 0);
    rate.note(1_000, 2_000);
    assert_eq!(rate.estimate_ms(500), 1_000);
    for _ in 0..100 {
        rate.note(1_000, 4_000);
    }
    let estimate = rate.estimate_ms(1_000);
    assert!((3_900..=4_000).contains(&estimate), "{estimate}");
}

/// Pattern: tens of thousands of items are open on instances with an eighth of a
/// core, and a plan over all of them takes long.
#[test]
fn plans_leave_the_processor_to_online_requests() {
    assert_eq!(plan_interval_ms(0), MIN_PLAN_INTERVAL_MS);
    assert_eq!(plan_interval_ms(1), MIN_PLAN_INTERVAL_MS);
    assert_eq!(plan_interval_ms(1_000), MAX_PLAN_INTERVAL_MS);
    for took_ms in 0..100 {
        assert!(took_ms * 20 <= plan_interval_ms(took_ms));
    }
}
