//! Tries of batch items: which of them count, and when an item is given up.

use cicadagate_policy::{
    request::{
        attempt::{Attempts, Progress, RetryBudget, RetryDecision},
        item_tries::{ItemTries, MAX_UNAVAILABLE_TRIES, TryFailure},
    },
    time::Time,
};

const NOW: Time = Time(1_000);
const MAX_FAILED: u32 = 4;

/// How the attempts of a try end.
#[derive(Clone, Copy)]
enum AttemptEnd {
    /// The connection to the owner of the replica ended.
    OwnerLost,
    /// The owner reports that the endpoint failed.
    EndpointFailed,
}

/// Runs a try whose attempts end alike, and returns how it counts.
fn failed_try(end: AttemptEnd) -> TryFailure {
    let mut attempts = Attempts::new(true, NOW.plus(60_000));
    let mut budget = RetryBudget::default();
    loop {
        attempts.begin();
        attempts.mark_sent();
        match end {
            AttemptEnd::OwnerLost => attempts.mark_failed(Progress::MaybeRun),
            AttemptEnd::EndpointFailed => attempts.mark_failed_by_endpoint(Progress::MaybeRun),
        }
        if attempts.decide(NOW, &mut budget) != RetryDecision::Retry {
            break;
        }
    }
    if attempts.is_failed_by_endpoint() {
        TryFailure::Endpoint
    } else {
        TryFailure::Unavailable
    }
}

/// Returns the number of tries after which an item is given up.
fn tries_until_given_up(mut next: impl FnMut(u32) -> TryFailure) -> u32 {
    let mut tries = ItemTries::new(MAX_FAILED);
    while !tries.note_failure(next(tries.ended())) {}
    tries.ended()
}

/// Guards against an item that is given up after owners of replicas were lost,
/// although no endpoint failed it.
#[test]
fn lost_owners_do_not_count_as_failed_tries_of_an_item() {
    let lost = tries_until_given_up(|_| failed_try(AttemptEnd::OwnerLost));
    assert_eq!(lost, MAX_UNAVAILABLE_TRIES);
    let mixed = tries_until_given_up(|number| {
        failed_try(if number.is_multiple_of(2) {
            AttemptEnd::OwnerLost
        } else {
            AttemptEnd::EndpointFailed
        })
    });
    assert_eq!(mixed, 2 * MAX_FAILED);
}

#[test]
fn an_item_that_endpoints_fail_is_given_up() {
    let failed = tries_until_given_up(|_| failed_try(AttemptEnd::EndpointFailed));
    assert_eq!(failed, MAX_FAILED);
}
