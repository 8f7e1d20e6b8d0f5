/*!
Attempts of a request: what may be tried again, and what may be said of it.

# Problem

An answer can be lost after the work was done. Whoever tries again without
care runs it twice; whoever says "not run" without care lies.

# Choice

Each attempt is in one of three states. It is *not sent* until the first byte
of it may have left towards the endpoint; from then on it *may have run*; once
the answer's end mark is there it is *answered*. Only *not sent* is reported as
"not run", by every hop, as a typed value that crosses hops.

An attempt that was not sent may always be followed by another. One that may
have run is followed by another only if the request is idempotent, within the
retry budget of its route and the caller's deadline. A stream goes on at the
next attempt from the first piece that has not been relayed.

Frames carry the request and the attempt. A frame of another attempt, or one
out of order, is dropped.
*/

use crate::{
    planted::{Fault, is_planted},
    time::Time,
};

/// Most attempts of one request that may have run.
pub const MAX_RUNS: u32 = 4;
/// Most attempts of one request, refused ones included.
pub const MAX_ATTEMPTS: u32 = 12;
/// Retries that a route may spend on each hundred requests.
pub const BUDGET_PERCENT: u64 = 10;
/// Retries that a quiet route has in reserve.
pub const BUDGET_RESERVE: u64 = 10;

/// How far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Progress {
    /// No byte of it can have reached the endpoint.
    NotSent,
    /// It may have run.
    MaybeRun,
    /// Its answer arrived whole.
    Answered,
}

/// What may be said about a request that ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try again.
    Retry,
    /// Give up; it has not run.
    NotRun,
    /// Give up; it may have run.
    MaybeRun,
}

/// Retries that one route may still spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    hundredths: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            hundredths: BUDGET_RESERVE * 100,
        }
    }
}

impl Budget {
    /// Notes a request of the route.
    pub fn note_request(&mut self) {
        self.hundredths = (self.hundredths + BUDGET_PERCENT).min(BUDGET_RESERVE * 100);
    }

    /// Spends one retry if there is one.
    pub const fn spend(&mut self) -> bool {
        let has = self.hundredths >= 100;
        if has {
            self.hundredths -= 100;
        }
        has
    }
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Time,
    max_runs: u32,
    number: u32,
    runs: u32,
    current: Progress,
    earlier: Progress,
    relayed: u64,
    ended: bool,
}

/// What to do with a frame of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// Pass it on.
    Pass,
    /// Drop it: it is late, doubled or of another attempt.
    Drop,
    /// A piece is missing: the attempt has failed.
    Gap,
}

impl Attempts {
    /// Makes the record of a request that has not been sent.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            max_runs: MAX_RUNS,
            number: 0,
            runs: 0,
            current: Progress::NotSent,
            earlier: Progress::NotSent,
            relayed: 0,
            ended: false,
        }
    }

    /// Sets the most attempts that may have run, as a route may say.
    #[must_use]
    pub const fn with_max_runs(mut self, max_runs: u32) -> Self {
        self.max_runs = max_runs;
        self
    }

    /// Begins the next attempt and returns its number.
    pub fn begin(&mut self) -> u32 {
        self.earlier = self.worst();
        self.runs += u32::from(self.current != Progress::NotSent);
        self.number += 1;
        self.current = Progress::NotSent;
        self.number
    }

    /// Notes that the current attempt may have run from now on.
    pub fn sent(&mut self) {
        self.current = self.current.max(Progress::MaybeRun);
    }

    /// Notes how far the current attempt got, as a later hop reports it.
    ///
    /// A later hop knows better: what was sent to it may still be not sent
    /// by it.
    pub const fn failed(&mut self, progress: Progress) {
        self.current = progress;
    }

    /// Tells whether the request may run more than once.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        self.idempotent
    }

    /// Returns how far the furthest attempt got.
    #[must_use]
    pub fn worst(&self) -> Progress {
        self.earlier.max(self.current)
    }

    /// Decides what follows a failed attempt.
    pub fn verdict(&self, now: Time, budget: &mut Budget) -> Verdict {
        let maybe_run = self.worst() != Progress::NotSent;
        let may_repeat = !maybe_run || self.idempotent || is_planted(Fault::RetryNonIdempotent);
        let runs = self.runs + u32::from(self.current != Progress::NotSent);
        let in_time = now < self.deadline && runs < self.max_runs && self.number < MAX_ATTEMPTS;
        // An attempt that was not sent put no load on an endpoint, so it
        // spends no retry.
        let is_free = self.current == Progress::NotSent;
        if may_repeat && in_time && (is_free || budget.spend()) {
            return Verdict::Retry;
        }
        if maybe_run && !is_planted(Fault::ClaimNotRun) {
            Verdict::MaybeRun
        } else {
            Verdict::NotRun
        }
    }

    /// Takes piece `index` of the answer to attempt `number`.
    pub fn piece(&mut self, number: u32, index: u64) -> Relay {
        let crossed = number != self.number && !is_planted(Fault::AcceptCrossedAnswer);
        if crossed || self.ended || index < self.relayed {
            return Relay::Drop;
        }
        if index > self.relayed {
            return Relay::Gap;
        }
        self.relayed += 1;
        Relay::Pass
    }

    /// Takes the end mark of attempt `number`; `pieces` is the answer's length.
    ///
    /// Returns whether the answer is whole.
    pub fn end(&mut self, number: u32, pieces: u64) -> bool {
        let whole = pieces == self.relayed || is_planted(Fault::AcceptTruncated);
        if number != self.number || !whole {
            return false;
        }
        self.current = Progress::Answered;
        self.ended = true;
        true
    }

    /// Takes the end of a connection without an end mark.
    ///
    /// Returns whether the answer may be taken as whole.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.ended || is_planted(Fault::AcceptTruncated)
    }

    /// Returns the number of pieces relayed, from which a stream is resumed.
    #[must_use]
    pub const fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Returns the number of the current attempt, 0 before the first.
    #[must_use]
    pub const fn number(&self) -> u32 {
        self.number
    }

    /// Returns whether the whole answer was relayed.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}
