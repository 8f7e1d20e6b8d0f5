//! The ledger of a replica's slots under peaks of online load and lost
//! messages.

use {
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        process::{
            reports::InFlight,
            slot_ledger::{HOLDING_TTL_MS, Purpose, REPORT_OVERRIDE_AGE_MS, SlotLedger, owner},
        },
        time::Time,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::HashMap,
};

const SLOTS: u32 = 8;
const REPLICA: EndpointId = EndpointId::from_raw(1);
const NOW: Time = Time(10_000);
const BATCH: Purpose = Purpose::Batch { reserve: 0 };
const FUZZ_CASES: u64 = 500;

fn member(id: u64) -> MemberId {
    MemberId::from_raw(id)
}

const fn holding(online: u32, batch: u32) -> InFlight {
    InFlight { online, batch }
}

#[test]
fn a_peak_takes_every_slot_from_batch_work_at_once() {
    let mut ledger = SlotLedger::default();
    for held in 0..SLOTS {
        let decision = ledger.request_slot(NOW, REPLICA, SLOTS, member(1), holding(0, held), BATCH);
        assert!(decision.is_granted);
    }
    let full = ledger.request_slot(NOW, REPLICA, SLOTS, member(2), holding(0, 0), BATCH);
    assert!(!full.is_granted);
    for held in 0..SLOTS {
        let online = Purpose::Online;
        let decision =
            ledger.request_slot(NOW, REPLICA, SLOTS, member(2), holding(held, 0), online);
        assert!(decision.is_granted, "online request {held}");
        assert_eq!(decision.pause_at, Some(member(1)));
    }
    let beyond_slots = ledger.request_slot(
        NOW,
        REPLICA,
        SLOTS,
        member(2),
        holding(SLOTS, 0),
        Purpose::Online,
    );
    assert!(!beyond_slots.is_granted);
    assert_eq!(beyond_slots.pause_at, None, "no batch item is left");
}

// Guards against a preemption for a request that may find a free slot elsewhere.
#[test]
fn a_request_for_a_free_slot_preempts_nothing() {
    let mut ledger = SlotLedger::default();
    ledger.update(NOW, REPLICA, member(1), holding(0, SLOTS - 1));
    let free = Purpose::OnlineFree;
    let first = ledger.request_slot(NOW, REPLICA, SLOTS, member(2), holding(0, 0), free);
    assert!(first.is_granted);
    assert_eq!(ledger.load(NOW, REPLICA), holding(1, SLOTS - 1));
    let second = ledger.request_slot(NOW, REPLICA, SLOTS, member(3), holding(0, 0), free);
    assert!(!second.is_granted);
    assert_eq!(second.pause_at, None);
}

#[test]
fn batch_work_leaves_its_reserve_free() {
    let mut ledger = SlotLedger::default();
    let purpose = Purpose::Batch { reserve: 2 };
    let granted = (0..SLOTS)
        .filter(|held| {
            let own = holding(0, (*held).min(6));
            ledger
                .request_slot(NOW, REPLICA, SLOTS, member(1), own, purpose)
                .is_granted
        })
        .count();
    assert_eq!(granted, 6);
}

#[test]
fn a_member_without_recent_messages_loses_its_slots() {
    let mut ledger = SlotLedger::default();
    ledger.update(NOW, REPLICA, member(1), holding(3, 0));
    assert_eq!(ledger.load(NOW, REPLICA), holding(3, 0));
    assert_eq!(
        ledger.load(NOW.plus(HOLDING_TTL_MS), REPLICA),
        holding(0, 0)
    );
    ledger.update(NOW, REPLICA, member(2), holding(1, 1));
    ledger.retain(|id| id == member(2), |_| true);
    assert_eq!(ledger.load(NOW, REPLICA), holding(1, 1));
}

#[test]
fn a_report_corrects_a_lost_update() {
    let mut ledger = SlotLedger::default();
    ledger.update(NOW, REPLICA, member(1), holding(3, 0));
    ledger.apply_report(NOW.plus(10), member(1), &[]);
    let load = ledger.load(NOW.plus(10), REPLICA);
    assert_eq!(load, holding(3, 0), "the report may predate a grant");
    ledger.apply_report(NOW.plus(REPORT_OVERRIDE_AGE_MS), member(1), &[]);
    assert_eq!(
        ledger.load(NOW.plus(REPORT_OVERRIDE_AGE_MS), REPLICA),
        holding(0, 0)
    );
}

#[test]
fn every_member_finds_the_same_owner_and_few_replicas_move() {
    let members: Vec<MemberId> = (1..=82).map(member).collect();
    let fewer: Vec<MemberId> = members[1..].to_vec();
    let moved = (0..60)
        .map(|replica| EndpointId::from_raw(replica).raw())
        .filter(|replica| {
            let before = owner(*replica, members.iter().copied());
            let after = owner(*replica, fewer.iter().copied());
            assert!(before.is_some() && after.is_some());
            before != after
        })
        .count();
    assert!(moved <= 5, "{moved} replicas moved");
}

#[derive(Clone, Debug)]
struct Traffic(Vec<(u64, bool, bool)>);

impl Arbitrary for Traffic {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = usize::arbitrary(g) % 200;
        let steps = (0..len).map(|_| {
            let member = 1 + u64::arbitrary(g) % 4;
            (member, bool::arbitrary(g), bool::arbitrary(g))
        });
        Self(steps.collect())
    }
}

/// With every message delivered, the ledger grants no more slots than the
/// replica has, and its load equals what the members occupy.
fn grants_match_the_slots(traffic: Traffic) -> bool {
    let mut ledger = SlotLedger::default();
    let mut held: HashMap<u64, InFlight> = HashMap::new();
    for (id, is_start, is_batch) in traffic.0 {
        let own = held.entry(id).or_default();
        if is_start {
            let purpose = if is_batch { BATCH } else { Purpose::Online };
            let decision = ledger.request_slot(NOW, REPLICA, SLOTS, member(id), *own, purpose);
            if decision.is_granted && is_batch {
                own.batch += 1;
            } else if decision.is_granted {
                own.online += 1;
            }
            if let Some(pausing_member) = decision.pause_at {
                let other = held.entry(pausing_member.raw()).or_default();
                other.batch -= 1;
                ledger.update(NOW, REPLICA, pausing_member, *other);
            }
        } else {
            if is_batch {
                own.batch = own.batch.saturating_sub(1);
            } else {
                own.online = own.online.saturating_sub(1);
            }
            ledger.update(NOW, REPLICA, member(id), *own);
        }
        let total = held.values().fold(InFlight::default(), |sum, own| {
            holding(sum.online + own.online, sum.batch + own.batch)
        });
        if total.online > SLOTS || total.total() > SLOTS || ledger.load(NOW, REPLICA) != total {
            return false;
        }
    }
    true
}

#[test]
fn no_more_slots_are_granted_than_the_replica_has() {
    QuickCheck::new()
        .tests(FUZZ_CASES)
        .quickcheck(grants_match_the_slots as fn(Traffic) -> bool);
}
