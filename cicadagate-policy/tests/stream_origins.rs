//! Which software version began a stream: what members remember and tell each other, in
//! simulated fleets whose members end, restart and lose datagrams, and the choice of a
//! replica for a stream that is resumed.

use cicadagate_policy::{
    fault_injection::{Fault, inject},
    ids::{CustomerId, EndpointId, MemberId, SoftwareVersion, StreamId, mix64},
    process::{
        placement::{PlacementCandidate, data_centre_hash},
        replicas::{Registration, ReplicaLoad, ReplicaSet, Wanted},
        stream_origins::{
            MAX_ORIGINS, ORIGIN_TTL_MS, StreamOrigins, VERSION_MEMORY_MS, VersionHistory, holders,
            members_to_ask,
        },
    },
    time::Time,
};

const DATA_CENTRES: usize = 4;
const STREAMS: usize = 4_000;
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix64(self.0, 0x0a11);
        self.0 % bound
    }

    fn index(&mut self, bound: usize) -> usize {
        usize::try_from(self.below(bound as u64)).expect("an index")
    }
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of_service("llm", name)
}

fn stream(at: usize) -> StreamId {
    StreamId::of_request(Some(CustomerId::of("huka")), &format!("request {at}"))
}

fn candidates(members: usize) -> Vec<PlacementCandidate> {
    let candidate = |at: usize| PlacementCandidate {
        member: MemberId::of(&format!("member {at}")),
        data_centre: data_centre_hash(&format!("data centre {}", at % DATA_CENTRES)),
    };
    (0..members).map(candidate).collect()
}

/// Returns the members that a member knows: all but itself and a random one.
fn view_of(
    all: &[PlacementCandidate],
    member: usize,
    random: &mut Random,
) -> Vec<PlacementCandidate> {
    let missing = random.index(all.len());
    let known = all.iter().enumerate();
    known
        .filter(|(at, _)| *at != member && *at != missing)
        .map(|(_, candidate)| *candidate)
        .collect()
}

/// How the resumptions of a simulated fleet ended.
#[derive(Debug, Default)]
struct Outcome {
    /// The version was known, and was the right one.
    right: usize,
    wrong: usize,
    unknown: usize,
}

impl Outcome {
    fn right_percent(&self) -> usize {
        self.right * 100 / (self.right + self.wrong + self.unknown)
    }
}

/// A stream begins at a member, which ends; its caller resumes it at another one.
/// Besides, `killed_percent` of the members have restarted and know nothing, the views of
/// members differ in one member, and `lost_percent` of the datagrams are lost.
fn simulate(members: usize, killed_percent: u64, lost_percent: u64) -> Outcome {
    let mut random = Random(members as u64 * 1_000 + killed_percent);
    let all = candidates(members);
    let position = |id: MemberId| all.iter().position(|it| it.member == id).expect("a member");
    let mut outcome = Outcome::default();
    let mut memories = vec![StreamOrigins::default(); members];
    for at in 0..STREAMS {
        let now = Time(1_000 + at as u64 * 10);
        let (stream, began_at) = (stream(at), random.index(members));
        let began = version(VERSIONS[random.index(VERSIONS.len())]);
        memories[began_at].note(now, stream, began);
        for holder in holders(stream, &view_of(&all, began_at, &mut random)) {
            if random.below(100) >= lost_percent {
                memories[position(holder)].note(now, stream, began);
            }
        }
        let mut is_ended = vec![false; members];
        is_ended[began_at] = true;
        for ended in &mut is_ended {
            *ended |= random.below(100) < killed_percent;
        }
        let resumed_at = random.index(members);
        if is_ended[resumed_at] {
            continue;
        }
        let mut found = memories[resumed_at].get(stream);
        for asked in members_to_ask(stream, &view_of(&all, resumed_at, &mut random)) {
            let asked = position(asked);
            let is_answered = !is_ended[asked] && random.below(100) >= lost_percent;
            if is_answered && found.is_none() {
                found = memories[asked].get(stream);
            }
        }
        match found {
            Some(found) if found == began => outcome.right += 1,
            Some(_) => outcome.wrong += 1,
            None => outcome.unknown += 1,
        }
    }
    outcome
}

// Guards against streams that can't be resumed, or go on at a wrong version, after the
// member that began them and others were killed, at each size of the fleet.
#[test]
fn resumed_streams_find_their_version_after_kills() {
    for members in [11, 40, 195, 410] {
        for (killed_percent, least_percent) in [(0, 99), (10, 99), (30, 95), (50, 84)] {
            let outcome = simulate(members, killed_percent, 1);
            let what = format!("{members} members, {killed_percent} % killed: {outcome:?}");
            assert_eq!(outcome.wrong, 0, "{what}");
            assert!(outcome.right_percent() >= least_percent, "{what}");
        }
    }
}

#[test]
fn detects_that_too_few_members_are_asked() {
    inject(Some(Fault::AskOneHolder));
    assert!(simulate(40, 30, 1).right_percent() < 95);
}

// Guards against memory that grows with each stream.
#[test]
fn remembered_streams_are_bounded_and_expire() {
    let mut origins = StreamOrigins::default();
    let mut now = Time(1);
    for at in 0..MAX_ORIGINS + 100 {
        origins.note(now, stream(at), version("v1"));
    }
    assert_eq!(origins.len(), MAX_ORIGINS);
    assert_eq!(origins.get(stream(0)), None);
    assert_eq!(origins.get(stream(MAX_ORIGINS)), Some(version("v1")));
    now = now.plus(ORIGIN_TTL_MS);
    origins.note(now, stream(0), version("v2"));
    assert_eq!(
        (origins.len(), origins.get(stream(0))),
        (1, Some(version("v2")))
    );
}

// Guards against a late or repeated word that moves a stream to another version, and
// against a customer that learns or sets the origin of another one's stream.
#[test]
fn the_first_word_about_a_stream_counts() {
    let mut origins = StreamOrigins::default();
    origins.note(Time(1), stream(1), version("v1"));
    origins.note(Time(2), stream(1), version("v2"));
    assert_eq!(origins.get(stream(1)), Some(version("v1")));
    let others = StreamId::of_request(Some(CustomerId::of("small")), "request 1");
    assert_eq!(origins.get(others), None);
}

// Guards against a stream of unknown origin that goes on at a version that came after it,
// or at the one that is left of two.
#[test]
fn a_service_has_an_only_version_once_the_others_are_long_gone() {
    let mut history = VersionHistory::default();
    let none = || std::iter::empty();
    let (old, new) = (version("v1"), version("v2"));
    assert_eq!(history.only_version(Time(1), "llm", none()), None);
    history.note(Time(1), "llm", old);
    history.note(Time(1), "other", new);
    assert_eq!(history.only_version(Time(1), "llm", none()), Some(old));
    history.note(Time(2), "llm", new);
    for ms in [2, 1_000, VERSION_MEMORY_MS] {
        history.note(Time(ms), "llm", new);
        assert_eq!(history.only_version(Time(ms), "llm", none()), None, "{ms}");
    }
    let later = Time(VERSION_MEMORY_MS + 1);
    assert_eq!(history.only_version(later, "llm", none()), Some(new));
    // A replica that is still known counts, however long ago it was registered.
    let present = std::iter::once(old);
    assert_eq!(history.only_version(later, "llm", present), None);
}

/// Returns how often a replica of another version was chosen for a resumed stream.
fn wrong_choices() -> usize {
    let mut replicas = ReplicaSet::default();
    for at in 0..12 {
        let _ = replicas.register(Registration {
            id: format!("i{at}"),
            service: "llm".to_owned(),
            addr: "10.0.0.1:80".parse().expect("an address"),
            data_centre: "a".to_owned(),
            slots: 8,
            software_version: VERSIONS[at % VERSIONS.len()].to_owned(),
            is_draining: at >= 9,
            started_ms: 1,
        });
    }
    let mut wrong = 0;
    for seed in 0..300 {
        for wanted_version in VERSIONS.map(version).into_iter().chain([version("v9")]) {
            // Those of the wanted version are nearly full, avoided, or tried already.
            let now = Time(1_000);
            let excluded = [EndpointId::of(&format!("i{}", seed % 9))];
            let _ = replicas.note_failure(now, EndpointId::of(&format!("i{}", seed % 7)));
            let wanted = Wanted {
                version: Some(wanted_version),
                excluded: &excluded,
                ..Wanted::of("llm")
            };
            let chosen = replicas.choose(now, &wanted, mix64(seed, 3), |_| ReplicaLoad {
                in_flight: 8,
                ..ReplicaLoad::default()
            });
            let is_served = replicas.serves_version("llm", wanted_version);
            wrong += usize::from(chosen.is_some() != is_served);
            wrong += usize::from(chosen.is_some_and(|replica| replica.version != wanted_version));
        }
    }
    wrong
}

// Guards against a resumed stream that goes to a replica of another version, since those
// of its own are full, avoided or draining.
#[test]
fn a_resumed_stream_gets_a_replica_of_its_version_or_none() {
    assert_eq!(wrong_choices(), 0);
}

#[test]
fn detects_a_choice_regardless_of_the_version() {
    inject(Some(Fault::IgnoreSoftwareVersion));
    assert!(wrong_choices() > 0);
}
