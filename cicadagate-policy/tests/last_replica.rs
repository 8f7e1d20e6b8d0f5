//! Return of a preempted item to the replica that ran it last.

use cicadagate_policy::{
    ids::EndpointId,
    process::{
        last_replica::last_replica,
        replicas::{Registration, ReplicaLoad, ReplicaSet, Wanted},
    },
    time::Time,
};

const NOW: Time = Time(10_000);
const SLOTS: u32 = 8;

fn registration() -> Registration {
    Registration {
        id: "i0".to_owned(),
        service: "llm".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        software_version: "v1".to_owned(),
        is_draining: false,
        started_ms: 1,
    }
}

fn returns(set: &ReplicaSet, wanted: &Wanted<'_>, in_flight: u32) -> bool {
    let load = ReplicaLoad {
        in_flight,
        ..ReplicaLoad::default()
    };
    last_replica(NOW, set, wanted, EndpointId::of("i0"), load).is_some()
}

// Guards against an item that waits for its last replica, or continues its output at
// another version.
#[test]
fn an_item_returns_only_to_a_sound_replica_of_its_version_with_a_free_slot() {
    let last = EndpointId::of("i0");
    let mut set = ReplicaSet::default();
    set.register(registration());
    let wanted = Wanted::of("llm");
    assert!(returns(&set, &wanted, SLOTS - 1));
    assert!(!returns(&set, &wanted, SLOTS), "no free slot");
    assert!(!returns(&set, &Wanted::of("other"), 0));
    let version = Wanted {
        version: Some(registration().version()),
        ..wanted
    };
    assert!(returns(&set, &version, 0));
    let mut next = registration();
    next.software_version = "v2".to_owned();
    let other_version = Wanted {
        version: Some(next.version()),
        ..wanted
    };
    assert!(!returns(&set, &other_version, 0));
    let excluded = Wanted {
        excluded: &[last],
        ..wanted
    };
    assert!(!returns(&set, &excluded, 0));
    let mut failed = set.clone();
    failed.note_failure(NOW, last);
    assert!(!returns(&failed, &wanted, 0));
    let mut left = set.clone();
    left.note_leaving(&registration());
    assert!(!returns(&left, &wanted, 0));
}
