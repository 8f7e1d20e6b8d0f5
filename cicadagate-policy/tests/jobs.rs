//! Fuzz tests of jobs over several batch processes with a fake log and an
//! engine that counts the runs of each item.

#[path = "support/mod.rs"]
mod support;

#[path = "jobs/mod.rs"]
mod jobs;

use {
    cicadagate_policy::fault_injection::Fault,
    jobs::JobSimulation,
    support::{FuzzPlan, assert_all_occurred, check_guarantees, count_detected},
};

#[test]
fn guarantees_hold_under_faults() {
    let counts = check_guarantees::<JobSimulation>(FuzzPlan::from_env(1, 600, 300));
    assert_all_occurred(
        &counts,
        &[
            "acknowledged",
            "job sent again",
            "reply lost",
            "claimed",
            "claim replaced",
            "item started",
            "item ran again",
            "item unknown",
            "result written",
            "duplicate result",
            "closed",
            "cancelled",
            "killed",
            "restarted",
            "paused",
            "log down",
            "snapshot appended",
            "log expired",
            "append refused",
            "no contact",
        ],
    );
}

fn assert_detected(fault: Fault) {
    let plan = FuzzPlan::from_env(1, 400, 300);
    assert!(
        count_detected::<JobSimulation>(plan, fault) > 0,
        "{fault:?} not detected"
    );
}

#[test]
fn detects_last_result_winning() {
    assert_detected(Fault::LastResultWins);
}

#[test]
fn detects_ignored_cancel() {
    assert_detected(Fault::IgnoreCancel);
}

#[test]
fn detects_ignored_intent() {
    assert_detected(Fault::IgnoreIntent);
}

#[test]
fn detects_early_acknowledgement() {
    assert_detected(Fault::AcknowledgeEarly);
}
