/*!
Trials of quarantined parts of requests.

# Problem

A quarantine refuses the very requests whose completion would end it. If it is wrong, for
example since an outage ended the replicas that had the part, nothing shows that for as long
as it lasts.

# Choice

A quarantine lets single requests through, each of them to one replica: the first one
[`FIRST_TRIAL_MS`] after its begin, the next one [`NEXT_TRIAL_MS`] after that, and no more than
[`MAX_TRIALS`] in all. A request that completes ends the quarantine everywhere. One that
crashes its replica changes nothing, so a part that does crash replicas costs [`MAX_TRIALS`]
more of them, over all members and until the quarantine ends by its time. One that is
renewed then has no further trials: the request after its end was one.

The owner of the quarantined parts, by rendezvous hashing over the members, grants the
trials. It tells all members of each, so that the next owner knows their number, and lists it
in the store for members that start. A member that has no reply repeats its query; the
owner grants a trial to the same request once.

# Cost

A request that may be a trial costs one query to the owner. A trial that is lost, since its
caller leaves or its process ends, is not replaced, so that members which have lost contact
with each other can't grant more in sum than the replicas' tolerance allows.
*/

use {
    super::{MAX_ENTRIES, MESSAGE_INTERVAL_MS, Quarantine, Quarantined, QuarantinedPart, RESENDS},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::RequestPart,
        time::Time,
    },
    serde::{Deserialize, Serialize},
};

/// Time from the begin of a quarantine to its first trial, in milliseconds.
pub const FIRST_TRIAL_MS: u64 = 1_000;
/// Time from one trial to the next, in milliseconds: longer than a usual request takes.
pub const NEXT_TRIAL_MS: u64 = 10_000;
/// Most trials of a quarantine. Of the three requests that the platform tolerates, one is left
/// to members that have not been told of the quarantine or of a trial.
pub const MAX_TRIALS: u32 = 2;
/// Time for which a query for a granted trial is answered again, in milliseconds.
const REPEAT_MS: u64 = 500;
/// Longest time after which callers are told to come back while a trial may still end the
/// quarantine, in milliseconds.
const MAX_RETRY_MS: u64 = 2_000;

/// What a member knows of the trials of a quarantined part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartTrials {
    /// The part.
    pub part: RequestPart,
    /// Number of trials.
    pub count: u32,
    /// Time since the last one, in milliseconds.
    pub age_ms: u64,
}

/// A message between members about trials.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TrialMessage {
    /// Asks the owner whether a request may be sent.
    Ask {
        /// Sequence number of the query at its sender.
        seq: u64,
        /// Hash of the request's id.
        request: u64,
        /// The quarantined parts of the request, as the sender knows them.
        quarantined: Vec<QuarantinedPart>,
        /// What the sender knows of their trials.
        trials: Vec<PartTrials>,
    },
    /// The owner's reply.
    Answer {
        /// Sequence number of the query.
        seq: u64,
        /// Whether the request may be sent to one replica.
        is_granted: bool,
    },
    /// Tells all members of trials.
    Tried(Vec<PartTrials>),
}

/// The trials of one quarantine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trials {
    count: u32,
    last_at: Time,
    /// Hash of the request's id to which this member granted the last one.
    last_request: Option<u64>,
}

impl Trials {
    pub(super) const fn count(self) -> u32 {
        self.count
    }

    pub(super) const fn last_at(self) -> Time {
        self.last_at
    }

    /// Returns when the next trial is due in a quarantine that began at a time; `None` if
    /// there is none left.
    fn due_at(self, begun: Time) -> Option<Time> {
        if is_injected(Fault::NeverTryQuarantined) {
            return None;
        }
        match self.count {
            0 => Some(begun.plus(FIRST_TRIAL_MS)),
            count if count < MAX_TRIALS || is_injected(Fault::TryWithoutEnd) => {
                Some(self.last_at.plus(NEXT_TRIAL_MS))
            }
            _ => None,
        }
    }

    pub(super) fn is_due(self, now: Time, begun: Time) -> bool {
        self.due_at(begun).is_some_and(|at| at <= now)
    }

    /// Returns whether the last trial was granted to this request a moment ago.
    pub(super) fn is_repeated(self, now: Time, request: u64) -> bool {
        self.last_request == Some(request) && now.since(self.last_at) < REPEAT_MS
    }

    pub(super) const fn grant(&mut self, now: Time, request: u64) {
        self.count += 1;
        self.last_at = now;
        self.last_request = Some(request);
    }

    /// Takes over what another member or the store knows.
    pub(super) const fn merge(&mut self, count: u32, last_at: Time) {
        if count > self.count {
            self.count = count;
            self.last_at = last_at;
            self.last_request = None;
        }
    }

    /// Returns after how long a caller should come back, in milliseconds. `left_ms` is the
    /// time until the quarantine ends.
    pub(super) fn retry_after_ms(self, now: Time, begun: Time, left_ms: u64) -> u64 {
        let is_running = self.count > 0 && now.since(self.last_at) < NEXT_TRIAL_MS;
        if is_running || self.due_at(begun).is_some() {
            left_ms.min(MAX_RETRY_MS)
        } else {
            left_ms
        }
    }
}

impl Quarantine {
    /// Returns whether a trial of a request is due, as far as this member knows. The owner
    /// of the quarantined parts grants it.
    #[must_use]
    pub fn is_trial_due(&self, now: Time, parts: &[RequestPart]) -> bool {
        let blocking = self.blocking(now, parts);
        blocking
            .iter()
            .all(|part| self.quarantined[part].is_trial_due(now))
    }

    /// Returns after how long a caller whose request is refused should come back, in
    /// milliseconds; `None` if it has no quarantined part.
    #[must_use]
    pub fn retry_after_ms(&self, now: Time, parts: &[RequestPart]) -> Option<u64> {
        let blocking = self.blocking(now, parts);
        let delays = blocking.iter().map(|part| {
            let quarantined = &self.quarantined[part];
            let left_ms = quarantined.until.since(now);
            let trials = quarantined.trials;
            trials.retry_after_ms(now, quarantined.begun(), left_ms)
        });
        delays.max()
    }

    /// Returns what is known of the trials of a quarantined part.
    #[must_use]
    pub fn trials(&self, now: Time, part: RequestPart) -> Option<PartTrials> {
        let trials = self.quarantined.get(&part)?.trials;
        Some(PartTrials {
            part,
            count: trials.count(),
            age_ms: now.since(trials.last_at()),
        })
    }

    /// Takes over what another member or the store knows of trials.
    pub fn note_trials(&mut self, now: Time, known: &[PartTrials]) {
        for it in known {
            if let Some(quarantined) = self.quarantined.get_mut(&it.part) {
                let last_at = Time(now.0.saturating_sub(it.age_ms));
                quarantined.trials.merge(it.count, last_at);
            }
        }
    }

    /// Decides, as the owner of a request's quarantined parts, whether the request may be
    /// sent to one replica. `request` is the hash of its id: a query that is repeated gets
    /// the same answer.
    pub fn grant_trial(&mut self, now: Time, request: u64, parts: &[RequestPart]) -> bool {
        let is_repeated = |quarantined: &Quarantined| quarantined.trials.is_repeated(now, request);
        let may_be_tried = |part: &RequestPart| {
            let quarantined = self.quarantined.get(part).filter(|it| it.is_active(now));
            quarantined.is_some_and(|it| it.is_trial_due(now) || is_repeated(it))
        };
        if parts.is_empty() || !parts.iter().all(may_be_tried) {
            return false;
        }
        for part in parts {
            let quarantined = self.quarantined.get_mut(part);
            let Some(quarantined) = quarantined.filter(|it| !is_repeated(it)) else {
                continue;
            };
            quarantined.trials.grant(now, request);
            self.tried.push_back((*part, RESENDS));
        }
        true
    }

    /// Returns what is to be told to all other members of trials, if that is due.
    pub fn next_trials(&mut self, now: Time) -> Option<Vec<PartTrials>> {
        if self.tried.is_empty() || now < self.next_trials_at {
            return None;
        }
        self.next_trials_at = now.plus(MESSAGE_INTERVAL_MS);
        let mut told = Vec::new();
        for _ in 0..self.tried.len().min(MAX_ENTRIES) {
            let Some((part, times)) = self.tried.pop_front() else {
                break;
            };
            told.extend(self.trials(now, part));
            if times > 1 {
                self.tried.push_back((part, times - 1));
            }
        }
        Some(told)
    }
}
