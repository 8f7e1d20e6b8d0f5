/*!
Selection of a replica for a request.

# Problem

A replica that has the prefix of a prompt in its cache responds sooner, but
sending all requests with a prefix to one replica overloads the replicas of
popular prefixes.

# Choice

Consistent hashing with bounded loads: replicas are ranked for a prefix by
rendezvous hashing, and the first one whose load is not above the bound gets
the request. The bound is [`LOAD_BOUND_PERCENT`] percent of the mean load, but
at least [`MIN_LOAD_BOUND`]. Loads are hints from earlier responses plus the
requests that this process has sent since, so selection needs no message. If a
hint is wrong, the process that owns the replica refuses with "not run" and the
true load, and the next candidate is tried.

# Cost

The hints of a process that sends few requests are old. The owner compares the
bound with the true load, which corrects that at the price of one more hop.
*/

use {
    crate::{
        ids::{EndpointId, hash64, mix64},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Bound of a replica's load, in percent of the mean load.
pub const LOAD_BOUND_PERCENT: u64 = 125;
/// Lower limit of the bound, in streams.
pub const MIN_LOAD_BOUND: u64 = 4;
/// Age at which a load hint no longer counts, in milliseconds.
pub const LOAD_HINT_TTL_MS: u64 = 2_000;
/// How long a replica is ranked last after a failure, in milliseconds.
pub const AVOID_MS: u64 = 1_000;
/// Length of the prefix of a prompt, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of the prefix of a prompt, separate for each customer and
/// model.
///
/// Customers do not share prefixes, since a cache hit would disclose to one
/// customer what another has requested.
#[must_use]
pub fn prefix_hash(customer: &str, model: &str, prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    hash64(&[customer.as_bytes(), model.as_bytes(), prefix])
}

/// The load of a replica, as last reported.
#[derive(Clone, Copy, Debug)]
struct LoadHint {
    load: u64,
    /// Requests that this process has sent since the report.
    sent_since: u64,
    updated: Time,
}

/// The policy by which replicas are ranked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Prefix affinity with bounded load.
    #[default]
    Affinity,
    /// Lowest load hint first, whatever the prefix. A baseline for comparisons.
    LeastLoaded,
    /// Random order. A baseline for comparisons.
    Random,
}

/// Selects replicas by load hints.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSelector {
    policy: SelectionPolicy,
    hints: BTreeMap<EndpointId, LoadHint>,
    /// Time of the last failure of each replica.
    last_failures: BTreeMap<EndpointId, Time>,
}

impl ReplicaSelector {
    /// Creates a selector without load hints.
    #[must_use]
    pub const fn new(policy: SelectionPolicy) -> Self {
        Self {
            policy,
            hints: BTreeMap::new(),
            last_failures: BTreeMap::new(),
        }
    }

    /// Records a replica's load as reported in a response.
    pub fn note_load(&mut self, now: Time, endpoint: EndpointId, load: u64) {
        self.hints.insert(
            endpoint,
            LoadHint {
                load,
                sent_since: 0,
                updated: now,
            },
        );
    }

    /// Records that a request was sent to a replica.
    pub fn note_sent(&mut self, now: Time, endpoint: EndpointId) {
        let hint = self.hints.entry(endpoint).or_insert(LoadHint {
            load: 0,
            sent_since: 0,
            updated: now,
        });
        hint.sent_since += 1;
    }

    /// Records that an attempt at a replica failed, which ranks it last for
    /// [`AVOID_MS`].
    pub fn note_failure(&mut self, now: Time, endpoint: EndpointId) {
        self.last_failures.insert(endpoint, now);
    }

    /// Removes the load hints and failures of replicas that are no longer
    /// listed.
    pub fn retain(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.hints.retain(|endpoint, _| listed(*endpoint));
        self.last_failures.retain(|endpoint, _| listed(*endpoint));
    }

    /// Returns a replica's estimated load, 0 if its hint is missing or too old.
    fn load(&self, now: Time, endpoint: EndpointId) -> u64 {
        match self.hints.get(&endpoint) {
            Some(hint) if now.since(hint.updated) < LOAD_HINT_TTL_MS => hint.load + hint.sent_since,
            _ => 0,
        }
    }

    /// Returns the replicas ranked by a key alone, so that a request that is
    /// sent again reaches the same replica whatever the loads are. Replicas
    /// that failed recently come last.
    #[must_use]
    pub fn rank_by_key(&self, now: Time, key: u64, endpoints: &[EndpointId]) -> Vec<EndpointId> {
        let mut ranked: Vec<(bool, u64, EndpointId)> = endpoints
            .iter()
            .map(|endpoint| {
                let rank = u64::MAX - score(key, *endpoint);
                (self.is_avoided(now, *endpoint), rank, *endpoint)
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|(_, _, endpoint)| endpoint)
            .collect()
    }

    /// Returns the load above which one of these replicas is passed over.
    #[must_use]
    pub fn bound(&self, now: Time, endpoints: &[EndpointId]) -> u64 {
        let total: u64 = endpoints
            .iter()
            .map(|endpoint| self.load(now, *endpoint))
            .sum();
        let mean = total.div_ceil(endpoints.len().max(1) as u64);
        (mean * LOAD_BOUND_PERCENT)
            .div_ceil(100)
            .max(MIN_LOAD_BOUND)
    }

    fn is_avoided(&self, now: Time, endpoint: EndpointId) -> bool {
        self.last_failures
            .get(&endpoint)
            .is_some_and(|failed| now.since(*failed) < AVOID_MS)
    }

    /// Returns the replicas to try for a prefix, best first.
    ///
    /// `seed` varies by request. [`SelectionPolicy::Random`] ranks by it, and
    /// [`SelectionPolicy::LeastLoaded`] uses it to break ties.
    #[must_use]
    pub fn rank(
        &self,
        now: Time,
        prefix: u64,
        seed: u64,
        endpoints: &[EndpointId],
    ) -> Vec<EndpointId> {
        let bound = self.bound(now, endpoints);
        let mut ranked: Vec<(bool, u64, u64, EndpointId)> = endpoints
            .iter()
            .map(|endpoint| {
                let load = self.load(now, *endpoint);
                let load_over_bound = if load > bound { load } else { 0 };
                let rank = |key: u64| u64::MAX - score(key, *endpoint);
                let (primary, secondary) = match self.policy {
                    SelectionPolicy::Affinity => (load_over_bound, rank(prefix)),
                    SelectionPolicy::LeastLoaded => (load, rank(seed)),
                    SelectionPolicy::Random => (0, rank(seed)),
                };
                (
                    self.is_avoided(now, *endpoint),
                    primary,
                    secondary,
                    *endpoint,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|(_, _, _, endpoint)| endpoint)
            .collect()
    }
}

const fn score(key: u64, endpoint: EndpointId) -> u64 {
    mix64(key, endpoint.raw())
}

/// Returns a hash of a request and the number of the attempt, as a seed for
/// [`ReplicaSelector::rank`].
#[must_use]
pub fn attempt_seed(request: &[u8], attempt: u32) -> u64 {
    hash64(&[request, &attempt.to_le_bytes()])
}
