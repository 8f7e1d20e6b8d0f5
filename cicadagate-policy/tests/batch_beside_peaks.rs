//! Batch items beside peaks of online load, in a model of members, reports, owners and
//! replicas that is driven by the real decision functions.
//!
//! Pattern: online load alternates between 0.38 and 1.87 times its mean every 3.4 s and
//! 2.4 s. Reports are 0.85 s apart. Jobs of 10 items are due in 18 s, and an item needs
//! 3.3 s to 6.3 s of a slot. Also with eight times the jobs for 6 s, with a third of the
//! replicas lost for 6 s, and with both.

#[path = "batch_beside_peaks/mod.rs"]
mod model;

use {
    cicadagate_policy::fault_injection::{Fault, inject},
    model::{Outcome, Pattern, Planning, oracle, play},
};

fn play_both(name: &str, pattern: Pattern) -> (Outcome, Outcome, usize) {
    let possible = oracle(pattern);
    let momentary = play(pattern, Planning::Momentary);
    let by_limits = play(pattern, Planning::ByLimits);
    println!("{name}, momentary: {momentary:?}, oracle {possible}");
    println!("{name}, by limits: {by_limits:?}");
    (momentary, by_limits, possible)
}

/// Returns whether at most two thirds as many runs are interrupted per result.
fn keeps_progress(before: &Outcome, after: &Outcome) -> bool {
    after.preempted * before.done * 3 <= before.preempted * after.done * 2
}

// Guards against plans by the momentary load: each item was started three to four times.
#[test]
fn items_keep_their_progress_beside_peaks() {
    let (before, after, possible) = play_both("peaks", Pattern::default());
    assert!(after.in_time * 10 >= possible * 9 && after.in_time >= before.in_time);
    assert!(after.queued <= before.queued, "online requests come first");
    assert!(keeps_progress(&before, &after));
}

// Guards against slots that stay free in a peak while a backlog of items misses its due
// times.
#[test]
fn a_flood_of_jobs_gets_no_less_done_than_by_the_momentary_load() {
    let flood = Pattern {
        flood: 8,
        ..Pattern::default()
    };
    let flood_and_loss = Pattern {
        loses_replicas: true,
        ..flood
    };
    for (name, pattern) in [("flood", flood), ("flood and loss", flood_and_loss)] {
        let (before, after, _) = play_both(name, pattern);
        assert!(after.done * 100 >= before.done * 97, "{name}");
        assert!(after.in_time * 100 >= before.in_time * 97, "{name}");
        assert!(after.preempted <= before.preempted, "{name}");
    }
}

// Guards against items that miss their due times once capacity is lost.
#[test]
fn items_are_in_time_although_replicas_are_lost() {
    let pattern = Pattern {
        loses_replicas: true,
        ..Pattern::default()
    };
    let (before, after, possible) = play_both("loss", pattern);
    assert!(after.in_time * 10 >= possible * 9);
    assert!(after.queued <= before.queued);
    assert!(keeps_progress(&before, &after));
}

#[test]
fn detects_plans_and_requests_that_ignore_the_peaks() {
    let pattern = Pattern::default();
    let before = play(pattern, Planning::Momentary);
    for fault in [Fault::IgnoreDemandSwing, Fault::PreemptForFreeSlot] {
        inject(Some(fault));
        let after = play(pattern, Planning::ByLimits);
        inject(None);
        println!("{fault:?}: {after:?}");
        assert!(!keeps_progress(&before, &after), "{fault:?} not detected");
    }
}
