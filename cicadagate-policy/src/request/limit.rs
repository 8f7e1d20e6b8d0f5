/*!
Admission at an entry process, by token grants from a customer's share
holders.

An entry requests a grant when a request needs a token and it has none left. It
asks the share holders in turn, starting with the one that last had tokens,
and refuses the request only when every holder has no tokens left or does not
answer.

If the last answer came in less than [`NEAR_MS`], tokens are requested one at a
time: a token that is not used within the grant's lifetime expires and is lost
to the customer. If it took longer, tokens are prefetched, so that at a steady
rate most requests wait for no answer. The prefetch is at most half of the
requests admitted in the current window of one grant lifetime.
*/

use {
    super::super::process::holder::{Draw, GRANT_LIFE_MS},
    crate::{
        ids::{CustomerId, MemberId},
        planted::{Fault, is_planted},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Retry-after when no share holder could be reached, in milliseconds.
pub const UNREACHED_RETRY_MS: u64 = 1_000;
/// Time to a share holder's answer from which tokens are prefetched, in
/// milliseconds.
pub const NEAR_MS: u64 = 10;
/// Longest retry-after, in milliseconds.
pub const MAX_RETRY_MS: u64 = 60_000;

/// Next step in the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request is admitted.
    Admit,
    /// Ask this share holder for that many tokens.
    Ask(MemberId, u32),
    /// The request is refused.
    Refuse {
        /// Time after which to retry, in milliseconds.
        retry_ms: u64,
        /// No share holder answered, so the customer may be within its rate.
        unreached: bool,
    },
}

/// Unused tokens for one customer, and how they are requested.
#[derive(Clone, Debug, Default)]
struct Stock {
    tokens: u32,
    /// Time from which the tokens no longer count.
    use_by: Time,
    /// Requests admitted since `window`.
    admitted: u32,
    /// Start of the current window of [`GRANT_LIFE_MS`].
    window: Time,
    /// Index of the share holder that last granted tokens.
    preferred: usize,
    /// Duration of the last draw, in milliseconds.
    round_trip_ms: u64,
}

/// Tokens granted to one entry process, by customer.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    stocks: BTreeMap<CustomerId, Stock>,
}

/// The progress of one request's search for a token.
#[derive(Clone, Debug)]
pub struct Search {
    customer: CustomerId,
    holders: Vec<MemberId>,
    tried: usize,
    first: usize,
    least_wait_ms: Option<u64>,
}

impl Limiter {
    /// Starts the search for one request; `holders` are sorted nearest first.
    #[must_use]
    pub fn begin(&self, customer: CustomerId, holders: Vec<MemberId>) -> Search {
        let preferred = self
            .stocks
            .get(&customer)
            .map_or(0, |stock| stock.preferred);
        let first = if holders.is_empty() {
            0
        } else {
            preferred % holders.len()
        };
        Search {
            customer,
            holders,
            tried: 0,
            first,
            least_wait_ms: None,
        }
    }

    /// Returns the next step of a search.
    pub fn step(&mut self, now: Time, search: &Search) -> Step {
        let stock = self.stocks.entry(search.customer).or_default();
        if now.since(stock.window) >= GRANT_LIFE_MS {
            stock.window = now;
            stock.admitted = 0;
        }
        let in_time = now < stock.use_by || is_planted(Fault::AcceptLateGrant);
        if stock.tokens > 0 && in_time {
            stock.tokens -= 1;
            stock.admitted += 1;
            return Step::Admit;
        }
        stock.tokens = 0;
        if search.tried < search.holders.len() {
            let index = (search.first + search.tried) % search.holders.len();
            let ahead = if stock.round_trip_ms < NEAR_MS {
                0
            } else {
                stock.admitted / 2
            };
            return Step::Ask(search.holders[index], 1 + ahead);
        }
        let retry_ms = search
            .least_wait_ms
            .unwrap_or(UNREACHED_RETRY_MS)
            .clamp(1, MAX_RETRY_MS);
        Step::Refuse {
            retry_ms,
            unreached: search.least_wait_ms.is_none(),
        }
    }

    /// Processes a share holder's answer to a draw that was sent at `sent`.
    ///
    /// `None` means that no answer came in time.
    pub fn answered(&mut self, now: Time, search: &mut Search, sent: Time, draw: Option<Draw>) {
        let stock = self.stocks.entry(search.customer).or_default();
        stock.round_trip_ms = now.since(sent);
        let late = now.since(sent) >= GRANT_LIFE_MS && !is_planted(Fault::AcceptLateGrant);
        match draw {
            Some(Draw::Granted(tokens)) if !late => {
                let use_by = sent.plus(GRANT_LIFE_MS);
                // Tokens of two grants share the earlier expiry time.
                stock.use_by = if stock.tokens == 0 {
                    use_by
                } else {
                    stock.use_by.min(use_by)
                };
                stock.tokens += tokens;
                stock.preferred = (search.first + search.tried) % search.holders.len().max(1);
            }
            Some(Draw::Empty { wait_ms }) => {
                let least = search.least_wait_ms.unwrap_or(u64::MAX);
                search.least_wait_ms = Some(least.min(wait_ms));
                search.tried += 1;
            }
            _ => search.tried += 1,
        }
    }

    /// Removes the tokens of customers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(CustomerId) -> bool) {
        self.stocks.retain(|customer, _| exists(*customer));
    }
}
