/*!
Quarantine of requests under which replicas crash.

# Problem

A request may crash every replica that begins to answer it (a query of death). It comes
again, at any instance, or others come that share the cause, a part of their prompts. A
replica that crashes takes other requests down with it. If failures are remembered by
replica only, each such request crashes one more.

# Choice

What requests may have in common are their parts: the parts of their prompts, and the
request as a whole, which has the same fingerprint when it is sent again.

Each member keeps the crashes that it and others saw: which replica ended, and
the parts of a request that it had then. A completed request shows
that its parts are sound, so only crashes after the last completion count. A part
is quarantined if it was at enough replicas that ended ([`Criteria`]). Three
conditions keep an outage of all replicas from affecting the parts that happened
to run there: other requests of the service must have completed since, members have
[`SETTLE_MS`] to report completions of the part, and it must have been at a large share of
the replicas that ended since. A part that has completed before must have been at more
replicas, and at a larger share. A whole request that has never
completed needs no other completions, since none completes if one request crashes all
replicas. Instead, it must stand out: an outage may take down many requests at as many
replicas, since they are retried. Crashes of replicas that ran a
quarantined part are attributed to it and do not count against other parts.

The parts that all crashed requests with the part had in common are its
co-occurring parts. A request is refused only if it has all of them, except those
that have completed. If two parts always come together, requests with only one of
them still run, and the first that completes shows that its own parts are sound.

A quarantine ends after [`QUARANTINE_MS`], or as soon as a request with the part
completes anywhere. Since an outage of all replicas can look like a part that crashes them,
single requests are let through meanwhile; see [`trials`].
After its end a single crash renews it.

# Cost

A crash costs each member that saw it one datagram to each other member, sent
[`RESENDS`] times. A completion costs two look-ups for each part of its prompt.
The tables are bounded by [`MAX_SUSPECTS`] and [`MAX_COMPLETED`].
*/

pub mod trials;

use {
    self::trials::Trials,
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{EndpointId, RequestPart, mix64},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Conditions for the quarantine of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Criteria {
    /// Replicas that must have ended under the part.
    pub crashes: usize,
    /// Other requests of the service that must have completed here since the
    /// first of the crashes.
    pub other_completions: u64,
}

/// Criteria for a whole request of which no completion is known.
pub const CRITERIA_FOR_REQUEST: Criteria = Criteria {
    crashes: 3,
    other_completions: 0,
};
/// Criteria for a part of a prompt of which no completion is known.
pub const CRITERIA: Criteria = Criteria {
    crashes: 3,
    other_completions: 2,
};
/// Criteria for a part that has completed before.
pub const CRITERIA_IF_COMPLETED: Criteria = Criteria {
    crashes: 8,
    other_completions: 50,
};
/// Criteria for a part of a prompt whose quarantine has ended.
pub const CRITERIA_AFTER_QUARANTINE: Criteria = Criteria {
    crashes: 1,
    other_completions: 2,
};
/// Criteria for a whole request whose quarantine has ended.
pub const CRITERIA_FOR_REQUEST_AFTER_QUARANTINE: Criteria = Criteria {
    crashes: 1,
    other_completions: 0,
};
/// Time for other members to report completions, in milliseconds: several times
/// that for a datagram there and back.
pub const SETTLE_MS: u64 = 300;
/// Time for which a crash counts, in milliseconds.
pub const EVIDENCE_MS: u64 = 300_000;
/// Time for which a part is quarantined, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Time between two messages of a member, in milliseconds.
pub const MESSAGE_INTERVAL_MS: u64 = 100;
/// Time between two decisions of a member, in milliseconds. They look at all suspected
/// parts.
const DECISION_INTERVAL_MS: u64 = 50;
/// How often each entry is sent, since datagrams may be lost.
pub const RESENDS: u8 = 3;
/// Crashes of a part from which on members report its completions.
const MIN_SUSPECTED_CRASHES: usize = 2;
/// Least share of the replicas that ended at which a part of a prompt must have been, in
/// percent, if no completion of it is known.
const MIN_SHARE_PERCENT: usize = 33;
/// The same for a part that has completed before.
const MIN_SHARE_IF_COMPLETED_PERCENT: usize = 67;
/// Time before the first crash of a part from which on ended replicas count for its share,
/// in milliseconds: an outage ends replicas at nearly the same time.
const SHARE_MARGIN_MS: u64 = 1_000;
/// Most ended replicas of a service that are remembered.
const MAX_ENDED: usize = 1_024;
/// Time within which the last crashes of two whole requests are compared, in
/// milliseconds.
const TIE_MS: u64 = 10_000;
/// Most suspected parts that are kept.
pub const MAX_SUSPECTS: usize = 4_096;
/// Most completed parts of prompts, and most completed requests, that are remembered.
pub const MAX_COMPLETED: usize = 8_192;
/// Most crashes that are kept of a suspected part.
const MAX_CRASHES: usize = 64;
/// Most crashed replicas that are remembered as attributed to a part.
const MAX_ATTRIBUTED: usize = 1_024;
/// Most entries that wait to be sent. Older ones are dropped, so that what is told is
/// recent.
const MAX_OUTBOX: usize = 1_024;
/// Most entries of each kind in a message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 24;

/// One start of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the incarnation of a replica that started at a time.
    #[must_use]
    pub const fn new(replica: EndpointId, started_ms: u64) -> Self {
        Self(mix64(replica.raw(), started_ms))
    }
}

/// A replica that ended while it had a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The replica.
    pub replica: Incarnation,
    /// Parts of the request.
    pub parts: Vec<RequestPart>,
}

/// A quarantined part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: RequestPart,
    /// Parts, itself included, that a request must have to be refused.
    pub co_occurring: Vec<RequestPart>,
    /// Time until the quarantine ends, in milliseconds.
    pub left_ms: u64,
}

/// What a member tells the others. Ages are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineMessage {
    /// Crashes and their ages.
    pub crashes: Vec<(Crash, u64)>,
    /// Suspected parts of completed requests, and the ages of the completions.
    pub completed: Vec<(RequestPart, u64)>,
    /// Parts that the member has quarantined.
    pub quarantined: Vec<QuarantinedPart>,
}

/// A change to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part was quarantined, after this number of crashes known here; 0 if
    /// another member or the store told of it.
    Begun(QuarantinedPart, usize),
    /// A request with a quarantined part completed.
    Ended(RequestPart),
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<(Incarnation, Time)>,
    co_occurring: Vec<RequestPart>,
    /// Completions of the service before the first of the crashes.
    completions_before: u64,
    has_reported_completion: bool,
}

impl Suspect {
    fn first_crash_at(&self) -> Time {
        let times = self.crashes.iter().map(|(_, at)| *at);
        times.min().unwrap_or_default()
    }

    fn last_crash_at(&self) -> Time {
        let times = self.crashes.iter().map(|(_, at)| *at);
        times.max().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Quarantined {
    co_occurring: Vec<RequestPart>,
    until: Time,
    trials: Trials,
}

impl Quarantined {
    fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    fn begun(&self) -> Time {
        Time(self.until.0.saturating_sub(QUARANTINE_MS))
    }

    fn is_trial_due(&self, now: Time) -> bool {
        self.trials.is_due(now, self.begun())
    }
}

/// Last known completions, the latest [`MAX_COMPLETED`] or half of that.
#[derive(Clone, Debug, Default)]
struct Completions {
    times: HashMap<RequestPart, Time>,
}

impl Completions {
    /// Records a completion, and forgets the older half if there are too many.
    fn note(&mut self, now: Time, part: RequestPart, at: Time) {
        let last = self.times.entry(part).or_insert(at);
        *last = at.max(*last);
        if self.times.len() <= MAX_COMPLETED {
            return;
        }
        let mut ages: Vec<u64> = self.times.values().map(|at| now.since(*at)).collect();
        let half = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(half);
        let median = *median;
        self.times.retain(|_, at| now.since(*at) < median);
    }
}

#[derive(Clone, Debug)]
enum Entry {
    Crash(Crash, Time),
    Completed(RequestPart, Time),
    Quarantined(RequestPart),
}

/// The suspected and quarantined parts that a member knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<RequestPart, Suspect>,
    quarantined: HashMap<RequestPart, Quarantined>,
    /// Replicas whose crash is attributed to a quarantined part, oldest first.
    attributed: VecDeque<Incarnation>,
    /// Replicas that ended while they had requests, by service, oldest first.
    ended: HashMap<u64, VecDeque<(Incarnation, Time)>>,
    /// Last known completions of parts of prompts.
    completed_parts: Completions,
    /// Last known completions of whole requests. They are far more, and would
    /// displace those of parts.
    completed_requests: Completions,
    /// Requests that completed here, by service.
    completions: HashMap<u64, u64>,
    /// Entries to send, and how often.
    outbox: VecDeque<(Entry, u8)>,
    /// Parts of which trials are to be told, and how often.
    tried: VecDeque<(RequestPart, u8)>,
    next_message_at: Time,
    next_trials_at: Time,
    next_decision_at: Time,
}

impl Quarantine {
    /// Returns the quarantined part for which a request is to be refused, and
    /// the time until its quarantine ends, in milliseconds.
    #[must_use]
    pub fn find(&self, now: Time, parts: &[RequestPart]) -> Option<(RequestPart, u64)> {
        parts.iter().find_map(|part| {
            let quarantined = self.quarantined.get(part)?;
            let has_all = quarantined.co_occurring.iter().all(|it| parts.contains(it));
            (has_all && quarantined.is_active(now)).then(|| (*part, quarantined.until.since(now)))
        })
    }

    /// Returns the quarantined parts for which a request is to be refused.
    #[must_use]
    pub fn blocking(&self, now: Time, parts: &[RequestPart]) -> Vec<RequestPart> {
        let is_blocking = |part: &RequestPart| {
            self.quarantined.get(part).is_some_and(|quarantined| {
                let has_all = quarantined.co_occurring.iter().all(|it| parts.contains(it));
                has_all && quarantined.is_active(now)
            })
        };
        parts.iter().copied().filter(is_blocking).collect()
    }

    /// Returns a quarantined part, to tell another member or the store.
    #[must_use]
    pub fn quarantined(&self, now: Time, part: RequestPart) -> Option<QuarantinedPart> {
        let quarantined = self.quarantined.get(&part)?;
        quarantined.is_active(now).then(|| QuarantinedPart {
            part,
            co_occurring: quarantined.co_occurring.clone(),
            left_ms: quarantined.until.since(now),
        })
    }

    /// Returns the last known completion of a part.
    fn completed_at(&self, part: RequestPart) -> Option<Time> {
        let completions = if part.is_whole_request() {
            &self.completed_requests
        } else {
            &self.completed_parts
        };
        completions.times.get(&part).copied()
    }

    /// Returns those parts that a request must have together with `part`: itself
    /// and the ones of which no completion is known.
    fn unproven(&self, part: RequestPart, co_occurring: Vec<RequestPart>) -> Vec<RequestPart> {
        let is_kept = |it: &RequestPart| *it == part || self.completed_at(*it).is_none();
        co_occurring.into_iter().filter(is_kept).collect()
    }

    /// Returns the number of parts that are quarantined.
    #[must_use]
    pub fn len(&self, now: Time) -> usize {
        let active = self.quarantined.values();
        active.filter(|it| it.is_active(now)).count()
    }

    /// Returns whether no part is quarantined.
    #[must_use]
    pub fn is_empty(&self, now: Time) -> bool {
        self.len(now) == 0
    }

    /// Returns the number of parts that are suspected.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Records a request that a replica answered completely.
    pub fn note_completed(&mut self, now: Time, parts: &[RequestPart]) -> Vec<QuarantineChange> {
        if let Some(part) = parts.first() {
            *self.completions.entry(part.service()).or_default() += 1;
        }
        let mut changes = Vec::new();
        for part in parts {
            let is_suspected = self
                .suspects
                .get(part)
                .is_some_and(|suspect| suspect.crashes.len() >= MIN_SUSPECTED_CRASHES);
            let is_co_occurring = self
                .quarantined
                .values()
                .any(|quarantined| quarantined.co_occurring.contains(part));
            if is_suspected || is_co_occurring {
                self.push(Entry::Completed(*part, now));
            }
            changes.extend(self.clear(now, *part, now));
        }
        changes
    }

    /// Records a crash that this member saw.
    pub fn note_crash(&mut self, now: Time, crash: Crash) {
        self.add_crash(now, now, &crash);
        if !is_injected(Fault::SkipCrashReports) {
            self.push(Entry::Crash(crash, now));
        }
    }

    /// Applies a message of another member.
    pub fn apply(&mut self, now: Time, message: QuarantineMessage) -> Vec<QuarantineChange> {
        let at = |age_ms: u64| Time(now.0.saturating_sub(age_ms));
        let mut changes = Vec::new();
        for (part, age_ms) in message.completed {
            changes.extend(self.clear(now, part, at(age_ms)));
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.has_reported_completion = true;
            }
        }
        for (crash, age_ms) in message.crashes {
            self.add_crash(now, at(age_ms), &crash);
        }
        for quarantined in message.quarantined {
            changes.extend(self.adopt(now, quarantined));
        }
        changes
    }

    /// Takes over a quarantine that another member or the store tells of,
    /// unless the part has completed here.
    pub fn adopt(
        &mut self,
        now: Time,
        mut quarantined: QuarantinedPart,
    ) -> Option<QuarantineChange> {
        let part = quarantined.part;
        if let Some(at) = self.completed_at(part) {
            let entry = Entry::Completed(part, at);
            self.push(entry);
            return None;
        }
        let known = self.quarantined.get(&part);
        let is_known = known.is_some_and(|known| known.is_active(now));
        if is_known || quarantined.left_ms == 0 {
            return None;
        }
        quarantined.left_ms = quarantined.left_ms.min(QUARANTINE_MS);
        quarantined.co_occurring = self.unproven(part, quarantined.co_occurring);
        self.insert(now, &quarantined);
        self.drop_attributed_crashes();
        Some(QuarantineChange::Begun(quarantined, 0))
    }

    /// Quarantines the suspected parts that meet the conditions.
    pub fn decide(&mut self, now: Time) -> Vec<QuarantineChange> {
        if now < self.next_decision_at {
            return Vec::new();
        }
        self.next_decision_at = now.plus(DECISION_INTERVAL_MS);
        self.suspects.retain(|_, suspect| {
            let is_counted = |(_, at): &(Incarnation, Time)| now.since(*at) < EVIDENCE_MS;
            suspect.crashes.iter().any(is_counted)
        });
        self.quarantined
            .retain(|_, quarantined| now.since(quarantined.until) < QUARANTINE_MS);
        self.ended.retain(|_, ended| {
            ended.retain(|(_, at)| now.since(*at) < EVIDENCE_MS);
            !ended.is_empty()
        });
        let mut changes = Vec::new();
        // The part with the most crashes goes first, since crashes of other parts
        // may be attributed to it.
        loop {
            let due: Vec<(RequestPart, usize)> = self
                .suspects
                .iter()
                .filter(|(part, suspect)| self.meets_criteria(now, **part, suspect))
                .filter(|(part, suspect)| self.stands_out(**part, suspect))
                .map(|(part, suspect)| (*part, suspect.crashes.len()))
                .collect();
            let Some(most) = due.iter().map(|(_, crashes)| *crashes).max() else {
                return changes;
            };
            for (part, _) in due.into_iter().filter(|(_, crashes)| *crashes == most) {
                changes.extend(self.quarantine_part(now, part));
            }
            self.drop_attributed_crashes();
        }
    }

    fn quarantine_part(&mut self, now: Time, part: RequestPart) -> Option<QuarantineChange> {
        let suspect = self.suspects.get(&part)?;
        let crashes = suspect.crashes.len();
        let co_occurring = suspect.co_occurring.clone();
        let quarantined = QuarantinedPart {
            part,
            co_occurring: self.unproven(part, co_occurring),
            left_ms: QUARANTINE_MS,
        };
        self.insert(now, &quarantined);
        self.push(Entry::Quarantined(part));
        Some(QuarantineChange::Begun(quarantined, crashes))
    }

    fn drop_attributed_crashes(&mut self) {
        if is_injected(Fault::CountAttributedCrashes) {
            return;
        }
        let excess = self.attributed.len().saturating_sub(MAX_ATTRIBUTED);
        self.attributed.drain(..excess);
        let attributed = &self.attributed;
        self.suspects.retain(|_, suspect| {
            suspect
                .crashes
                .retain(|(replica, _)| !attributed.contains(replica));
            !suspect.crashes.is_empty()
        });
    }

    fn meets_criteria(&self, now: Time, part: RequestPart, suspect: &Suspect) -> bool {
        let is_counted = |at: &Time| (SETTLE_MS..EVIDENCE_MS).contains(&now.since(*at));
        let crashes = suspect.crashes.iter().filter(|(_, at)| is_counted(at));
        let is_whole = part.is_whole_request();
        let criteria = if self.quarantined.contains_key(&part) {
            if is_whole {
                CRITERIA_FOR_REQUEST_AFTER_QUARANTINE
            } else {
                CRITERIA_AFTER_QUARANTINE
            }
        } else if self.completed_at(part).is_some() {
            CRITERIA_IF_COMPLETED
        } else if is_whole {
            CRITERIA_FOR_REQUEST
        } else {
            CRITERIA
        };
        let completions = self.completions.get(&part.service()).copied();
        let others = completions.unwrap_or_default() - suspect.completions_before;
        crashes.count() >= criteria.crashes && others >= criteria.other_completions
    }

    /// Returns whether a part was at more of the replicas that ended lately than an
    /// outage of them explains.
    fn stands_out(&self, part: RequestPart, suspect: &Suspect) -> bool {
        if part.is_whole_request() {
            self.leads(part, suspect) || is_injected(Fault::QuarantineTiedRequests)
        } else {
            self.has_share(part, suspect) || is_injected(Fault::IgnoreShareOfCrashes)
        }
    }

    /// Returns whether no other whole request of the service was at as many replicas when
    /// they ended lately. An outage ends many requests alike; one that causes
    /// crashes leads after the next one.
    fn leads(&self, part: RequestPart, suspect: &Suspect) -> bool {
        let last_at = suspect.last_crash_at();
        !self.suspects.iter().any(|(other, other_suspect)| {
            *other != part
                && other.is_whole_request()
                && other.service() == part.service()
                && other_suspect.crashes.len() >= suspect.crashes.len()
                && last_at.since(other_suspect.last_crash_at()) < TIE_MS
        })
    }

    /// Returns whether a part of a prompt was at a large share of the replicas that have
    /// ended since it was first at one.
    fn has_share(&self, part: RequestPart, suspect: &Suspect) -> bool {
        let since = suspect.first_crash_at().0.saturating_sub(SHARE_MARGIN_MS);
        let ended = self.ended.get(&part.service()).into_iter().flatten();
        let is_counted = |(replica, at): &&(Incarnation, Time)| {
            at.0 >= since && !self.attributed.contains(replica)
        };
        let min_percent = if self.completed_at(part).is_some() {
            MIN_SHARE_IF_COMPLETED_PERCENT
        } else {
            MIN_SHARE_PERCENT
        };
        suspect.crashes.len() * 100 >= ended.filter(is_counted).count() * min_percent
    }

    /// Records that a replica ended while it had requests with these parts.
    fn note_ended(&mut self, at: Time, crash: &Crash) {
        let Some(part) = crash.parts.first() else {
            return;
        };
        let ended = self.ended.entry(part.service()).or_default();
        if ended.iter().any(|(replica, _)| *replica == crash.replica) {
            return;
        }
        if ended.len() >= MAX_ENDED {
            ended.pop_front();
        }
        ended.push_back((crash.replica, at));
    }

    fn insert(&mut self, now: Time, quarantined: &QuarantinedPart) {
        if let Some(suspect) = self.suspects.remove(&quarantined.part) {
            let replicas = suspect.crashes.iter().map(|(replica, _)| *replica);
            self.attributed.extend(replicas);
        }
        let before = self.quarantined.get(&quarantined.part);
        let entry = Quarantined {
            co_occurring: quarantined.co_occurring.clone(),
            until: now.plus(quarantined.left_ms),
            trials: before.map_or_else(Trials::default, |before| before.trials),
        };
        self.quarantined.insert(quarantined.part, entry);
    }

    /// Records that a part was in a request that completed at a time.
    fn clear(&mut self, now: Time, part: RequestPart, at: Time) -> Option<QuarantineChange> {
        let completions = if part.is_whole_request() {
            &mut self.completed_requests
        } else {
            &mut self.completed_parts
        };
        completions.note(now, part, at);
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.crashes.retain(|(_, crashed_at)| *crashed_at > at);
            if suspect.crashes.is_empty() {
                self.suspects.remove(&part);
            }
        }
        for quarantined in self.quarantined.values_mut() {
            quarantined.co_occurring.retain(|it| *it != part);
        }
        let removed = self.quarantined.remove(&part);
        removed.map(|_| QuarantineChange::Ended(part))
    }

    fn add_crash(&mut self, now: Time, at: Time, crash: &Crash) {
        self.note_ended(at, crash);
        let is_new = !self.attributed.contains(&crash.replica);
        if is_new && self.find(now, &crash.parts).is_some() {
            self.attributed.push_back(crash.replica);
            self.drop_attributed_crashes();
        }
        for part in &crash.parts {
            self.narrow(*part, &crash.parts);
        }
        if self.attributed.contains(&crash.replica) && !is_injected(Fault::CountAttributedCrashes) {
            return;
        }
        for part in &crash.parts {
            let is_sound_since = self.completed_at(*part).is_some_and(|last| last >= at);
            if !is_sound_since && self.find(now, &[*part]).is_none() {
                self.suspect(at, *part, crash);
            }
        }
    }

    /// Drops the co-occurring parts of a quarantined part that a crashed request
    /// with it did not have.
    fn narrow(&mut self, part: RequestPart, parts: &[RequestPart]) {
        if let Some(quarantined) = self.quarantined.get_mut(&part) {
            quarantined.co_occurring.retain(|it| parts.contains(it));
        }
    }

    fn suspect(&mut self, at: Time, part: RequestPart, crash: &Crash) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            self.forget_oldest_suspect();
        }
        let completions = self.completions.get(&part.service()).copied();
        let suspect = self.suspects.entry(part).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            co_occurring: crash.parts.clone(),
            completions_before: completions.unwrap_or_default(),
            has_reported_completion: false,
        });
        suspect.co_occurring.retain(|it| crash.parts.contains(it));
        let is_known = suspect
            .crashes
            .iter()
            .any(|(replica, _)| *replica == crash.replica);
        if !is_known {
            if suspect.crashes.len() >= MAX_CRASHES {
                suspect.crashes.remove(0);
            }
            suspect.crashes.push((crash.replica, at));
        }
        let reports_completion =
            suspect.crashes.len() >= MIN_SUSPECTED_CRASHES && !suspect.has_reported_completion;
        if !reports_completion {
            return;
        }
        if let Some(last) = self.completed_at(part) {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.has_reported_completion = true;
            }
            self.push(Entry::Completed(part, last));
        }
    }

    fn forget_oldest_suspect(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(part, suspect)| (suspect.last_crash_at(), **part))
            .map(|(part, _)| *part);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }

    fn push(&mut self, entry: Entry) {
        if self.outbox.len() >= MAX_OUTBOX {
            self.outbox.pop_front();
        }
        self.outbox.push_back((entry, RESENDS));
    }

    /// Returns the next message to all other members, if one is due.
    pub fn next_message(&mut self, now: Time) -> Option<QuarantineMessage> {
        if self.outbox.is_empty() || now < self.next_message_at {
            return None;
        }
        self.next_message_at = now.plus(MESSAGE_INTERVAL_MS);
        let mut message = QuarantineMessage::default();
        for _ in 0..self.outbox.len().min(MAX_ENTRIES) {
            let Some((entry, times)) = self.outbox.pop_front() else {
                break;
            };
            match &entry {
                Entry::Crash(crash, at) => message.crashes.push((crash.clone(), now.since(*at))),
                Entry::Completed(part, at) => message.completed.push((*part, now.since(*at))),
                Entry::Quarantined(part) => {
                    let quarantined = self.quarantined.get(part);
                    message
                        .quarantined
                        .extend(quarantined.map(|it| QuarantinedPart {
                            part: *part,
                            co_occurring: it.co_occurring.clone(),
                            left_ms: it.until.since(now),
                        }));
                }
            }
            if times > 1 {
                self.outbox.push_back((entry, times - 1));
            }
        }
        Some(message)
    }
}
