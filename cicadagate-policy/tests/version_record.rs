//! Which software versions the store lists: members that start, miss notices and are
//! killed, and what they conclude about streams of unknown version.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{EndpointId, SoftwareVersion, mix64},
        process::{
            replicas::{Registration, ReplicaLoad, ReplicaSet, VersionProof, Wanted},
            stream_origins::{VERSION_MEMORY_MS, VersionHistory},
            version_record::{
                MAX_VERSIONS, NOTICE_WAIT_MS, REMOVE_AFTER_MS, RecordChange, UNRECORDED_AFTER_MS,
                VersionName, VersionRecord, WRITE_INTERVAL_MS,
            },
        },
        time::Time,
    },
    std::collections::HashSet,
};

const SERVICE: &str = "llm";

fn name(version: &str) -> VersionName {
    VersionName {
        service: SERVICE.to_owned(),
        version: version.to_owned(),
    }
}

fn present(versions: &[&str]) -> HashSet<VersionName> {
    versions.iter().map(|version| name(version)).collect()
}

/// A member, which was started at a time and has read what the store lists.
struct Member {
    record: VersionRecord,
    history: VersionHistory,
}

impl Member {
    fn start(now: Time, listed: &[&str]) -> Self {
        let mut member = Self {
            record: VersionRecord::default(),
            history: VersionHistory::default(),
        };
        let listed: Vec<VersionName> = listed.iter().map(|version| name(version)).collect();
        let history = &mut member.history;
        member.record.note_read(now, &listed, history);
        member
    }

    /// Returns what a resumed stream of unknown version is bound to.
    fn conclude(&mut self, now: Time, versions: &[&str]) -> Option<SoftwareVersion> {
        self.conclude_after_read(now, versions, versions)
    }

    /// Returns the same if the store lists `listed` since the stream was resumed.
    fn conclude_after_read(
        &mut self,
        now: Time,
        versions: &[&str],
        listed: &[&str],
    ) -> Option<SoftwareVersion> {
        let listed: Vec<VersionName> = listed.iter().map(|version| name(version)).collect();
        let present = versions.iter().map(|version| name(version).id());
        for version in present.clone() {
            self.history.note(now, SERVICE, version);
        }
        let history = &self.history;
        self.record
            .only_version(now, SERVICE, present, history, &listed)
    }

    fn due(&mut self, now: Time, versions: &[&str], is_owner: bool) -> Vec<RecordChange> {
        let present = present(versions);
        self.record.due_changes(now, &present, |_| is_owner)
    }
}

fn registration(id: &str, version: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: 8,
        software_version: version.to_owned(),
        is_draining: false,
        started_ms: 1,
    }
}

fn add(version: &str) -> Vec<RecordChange> {
    vec![RecordChange::Add(name(version))]
}

/// Returns whether a process that starts after a kill of all takes the version that is
/// left for the only one.
fn concludes_after_restart() -> bool {
    let mut restarted = Member::start(Time(1), &["v1", "v2"]);
    restarted.conclude(Time(2), &["v2"]).is_some()
}

// Guards against a restarted process that takes the version that is left of two for the
// only one, while a stream of the other can be alive.
#[test]
fn a_listed_version_counts_for_as_long_as_streams_live() {
    assert!(!concludes_after_restart());
    let mut restarted = Member::start(Time(1), &["v1", "v2"]);
    let last = Time(VERSION_MEMORY_MS);
    assert_eq!(restarted.conclude(last, &["v2"]), None);
    let later = Time(VERSION_MEMORY_MS + 1);
    assert_eq!(restarted.conclude(later, &["v2"]), Some(name("v2").id()));
}

#[test]
fn detects_a_record_that_is_ignored() {
    inject(Some(Fault::IgnoreVersionRecord));
    assert!(concludes_after_restart());
}

// Guards against the refusal of streams of a service with one version, and against
// conclusions from a record that was not read or does not list the version.
#[test]
fn only_a_listed_version_is_concluded_at_once() {
    let mut restarted = Member::start(Time(1), &["v1"]);
    let only = Some(name("v1").id());
    assert_eq!(restarted.conclude(Time(2), &["v1"]), only);
    let mut first = Member::start(Time(1), &[]);
    assert_eq!(first.conclude(Time(2), &["v1"]), None);
    // What a process writes itself proves nothing about the time before.
    first.record.note_added(Time(2), name("v1").id());
    assert_eq!(first.conclude(Time(VERSION_MEMORY_MS), &["v1"]), None);
    let later = Time(VERSION_MEMORY_MS + 1);
    assert_eq!(first.conclude(later, &["v1"]), only);
    let mut unread = Member {
        record: VersionRecord::default(),
        history: VersionHistory::default(),
    };
    let much_later = Time(10 * VERSION_MEMORY_MS);
    assert_eq!(unread.conclude(much_later, &["v1"]), None);
    assert_eq!(unread.due(much_later, &["v1"], true), []);
}

/// Returns whether a member that was cut off or suspended while another version joined takes
/// the one that it knows for the only one, for each time at which it was started.
fn concludes_after_suspension() -> Vec<bool> {
    let suspended_until = Time(2 * VERSION_MEMORY_MS);
    let concludes = |started: u64, listed: &[&str]| {
        let mut member = Member::start(Time(started), listed);
        let concluded = member.conclude_after_read(suspended_until, &["v1"], &["v1", "v2"]);
        concluded.is_some()
    };
    vec![
        concludes(1, &["v1"]),
        concludes(suspended_until.0 - 1, &["v1"]),
        // The time of the suspension proves nothing.
        concludes(1, &[]),
    ]
}

// Guards against a member that takes the only version that it has seen for the only one,
// although it was out of step while another one joined.
#[test]
fn a_version_that_joined_unseen_is_found_in_the_store() {
    assert_eq!(concludes_after_suspension(), [false; 3]);
    let mut member = Member::start(Time(1), &["v1"]);
    let only = Some(name("v1").id());
    assert_eq!(member.conclude_after_read(Time(2), &["v1"], &["v1"]), only);
    let other_service = VersionName {
        service: "other".to_owned(),
        ..name("v2")
    };
    let concluded = member.record.only_version(
        Time(2),
        SERVICE,
        [name("v1").id()].into_iter(),
        &member.history,
        &[name("v1"), other_service],
    );
    assert_eq!(concluded, only);
}

#[test]
fn detects_that_the_store_is_ignored_after_a_suspension() {
    inject(Some(Fault::IgnoreVersionRecord));
    assert_eq!(concludes_after_suspension(), [true; 3]);
}

// Guards against a version that stays listed, and whose presence refuses streams, since all
// members that knew it ended or forgot it before they removed it.
#[test]
fn a_listed_version_that_nobody_knows_is_removed() {
    let mut owner = Member::start(Time(1), &["v1"]);
    let found = Time(1_000);
    // Later reads do not put the removal off.
    let mut now = found;
    while now < found.plus(REMOVE_AFTER_MS) {
        owner.record.note_listed(now, &[name("v0"), name("v1")]);
        assert_eq!(owner.due(now, &["v1"], true), [], "{now:?}");
        now = now.plus(1_000);
    }
    let removal = vec![RecordChange::Remove(name("v0").id())];
    assert_eq!(owner.due(now, &["v1"], true), removal);
}

// Guards against versions that nobody records since the owner ended, and against members
// that write at the same time as the owner.
#[test]
fn others_record_a_version_if_the_owner_does_not() {
    let mut owner = Member::start(Time(1), &[]);
    let mut other = Member::start(Time(1), &[]);
    assert_eq!(owner.due(Time(2), &["v1"], true), add("v1"));
    assert_eq!(other.due(Time(2), &["v1"], false), []);
    other.record.note_added(Time(3), name("v1").id());
    let late = Time(2 + NOTICE_WAIT_MS);
    assert_eq!(other.due(late, &["v1"], false), []);
    let mut unaware = Member::start(Time(1), &[]);
    assert_eq!(unaware.due(Time(2), &["v1"], false), []);
    assert_eq!(unaware.due(late, &["v1"], false), add("v1"));
    // A write that failed is repeated, but not at once.
    assert_eq!(unaware.due(late.plus(1), &["v1"], false), []);
    let again = late.plus(WRITE_INTERVAL_MS);
    assert_eq!(unaware.due(again, &["v1"], false), add("v1"));
}

// Guards against the removal of a version whose streams can be alive, and against a version
// that comes back and is not recorded again.
#[test]
fn a_version_is_removed_once_its_streams_have_ended() {
    let mut owner = Member::start(Time(1), &["v1", "v2"]);
    let mut other = Member::start(Time(1), &["v1", "v2"]);
    let mut now = Time(1);
    while now < Time(REMOVE_AFTER_MS) {
        assert_eq!(owner.due(now, &["v2"], true), [], "{now:?}");
        now = now.plus(1_000);
    }
    now = Time(1 + REMOVE_AFTER_MS);
    let removal = vec![RecordChange::Remove(name("v1").id())];
    assert_eq!(owner.due(now, &["v2"], true), removal);
    owner.record.note_removed(name("v1").id());
    assert_eq!(owner.due(now.plus(5_000), &["v2"], true), []);
    // The notice of the removal is lost.
    let back = Time(1 + UNRECORDED_AFTER_MS);
    now = Time(1);
    while now <= back {
        assert!(now == back || other.record.is_recorded(name("v1").id()));
        assert_eq!(other.due(now, &["v2"], false), [], "{now:?}");
        now = now.plus(1_000);
    }
    assert!(!other.record.is_recorded(name("v1").id()));
    assert_eq!(other.due(back.plus(1), &["v1", "v2"], true), add("v1"));
}

// Guards against a record that grows with each release, and against conclusions if not all
// versions are known.
#[test]
fn remembered_versions_are_bounded() {
    let mut member = Member::start(Time(1), &["v1"]);
    for at in 0..MAX_VERSIONS + 10 {
        let version = name(&format!("{at}")).id();
        member.record.note_added(Time(1), version);
    }
    assert_eq!(member.record.len(), MAX_VERSIONS);
    assert_eq!(member.conclude(Time(2), &["v1"]), None);
    let later = Time(1 + 2 * REMOVE_AFTER_MS);
    let _ = member.due(later, &["v1"], false);
    assert!(member.record.is_empty() || member.record.len() == 1);
}

// Guards against streams at a version that is not recorded while another replica can take
// them, and against requests that are refused since no version is recorded.
#[test]
fn replicas_of_unrecorded_versions_are_chosen_last() {
    let mut replicas = ReplicaSet::default();
    for (at, version) in ["v1", "v2", "v2"].into_iter().enumerate() {
        let _ = replicas.register(registration(&format!("i{at}"), version));
    }
    let mut record = VersionRecord::default();
    let chosen = |replicas: &ReplicaSet, record: &VersionRecord, seed| {
        let wanted = Wanted {
            recorded: Some(record),
            ..Wanted::of(SERVICE)
        };
        let load = |_| ReplicaLoad::default();
        let replica = replicas.choose(Time(10), &wanted, mix64(seed, 3), load);
        replica.map(|replica| replica.version)
    };
    for seed in 0..50 {
        assert!(chosen(&replicas, &record, seed).is_some());
    }
    record.note_added(Time(1), name("v1").id());
    for seed in 0..50 {
        let version = chosen(&replicas, &record, seed);
        assert_eq!(version, Some(name("v1").id()));
    }
    replicas.note_unreachable(Time(10), EndpointId::of("i0"));
    for seed in 0..50 {
        let version = chosen(&replicas, &record, seed);
        assert_eq!(version, Some(name("v2").id()));
    }
}

/// Returns how often a stream of v1 goes on at a replica that may have restarted with other
/// software; another replica of v1 is not in doubt.
fn choices_of_lost_replicas() -> usize {
    let mut replicas = ReplicaSet::default();
    for id in ["i0", "i1"] {
        let _ = replicas.register(registration(id, "v1"));
    }
    replicas.note_lost_contact(EndpointId::of("i0"), false);
    let wanted = Wanted {
        version: Some(name("v1").id()),
        proof: VersionProof::Required,
        ..Wanted::of(SERVICE)
    };
    let lost = (0..50).filter(|seed| {
        let seed = mix64(*seed, 3);
        let chosen = replicas.choose(Time(10), &wanted, seed, |_| ReplicaLoad::default());
        chosen.is_some_and(|replica| replica.endpoint == EndpointId::of("i0"))
    });
    lost.count()
}

// Guards against streams that go on at a replica that may have restarted with other
// software, while another of their version is left.
#[test]
fn lost_replicas_are_chosen_last() {
    assert_eq!(choices_of_lost_replicas(), 0);
}

#[test]
fn detects_that_lost_replicas_are_trusted() {
    inject(Some(Fault::TrustLostReplicas));
    assert!(choices_of_lost_replicas() > 0);
}

// Guards against a replica that is trusted by a registration that it wrote before contact
// was lost, and against one that is never trusted again.
#[test]
fn a_lost_replica_is_trusted_after_a_later_registration() {
    let endpoint = EndpointId::of("i0");
    let mut replicas = ReplicaSet::default();
    let _ = replicas.register(registration("i0", "v1"));
    let is_chosen = |replicas: &ReplicaSet, proof| {
        let wanted = Wanted {
            version: Some(name("v1").id()),
            proof,
            ..Wanted::of(SERVICE)
        };
        let chosen = replicas.choose(Time(10), &wanted, 1, |_| ReplicaLoad::default());
        chosen.is_some()
    };
    // A connection that was lost is no reason to refuse; one that was refused is, if there
    // are several versions.
    assert!(replicas.note_lost_contact(endpoint, false));
    assert!(is_chosen(&replicas, VersionProof::Required));
    assert!(replicas.note_lost_contact(endpoint, true));
    assert!(!replicas.note_lost_contact(endpoint, false));
    for read in 0..2 {
        replicas.note_renewed(endpoint);
        assert!(!is_chosen(&replicas, VersionProof::Required), "{read}");
        assert!(is_chosen(&replicas, VersionProof::Preferred), "{read}");
        replicas.note_complete_read();
    }
    replicas.note_renewed(endpoint);
    assert!(is_chosen(&replicas, VersionProof::Required));
    // The registration of a later incarnation counts at once.
    assert!(replicas.note_lost_contact(endpoint, true));
    let _ = replicas.register(registration("i0", "v1"));
    assert!(!is_chosen(&replicas, VersionProof::Required));
    let _ = replicas.register(Registration {
        started_ms: 2,
        ..registration("i0", "v1")
    });
    assert!(is_chosen(&replicas, VersionProof::Required));
}

// Guards against a version that no process records any more although it has replicas: its
// removal was carried out late, after the version was recorded again.
#[test]
fn a_version_that_comes_back_survives_a_late_removal() {
    /// Time within which the store carries out a call to which it has not responded.
    const LATE_MS: u64 = 15_000;
    let mut owner = Member::start(Time(1), &["v1"]);
    let removed_at = Time(1 + REMOVE_AFTER_MS);
    let removal = vec![RecordChange::Remove(name("v1").id())];
    assert_eq!(owner.due(removed_at, &[], true), removal);
    let back = removed_at.plus(WRITE_INTERVAL_MS);
    assert_eq!(owner.due(back, &["v1"], true), add("v1"));
    owner.record.note_added(back, name("v1").id());
    // The removal is carried out.
    let late = removed_at.plus(LATE_MS);
    assert_eq!(owner.due(Time(late.0 - 1), &["v1"], false), []);
    assert_eq!(owner.due(late, &["v1"], false), add("v1"));
    // Without a response of the store, the version is recorded once more.
    let retried = late.plus(WRITE_INTERVAL_MS);
    assert_eq!(owner.due(retried, &["v1"], false), add("v1"));
    owner.record.note_added(retried, name("v1").id());
    assert_eq!(owner.due(retried.plus(LATE_MS), &["v1"], false), []);
}
