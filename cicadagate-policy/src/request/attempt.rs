/*!
Attempts of a request: whether to retry, and what to report at the end.

# Problem

A response can be lost after the request has run. A retry would then run the
request twice, and a report of "not run" would be false.

# Choice

Each attempt is in one of three states. It is *not sent* until its first byte
may have left towards the endpoint. From then on it *may have run*. Once the
end marker of the response has arrived it is *answered*. Every hop reports "not
run" only for *not sent*, as a typed value that is passed from hop to hop.

If no attempt of a request may have run, the request may be retried. Otherwise
it is retried only if it is idempotent. Both hold up to the caller's deadline
and the limits on attempts, and a retry after an attempt that may have run
spends from the retry budget of the route. A stream resumes at the next attempt
with the first piece that was not relayed.

Frames carry the request and the number of the attempt. A frame of another
attempt, or one that was relayed already, is dropped; a missing one fails the
attempt.
*/

use crate::{
    fault_injection::{Fault, is_injected},
    time::Time,
};

/// Maximum number of attempts of one request that may have run.
pub const MAX_RUN_ATTEMPTS: u32 = 4;
/// Maximum number of attempts of one request, refused ones included.
pub const MAX_ATTEMPTS: u32 = 12;
/// Retries that a route earns with every hundred requests.
pub const RETRY_BUDGET_PERCENT: u64 = 10;
/// Maximum number of saved retries of a route, which it also starts with.
pub const RETRY_BUDGET_MAX: u64 = 10;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Progress {
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The request may have run.
    MaybeRun,
    /// The complete response has arrived.
    Answered,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt.
    Retry,
    /// End the request and report that it has not run.
    NotRun,
    /// End the request and report that it may have run.
    MaybeRun,
}

/// The retry budget of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// Saved retries, in hundredths of a retry.
    saved_hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_hundredths: RETRY_BUDGET_MAX * 100,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that a request of the route earns.
    pub fn note_request(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + RETRY_BUDGET_PERCENT).min(RETRY_BUDGET_MAX * 100);
    }

    /// Spends one retry; returns `false` if there is none.
    pub const fn try_spend(&mut self) -> bool {
        let has_retry = self.saved_hundredths >= 100;
        if has_retry {
            self.saved_hundredths -= 100;
        }
        has_retry
    }
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Time,
    max_runs: u32,
    /// Number of the current attempt, 0 before the first.
    number: u32,
    /// Earlier attempts that may have run.
    runs: u32,
    current_progress: Progress,
    /// Furthest progress of the earlier attempts.
    earlier_progress: Progress,
    /// Whether an endpoint failed an attempt.
    endpoint_failed: bool,
    /// Number of pieces relayed.
    relayed: u64,
    /// The complete response was relayed.
    ended: bool,
}

/// What to do with a frame of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Pass it on.
    Pass,
    /// Drop it: it is late, duplicated or of another attempt.
    Drop,
    /// A piece is missing: the attempt has failed.
    Gap,
}

impl Attempts {
    /// Creates the state of a request that has not been sent.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            max_runs: MAX_RUN_ATTEMPTS,
            number: 0,
            runs: 0,
            current_progress: Progress::NotSent,
            earlier_progress: Progress::NotSent,
            endpoint_failed: false,
            relayed: 0,
            ended: false,
        }
    }

    /// Sets the maximum number of attempts that may have run,
    /// [`MAX_RUN_ATTEMPTS`] by default.
    #[must_use]
    pub const fn with_max_run_attempts(mut self, max_runs: u32) -> Self {
        self.max_runs = max_runs;
        self
    }

    /// Starts the next attempt and returns its number.
    pub fn begin(&mut self) -> u32 {
        self.earlier_progress = self.furthest();
        self.runs += u32::from(self.current_progress != Progress::NotSent);
        self.number += 1;
        self.current_progress = Progress::NotSent;
        self.number
    }

    /// Records that the current attempt may have run.
    pub fn mark_sent(&mut self) {
        self.current_progress = self.current_progress.max(Progress::MaybeRun);
    }

    /// Records the progress of the current attempt as a later hop reports it.
    ///
    /// The report replaces the local progress, also by an earlier state: what
    /// was sent to the next hop may not have been sent on from there.
    pub const fn mark_failed(&mut self, progress: Progress) {
        self.current_progress = progress;
    }

    /// Records that the owner reports the current attempt as failed by its
    /// endpoint, with its progress.
    ///
    /// A lost owner or a gap in its frames says nothing of the endpoint and is
    /// recorded by [`mark_failed`](Self::mark_failed).
    pub const fn mark_failed_by_endpoint(&mut self, progress: Progress) {
        self.mark_failed(progress);
        self.endpoint_failed = true;
    }

    /// Returns `true` if an endpoint failed an attempt.
    #[must_use]
    pub const fn is_failed_by_endpoint(&self) -> bool {
        self.endpoint_failed
    }

    /// Returns `true` if the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns the progress of the attempt that got furthest.
    #[must_use]
    pub fn furthest(&self) -> Progress {
        self.earlier_progress.max(self.current_progress)
    }

    /// Returns how many further attempts may run.
    #[must_use]
    pub fn runs_left(&self) -> u32 {
        let runs = self.runs + u32::from(self.current_progress != Progress::NotSent);
        self.max_runs.saturating_sub(runs)
    }

    /// Decides what follows a failed attempt.
    pub fn decide(&self, now: Time, budget: &mut RetryBudget) -> RetryDecision {
        let maybe_run = self.furthest() != Progress::NotSent;
        let may_repeat = !maybe_run || self.idempotent || is_injected(Fault::RetryNonIdempotent);
        let is_within_limits =
            now < self.deadline && self.runs_left() > 0 && self.number < MAX_ATTEMPTS;
        // An attempt that was not sent put no load on an endpoint, so a retry
        // after it costs no budget.
        let is_free = self.current_progress == Progress::NotSent;
        if may_repeat && is_within_limits && (is_free || budget.try_spend()) {
            return RetryDecision::Retry;
        }
        if maybe_run && !is_injected(Fault::ReportNotRun) {
            RetryDecision::MaybeRun
        } else {
            RetryDecision::NotRun
        }
    }

    /// Processes piece `index` of the response to attempt `number`.
    pub fn accept_piece(&mut self, number: u32, index: u64) -> FrameAction {
        let is_other_attempt = number != self.number && !is_injected(Fault::AcceptOtherAttempt);
        if is_other_attempt || self.ended || index < self.relayed {
            return FrameAction::Drop;
        }
        if index > self.relayed {
            return FrameAction::Gap;
        }
        self.relayed += 1;
        FrameAction::Pass
    }

    /// Processes the end marker of attempt `number`, whose response has
    /// `pieces` pieces.
    ///
    /// Returns `true` if it ends the current attempt and all pieces were
    /// relayed.
    pub fn accept_end(&mut self, number: u32, pieces: u64) -> bool {
        let is_complete = pieces == self.relayed || is_injected(Fault::AcceptTruncated);
        if number != self.number || !is_complete {
            return false;
        }
        self.current_progress = Progress::Answered;
        self.ended = true;
        true
    }

    /// Returns `true` if the response is complete when its connection closes.
    #[must_use]
    pub fn is_complete_at_close(&self) -> bool {
        self.ended || is_injected(Fault::AcceptTruncated)
    }

    /// Returns the number of pieces relayed, which is also the index from which
    /// a stream is resumed.
    #[must_use]
    pub const fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Returns the number of the current attempt, 0 before the first.
    #[must_use]
    pub const fn number(&self) -> u32 {
        self.number
    }

    /// Returns `true` if the complete response was relayed.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }
}
