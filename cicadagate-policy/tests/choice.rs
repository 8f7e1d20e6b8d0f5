//! Choice of replicas and members: affinity, bounded load, and few moved keys
//! when one is lost.

use {
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        process::placement::{PlacementCandidate, preferred_member, spread_over_data_centres},
        request::replica_selection::{AVOID_MS, ReplicaSelector, SelectionPolicy},
        time::Time,
    },
    std::collections::BTreeMap,
};

const NOW: Time = Time(1_000);

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count)
        .map(|index| EndpointId::of(&format!("replica {index}")))
        .collect()
}

fn candidates(count: usize, data_centres: usize) -> Vec<PlacementCandidate> {
    (0..count)
        .map(|index| PlacementCandidate {
            member: MemberId::of(&format!("member {index}")),
            data_centre: (index % data_centres) as u64,
        })
        .collect()
}

#[test]
fn a_prefix_keeps_its_replica_until_that_is_loaded() {
    let mut selector = ReplicaSelector::new(SelectionPolicy::Affinity);
    let replicas = endpoints(5);
    let first = selector.rank(NOW, 42, 0, &replicas)[0];
    for seed in 0..20 {
        assert_eq!(selector.rank(NOW, 42, seed, &replicas)[0], first);
    }
    for replica in &replicas {
        selector.note_load(NOW, *replica, if *replica == first { 30 } else { 5 });
    }
    let order = selector.rank(NOW, 42, 0, &replicas);
    assert_ne!(order[0], first);
    assert_eq!(order[4], first, "the loaded one comes last");
}

#[test]
fn a_failed_replica_is_avoided_for_a_while() {
    let mut selector = ReplicaSelector::new(SelectionPolicy::Affinity);
    let replicas = endpoints(3);
    let first = selector.rank(NOW, 7, 0, &replicas)[0];
    selector.note_failure(NOW, first);
    assert_eq!(selector.rank(NOW, 7, 0, &replicas)[2], first);
    assert_eq!(selector.rank(NOW.plus(AVOID_MS), 7, 0, &replicas)[0], first);
    // The order by key depends on nothing but the key and recent failures.
    assert_eq!(selector.rank_by_key(NOW, 7, &replicas)[2], first);
}

#[test]
fn prefixes_spread_over_replicas() {
    let selector = ReplicaSelector::new(SelectionPolicy::Affinity);
    let replicas = endpoints(8);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for prefix in 0..8_000_u64 {
        let key = cicadagate_policy::ids::hash64(&[&prefix.to_le_bytes()]);
        *counts
            .entry(selector.rank(NOW, key, 0, &replicas)[0])
            .or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_lost_member_moves_only_its_own_keys() {
    let before = candidates(12, 3);
    let (lost, after) = (before[4].member, [&before[..4], &before[5..]].concat());
    let mut moved = 0;
    for number in 0..2_000_u64 {
        let key = cicadagate_policy::ids::hash64(&[&number.to_le_bytes()]);
        let (old, new) = (
            preferred_member(key, 1, &before),
            preferred_member(key, 1, &after),
        );
        if old == Some(lost) {
            moved += 1;
        } else {
            assert_eq!(old, new);
        }
    }
    // A quarter of the keys of its data centre, which has four members.
    assert!((400..600).contains(&moved), "{moved}");
}

#[test]
fn preferred_members_are_local_and_spread_members_are_in_all_data_centres() {
    let candidates = candidates(12, 3);
    let centre = |member: MemberId| {
        candidates
            .iter()
            .find(|candidate| candidate.member == member)
            .map(|candidate| candidate.data_centre)
    };
    for number in 0..200_u64 {
        let key = cicadagate_policy::ids::hash64(&[&number.to_le_bytes()]);
        assert_eq!(
            preferred_member(key, 2, &candidates).and_then(centre),
            Some(2)
        );
        let mut centres: Vec<_> = spread_over_data_centres(key, 3, &candidates)
            .into_iter()
            .filter_map(centre)
            .collect();
        centres.sort_unstable();
        assert_eq!(centres, [0, 1, 2]);
    }
}
