//! Who reads the replicas' registrations and what the others apply, in simulated fleets
//! whose members join, leave, pause and lose datagrams or the store.

use {
    bytes::Bytes,
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{EndpointId, MemberId, mix64},
        process::{
            placement::{PlacementCandidate, data_centre_hash},
            registration_readers::{
                CHANGE_RULES, ChangeRange, MAX_DATAGRAM_NEWS_BYTES, ReadLimits, Received,
                RegistrationFeed, RegistrationNews, Role, fingerprint, readers, serving_readers,
            },
            replicas::Registration,
        },
        time::Time,
    },
    std::{collections::HashSet, net::SocketAddr},
};

const MEMBERS: usize = 96;
const REPLICAS: usize = 300;
const DATA_CENTRES: usize = 4;
const DRAIN_MS: u64 = 2_000;
const READ_INTERVAL_MS: u64 = DRAIN_MS / 5;
const HEARTBEAT_MS: u64 = 1_200;
const RECORD_BYTES: usize = 200;
const STEP_MS: u64 = 20;
/// Time after which the members know that another one has ended.
const DETECTION_MS: u64 = 2_500;
/// Duration of a read that the store doesn't answer.
const READ_TIMEOUT_MS: u64 = 800;
const REMOVED: u8 = u8::MAX;
const DRAINING: u8 = 1;

/// A read limit at which the fleet of these tests shares reads.
const LIMITS: ReadLimits = ReadLimits {
    read_bytes_per_s: Some(1_000_000),
    heartbeat_ms: HEARTBEAT_MS,
    drain_ms: DRAIN_MS,
};

fn candidate(at: usize) -> PlacementCandidate {
    PlacementCandidate {
        member: MemberId::of(&format!("member {at}")),
        data_centre: data_centre_hash(&format!("data centre {}", at % DATA_CENTRES)),
    }
}

fn registration(replica: usize, state: u8) -> Registration {
    Registration {
        id: format!("i-{replica}"),
        service: "llm".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], 8080)),
        data_centre: "a".to_owned(),
        slots: 8,
        software_version: "v1".to_owned(),
        is_draining: state == DRAINING,
        started_ms: u64::from(state),
    }
}

/// Encodes a record: the replica, its state, and a number that differs in each record.
fn record(replica: usize, state: u8, seq: u64) -> Bytes {
    let mut bytes = u16::try_from(replica)
        .expect("few replicas")
        .to_le_bytes()
        .to_vec();
    bytes.push(state);
    bytes.extend(seq.to_le_bytes());
    let len = if state == REMOVED { 11 } else { RECORD_BYTES };
    bytes.resize(len, 0);
    bytes.into()
}

/// Applies a record as a member does, and returns whether it is a change.
fn apply(feed: &mut RegistrationFeed, known: &mut [u8], record: &Bytes) -> bool {
    let replica = usize::from(u16::from_le_bytes([record[0], record[1]]));
    let state = record[2];
    known[replica] = state;
    let endpoint = EndpointId::of(&format!("i-{replica}"));
    let registration = (state != REMOVED).then(|| registration(replica, state));
    let known = registration
        .as_ref()
        .map(|registration| (registration, false));
    feed.note(endpoint, known, record.len())
}

struct Member {
    feed: RegistrationFeed,
    known: Vec<u8>,
    role: Role,
    ended_at: Option<u64>,
    paused_until: u64,
    /// Time from which it must know each change in time.
    checked_from: u64,
    wakes_at: u64,
    /// End of the read in progress.
    reads_until: Option<u64>,
    has_store: bool,
    bytes_read: u64,
    reads: u64,
}

impl Member {
    fn new(now: u64) -> Self {
        Self {
            feed: RegistrationFeed::default(),
            known: vec![REMOVED; REPLICAS],
            role: Role::Independent,
            ended_at: None,
            paused_until: 0,
            checked_from: now + DRAIN_MS,
            wakes_at: now,
            reads_until: None,
            has_store: true,
            bytes_read: 0,
            reads: 0,
        }
    }

    fn is_running(&self, now: u64) -> bool {
        self.ended_at.is_none() && self.paused_until <= now
    }
}

struct Fleet {
    now: u64,
    random: u64,
    log: Vec<Bytes>,
    states: Vec<u8>,
    /// States that the replicas had, and until when.
    past: Vec<Vec<(u64, u8)>>,
    members: Vec<Member>,
    datagrams: Vec<(usize, RegistrationNews)>,
    loss_percent: u64,
    /// Changes that a member did not know in time.
    late: usize,
}

impl Fleet {
    fn new(loss_percent: u64) -> Self {
        let mut fleet = Self {
            now: 10_000,
            random: 7,
            log: Vec::new(),
            states: vec![0; REPLICAS],
            past: vec![Vec::new(); REPLICAS],
            members: Vec::new(),
            datagrams: Vec::new(),
            loss_percent,
            late: 0,
        };
        for replica in 0..REPLICAS {
            fleet.append(replica);
        }
        for _ in 0..MEMBERS {
            fleet.members.push(Member::new(fleet.now));
        }
        fleet.run_for(3_000);
        fleet
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random = mix64(self.random, 0x0e5d);
        self.random % bound
    }

    fn append(&mut self, replica: usize) {
        let seq = self.log.len() as u64;
        self.log.push(record(replica, self.states[replica], seq));
    }

    fn change(&mut self, replica: usize, state: u8) {
        let before = std::mem::replace(&mut self.states[replica], state);
        self.past[replica].push((self.now, before));
        self.append(replica);
    }

    fn change_random(&mut self) {
        let replica = usize::try_from(self.below(REPLICAS as u64)).expect("an index");
        let state = match self.below(4) {
            0 => DRAINING,
            1 => REMOVED,
            other => u8::try_from(other).expect("a state"),
        };
        self.change(replica, state);
    }

    fn end(&mut self, at: usize) {
        self.members[at].ended_at = Some(self.now);
    }

    fn with_role(&self, role: Role) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, member)| member.ended_at.is_none() && member.role == role)
            .map(|(at, _)| at)
            .collect()
    }

    fn candidates(&self) -> Vec<PlacementCandidate> {
        let is_known = |member: &Member| {
            let is_gone = |ended| self.now >= ended + DETECTION_MS;
            !member.ended_at.is_some_and(is_gone) && member.feed.next().is_some()
        };
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, member)| is_known(member))
            .map(|(at, _)| candidate(at))
            .collect()
    }

    fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            let phase = |replica: usize| replica as u64 * 37 % HEARTBEAT_MS / STEP_MS;
            for replica in 0..REPLICAS {
                let is_due = phase(replica) == self.now % HEARTBEAT_MS / STEP_MS;
                if is_due && self.states[replica] != REMOVED {
                    self.append(replica);
                }
            }
            self.deliver();
            let candidates = self.candidates();
            for at in 0..self.members.len() {
                if self.members[at].is_running(self.now) {
                    self.step(at, &candidates);
                }
            }
            self.check();
        }
    }

    fn deliver(&mut self) {
        for (to, news) in std::mem::take(&mut self.datagrams) {
            let member = &mut self.members[to];
            if member.ended_at.is_some() {
                continue;
            }
            if !member.is_running(self.now) {
                self.datagrams.push((to, news));
                continue;
            }
            if let Received::Records(records) = member.feed.receive(Some(Time(self.now)), news) {
                for record in records {
                    apply(&mut member.feed, &mut member.known, &record);
                }
            }
        }
    }

    fn step(&mut self, at: usize, candidates: &[PlacementCandidate]) {
        let (now, own_id) = (self.now, candidate(at).member);
        let latency_ms = 20 + self.below(100);
        let member = &mut self.members[at];
        if let Some(until) = member.reads_until {
            if now >= until {
                member.reads_until = None;
                self.finish_read(at, candidates);
            }
            return;
        }
        if now < member.wakes_at {
            return;
        }
        member.role = member
            .feed
            .role(own_id, candidates.len(), candidates, &LIMITS);
        let due = member.feed.read_due(own_id, &LIMITS);
        let is_served = member.role == Role::Served && member.feed.next().is_some();
        if is_served && due.0 > now {
            member.wakes_at = due.0.min(now + READ_INTERVAL_MS);
            return;
        }
        let read_ms = if member.has_store {
            latency_ms
        } else {
            READ_TIMEOUT_MS
        };
        member.reads_until = Some(now + read_ms);
    }

    fn finish_read(&mut self, at: usize, candidates: &[PlacementCandidate]) {
        let (now, end) = (Time(self.now), self.log.len() as u64);
        let member = &mut self.members[at];
        if !member.has_store {
            member.wakes_at = self.now + 100;
            return;
        }
        member.wakes_at = self.now + READ_INTERVAL_MS;
        member.reads += 1;
        let Some(from) = member.feed.next() else {
            for replica in 0..REPLICAS {
                let latest = record(replica, self.states[replica], 0);
                member.bytes_read += latest.len() as u64;
                apply(&mut member.feed, &mut member.known, &latest);
            }
            member.feed.restart(now, end, end);
            return;
        };
        for record in &self.log[usize::try_from(from).expect("an index")..] {
            member.bytes_read += record.len() as u64;
            let is_change = apply(&mut member.feed, &mut member.known, record);
            member.feed.note_read(record, is_change);
        }
        member.feed.finish_read(now, end);
        if member.role != Role::Reader {
            member.feed.skip_news();
            return;
        }
        let readers = readers(candidates);
        let own_id = candidate(at).member;
        let is_served = |to: &usize| {
            let id = candidate(*to).member;
            !readers.iter().any(|reader| reader.member == id)
                && serving_readers(id, &readers).contains(&own_id)
        };
        let served: Vec<usize> = (0..self.members.len()).filter(is_served).collect();
        let news = self.members[at].feed.news(served.len(), end);
        for to in served {
            for message in &news {
                if self.below(100) >= self.loss_percent {
                    self.datagrams.push((to, message.clone()));
                }
            }
        }
    }

    /// Counts the members for which a replica is in a state that it has not had within the
    /// drain time.
    fn check(&mut self) {
        let oldest = self.now.saturating_sub(DRAIN_MS);
        for past in &mut self.past {
            past.retain(|(until, _)| *until > oldest);
        }
        for member in &self.members {
            if !member.is_running(self.now) || self.now < member.checked_from {
                continue;
            }
            for (replica, known) in member.known.iter().enumerate() {
                let is_past = |(_, state): &(u64, u8)| state == known;
                let is_in_time =
                    self.states[replica] == *known || self.past[replica].iter().any(is_past);
                self.late += usize::from(!is_in_time);
            }
        }
    }

    fn bytes_read(&self) -> u64 {
        self.members.iter().map(|member| member.bytes_read).sum()
    }
}

// Guards against changes that some member doesn't know within the drain time, and against
// reads that grow with the fleet, while members join and leave and datagrams are lost.
#[test]
fn changes_are_known_in_time_and_few_members_read() {
    let mut fleet = Fleet::new(5);
    assert_eq!(fleet.with_role(Role::Reader).len(), MEMBERS / 16);
    let (bytes_before, log_before) = (fleet.bytes_read(), fleet.log.len());
    for round in 0..100 {
        fleet.change_random();
        if round % 10 == 0 {
            let at = usize::try_from(fleet.below(MEMBERS as u64)).expect("an index");
            fleet.end(at);
            let joins_at = fleet.now;
            fleet.members.push(Member::new(joins_at));
        }
        fleet.run_for(200);
    }
    assert_eq!(fleet.late, 0);
    let all_read = (fleet.log.len() - log_before) * RECORD_BYTES * MEMBERS;
    let read = fleet.bytes_read() - bytes_before;
    let percent = read * 100 / all_read as u64;
    assert!(percent < 15, "{percent} % of the bytes if all members read");
}

// Guards against members that the readers no longer serve and that wait for them.
#[test]
fn changes_are_known_in_time_while_readers_are_lost_in_succession() {
    let mut fleet = Fleet::new(1);
    for _ in 0..10 {
        let reader = fleet.with_role(Role::Reader)[0];
        fleet.end(reader);
        for _ in 0..10 {
            fleet.change_random();
            fleet.run_for(130);
        }
    }
    assert_eq!(fleet.late, 0);
}

/// Lets all readers lose the store; returns how many changes are known late.
fn late_without_readers() -> usize {
    let mut fleet = Fleet::new(0);
    for at in fleet.with_role(Role::Reader) {
        fleet.members[at].has_store = false;
        fleet.members[at].checked_from = u64::MAX;
    }
    for _ in 0..50 {
        fleet.change_random();
        fleet.run_for(100);
    }
    fleet.late
}

// Guards against a mistake in which correctness depends on the readers.
#[test]
fn changes_are_known_in_time_without_readers() {
    assert_eq!(late_without_readers(), 0);
    inject(Some(Fault::TrustRegistrationReaders));
    let late = late_without_readers();
    inject(None);
    assert!(late > 0, "the injected fault is caught");
}

/// Pauses all readers, which then send what they had read long ago; returns how many changes
/// are known late.
fn late_with_paused_readers() -> usize {
    let mut fleet = Fleet::new(0);
    for pause_ms in [1_000, 3_000, 6_000] {
        for at in fleet.with_role(Role::Reader) {
            fleet.members[at].paused_until = fleet.now + pause_ms;
            fleet.members[at].checked_from = fleet.now + pause_ms + DRAIN_MS;
        }
        for _ in 0..80 {
            fleet.change_random();
            fleet.run_for(100);
        }
    }
    fleet.late
}

// Guards against old news of a reader that was paused being taken for the latest state.
#[test]
fn changes_are_known_in_time_around_pauses_of_all_readers() {
    assert_eq!(late_with_paused_readers(), 0);
}

/// Lets all replicas change at once; returns how many changes are known late.
fn late_in_bursts() -> usize {
    let mut fleet = Fleet::new(10);
    for round in 0..10_u8 {
        for replica in 0..REPLICAS {
            fleet.change(replica, 10 + round);
        }
        fleet.run_for(1_500);
    }
    fleet.late
}

// Guards against changes that are lost when there are more than a reader sends.
#[test]
fn bursts_of_changes_are_known_in_time() {
    assert_eq!(late_in_bursts(), 0);
    inject(Some(Fault::IgnoreRegistrationGap));
    let late = late_in_bursts();
    inject(None);
    assert!(late > 0, "the injected fault is caught");
}

// Guards against reads by many members at once after the loss of a single datagram.
#[test]
fn lost_datagrams_cause_few_reads() {
    let mut fleet = Fleet::new(2);
    let served: HashSet<usize> = fleet.with_role(Role::Served).into_iter().collect();
    let reads = |fleet: &Fleet| -> u64 {
        let counts = served.iter().map(|at| fleet.members[*at].reads);
        counts.sum()
    };
    let before = reads(&fleet);
    fleet.run_for(20_000);
    let count = reads(&fleet) - before;
    assert!(count < 10, "{count} reads by members that others read for");
}

/// Reads records into a feed and returns what a reader sends to one member.
fn news_of(feed: &mut RegistrationFeed, records: &[Bytes]) -> Vec<RegistrationNews> {
    let mut known = vec![REMOVED; REPLICAS];
    for record in records {
        let is_change = apply(feed, &mut known, record);
        feed.note_read(record, is_change);
    }
    let end = feed.next().expect("an offset");
    feed.finish_read(Time(0), end);
    feed.news(1, end)
}

// Guards against datagrams that are truncated by the receiver, and against gaps between the
// ranges of several datagrams.
#[test]
fn ranges_are_consecutive_and_fit_datagrams() {
    let mut feed = RegistrationFeed::default();
    feed.restart(Time(0), 50, 50);
    let records: Vec<Bytes> = (0..100).map(|at| record(at, 0, 1)).collect();
    let news = news_of(&mut feed, &records);
    assert!(news.len() > 2, "{} datagrams", news.len());
    for message in &news {
        let bytes = postcard::to_stdvec(message).expect("encoded");
        assert!(bytes.len() <= MAX_DATAGRAM_NEWS_BYTES, "{}", bytes.len());
    }
    let ranges: Vec<&ChangeRange> = news.iter().flat_map(|message| &message.ranges).collect();
    assert_eq!((ranges[0].from, ranges[ranges.len() - 1].to), (50, 150));
    assert!(ranges.windows(2).all(|pair| pair[0].to == pair[1].from));
    let count: usize = ranges.iter().map(|range| range.records.len()).sum();
    assert_eq!(count, records.len());
}

// Guards against a datagram whose loss makes a receiver read, and against repetitions of
// registrations in what is sent.
#[test]
fn a_later_datagram_repeats_what_was_sent_before() {
    let mut reader = RegistrationFeed::default();
    reader.restart(Time(0), 0, 0);
    let mut receiver = reader.clone();
    news_of(&mut reader, &[record(0, 0, 1), record(1, 0, 2)]);
    let news = news_of(&mut reader, &[record(0, 0, 3), record(1, DRAINING, 4)]);
    assert_eq!(news.len(), 1);
    let expected = vec![record(0, 0, 1), record(1, 0, 2), record(1, DRAINING, 4)];
    let outcome = receiver.receive(Some(Time(5)), news[0].clone());
    assert_eq!(outcome, Received::Records(expected));
    assert_eq!(receiver.next(), Some(4));
    assert_eq!(
        receiver.receive(Some(Time(6)), news[0].clone()),
        Received::Known
    );
}

// Guards against changes that a reader takes for repetitions, since its latest records
// contained them already.
#[test]
fn a_reader_sends_nothing_about_offsets_that_its_latest_records_reflect() {
    let mut reader = RegistrationFeed::default();
    let mut known = vec![REMOVED; REPLICAS];
    apply(&mut reader, &mut known, &record(0, DRAINING, 0));
    reader.restart(Time(0), 10, 12);
    let records = [
        record(0, DRAINING, 1),
        record(0, DRAINING, 2),
        record(1, 0, 3),
    ];
    let news = news_of(&mut reader, &records);
    let ranges: Vec<&ChangeRange> = news.iter().flat_map(|message| &message.ranges).collect();
    assert_eq!((ranges[0].from, ranges[0].to), (12, 13));
}

// Guards against applying what an authentic but malformed or outdated message says.
#[test]
fn malformed_ranges_and_older_rules_are_ignored() {
    let mut feed = RegistrationFeed::default();
    feed.restart(Time(0), 10, 10);
    let range = |from, to, offset| ChangeRange {
        from,
        to,
        records: vec![(offset, record(0, 0, 1))],
    };
    let message = |rules, range| RegistrationNews {
        rules,
        end: 20,
        ranges: vec![range],
    };
    let ignored = [
        message(CHANGE_RULES, range(11, 20, 11)),
        message(CHANGE_RULES, range(10, 5, 7)),
        message(CHANGE_RULES, range(10, 20, 25)),
        message(CHANGE_RULES - 1, range(10, 20, 11)),
    ];
    for news in ignored {
        assert_eq!(feed.receive(Some(Time(1)), news), Received::Gap);
    }
    assert_eq!(feed.next(), Some(10));
}

// Guards against sharing of reads where the platform doesn't call for it.
#[test]
fn all_members_read_in_small_fleets_and_without_a_limit() {
    let all: Vec<PlacementCandidate> = (0..MEMBERS).map(candidate).collect();
    let mut feed = RegistrationFeed::default();
    let mut known = vec![REMOVED; REPLICAS];
    for replica in 0..REPLICAS {
        apply(&mut feed, &mut known, &record(replica, 0, 0));
    }
    let mut role = |members, read_bytes_per_s| {
        let limits = ReadLimits {
            read_bytes_per_s,
            ..LIMITS
        };
        feed.role(MemberId::of("other"), members, &all[..members], &limits)
    };
    assert_eq!(role(MEMBERS, None), Role::Independent);
    // All members read 60,000 bytes each 1.2 s: 4.8 MB/s.
    assert_eq!(role(MEMBERS, Some(20_000_000)), Role::Independent);
    assert_eq!(role(MEMBERS, Some(19_000_000)), Role::Served);
    // Below a quarter, but not yet below a fifth.
    assert_eq!(role(MEMBERS, Some(23_000_000)), Role::Served);
    assert_eq!(role(MEMBERS, Some(25_000_000)), Role::Independent);
}

// Guards against readers in one data centre, and members served by one of them only.
#[test]
fn readers_are_few_and_spread_over_data_centres() {
    for (members, expected) in [(2, 2), (10, 3), (300, 19), (410, 26)] {
        let all: Vec<PlacementCandidate> = (0..members).map(candidate).collect();
        let readers = readers(&all);
        assert_eq!(readers.len(), expected);
        let centres: HashSet<u64> = readers.iter().map(|reader| reader.data_centre).collect();
        assert_eq!(centres.len(), expected.min(DATA_CENTRES));
        let mut served = vec![0; readers.len()];
        for member in &all {
            let serving = serving_readers(member.member, &readers);
            assert_eq!(serving.len(), 2);
            for id in serving {
                let at = readers.iter().position(|reader| reader.member == id);
                served[at.expect("a reader")] += 1;
            }
        }
        let most = served.iter().max().expect("a reader");
        assert!(*most <= 8 * members / expected, "{most} of {members}");
    }
}

// Guards against a renewal that counts as a change, and a change that doesn't.
#[test]
fn each_field_that_matters_changes_the_fingerprint() {
    let base = registration(0, 0);
    let mut changed = vec![base.clone(); 7];
    changed[0].service.push('x');
    changed[1].addr.set_port(1);
    changed[2].data_centre.push('x');
    changed[3].slots += 1;
    changed[4].software_version.push('x');
    changed[5].is_draining = true;
    changed[6].started_ms += 1;
    let warm = changed.iter().chain([&base]);
    let warm = warm.map(|registration| fingerprint(registration, false));
    let distinct: HashSet<u64> = warm.chain([fingerprint(&base, true)]).collect();
    assert_eq!(distinct.len(), 9);
}

// Guards against members that trust readers of older builds, which don't say how old their
// news are: they apply the records, and read themselves in time.
#[test]
fn news_without_an_age_are_applied_and_delay_no_read() {
    let mut reader = RegistrationFeed::default();
    reader.restart(Time(100), 0, 0);
    let mut receiver = reader.clone();
    let due = receiver.read_due(MemberId::of("other"), &LIMITS);
    let news = news_of(&mut reader, &[record(0, DRAINING, 1)]);
    let outcome = receiver.receive(None, news[0].clone());
    assert_eq!(outcome, Received::Records(vec![record(0, DRAINING, 1)]));
    assert_eq!(receiver.next(), Some(1));
    assert_eq!(receiver.known_as_of().0, Some(Time(100)));
    assert_eq!(receiver.read_due(MemberId::of("other"), &LIMITS), due);
    assert!(due < Time(100).plus(DRAIN_MS));
}
