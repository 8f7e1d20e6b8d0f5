/*!
Admission at an entry: drawing grants from a customer's holders.

An entry draws one grant for a request when it needs one and asks the holders
in an order that starts at the last one that had tokens. It refuses only when
every holder that it can reach is empty or away.

A holder that answers within [`NEAR_MS`] is asked for one token at a time: a
token that is not used within the grant's life lapses and is lost to the
customer. From a farther one an entry that admits steadily draws more than it
needs now, so that most requests wait for no answer, but no more than half of
what it admitted within the last grant's life.
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

/// Retry-after when no holder could be reached, in milliseconds.
pub const UNREACHED_RETRY_MS: u64 = 1_000;
/// Time to a holder's answer from which it is asked ahead, in milliseconds.
pub const NEAR_MS: u64 = 10;
/// Longest retry-after, in milliseconds.
pub const MAX_RETRY_MS: u64 = 60_000;

/// What to do about a request that wants to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is admitted.
    Admit,
    /// Ask this holder for so many.
    Ask(MemberId, u32),
    /// It is refused; come back after so many milliseconds.
    Refuse {
        /// Milliseconds to wait.
        retry_ms: u64,
        /// No holder could be reached: the customer may be within its rate.
        unreached: bool,
    },
}

#[derive(Clone, Debug, Default)]
struct Stock {
    tokens: u32,
    use_by: Time,
    admitted: u32,
    window: Time,
    preferred: usize,
    /// Time to the last answer.
    round_trip_ms: u64,
}

/// The grants of one entry.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    stocks: BTreeMap<CustomerId, Stock>,
}

/// The search of one request for a token.
#[derive(Clone, Debug)]
pub struct Search {
    customer: CustomerId,
    holders: Vec<MemberId>,
    tried: usize,
    first: usize,
    least_wait_ms: Option<u64>,
}

impl Limiter {
    /// Begins the search of one request; `holders` come nearest first.
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

    /// Takes a holder's answer to a draw that was sent at `sent`.
    ///
    /// `None` stands for no answer in time.
    pub fn answered(&mut self, now: Time, search: &mut Search, sent: Time, draw: Option<Draw>) {
        let stock = self.stocks.entry(search.customer).or_default();
        stock.round_trip_ms = now.since(sent);
        let late = now.since(sent) >= GRANT_LIFE_MS && !is_planted(Fault::AcceptLateGrant);
        match draw {
            Some(Draw::Granted(tokens)) if !late => {
                let use_by = sent.plus(GRANT_LIFE_MS);
                // Tokens of two grants keep the earlier time of the two.
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

    /// Forgets customers that are no more.
    pub fn retain(&mut self, exists: impl Fn(CustomerId) -> bool) {
        self.stocks.retain(|customer, _| exists(*customer));
    }
}
