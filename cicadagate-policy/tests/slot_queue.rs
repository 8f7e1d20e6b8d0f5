//! Requests that wait at the owner of a replica for one of its slots.

use cicadagate_policy::{
    ids::{CustomerId, EndpointId, MemberId},
    process::slot_queue::{
        MAX_WAITING, SlotQueues, SlotState, WaitDecision, WaitRequest, Waiter, waits_at_owner,
    },
    time::Time,
};

const REPLICA: EndpointId = EndpointId::from_raw(1);
const NOW: Time = Time(10_000);
const SLOTS: u32 = 8;
const HOLD_MS: u64 = 600;
const OBJECTIVE_MS: u64 = 250;
const DEADLINE_MS: u64 = 4_000;
const FULL: SlotState = SlotState {
    online: SLOTS,
    slots: SLOTS,
    hold_ms: HOLD_MS,
};
const ONE_FREE: SlotState = SlotState {
    online: SLOTS - 1,
    ..FULL
};

const fn customer(id: u64) -> CustomerId {
    CustomerId::from_raw(id)
}

fn request(seq: u64) -> WaitRequest {
    WaitRequest {
        waiter: Waiter {
            member: MemberId::from_raw(1),
            seq,
        },
        priority: 0,
        customer: Some(customer(1)),
        weight: 10,
        start_by: NOW.plus(OBJECTIVE_MS),
        latest_start: NOW.plus(DEADLINE_MS),
    }
}

fn offer(queues: &mut SlotQueues, now: Time, request: WaitRequest) -> WaitDecision {
    queues.offer(now, REPLICA, request, FULL, 0)
}

fn next(queues: &mut SlotQueues, now: Time) -> Option<u64> {
    let taken = queues.take_next(now, REPLICA, ONE_FREE);
    taken.map(|request| request.waiter.seq)
}

/// Guards against a change of behaviour in small fleets, whose reports are fresh.
#[test]
fn requests_wait_at_owners_only_where_reports_are_older_than_the_allowed_wait() {
    for (period_ms, objective_ms, expected) in [
        (850, 300, true),
        (740, 300, true),
        (100, 300, false),
        (210, 300, false),
        (100, 100, false),
        (850, 5_000, false),
        (850, 0, false),
    ] {
        let waits = waits_at_owner(period_ms, objective_ms);
        assert_eq!(waits, expected, "{period_ms} {objective_ms}");
    }
}

/// Guards against requests that are admitted although they will be late.
#[test]
fn the_queue_admits_what_is_in_time_then_as_many_late_ones_as_slots() {
    let mut queues = SlotQueues::default();
    let decisions: Vec<_> = (0..30)
        .map(|seq| offer(&mut queues, NOW, request(seq)))
        .collect();
    let in_time = decisions
        .iter()
        .filter(|it| matches!(it, WaitDecision::Waits { is_late: false, .. }));
    // A slot becomes free every 75 ms.
    assert_eq!(in_time.count(), 3);
    let late = decisions
        .iter()
        .filter(|it| matches!(it, WaitDecision::Waits { is_late: true, .. }));
    assert_eq!(late.count(), SLOTS as usize);
    let WaitDecision::Rejected { retry_after_ms, .. } = decisions[29] else {
        panic!("{decisions:?}");
    };
    // Eleven requests wait for 900 ms together, of which the caller allows 250.
    assert_eq!(retry_after_ms, 650);
    let free = next(&mut queues, NOW.plus(10));
    assert_eq!(free, Some(0), "the first one that waits gets the slot");
}

/// Guards against late requests that take the slots of those in time.
#[test]
fn a_late_request_gets_a_slot_only_after_no_request_in_time_had_to_wait() {
    let mut queues = SlotQueues::default();
    let late = WaitRequest {
        start_by: Time::default(),
        ..request(1)
    };
    offer(&mut queues, NOW, late);
    offer(&mut queues, NOW.plus(1), request(2));
    assert_eq!(next(&mut queues, NOW.plus(2)), Some(2));
    assert_eq!(next(&mut queues, NOW.plus(100)), None, "too early");
    assert_eq!(next(&mut queues, NOW.plus(200)), Some(1));
}

/// Guards against callers that wait in vain during a long overload.
#[test]
fn no_late_request_waits_after_one_expired_until_one_gets_a_slot() {
    let mut queues = SlotQueues::default();
    let late = |seq, from: Time| WaitRequest {
        start_by: Time::default(),
        latest_start: from.plus(1_000),
        ..request(seq)
    };
    let waits = |decision| matches!(decision, WaitDecision::Waits { .. });
    assert!(waits(offer(&mut queues, NOW, late(1, NOW))));
    let later = NOW.plus(900);
    assert!(waits(offer(&mut queues, later, late(2, later))));
    let expired = NOW.plus(1_100);
    assert!(!waits(offer(&mut queues, expired, late(3, expired))));
    assert_eq!(next(&mut queues, expired.plus(100)), Some(2));
    let after = expired.plus(200);
    assert!(waits(offer(&mut queues, after, late(4, after))));
}

/// Guards against a customer whose burst makes the requests of others late.
#[test]
fn customers_share_slots_by_their_weights() {
    let mut queues = SlotQueues::default();
    for seq in 0..3 {
        offer(&mut queues, NOW, request(seq));
    }
    let other = WaitRequest {
        customer: Some(customer(2)),
        ..request(10)
    };
    let decision = offer(&mut queues, NOW, other);
    assert!(
        matches!(decision, WaitDecision::Waits { is_late: false, .. }),
        "{decision:?}"
    );
    assert_eq!(next(&mut queues, NOW), Some(0));
    assert_eq!(next(&mut queues, NOW), Some(10));
    assert_eq!(next(&mut queues, NOW), Some(1));
}

#[test]
fn urgent_requests_go_first_and_cancelled_ones_not_at_all() {
    let mut queues = SlotQueues::default();
    let less_urgent = WaitRequest {
        priority: 2,
        ..request(1)
    };
    offer(&mut queues, NOW, less_urgent);
    offer(&mut queues, NOW, request(2));
    offer(&mut queues, NOW, request(3));
    queues.cancel(REPLICA, request(2).waiter);
    assert_eq!(next(&mut queues, NOW), Some(3));
    assert_eq!(next(&mut queues, NOW), Some(1));
    assert_eq!(next(&mut queues, NOW), None);
    assert!(queues.is_empty());
}

/// Guards against state that grows without bound while no hold time is known.
#[test]
fn a_queue_is_bounded_and_its_requests_expire() {
    let mut queues = SlotQueues::default();
    let unknown = SlotState { hold_ms: 0, ..FULL };
    for seq in 0..1_000 {
        queues.offer(NOW, REPLICA, request(seq), unknown, 0);
    }
    assert_eq!(queues.len(REPLICA), MAX_WAITING);
    let expired = NOW.plus(DEADLINE_MS + 1);
    assert_eq!(queues.take_next(expired, REPLICA, unknown), None);
    assert!(queues.is_empty());
}
