//! How old the registrations are by which members send, in simulated fleets whose store
//! answers late, whose readers end or stand still, and whose datagrams are lost or queue.

use {
    bytes::Bytes,
    cicadagate_policy::{
        ids::{EndpointId, MemberId, mix64},
        process::{
            freshness::Freshness,
            placement::{PlacementCandidate, data_centre_hash},
            registration_readers::{
                DatedNews, ReadLimits, Received, RegistrationFeed, Role, readers, serving_readers,
            },
            replicas::Registration,
        },
        time::Time,
    },
    std::net::SocketAddr,
};

const DATA_CENTRES: usize = 5;
const HEARTBEAT_MS: u64 = 1_200;
const RECORD_BYTES: usize = 200;
const STEP_MS: u64 = 10;
/// Time after which the members know that another one has ended.
const DETECTION_MS: u64 = 2_500;
/// Longest answer of the store, after which a read is repeated through another member.
const STORE_TIMEOUT_MS: u64 = 800;
/// Longest answer through another member.
const FORWARD_TIMEOUT_MS: u64 = 1_000;
/// Shortest answer of the store.
const MIN_ANSWER_MS: u64 = 4;
const RETRY_DELAY_MS: u64 = 100;
/// Time that is simulated, and that in the largest fleet.
const RUN_MS: u64 = 30_000;
const LARGEST_RUN_MS: u64 = 10_000;
/// Members of the largest fleet.
const LARGEST: usize = 410;
/// Time for the members to begin.
const START_MS: u64 = 3_000;

/// How a member dates the news that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dating {
    /// By their age, and the time at which its socket was last empty.
    Age,
    /// By the time of their arrival, the injected fault.
    Arrival,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    members: usize,
    replicas: usize,
    drain_ms: u64,
    is_shared: bool,
    dating: Dating,
}

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
        is_draining: state == 1,
        started_ms: u64::from(state),
    }
}

/// A record of the topic.
#[derive(Clone, Copy, Debug)]
struct Record {
    replica: usize,
    state: u8,
    appended_at: u64,
}

fn encode(record: Record) -> Bytes {
    let mut bytes = record.replica.to_le_bytes().to_vec();
    bytes.push(record.state);
    bytes.resize(RECORD_BYTES, 0);
    bytes.into()
}

/// A read in progress.
#[derive(Clone, Copy, Debug)]
struct Read {
    sent: u64,
    /// End of the topic when the store carries it out; `None` if it fails.
    executed_at: Option<u64>,
    ends_at: u64,
}

#[derive(Debug)]
struct Member {
    feed: RegistrationFeed,
    role: Role,
    ended_at: Option<u64>,
    still_until: u64,
    wakes_at: u64,
    read: Option<Read>,
    /// When its socket was last empty.
    drained_at: u64,
    inbox: Vec<DatedNews>,
    own_reads: u64,
}

/// Greatest ages, in milliseconds, and violations.
#[derive(Clone, Copy, Debug, Default)]
struct Findings {
    /// Of what a member knows at any time at which it runs, as without a check.
    unchecked_ms: u64,
    /// Of what a member knows at a time at which it may send.
    permitted_ms: u64,
    /// Member steps at which the belief is later than the truth.
    late_beliefs: u64,
    /// Member steps at which it may send by what is older than the drain time.
    late_acts: u64,
    /// Member steps, and those of them at which it may not send.
    steps: u64,
    withheld: u64,
}

struct Fleet {
    scenario: Scenario,
    now: u64,
    random: u64,
    log: Vec<Record>,
    states: Vec<u8>,
    members: Vec<Member>,
    /// Datagrams on their way, by the member that they go to.
    sent: Vec<(usize, DatedNews)>,
    /// Answers of the store take up to its timeout, or longer.
    is_slow: bool,
    findings: Findings,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut fleet = Self {
            scenario,
            now: 10_000,
            random: 7,
            log: Vec::new(),
            states: vec![0; scenario.replicas],
            members: Vec::new(),
            sent: Vec::new(),
            is_slow: false,
            findings: Findings::default(),
        };
        for replica in 0..scenario.replicas {
            fleet.append(replica);
        }
        for _ in 0..scenario.members {
            fleet.members.push(Member {
                feed: RegistrationFeed::default(),
                role: Role::Independent,
                ended_at: None,
                still_until: 0,
                wakes_at: fleet.now,
                read: None,
                drained_at: fleet.now,
                inbox: Vec::new(),
                own_reads: 0,
            });
        }
        fleet
    }

    fn limits(&self) -> ReadLimits {
        ReadLimits {
            read_bytes_per_s: Some(if self.scenario.is_shared {
                1_000
            } else {
                u64::MAX / 1_000
            }),
            heartbeat_ms: HEARTBEAT_MS,
            drain_ms: self.scenario.drain_ms,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random = mix64(self.random, 0x0e5d);
        self.random % bound
    }

    fn any(&mut self, count: usize) -> usize {
        usize::try_from(self.below(count as u64)).expect("an index")
    }

    fn append(&mut self, replica: usize) {
        self.log.push(Record {
            replica,
            state: self.states[replica],
            appended_at: self.now,
        });
    }

    /// Returns the end of the topic at a time that is over.
    fn end_at(&self, at: u64) -> u64 {
        self.log.partition_point(|record| record.appended_at <= at) as u64
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

    fn run_for(&mut self, ms: u64, is_checked: bool) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            for replica in 0..self.scenario.replicas {
                let phase = replica as u64 * 37 % HEARTBEAT_MS / STEP_MS;
                if phase == self.now % HEARTBEAT_MS / STEP_MS {
                    self.append(replica);
                }
            }
            // They were sent in the step before, or wait in the socket of their receiver.
            for (to, news) in std::mem::take(&mut self.sent) {
                self.members[to].inbox.push(news);
            }
            let candidates = self.candidates();
            let serving = readers(&candidates);
            for at in 0..self.members.len() {
                let member = &self.members[at];
                if member.ended_at.is_some() || member.still_until > self.now {
                    continue;
                }
                if is_checked {
                    // It may send before it does anything else.
                    self.check(at);
                }
                self.receive(at);
                self.step(at, &candidates, &serving);
                if is_checked {
                    self.check(at);
                }
            }
        }
    }

    fn receive(&mut self, at: usize) {
        let (now, dating) = (self.now, self.scenario.dating);
        let member = &mut self.members[at];
        for DatedNews { news, age_ms } in std::mem::take(&mut member.inbox) {
            let as_of = match dating {
                Dating::Age => member.drained_at.saturating_sub(age_ms),
                Dating::Arrival => now,
            };
            let received = member.feed.receive(Some(Time(as_of)), news);
            if let Received::Records(records) = received {
                for record in records {
                    apply(&mut member.feed, &record);
                }
            }
        }
        member.drained_at = now;
    }

    fn step(
        &mut self,
        at: usize,
        candidates: &[PlacementCandidate],
        serving: &[PlacementCandidate],
    ) {
        let (now, own_id, limits) = (self.now, candidate(at).member, self.limits());
        let interval_ms = self.scenario.drain_ms / 5;
        if let Some(read) = self.members[at].read {
            if now >= read.ends_at {
                self.members[at].read = None;
                self.finish_read(at, read, serving);
            }
            return;
        }
        let member = &mut self.members[at];
        if now < member.wakes_at {
            return;
        }
        member.role = member
            .feed
            .role(own_id, candidates.len(), candidates, &limits);
        let due = member.feed.read_due(own_id, &limits);
        let is_served = member.role == Role::Served && member.feed.next().is_some();
        if is_served && due.0 > now {
            member.wakes_at = due.0.min(now + interval_ms);
            return;
        }
        let read = self.begin_read();
        self.members[at].read = Some(read);
    }

    /// Decides how long a read takes: directly, then through another member, or in vain.
    fn begin_read(&mut self) -> Read {
        let sent = self.now;
        if !self.is_slow {
            let answer_ms = MIN_ANSWER_MS + self.below(10);
            return Read {
                sent,
                executed_at: Some(sent + self.below(answer_ms)),
                ends_at: sent + answer_ms,
            };
        }
        let answer_ms = MIN_ANSWER_MS + self.below(2 * STORE_TIMEOUT_MS);
        if answer_ms < STORE_TIMEOUT_MS {
            return Read {
                sent,
                executed_at: Some(sent + self.below(answer_ms)),
                ends_at: sent + answer_ms,
            };
        }
        let forwarded_ms = MIN_ANSWER_MS + self.below(2 * FORWARD_TIMEOUT_MS);
        let is_answered = forwarded_ms < FORWARD_TIMEOUT_MS;
        let forwarded_at = sent + STORE_TIMEOUT_MS;
        Read {
            sent,
            executed_at: is_answered.then(|| forwarded_at + self.below(forwarded_ms)),
            ends_at: forwarded_at + forwarded_ms.min(FORWARD_TIMEOUT_MS),
        }
    }

    fn finish_read(&mut self, at: usize, read: Read, serving: &[PlacementCandidate]) {
        let now = self.now;
        let Some(executed_at) = read.executed_at else {
            self.members[at].wakes_at = now + RETRY_DELAY_MS;
            return;
        };
        let end = self.end_at(executed_at);
        let member = &mut self.members[at];
        member.wakes_at = now + self.scenario.drain_ms / 5;
        member.own_reads += 1;
        let Some(from) = member.feed.next() else {
            for record in &self.log[..usize::try_from(end).expect("an index")] {
                apply(&mut member.feed, &encode(*record));
            }
            member.feed.restart(Time(read.sent), end, end);
            return;
        };
        // News may have brought it further.
        let first = usize::try_from(from).expect("an index");
        let last = usize::try_from(end).expect("an index").max(first);
        for record in &self.log[first..last] {
            let record = encode(*record);
            let is_change = apply(&mut member.feed, &record);
            member.feed.note_read(&record, is_change);
        }
        member.feed.finish_read(Time(read.sent), end);
        if member.role != Role::Reader {
            member.feed.skip_news();
            return;
        }
        let own_id = candidate(at).member;
        let is_served = |to: &usize| {
            let id = candidate(*to).member;
            !serving.iter().any(|reader| reader.member == id)
                && serving_readers(id, serving).contains(&own_id)
        };
        let served: Vec<usize> = (0..self.members.len()).filter(is_served).collect();
        let feed = &mut self.members[at].feed;
        let news = feed.news(served.len(), end);
        let as_of = feed.known_as_of().0.expect("a read has ended");
        let age_ms = Time(now).since(as_of);
        for to in served {
            for news in &news {
                if self.below(100) >= 5 {
                    let news = news.clone();
                    self.sent.push((to, DatedNews { news, age_ms }));
                }
            }
        }
    }

    /// Compares what a member believes with the truth.
    fn check(&mut self, at: usize) {
        let feed = &self.members[at].feed;
        let (Some(as_of), _) = feed.known_as_of() else {
            return;
        };
        let next = usize::try_from(feed.next().expect("an offset")).expect("an index");
        // The end of the topic was there until the next record was appended.
        let end_until = self
            .log
            .get(next)
            .map_or(self.now, |record| record.appended_at);
        let age_ms = self.now - end_until;
        let permits = Freshness::new(Some(as_of), self.scenario.drain_ms).permits(Time(self.now));
        let found = &mut self.findings;
        found.steps += 1;
        found.unchecked_ms = found.unchecked_ms.max(age_ms);
        found.late_beliefs += u64::from(as_of.0 > end_until);
        if permits {
            found.permitted_ms = found.permitted_ms.max(age_ms);
            found.late_acts += u64::from(age_ms >= self.scenario.drain_ms);
        } else {
            found.withheld += 1;
        }
    }

    fn run(mut self) -> Findings {
        self.run_for(START_MS, false);
        let is_largest = self.scenario.members == LARGEST;
        let until = self.now + if is_largest { LARGEST_RUN_MS } else { RUN_MS };
        for round in 0_u64.. {
            if self.now >= until {
                break;
            }
            self.is_slow = round % 4 == 1 || round % 4 == 2;
            let replica = self.any(self.scenario.replicas);
            self.states[replica] = u8::try_from(round % 7).expect("a state");
            self.append(replica);
            for _ in 0..self.scenario.members.div_ceil(20) {
                let at = self.any(self.scenario.members);
                self.members[at].still_until = self.now + 500 + self.below(5_000);
            }
            let readers = self.with_role(Role::Reader);
            match round % 5 {
                // All of them stand still.
                1 => {
                    for at in readers {
                        self.members[at].still_until = self.now + 3_000;
                    }
                }
                // Half of them end.
                3 if round < 10 => {
                    for at in readers.into_iter().step_by(2) {
                        self.members[at].ended_at = Some(self.now);
                    }
                }
                _ => {}
            }
            self.run_for(1_000, true);
        }
        self.findings
    }
}

/// Applies a record as a member does, and returns whether it is a change.
fn apply(feed: &mut RegistrationFeed, record: &Bytes) -> bool {
    let (number, rest) = record.split_at(size_of::<usize>());
    let replica = usize::from_le_bytes(number.try_into().expect("a number"));
    let registration = registration(replica, rest[0]);
    let endpoint = EndpointId::of(&registration.id);
    feed.note(endpoint, Some((&registration, false)), record.len())
}

fn run(members: usize, replicas: usize, is_shared: bool, dating: Dating) -> Vec<Findings> {
    let drains = [2_000, 4_000];
    let found = drains.map(|drain_ms| {
        let scenario = Scenario {
            members,
            replicas,
            drain_ms,
            is_shared,
            dating,
        };
        let found = Fleet::new(scenario).run();
        println!(
            "{members} members, {replicas} replicas, drain {drain_ms} ms, shared {is_shared}, \
             {dating:?}: worst age {} ms without the check, {} ms with it; {} of {} steps \
             withheld; {} late beliefs, {} late acts",
            found.unchecked_ms,
            found.permitted_ms,
            found.withheld,
            found.steps,
            found.late_beliefs,
            found.late_acts
        );
        found
    });
    found.into()
}

fn check(members: usize, replicas: usize, is_shared: bool) {
    for found in run(members, replicas, is_shared, Dating::Age) {
        assert_eq!((found.late_beliefs, found.late_acts), (0, 0), "{found:?}");
        assert!(found.withheld < found.steps / 2, "{found:?}");
        assert!(found.unchecked_ms > found.permitted_ms, "{found:?}");
    }
}

// Guards against requests by registrations older than the drain time where each member reads.
#[test]
fn ages_of_what_members_read_themselves_stay_below_the_drain_time() {
    check(12, 83, false);
    check(195, 83, false);
}

// Guards against requests by news that are older than their receiver believes.
#[test]
fn ages_of_what_members_are_told_stay_below_the_drain_time() {
    check(12, 83, true);
    check(195, 83, true);
}

// Guards against either in the largest fleet.
#[test]
fn ages_in_the_largest_fleet_stay_below_the_drain_time() {
    check(LARGEST, 740, true);
    check(LARGEST, 740, false);
}

// Guards against an oracle that finds nothing: news that are dated by their arrival.
#[test]
fn news_that_are_dated_by_their_arrival_are_found() {
    for found in run(195, 83, true, Dating::Arrival) {
        assert!(found.late_beliefs > 0 && found.late_acts > 0, "{found:?}");
    }
}
