/*!
Admission at an entry process, by token grants from a customer's share
holders.

An entry process sends a token request when it has no token left for a request
to admit. It queries the share holders in turn, starting with the one that last
granted tokens, and refuses the request only when every holder has no tokens
left, may not grant any, or does not reply in time.

If the last reply took less than [`PREFETCH_ROUND_TRIP_MS`], tokens are
requested one at a time: a token that is not used within the grant TTL expires
and is lost to the customer. If it took longer, tokens are prefetched, so that
at a steady rate most requests need not wait for a reply. The prefetch is at
most half of the requests admitted in the current window of one grant TTL.
*/

use {
    super::super::process::share_holder::{GRANT_TTL_MS, GrantOutcome},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, MemberId},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Retry-after when no share holder has replied when its next token is due, in
/// milliseconds.
pub const NO_HOLDER_RETRY_MS: u64 = 1_000;
/// Reply time of a share holder from which tokens are prefetched, in
/// milliseconds.
pub const PREFETCH_ROUND_TRIP_MS: u64 = 10;
/// Longest retry-after, in milliseconds.
pub const MAX_RETRY_MS: u64 = 60_000;

/// Next step in the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// The request is admitted.
    Admit,
    /// Request that many tokens from this share holder.
    Ask(MemberId, u32),
    /// The request is refused.
    Refuse {
        /// Time after which to retry, in milliseconds.
        retry_ms: u64,
        /// No share holder granted tokens, and none replied that its bucket is
        /// empty, so the customer may be within its rate.
        no_holder_granted: bool,
    },
}

/// Unused tokens for one customer, and how they are requested.
#[derive(Clone, Debug, Default)]
struct TokenPool {
    tokens: u32,
    /// Time from which the tokens no longer count.
    expires: Time,
    /// Requests admitted since `window_start`.
    admitted: u32,
    /// Start of the current window of [`GRANT_TTL_MS`].
    window_start: Time,
    /// Index of the share holder that last granted tokens.
    preferred_holder: usize,
    /// Duration of the last token request, in milliseconds.
    round_trip_ms: u64,
}

/// Tokens granted to one entry process, by customer.
#[derive(Clone, Debug, Default)]
pub struct GrantCache {
    pools: BTreeMap<CustomerId, TokenPool>,
}

/// The state of obtaining a token for one request from the share holders.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    customer: CustomerId,
    holders: Vec<MemberId>,
    tried_holders: usize,
    first_holder: usize,
    min_wait_ms: Option<u64>,
}

impl GrantCache {
    /// Starts obtaining a token for one request; `holders` are sorted nearest
    /// first.
    #[must_use]
    pub fn begin(&self, customer: CustomerId, holders: Vec<MemberId>) -> TokenRequest {
        let preferred_holder = self
            .pools
            .get(&customer)
            .map_or(0, |pool| pool.preferred_holder);
        let first_holder = if holders.is_empty() {
            0
        } else {
            preferred_holder % holders.len()
        };
        TokenRequest {
            customer,
            holders,
            tried_holders: 0,
            first_holder,
            min_wait_ms: None,
        }
    }

    /// Returns the next step of obtaining a token.
    pub fn step(&mut self, now: Time, token_request: &TokenRequest) -> AdmissionStep {
        let pool = self.pools.entry(token_request.customer).or_default();
        if now.since(pool.window_start) >= GRANT_TTL_MS {
            pool.window_start = now;
            pool.admitted = 0;
        }
        let is_usable = now < pool.expires || is_injected(Fault::AcceptLateGrant);
        if pool.tokens > 0 && is_usable {
            pool.tokens -= 1;
            pool.admitted += 1;
            return AdmissionStep::Admit;
        }
        pool.tokens = 0;
        if token_request.tried_holders < token_request.holders.len() {
            let index = (token_request.first_holder + token_request.tried_holders)
                % token_request.holders.len();
            let prefetch = if pool.round_trip_ms < PREFETCH_ROUND_TRIP_MS {
                0
            } else {
                pool.admitted / 2
            };
            return AdmissionStep::Ask(token_request.holders[index], 1 + prefetch);
        }
        let retry_ms = token_request
            .min_wait_ms
            .unwrap_or(NO_HOLDER_RETRY_MS)
            .clamp(1, MAX_RETRY_MS);
        AdmissionStep::Refuse {
            retry_ms,
            no_holder_granted: token_request.min_wait_ms.is_none(),
        }
    }

    /// Processes a share holder's reply to a token request that was sent at
    /// `sent`.
    ///
    /// `None` means that no reply came in time.
    pub fn note_reply(
        &mut self,
        now: Time,
        token_request: &mut TokenRequest,
        sent: Time,
        outcome: Option<GrantOutcome>,
    ) {
        let pool = self.pools.entry(token_request.customer).or_default();
        pool.round_trip_ms = now.since(sent);
        let is_late = now.since(sent) >= GRANT_TTL_MS && !is_injected(Fault::AcceptLateGrant);
        match outcome {
            Some(GrantOutcome::Granted(tokens)) if !is_late => {
                let expires = sent.plus(GRANT_TTL_MS);
                // Tokens of two grants share the earlier expiry time.
                pool.expires = if pool.tokens == 0 {
                    expires
                } else {
                    pool.expires.min(expires)
                };
                pool.tokens += tokens;
                pool.preferred_holder = (token_request.first_holder + token_request.tried_holders)
                    % token_request.holders.len().max(1);
            }
            Some(GrantOutcome::Empty { wait_ms }) => {
                let min_wait = token_request.min_wait_ms.unwrap_or(u64::MAX);
                token_request.min_wait_ms = Some(min_wait.min(wait_ms));
                token_request.tried_holders += 1;
            }
            _ => token_request.tried_holders += 1,
        }
    }

    /// Removes the tokens of customers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(CustomerId) -> bool) {
        self.pools.retain(|customer, _| exists(*customer));
    }
}
