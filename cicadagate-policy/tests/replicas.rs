//! Registration, removal and failure of replicas, and the choice among them.

use {
    cicadagate_policy::{
        ids::{EndpointId, mix64},
        process::replicas::{
            LAPSED_RETENTION_MS, MAX_AVOID_MS, MIN_AVOID_MS, PROBE_INTERVAL_MS, Registration,
            ReplicaChange, ReplicaLoad, ReplicaSet, Wanted,
        },
        time::Time,
    },
    std::collections::HashMap,
};

const NOW: Time = Time(10_000);

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: "llm".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: 8,
        software_version: "v1".to_owned(),
        is_draining: false,
        started_ms: 1,
    }
}

fn set(count: usize) -> ReplicaSet {
    let mut set = ReplicaSet::default();
    for index in 0..count {
        assert_eq!(
            set.register(registration(&format!("i{index}"))),
            ReplicaChange::Added
        );
    }
    set
}

fn choose(set: &ReplicaSet, now: Time, seed: u64) -> Option<EndpointId> {
    set.choose(now, &Wanted::of("llm"), seed, |_| ReplicaLoad::default())
        .map(|replica| replica.endpoint)
}

#[test]
fn a_draining_replica_gets_no_new_request_and_registering_again_changes_nothing() {
    let mut set = set(1);
    let mut leaving = registration("i0");
    leaving.is_draining = true;
    assert_eq!(set.register(leaving.clone()), ReplicaChange::Draining);
    assert_eq!(choose(&set, NOW, 1), None);
    assert_eq!(set.register(leaving), ReplicaChange::None);
    assert_eq!(set.remove(NOW, "i0"), ReplicaChange::Removed);
}

#[test]
fn an_entry_is_removed_at_once_while_the_store_answers() {
    let mut set = set(2);
    set.set_store_reachable(NOW, true);
    assert_eq!(set.remove(NOW, "i0"), ReplicaChange::Removed);
    assert_eq!(choose(&set, NOW, 1), Some(EndpointId::of("i1")));
    assert_eq!(set.remove(NOW, "unknown"), ReplicaChange::None);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_replicas_have_had_time_to_return() {
    let mut set = set(2);
    set.set_store_reachable(NOW, false);
    let back = NOW.plus(5_000);
    set.set_store_reachable(back, true);
    assert_eq!(set.remove(back.plus(100), "i0"), ReplicaChange::Lapsed);
    assert_eq!(set.remove(back.plus(100), "i1"), ReplicaChange::Lapsed);
    assert!(choose(&set, back.plus(200), 1).is_some());
    assert_eq!(set.register(registration("i1")), ReplicaChange::None);
    assert!(
        set.remove_lapsed(back.plus(LAPSED_RETENTION_MS - 1))
            .is_empty()
    );
    let gone = set.remove_lapsed(back.plus(LAPSED_RETENTION_MS));
    assert_eq!(gone.len(), 1);
    assert_eq!(gone[0].id, "i0");
    assert_eq!(set.ids(), ["i1"]);
}

/// Time between two renewals of a registration, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

// Guards against a removal that counts as a lapse since a read failed here right before it.
#[test]
fn an_entry_that_is_removed_after_a_failed_read_is_not_kept() {
    let mut set = set(2);
    set.set_heartbeat(HEARTBEAT_MS);
    set.set_store_reachable(NOW, true);
    set.set_store_reachable(NOW.plus(800), false);
    assert!(!set.is_store_reachable());
    // The records of a read are applied before its outcome is noted.
    assert_eq!(set.remove(NOW.plus(900), "i0"), ReplicaChange::Removed);
    assert!(!set.is_usable(EndpointId::of("i0")));
    set.set_store_reachable(NOW.plus(900), true);
    assert_eq!(set.remove(NOW.plus(1_700), "i1"), ReplicaChange::Removed);
    assert!(!set.is_usable(EndpointId::of("i1")));
}

// Guards against removals that are kept without bound, since each failed read began the time
// of keeping anew.
#[test]
fn entries_that_are_removed_while_reads_fail_now_and_then_are_not_kept() {
    let mut set = set(20);
    set.set_heartbeat(HEARTBEAT_MS);
    let mut now = NOW;
    set.set_store_reachable(now, true);
    for index in 0..20 {
        let id = format!("i{index}");
        now = now.plus(800);
        set.set_store_reachable(now, false);
        now = now.plus(100);
        assert_eq!(set.remove(now, &id), ReplicaChange::Removed, "{id}");
        assert!(!set.is_usable(EndpointId::of(&id)));
        set.set_store_reachable(now, true);
    }
}

// Guards against a removal that counts as a lapse since reads failed here for long, although
// the store served others: the other replicas renewed their registrations all the time.
#[test]
fn an_entry_that_is_removed_while_others_reach_the_store_is_not_kept() {
    let mut set = set(4);
    set.set_heartbeat(HEARTBEAT_MS);
    set.set_store_reachable(NOW, true);
    let mut now = NOW;
    for _ in 0..5 {
        now = now.plus(900);
        set.set_store_reachable(now, false);
    }
    now = now.plus(1_500);
    // 6 s are five renewals of each of the three that are left.
    set.note_renewals(now, 3 * 5, 3);
    assert_eq!(set.remove(now, "i0"), ReplicaChange::Removed);
    set.set_store_reachable(now, true);
    assert_eq!(set.remove(now.plus(100), "i1"), ReplicaChange::Removed);
}

// Guards against live replicas that are dropped at the end of a long outage: they have renewed
// their registrations once or twice since, and other members may have read them before.
#[test]
fn renewals_at_the_end_of_an_outage_dont_shorten_it() {
    for outage_ms in (2 * HEARTBEAT_MS..20_000).step_by(300) {
        // A read that succeeds ends up to so long after the outage.
        for late_ms in (0..1_900).step_by(100) {
            let mut set = set(4);
            set.set_heartbeat(HEARTBEAT_MS);
            set.set_store_reachable(NOW, true);
            set.set_store_reachable(NOW.plus(800), false);
            let back = NOW.plus(outage_ms + late_ms);
            let renewals = 1 + usize::try_from(late_ms / HEARTBEAT_MS).expect("few");
            set.note_renewals(back, 4 * renewals, 4);
            let change = set.remove(back, "i0");
            assert_eq!(change, ReplicaChange::Lapsed, "{outage_ms} {late_ms}");
            set.set_store_reachable(back, true);
            assert!(set.remove_lapsed(back).is_empty());
            assert_eq!(set.remove(back.plus(100), "i1"), ReplicaChange::Lapsed);
        }
    }
}

// Guards against live replicas that are dropped since their entries lapsed in a long outage:
// in both orders of the records and the outcome of the first read that succeeds.
#[test]
fn entries_that_lapse_in_a_long_outage_are_kept_in_each_order_of_calls() {
    for is_noted_first in [false, true] {
        let mut set = set(2);
        set.set_heartbeat(HEARTBEAT_MS);
        set.set_store_reachable(NOW, true);
        let mut now = NOW;
        for _ in 0..5 {
            now = now.plus(900);
            set.set_store_reachable(now, false);
        }
        let back = now.plus(100);
        if is_noted_first {
            set.set_store_reachable(back, true);
        }
        assert_eq!(set.remove(back, "i0"), ReplicaChange::Lapsed);
        set.set_store_reachable(back, true);
        let last = back.plus(LAPSED_RETENTION_MS - 1);
        assert!(set.remove_lapsed(last).is_empty());
        assert!(set.is_usable(EndpointId::of("i0")));
        assert_eq!(set.remove_lapsed(last.plus(1)).len(), 1);
        assert!(!set.is_usable(EndpointId::of("i0")));
    }
}

#[test]
fn a_failing_replica_is_avoided_for_a_time_or_until_a_success() {
    let mut set = set(2);
    let bad = EndpointId::of("i0");
    assert_eq!(set.note_failure(NOW, bad), 1);
    for seed in 0..20 {
        assert_ne!(choose(&set, NOW, seed), Some(bad));
    }
    let later = NOW.plus(MIN_AVOID_MS);
    assert!((0..20).any(|seed| choose(&set, later, mix64(seed, 3)) == Some(bad)));
    for _ in 0..10 {
        set.note_failure(NOW, bad);
    }
    let replica = set.get(bad).expect("known");
    assert!(replica.is_avoided(NOW.plus(MAX_AVOID_MS - 1)));
    assert!(!replica.is_avoided(NOW.plus(MAX_AVOID_MS)));
    set.note_success(NOW, bad);
    assert!(!set.get(bad).expect("known").is_avoided(NOW));
}

#[test]
fn with_only_failing_replicas_one_is_still_used() {
    let mut set = set(1);
    set.note_failure(NOW, EndpointId::of("i0"));
    assert!(choose(&set, NOW, 1).is_some());
}

#[test]
fn an_unreachable_replica_gets_no_request_until_a_probe_succeeds() {
    let mut set = set(2);
    let unreachable = EndpointId::of("i0");
    set.note_unreachable(NOW, unreachable);
    let much_later = NOW.plus(MAX_AVOID_MS * 2);
    for seed in 0..50 {
        assert_ne!(choose(&set, much_later, mix64(seed, 5)), Some(unreachable));
    }
    assert!(set.due_probes(NOW.plus(PROBE_INTERVAL_MS - 1)).is_empty());
    assert_eq!(set.due_probes(NOW.plus(PROBE_INTERVAL_MS)).len(), 1);
    assert!(
        set.due_probes(NOW.plus(PROBE_INTERVAL_MS)).is_empty(),
        "not twice"
    );
    assert!(set.note_reachable(NOW, unreachable));
    assert!(!set.note_reachable(NOW, unreachable));
    assert!((0..50).any(|seed| choose(&set, much_later, mix64(seed, 5)) == Some(unreachable)));
}

/// Between two reports all processes see the same loads. If each chose the
/// least loaded replica, all would choose the same one.
#[test]
fn processes_with_the_same_stale_view_spread_their_requests() {
    let set = set(9);
    let mut chosen: HashMap<EndpointId, u32> = HashMap::new();
    for seed in 0..70_u64 {
        let choice = set.choose(NOW, &Wanted::of("llm"), mix64(seed, 11), |endpoint| {
            ReplicaLoad {
                in_flight: if endpoint == EndpointId::of("i3") {
                    4
                } else {
                    5
                },
                ..ReplicaLoad::default()
            }
        });
        *chosen.entry(choice.expect("one").endpoint).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 25, "{most} of 70 requests at one replica");
    assert!(chosen.len() >= 7, "{} replicas used", chosen.len());
}

#[test]
fn without_a_free_slot_the_least_loaded_takes_it() {
    let set = set(3);
    let choice = set.choose(NOW, &Wanted::of("llm"), 5, |endpoint| ReplicaLoad {
        in_flight: if endpoint == EndpointId::of("i2") {
            9
        } else {
            12
        },
        ..ReplicaLoad::default()
    });
    assert_eq!(choice.map(|r| r.endpoint), Some(EndpointId::of("i2")));
}

/// Returns how often, in 400 choices among four replicas, the one with an idle
/// connection is chosen if it has `own` requests in flight and the other three
/// have `others` each.
fn choices_of_connected(own: u32, others: u32) -> usize {
    let set = set(4);
    let connected = EndpointId::of("i1");
    let is_hit = |seed: &u64| {
        let choice = set.choose(NOW, &Wanted::of("llm"), mix64(*seed, 17), |endpoint| {
            ReplicaLoad {
                in_flight: if endpoint == connected { own } else { others },
                is_connected: endpoint == connected,
                ..ReplicaLoad::default()
            }
        });
        choice.is_some_and(|replica| replica.endpoint == connected)
    };
    (0..400).filter(is_hit).count()
}

#[test]
fn an_idle_connection_is_preferred_until_its_replica_is_nearly_full() {
    let alike = choices_of_connected(4, 4);
    assert!(alike > 350, "{alike} of 400");
    let with_one_free = choices_of_connected(7, 0);
    assert!((50..200).contains(&with_one_free), "{with_one_free} of 400");
    assert_eq!(choices_of_connected(8, 0), 0, "it has no free slot");
}

// Guards against requests to a replica that said in a response that it is
// leaving, whatever its entry says meanwhile or later.
#[test]
fn a_replica_that_says_it_is_leaving_stays_out_of_use_until_another_incarnation() {
    let mut set = set(1);
    let leaving = registration("i0");
    assert_eq!(set.note_leaving(&leaving), ReplicaChange::Draining);
    assert_eq!(set.note_leaving(&leaving), ReplicaChange::None);
    assert_eq!(choose(&set, NOW, 1), None);
    // Read again, changed, lapsed and back, removed and back.
    assert_eq!(set.register(leaving.clone()), ReplicaChange::None);
    let mut changed = leaving.clone();
    changed.slots = 9;
    assert_eq!(set.register(changed), ReplicaChange::None);
    set.set_store_reachable(NOW, false);
    let _ = set.remove(NOW, "i0");
    assert_eq!(set.register(leaving.clone()), ReplicaChange::None);
    set.set_store_reachable(NOW, true);
    let _ = set.remove(NOW.plus(LAPSED_RETENTION_MS), "i0");
    assert_eq!(set.register(leaving.clone()), ReplicaChange::None);
    assert_eq!(choose(&set, NOW, 1), None);
    // An entry of an earlier incarnation, read late.
    let mut earlier = leaving.clone();
    earlier.started_ms -= 1;
    assert_eq!(set.register(earlier), ReplicaChange::None);
    assert_eq!(choose(&set, NOW, 1), None);
    let mut next = leaving;
    next.started_ms += 1;
    assert_eq!(set.register(next), ReplicaChange::Added);
    assert!(choose(&set, NOW, 1).is_some());
}

// Guards against an overflow in the choice among replicas with very many slots, of which the
// weights are the squares.
#[test]
fn replicas_with_very_many_slots_are_chosen() {
    let mut set = ReplicaSet::default();
    for index in 0..3 {
        let mut many = registration(&format!("i{index}"));
        many.slots = u32::MAX;
        set.register(many);
    }
    for seed in 0..8 {
        let connected = ReplicaLoad {
            is_connected: true,
            ..ReplicaLoad::default()
        };
        let chosen = set.choose(NOW, &Wanted::of("llm"), mix64(seed, 1), |_| connected);
        assert!(chosen.is_some());
    }
    let usable = set.usable_slots(NOW, "llm", |replica| {
        u64::from(replica.registration.slots) * 1_000
    });
    assert_eq!(usable, u32::MAX);
}
