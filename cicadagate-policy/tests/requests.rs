//! Fuzz tests of requests from an entry to an engine and back, over a network
//! that delays, duplicates, misdelivers and loses frames.

#[path = "support/mod.rs"]
mod support;

#[path = "requests/mod.rs"]
mod requests;

use {
    cicadagate_policy::fault_injection::Fault,
    requests::RequestSimulation,
    support::{FuzzPlan, assert_all_occurred, check_guarantees, count_detected},
};

#[test]
fn guarantees_hold_under_faults() {
    let counts = check_guarantees::<RequestSimulation>(FuzzPlan::from_env(1, 800, 200));
    assert_all_occurred(
        &counts,
        &[
            "answered",
            "answered over two attempts",
            "reported not run",
            "reported maybe run",
            "frame duplicated",
            "connection lost",
            "frame late",
            "owner crashed",
            "stream broken",
            "preempted",
            "resumed batch",
            "expired in queue",
            "refused on arrival",
            "draining",
            "stopping",
            "exited",
            "started online",
            "started batch",
        ],
    );
}

fn assert_detected(fault: Fault) {
    let plan = FuzzPlan::from_env(1, 400, 200);
    assert!(
        count_detected::<RequestSimulation>(plan, fault) > 0,
        "{fault:?} not detected"
    );
}

#[test]
fn detects_repeated_non_idempotent() {
    assert_detected(Fault::RetryNonIdempotent);
}

#[test]
fn detects_false_not_run() {
    assert_detected(Fault::ReportNotRun);
}

#[test]
fn detects_answers_of_other_attempts() {
    assert_detected(Fault::AcceptOtherAttempt);
}

#[test]
fn detects_truncated_answers() {
    assert_detected(Fault::AcceptTruncated);
}

#[test]
fn detects_batch_before_online() {
    assert_detected(Fault::BatchFirst);
}

#[test]
fn detects_work_for_leaving_endpoint() {
    assert_detected(Fault::IgnoreLeaving);
}

#[test]
fn detects_cut_requests_at_shutdown() {
    assert_detected(Fault::DropOnShutdown);
}

#[test]
fn detects_requests_run_for_another_customer() {
    assert_detected(Fault::RunForWrongCustomer);
}
