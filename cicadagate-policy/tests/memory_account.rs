//! Bytes held for callers when their bodies exceed the memory of an instance.

use cicadagate_policy::{
    fault_injection::{Fault, inject},
    ids::CustomerId,
    process::memory_account::{
        BOUND_PERCENT, HIGH_PERCENT, MemoryAccount, Pressure, RESPONSES_PERCENT,
    },
};

const MEMORY_LIMIT: usize = 120 << 20;
const BOUND: usize = MEMORY_LIMIT / 100 * BOUND_PERCENT;
const LARGE_BODY: usize = 870_000;

fn customer(number: u8) -> CustomerId {
    CustomerId::of(&format!("customer-{number}"))
}

/// Guards against a process that is killed because of its memory: bodies of 870 kB come
/// from 20 customers, and replicas read them so slowly that none is released.
#[test]
fn large_bodies_in_a_burst_stay_within_the_bound() {
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    let mut refused = 0;
    for number in 0..200 {
        if account
            .reserve(Some(customer(number % 20)), LARGE_BODY)
            .is_err()
        {
            refused += 1;
        }
    }
    assert!(account.held() <= BOUND, "{} bytes are held", account.held());
    assert!(account.held() * 100 >= BOUND * HIGH_PERCENT);
    assert_eq!(account.held(), (200 - refused) * LARGE_BODY);
}

/// Shows that the test above detects a missing bound.
#[test]
fn a_missing_bound_is_detected() {
    inject(Some(Fault::IgnoreMemoryBound));
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    for number in 0..200 {
        let reserved = account.reserve(Some(customer(number % 20)), LARGE_BODY);
        reserved.expect("the fault lets everything in");
    }
    inject(None);
    assert!(account.held() > BOUND);
}

/// Guards against a customer with large bodies that keeps all others out.
#[test]
fn the_largest_holder_is_refused_first() {
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    while account.reserve(Some(customer(1)), LARGE_BODY).is_ok() {
        assert!(account.held() <= BOUND);
        if account.reserve(Some(customer(2)), 10_000).is_err() {
            break;
        }
    }
    assert!(account.reserve(Some(customer(1)), LARGE_BODY).is_err());
    assert!(account.reserve(Some(customer(2)), 10_000).is_ok());
    assert!(account.reserve(None, 10_000).is_ok());
}

/// Guards against a state that changes with every request.
#[test]
fn pressure_has_a_hysteresis() {
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    let step = BOUND / 100;
    let rise: Vec<Pressure> = (0..80)
        .filter_map(|_| account.reserve(Some(customer(1)), step).ok())
        .collect();
    let fall: Vec<Pressure> = (0..80)
        .map(|_| account.release(Some(customer(1)), step))
        .collect();
    let changes = |found: &[Pressure]| {
        let changed = found.iter().filter(|it| **it != Pressure::Unchanged);
        changed.copied().collect::<Vec<_>>()
    };
    assert_eq!(changes(&rise), [Pressure::Short]);
    assert_eq!(changes(&fall), [Pressure::Relieved]);
    let short_at = rise.iter().position(|it| *it == Pressure::Short);
    let relieved_at = fall.iter().position(|it| *it == Pressure::Relieved);
    let (short_at, relieved_at) = (short_at.expect("short"), relieved_at.expect("relieved"));
    assert!(relieved_at > 5, "{short_at} {relieved_at}");
    assert_eq!(account.held(), 0);
}

/// Guards against responses that together exceed the memory: the largest are refused, small ones
/// go on, and bodies of requests still fit.
#[test]
fn responses_leave_room_for_requests_and_the_largest_end_first() {
    const RESPONSES: usize = 100;
    const STEP: usize = 16 * 1024;
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    let mut held = [0; RESPONSES];
    for _ in 0..100 {
        for held in &mut held {
            if account.resize_response(*held, *held + STEP).is_ok() {
                *held += STEP;
            }
        }
    }
    assert_eq!(account.held(), held.iter().sum::<usize>());
    assert!(account.held() <= BOUND / 100 * 2 * RESPONSES_PERCENT);
    assert!(account.resize_response(0, STEP).is_ok());
    assert!(account.reserve(Some(customer(1)), LARGE_BODY).is_ok());
    account.release(Some(customer(1)), LARGE_BODY);
    account.resize_response(STEP, 0).expect("less always fits");
    for held in held {
        account.resize_response(held, 0).expect("less always fits");
    }
    assert_eq!(account.held(), 0);
}

/// Guards against a response that alone holds more than all may, and so keeps others out.
#[test]
fn a_single_response_has_a_bound() {
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    let share = BOUND / 100 * RESPONSES_PERCENT;
    assert!(account.resize_response(0, share).is_ok());
    assert!(account.resize_response(share, share + 100).is_err());
    assert_eq!(account.held(), share);
    assert!(account.resize_response(0, LARGE_BODY).is_ok());
}

/// Guards against bodies of one customer's requests that end the streams of all others.
#[test]
fn responses_keep_their_share_while_bodies_fill_the_bound() {
    let mut account = MemoryAccount::new(MEMORY_LIMIT);
    let customer = Some(customer(1));
    assert!(account.reserve(customer, BOUND).is_ok());
    let share = BOUND / 100 * RESPONSES_PERCENT;
    assert!(account.resize_response(0, share / 2).is_ok());
    assert!(account.resize_response(0, share / 2).is_ok());
    assert!(account.resize_response(0, share).is_err());
    assert!(account.reserve(customer, 1).is_err());
}
