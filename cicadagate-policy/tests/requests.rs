//! Requests from entry to engine and back over a network that delays,
//! doubles, crosses and drops frames.

#[path = "support/mod.rs"]
mod support;

#[path = "requests/mod.rs"]
mod requests;

use {
    cicadagate_policy::planted::Fault,
    requests::RequestsWorld,
    support::{Plan, assert_took_effect, caught, check},
};

#[test]
fn promises_hold_under_faults() {
    let counts = check::<RequestsWorld>(Plan::from_env(1, 800, 200));
    assert_took_effect(
        &counts,
        &[
            "answered",
            "answered over two attempts",
            "said not run",
            "said maybe run",
            "frame doubled",
            "frame dropped",
            "frame late",
            "home lost",
            "stream broken",
            "preempted",
            "resumed batch",
            "expired in queue",
            "refused at once",
            "leaving",
            "stopping",
            "ended",
            "started online",
            "started batch",
        ],
    );
}

fn assert_caught(fault: Fault) {
    let plan = Plan::from_env(1, 400, 200);
    assert!(
        caught::<RequestsWorld>(plan, fault) > 0,
        "{fault:?} not seen"
    );
}

#[test]
fn sees_repeated_non_idempotent() {
    assert_caught(Fault::RetryNonIdempotent);
}

#[test]
fn sees_false_not_run() {
    assert_caught(Fault::ClaimNotRun);
}

#[test]
fn sees_crossed_answers() {
    assert_caught(Fault::AcceptCrossedAnswer);
}

#[test]
fn sees_truncated_answers() {
    assert_caught(Fault::AcceptTruncated);
}

#[test]
fn sees_batch_before_online() {
    assert_caught(Fault::BatchFirst);
}

#[test]
fn sees_work_for_leaving_endpoint() {
    assert_caught(Fault::IgnoreLeaving);
}

#[test]
fn sees_cut_requests_at_shutdown() {
    assert_caught(Fault::DropOnShutdown);
}

#[test]
fn sees_crossed_customers() {
    assert_caught(Fault::CrossCustomers);
}
