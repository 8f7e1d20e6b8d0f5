/*!
Limit on the tokens that a customer's accepted items may have waiting on a
route.

# Problem

Jobs arrive at any instance, also many at the same time, and an instance that
counted for itself would accept what another one has accepted already. The
limit holds for the whole fleet at each acceptance.

# Choice

The index of jobs is one ordered log, and every process applies its records in
the same order. A submission to a limited route is therefore a record that asks,
and the index accepts or refuses it by the tokens that are waiting at the
record's offset. All processes come to the same verdict, without an owner of the
count, and a process that reads the log later does too. The instance responds
after it has read its own record back.

Each submission carries the number of its HTTP request, its *attempt*. The store
may append a record again, seconds later, after its first copy was refused; the
refusal of an attempt is final, since the caller has been told that the job does
not run. A later attempt of the caller has another number and is decided anew.

An owner of the count needs no read after the append, but its successor has to
read the log before it may decide, and two owners may exist for a moment. Shares
at all instances refuse what fits while one of them is used up.

# Cost

A submission to a limited route waits for one read of the index after its
append. Refused submissions stay in the log; an instance whose own index already
shows that a job does not fit appends nothing.
*/

use {
    crate::fault_injection::{Fault, is_injected},
    std::collections::{BTreeSet, VecDeque},
};

/// Shortest retry-after, in milliseconds.
pub const MIN_RETRY_MS: u64 = 250;
/// Longest retry-after, in milliseconds.
pub const MAX_RETRY_MS: u64 = 30_000;
/// Number of refused attempts that are remembered. The store may append a
/// record again within seconds, during which far fewer are refused.
const MAX_REFUSED_ATTEMPTS: usize = 10_000;

/// A result of this module.
pub type Result<T, E = OverTokenLimit> = std::result::Result<T, E>;

/// The tokens of one customer on one route, at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the items that wait or run.
    pub waiting: u64,
    /// Tokens of the items that were finished lately.
    pub finished: u64,
    /// Time in which [`finished`](Self::finished) was counted, in milliseconds.
    pub elapsed_ms: u64,
    /// Time until the last of the waiting items is due, in milliseconds.
    pub due_in_ms: u64,
}

/// The error for a job whose tokens do not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverTokenLimit {
    /// Tokens that are waiting.
    pub waiting: u64,
    /// Time until enough tokens are expected to have been finished, in
    /// milliseconds.
    pub retry_after_ms: u64,
}

/// Decides whether the tokens of a job fit; a `limit` of 0 is none.
///
/// # Errors
///
/// Returns an error if they do not fit.
pub fn check(count: TokenCount, tokens: u64, limit: u64) -> Result<()> {
    let total = count.waiting.saturating_add(tokens);
    if limit == 0 || total <= limit || is_injected(Fault::IgnoreTokenLimit) {
        return Ok(());
    }
    Err(OverTokenLimit {
        waiting: count.waiting,
        retry_after_ms: expected_wait_ms(count, total - limit),
    })
}

/// Returns the time until `excess` tokens are finished: at the rate of late, or
/// by the due time of what is waiting if nothing was finished lately.
fn expected_wait_ms(count: TokenCount, excess: u64) -> u64 {
    let excess = excess.min(count.waiting);
    let at_rate_ms = excess
        .saturating_mul(count.elapsed_ms)
        .checked_div(count.finished);
    at_rate_ms
        .unwrap_or(count.due_in_ms)
        .clamp(MIN_RETRY_MS, MAX_RETRY_MS)
}

/// The attempts that were refused last.
#[derive(Clone, Debug, Default)]
pub struct RefusedAttempts {
    known: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl RefusedAttempts {
    /// Adds an attempt, and drops the oldest one if there are too many.
    pub fn insert(&mut self, attempt: u64) {
        if self.known.insert(attempt) {
            self.order.push_back(attempt);
        }
        if self.order.len() > MAX_REFUSED_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether an attempt was refused.
    #[must_use]
    pub fn contains(&self, attempt: u64) -> bool {
        self.known.contains(&attempt)
    }
}
