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
*/

use {
    crate::{ids::EndpointId, time::Time},
    std::{collections::HashMap, fmt},
};

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns a rate, or `None` if `per_s` is no finite number of at least 0.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Checked.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u64))
    }

    /// Returns the requests per 1,000 seconds.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
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

/// What is known of a replica's rate.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    started_ms: u64,
    rate: Option<RequestRate>,
    /// Time of the response that named the rate, or of the one without.
    observed_at: Time,
}

/// The rates that replicas have named.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRates {
    replicas: HashMap<EndpointId, Known>,
}

impl ReplicaRates {
    /// Records the rate in a response of a replica's incarnation, if it named
    /// one, to a request that was sent at `sent_at`.
    pub fn note_response(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        started_ms: u64,
        sent_at: Time,
        rate: Option<RequestRate>,
    ) -> RateChange {
        let known = self.replicas.get(&endpoint);
        let is_outdated = known.is_some_and(|known| {
            started_ms < known.started_ms
                || (started_ms == known.started_ms && rate.is_none() && sent_at < known.observed_at)
        });
        if is_outdated || (known.is_none() && rate.is_none()) {
            return RateChange::None;
        }
        let before = self.rate(endpoint);
        let known = Known {
            started_ms,
            rate,
            observed_at: now,
        };
        self.replicas.insert(endpoint, known);
        match rate {
            _ if rate == before => RateChange::None,
            Some(rate) => RateChange::Limited(rate),
            None => RateChange::Lifted,
        }
    }

    /// Returns the rate that a replica names.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointId) -> Option<RequestRate> {
        self.replicas.get(&endpoint)?.rate
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
