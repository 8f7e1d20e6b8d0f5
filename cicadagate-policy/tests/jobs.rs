//! Jobs over several batch processes with a fake log and an engine that
//! counts its runs.

#[path = "support/mod.rs"]
mod support;

#[path = "jobs/mod.rs"]
mod jobs;

use {
    cicadagate_policy::planted::Fault,
    jobs::JobsWorld,
    support::{Plan, assert_took_effect, caught, check},
};

#[test]
fn promises_hold_under_faults() {
    let counts = check::<JobsWorld>(Plan::from_env(1, 600, 300));
    assert_took_effect(
        &counts,
        &[
            "acknowledged",
            "resent",
            "answer lost",
            "claimed",
            "claim lost",
            "item begun",
            "item doubled",
            "item unknown",
            "result written",
            "result came second",
            "closed",
            "cancelled",
            "killed",
            "restarted",
            "paused",
            "log down",
            "carried",
            "expired",
            "append refused",
            "no contact",
        ],
    );
}

fn assert_caught(fault: Fault) {
    let plan = Plan::from_env(1, 400, 300);
    assert!(caught::<JobsWorld>(plan, fault) > 0, "{fault:?} not seen");
}

#[test]
fn sees_last_result_winning() {
    assert_caught(Fault::LastResultWins);
}

#[test]
fn sees_ignored_cancel() {
    assert_caught(Fault::IgnoreCancel);
}

#[test]
fn sees_ignored_intent() {
    assert_caught(Fault::IgnoreIntent);
}

#[test]
fn sees_early_acknowledgement() {
    assert_caught(Fault::AcknowledgeEarly);
}
