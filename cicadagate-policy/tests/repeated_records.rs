//! Second and late copies of records change nothing: fuzz tests that append each
//! kind of record of the streams of the separate binaries once and again, right
//! after the first copy or behind newer records.

#[path = "support/mod.rs"]
mod support;

#[path = "repeated_records/mod.rs"]
mod repeated_records;

use {
    cicadagate_policy::{
        fault_injection::Fault,
        ids::{Offset, RequestId},
        version::config::{
            Change, Customer, MAX_DECIDED_IDS, ObjectKey, Record, Rejection, State, Verdict,
        },
    },
    repeated_records::RepeatedRecords,
    support::{FuzzPlan, assert_all_occurred, check_guarantees, count_detected},
};

#[test]
fn copies_of_records_change_no_state() {
    let counts = check_guarantees::<RepeatedRecords>(FuzzPlan::from_env(1, 600, 200));
    assert_all_occurred(
        &counts,
        &[
            "repeated",
            "file",
            "accept",
            "claim",
            "cancel",
            "close",
            "snapshot",
            "move of a file",
            "move of results",
            "intent of items",
            "results",
            "chunk",
            "intent of a request",
            "customer",
            "removed customer",
            "key",
            "withdrawn key",
            "drain",
            "end of a drain",
            "roster",
            "settled roster",
            "snapshot of the configuration",
            "model version",
            "route",
            "removed route",
        ],
    );
}

fn assert_detected(fault: Fault) {
    let plan = FuzzPlan::from_env(1, 50, 200);
    assert!(
        count_detected::<RepeatedRecords>(plan, fault) > 0,
        "{fault:?} not detected"
    );
}

#[test]
fn detects_copies_of_results_that_count() {
    assert_detected(Fault::LastResultWins);
}

#[test]
fn detects_copies_of_intents_that_count() {
    assert_detected(Fault::IgnoreIntent);
}

#[test]
fn detects_copies_of_changes_that_count() {
    assert_detected(Fault::SkipIdCheck);
}

fn rate_change(id: &str, based_on: Offset, rate_milli: u64) -> Record {
    Record {
        id: RequestId::of(id),
        based_on,
        change: Change::PutCustomer(Customer {
            name: "c".to_owned(),
            rate_milli,
            burst: 1,
        }),
    }
}

/// Guards against a change that a copy restores after its request id has been
/// forgotten.
#[test]
fn a_copy_of_a_change_with_a_forgotten_id_is_rejected() {
    let mut state = State::default();
    let first = rate_change("first", Offset::NONE, 1_000);
    assert!(matches!(
        state.apply(Offset(1), &first),
        Some(Verdict::Accepted(_))
    ));
    let changes = MAX_DECIDED_IDS as u64 + 1;
    for version in 1..=changes {
        let next = rate_change(&version.to_string(), Offset(version), 1_000 + version);
        state.apply(Offset(version + 1), &next);
    }
    assert_eq!(state.verdict(first.id), None);
    let now_at = state.object_version(&ObjectKey::Customer("c".to_owned()));
    let copy = state.apply(Offset(changes + 2), &first);
    assert_eq!(
        copy,
        Some(Verdict::Rejected(Rejection::Conflict { now_at }))
    );
    let rate_milli = state.customer("c").map(|customer| customer.rate_milli);
    assert_eq!(rate_milli, Some(1_000 + changes));
}
