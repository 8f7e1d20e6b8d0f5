//! Batch items beside peaks of online load, in a model of members, reports, owners and
//! replicas that is driven by the real decision functions.
//!
//! Pattern: online load alternates between 0.38 and 1.87 times its mean every 3.4 s and
//! 2.4 s. Reports are 0.85 s apart. Jobs of 10 items are due in 18 s, and an item needs
//! 3.3 s to 6.3 s of a slot.

#[path = "batch_beside_peaks/mod.rs"]
mod model;

use model::{Outcome, Pattern, Planning, oracle, play};

fn show(name: &str, outcome: &Outcome, oracle: usize) {
    println!("{name}: {outcome:?}, oracle {oracle}");
}

// Guards against plans by the momentary load: each item was started three to four times.
#[test]
fn items_keep_their_progress_beside_peaks() {
    let pattern = Pattern::default();
    let possible = oracle(pattern);
    let before = play(pattern, Planning::Momentary);
    let by_limits = play(pattern, Planning::ByLimits);
    show("momentary", &before, possible);
    show("by limits", &by_limits, possible);
    assert!(by_limits.in_time * 10 >= possible * 9, "{by_limits:?}");
    assert!(by_limits.in_time >= before.in_time, "{by_limits:?}");
    let per_result = |outcome: &Outcome| outcome.preempted * 100 / outcome.done.max(1);
    assert!(per_result(&by_limits) * 3 <= per_result(&before) * 2);
}
