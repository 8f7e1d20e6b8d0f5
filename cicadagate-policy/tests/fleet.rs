//! Fuzz tests of configuration, keys, contact, rosters and rate limits over
//! several nodes with drifting clocks, a fake log and a fake network.

#[path = "support/mod.rs"]
mod support;

#[path = "fleet/mod.rs"]
mod fleet;

use {
    cicadagate_policy::fault_injection::Fault,
    fleet::{FleetSimulation, Op},
    support::{FuzzPlan, assert_all_occurred, check_guarantees, count_detected, count_detected_in},
};

#[test]
fn guarantees_hold_under_faults() {
    let counts = check_guarantees::<FleetSimulation>(FuzzPlan::from_env(1, 400, 120));
    assert_all_occurred(
        &counts,
        &[
            "admitted",
            "refused",
            "delayed grant",
            "granted after handover",
            "roster settled",
            "stale proposal rejected",
            "repeated id",
            "killed",
            "restarted",
            "paused",
            "partitioned",
            "log partitioned",
            "log down",
            "snapshot adopted",
            "log expired",
            "key withdrawn",
            "withdrawn in outage",
            "refused without contact",
            "served under witness contact",
            "delayed read",
            "configuration from witness",
            "holders changed",
        ],
    );
}

fn assert_detected_in(sequences: u64, fault: Fault) {
    let plan = FuzzPlan::from_env(1, sequences, 200);
    assert!(
        count_detected::<FleetSimulation>(plan, fault) > 0,
        "{fault:?} not detected"
    );
}

fn assert_detected(fault: Fault) {
    assert_detected_in(300, fault);
}

#[test]
fn detects_skipped_handover_wait() {
    assert_detected(Fault::SkipHandoverWait);
}

#[test]
fn detects_refill_on_restart() {
    assert_detected(Fault::RefillOnRestart);
}

/// A holder of a customer's whole rate is partitioned from the log while the
/// customer gets more holders. Entries also stop when they lose contact, which
/// covers most of what the lease is for, so generated sequences hardly ever
/// reach this case and the sequences are written out here.
#[test]
fn detects_ignored_holder_lease() {
    let sequence = |holder: usize| {
        let other = (holder + 1) % 3;
        vec![
            Op::PartitionFromLog(holder),
            Op::PutCustomer {
                node: other,
                customer: 2,
                large: true,
                repeat: false,
            },
            Op::ReadLogOnAll,
            Op::Advance(4_300),
            Op::ReadLogOnAll,
            Op::Advance(3_000),
            Op::ReadLogOnAll,
            Op::Advance(3_000),
        ]
    };
    let sequences: Vec<Vec<Op>> = (0..3).map(sequence).collect();
    let detected = count_detected_in::<FleetSimulation>(&sequences, Fault::IgnoreHolderLease);
    assert!(detected > 0, "not detected");
}

#[test]
fn detects_late_grants() {
    assert_detected_in(1_000, Fault::AcceptLateGrant);
}

#[test]
fn detects_skipped_compare_and_set() {
    assert_detected(Fault::SkipCompareAndSet);
}

#[test]
fn detects_skipped_id_check() {
    assert_detected(Fault::SkipIdCheck);
}

#[test]
fn detects_adopted_old_snapshot() {
    assert_detected(Fault::AdoptOldSnapshot);
}

#[test]
fn detects_forgotten_withdrawal() {
    assert_detected(Fault::AcceptWithdrawnKey);
}

#[test]
fn detects_service_without_contact() {
    assert_detected(Fault::ServeWithoutContact);
}
