/*!
Request rates that replicas name in their responses.

# Problem

A replica in need names the requests per second that it accepts from all members
together, for as long as it does so. Any member may send to any replica, and each
of them sees the responses to its own requests only.

# Choice

Each member keeps the rate that a replica last named. A response without a rate
ends it, but only if its request was sent after the rate became known: responses on
different connections may overtake each other. A new incarnation starts without
a rate.

The owner of the replica's slots, which grants them to all members, keeps a token
bucket of the rate. It learns of the rate from the member that was told of it, and from
each later slot query, so that a new owner, or a restarted one, knows it before it grants
anything to a member that does. A member that knows of a rate sends nothing to the
replica without a grant.

The owner's bucket alone keeps the rate. A member also refuses requests that would wait too
long by the rates that it knows, which saves messages to owners, but only by rates that it
has been told of lately: a request that is refused by an older one can't bring
the response that ends it.

A bucket starts empty, holds few tokens, and at most two of them after it has not been used
for a while. So while two members consider themselves the owner, they grant at most twice the
rate, and hardly a saved burst besides, which the replicas' tolerance allows for some seconds.
If no token is left, online requests may reserve a later one, as long as they can
wait for it; so requests are admitted in the order of their arrival without asking
again. Items of jobs get a token only from a full bucket and thus what online requests
leave. Two tokens are full after a while without use, however rarely an item asks: an answer to
it may be the only one that can end the rate.

# Cost

A changed rate costs one message to the owner. A query for a slot carries the known rate.
*/

use {
    super::slot_ledger::Purpose,
    crate::{
        fault_injection::{Fault, is_injected},
        ids::EndpointId,
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, fmt},
};

/// Time whose tokens a bucket holds, in milliseconds.
const BURST_MS: i64 = 250;
/// Time without a query after which a bucket holds at most [`MIN_CAPACITY`], in
/// milliseconds: its owner may have taken over from another one, which still grants tokens.
const UNUSED_MS: u64 = 1_000;
/// Age up to which a rate counts for the load of a service, in milliseconds.
const RECENT_MS: u64 = 2_000;
/// Lowest rate that is used, in thousandths of a request per second. Without any request
/// there is no response that ends the rate.
const MIN_MILLI: u64 = 250;
/// Highest rate that is used, in thousandths of a request per second.
const MAX_MILLI: u64 = 1_000_000_000;
/// Time by which a message about an unchanged rate must be newer to count, in
/// milliseconds. Ages in messages lack the time in transit, so a rate that is told back
/// and forth would never get older.
const MIN_NEWER_MS: u64 = 100;
/// Parts of one token: thousandths of a request times milliseconds per second.
pub(super) const TOKEN: i64 = 1_000_000;
/// Least that a bucket holds: a token for an item, and one that is left for an online
/// request.
const MIN_CAPACITY: i64 = 2 * TOKEN;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns a rate, or `None` if `per_s` is no finite number of at least 0.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Checked.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u64))
    }

    /// Returns the requests per 1,000 seconds that are used.
    #[must_use]
    pub const fn milli(self) -> u64 {
        if self.0 < MIN_MILLI {
            MIN_MILLI
        } else if self.0 > MAX_MILLI {
            MAX_MILLI
        } else {
            self.0
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
}

/// What a member knows of a replica's rate, as told to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NamedRate {
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The rate; `None` if the replica named none any more.
    pub rate: Option<RequestRate>,
    /// Time since the response from which it is known, in milliseconds.
    pub age_ms: u64,
}

impl NamedRate {
    /// Says nothing of a replica's rate, in messages that carry one.
    pub const UNKNOWN: Self = Self {
        started_ms: 0,
        rate: None,
        age_ms: u64::MAX,
    };
}

/// A change of a replica's rate, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateChange {
    /// The rate has not changed.
    None,
    /// The replica accepts this rate from now on.
    Limited(RequestRate),
    /// The replica names no rate any more.
    Lifted,
}

/// Whether a request may be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// The replica names no rate.
    Unlimited,
    /// It may be sent after this time, in milliseconds.
    After(u64),
    /// A token is available only after this time, in milliseconds, which is
    /// longer than the request may wait.
    Denied(u64),
}

/// Tokens in parts of [`TOKEN`]; negative if later ones are reserved.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: i64,
    filled_at: Time,
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: RequestRate) -> i64 {
        self.fill_up_to(now, rate, Self::capacity(rate.milli().cast_signed()))
    }

    /// Adds the tokens since the last call; returns what a full bucket holds now.
    pub(super) fn fill_up_to(&mut self, now: Time, rate: RequestRate, capacity: i64) -> i64 {
        let rate = rate.milli().cast_signed();
        let elapsed_ms = i64::try_from(now.since(self.filled_at)).unwrap_or(i64::MAX);
        let added = rate.saturating_mul(elapsed_ms);
        let capacity = if now.since(self.filled_at) < UNUSED_MS {
            capacity
        } else {
            capacity.min(MIN_CAPACITY)
        };
        self.tokens = self.tokens.saturating_add(added).min(capacity);
        self.filled_at = now.max(self.filled_at);
        capacity
    }

    fn capacity(rate: i64) -> i64 {
        (rate * BURST_MS).max(MIN_CAPACITY)
    }

    /// Returns the time until the bucket holds `tokens`, in milliseconds.
    pub(super) fn wait_ms(&self, rate: RequestRate, tokens: i64) -> u64 {
        let missing = (tokens - self.tokens).max(0).unsigned_abs();
        missing.div_ceil(rate.milli())
    }

    /// Decides whether a request that needs `tokens` may be sent after at most `max_wait_ms`.
    pub(super) fn decide(&self, rate: RequestRate, tokens: i64, max_wait_ms: u64) -> RateDecision {
        let wait_ms = self.wait_ms(rate, tokens);
        if wait_ms <= max_wait_ms {
            RateDecision::After(wait_ms)
        } else {
            RateDecision::Denied(wait_ms)
        }
    }

    pub(super) const fn take(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKEN);
    }
}

/// What is known of a replica's rate.
#[derive(Clone, Copy, Debug)]
struct Known {
    started_ms: u64,
    rate: Option<RequestRate>,
    /// Time of the response that named the rate, or of the one without.
    observed_at: Time,
    /// Used by the owner only.
    bucket: Bucket,
}

/// Returns whether a rate allows more than another; `None` is no limit.
fn is_higher(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(rate), Some(other)) => rate > other,
    }
}

/// The rates that replicas have named, and the tokens that this process has
/// granted as their owner.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRates {
    replicas: HashMap<EndpointId, Known>,
}

impl ReplicaRates {
    /// Records the rate in a response of a replica's incarnation, if it named
    /// one, to a request that was sent at `sent_at`. A rate that allows more than the
    /// known one counts only if the request was sent after that was observed.
    pub fn note_response(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        started_ms: u64,
        sent_at: Time,
        rate: Option<RequestRate>,
    ) -> RateChange {
        let is_outdated = match self.replicas.get(&endpoint) {
            None => rate.is_none(),
            Some(known) if started_ms != known.started_ms => started_ms < known.started_ms,
            // It may be a second copy of a response from before the known one.
            Some(known) => sent_at < known.observed_at && is_higher(rate, known.rate),
        };
        if is_outdated {
            return RateChange::None;
        }
        self.set(now, endpoint, started_ms, rate, now)
    }

    /// Applies what another member knows of a replica's rate, if that is newer.
    pub fn apply(&mut self, now: Time, endpoint: EndpointId, named: NamedRate) -> RateChange {
        let observed_at = Time(now.0.saturating_sub(named.age_ms));
        let is_outdated = match self.replicas.get(&endpoint) {
            None => named.rate.is_none(),
            Some(known) if named.started_ms != known.started_ms => {
                named.started_ms < known.started_ms
            }
            Some(known) if named.rate == known.rate => {
                observed_at.since(known.observed_at) < MIN_NEWER_MS
            }
            Some(known) => observed_at <= known.observed_at,
        };
        if is_outdated {
            return RateChange::None;
        }
        self.set(now, endpoint, named.started_ms, named.rate, observed_at)
    }

    fn set(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        started_ms: u64,
        rate: Option<RequestRate>,
        observed_at: Time,
    ) -> RateChange {
        let before = self.replicas.get(&endpoint);
        let rate_before = before.and_then(|known| known.rate);
        let bucket = match before {
            Some(known) if known.rate.is_some() => known.bucket,
            _ => Bucket {
                tokens: 0,
                filled_at: now,
            },
        };
        let known = Known {
            started_ms,
            rate,
            observed_at,
            bucket,
        };
        self.replicas.insert(endpoint, known);
        match rate {
            _ if rate == rate_before => RateChange::None,
            Some(rate) => RateChange::Limited(rate),
            None => RateChange::Lifted,
        }
    }

    /// Returns what is known of a replica's rate, to tell another member.
    #[must_use]
    pub fn named(&self, now: Time, endpoint: EndpointId) -> Option<NamedRate> {
        let known = self.replicas.get(&endpoint)?;
        if is_injected(Fault::SkipRateReports) {
            return None;
        }
        Some(NamedRate {
            started_ms: known.started_ms,
            rate: known.rate,
            age_ms: now.since(known.observed_at),
        })
    }

    /// Returns the rate that a replica names.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointId) -> Option<RequestRate> {
        self.replicas.get(&endpoint)?.rate
    }

    /// Returns the rate that a replica names, if that was observed lately.
    #[must_use]
    pub fn recent_rate(&self, now: Time, endpoint: EndpointId) -> Option<RequestRate> {
        let known = self.replicas.get(&endpoint)?;
        let is_recent = now.since(known.observed_at) < RECENT_MS;
        known.rate.filter(|_| is_recent)
    }

    /// Decides, as the owner of a replica, whether a request may be sent there
    /// that can wait `max_wait_ms`.
    pub fn check(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        purpose: Purpose,
        max_wait_ms: u64,
    ) -> RateDecision {
        let Some(known) = self.replicas.get_mut(&endpoint) else {
            return RateDecision::Unlimited;
        };
        let Some(rate) = known.rate.filter(|_| !is_injected(Fault::IgnoreNamedRate)) else {
            return RateDecision::Unlimited;
        };
        let full = known.bucket.fill(now, rate);
        let (tokens, max_wait_ms) = match purpose {
            Purpose::Online | Purpose::OnlineFree => (TOKEN, max_wait_ms),
            Purpose::Batch { .. } => (full, 0),
        };
        known.bucket.decide(rate, tokens, max_wait_ms)
    }

    /// Takes a token for a request that is sent to a replica.
    pub fn take(&mut self, endpoint: EndpointId) {
        if let Some(known) = self.replicas.get_mut(&endpoint) {
            known.bucket.take();
        }
    }

    /// Returns the number of replicas that name a rate.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let known = self.replicas.values();
        known.filter(|known| known.rate.is_some()).count()
    }

    /// Removes replicas that no longer exist.
    pub fn retain(&mut self, is_replica: impl Fn(EndpointId) -> bool) {
        self.replicas.retain(|endpoint, _| is_replica(*endpoint));
    }
}

/// Returns how many thousandths of a slot of a replica can be used if requests occupy
/// a slot for `hold_ms`; all of them if the replica names no rate. It is 0 only for a
/// replica without slots.
#[must_use]
pub fn usable_slots_milli(slots: u32, rate: Option<RequestRate>, hold_ms: u64) -> u64 {
    let all = u64::from(slots) * 1_000;
    rate.map_or(all, |rate| {
        let used = (rate.milli() * hold_ms).div_ceil(1_000);
        all.min(used.max(1))
    })
}
