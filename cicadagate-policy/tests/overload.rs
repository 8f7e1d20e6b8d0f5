//! Admission of online requests when there are more of them than slots.

use cicadagate_policy::request::overload::{
    MAX_RETRY_MS, MIN_RETRY_MS, ServiceLoad, SlotHoldTime, admit,
};

const OBJECTIVE_MS: u64 = 300;

fn service_load(online: u32) -> ServiceLoad {
    ServiceLoad {
        online,
        slots: 72,
        slot_hold_ms: 750,
    }
}

#[test]
fn nobody_is_refused_while_there_are_slots() {
    for online in 0..72 {
        assert!(admit(service_load(online), OBJECTIVE_MS, 0, 0, 9).is_ok());
    }
}

#[test]
fn a_burst_beyond_the_slots_is_refused_before_it_is_late() {
    // The wait grows with the number of online requests beyond the slots.
    let first_refused = (72..300)
        .find(|online| admit(service_load(*online), OBJECTIVE_MS, 0, 100, 9).is_err())
        .expect("a long queue is refused");
    let wait = service_load(first_refused).wait_ms();
    assert!(wait < OBJECTIVE_MS, "already waits {wait} ms");
    assert!(service_load(first_refused - 1).wait_ms() * 2 > OBJECTIVE_MS);
}

#[test]
fn a_customer_that_used_up_its_burst_is_refused_first() {
    let load = service_load(85);
    assert!(admit(load, OBJECTIVE_MS, 0, 100, 9).is_ok());
    assert!(admit(load, OBJECTIVE_MS, 0, 5, 9).is_err());
}

#[test]
fn the_less_urgent_is_refused_first() {
    let refused_from = |rank| {
        (72..300).find(|online| admit(service_load(*online), OBJECTIVE_MS, rank, 100, 9).is_err())
    };
    assert!(refused_from(2) < refused_from(1));
    assert!(refused_from(1) < refused_from(0));
}

#[test]
fn retry_times_of_refused_callers_are_spread_and_bounded() {
    let retry_times: Vec<u64> = (0..50)
        .map(|spread| {
            let refused = admit(service_load(110), OBJECTIVE_MS, 0, 100, spread * 97);
            refused.expect_err("overloaded").retry_after_ms
        })
        .collect();
    let (least, most) = (retry_times.iter().min(), retry_times.iter().max());
    assert!(least.is_some_and(|ms| *ms >= MIN_RETRY_MS));
    assert!(most.is_some_and(|ms| *ms <= MAX_RETRY_MS));
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least > 200)
    );
}

#[test]
fn without_measured_hold_times_nothing_is_refused() {
    let unknown = ServiceLoad {
        online: 500,
        slots: 8,
        slot_hold_ms: SlotHoldTime::default().ms(),
    };
    assert!(admit(unknown, OBJECTIVE_MS, 0, 100, 1).is_ok());
}

#[test]
fn hold_times_follow_what_is_measured() {
    let mut held = SlotHoldTime::default();
    held.note(750);
    assert_eq!(held.ms(), 750);
    for _ in 0..100 {
        held.note(1_500);
    }
    assert!((1_400..=1_500).contains(&held.ms()), "{}", held.ms());
}
