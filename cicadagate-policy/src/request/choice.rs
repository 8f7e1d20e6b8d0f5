/*!
Choosing a replica.

# Problem

A replica that has the prompt's prefix in its cache answers sooner, but
sending each prefix to one replica overloads the replicas of popular ones.

# Choice

Consistent hashing with bounded loads: replicas are ranked for a prefix by
rendezvous hash, and the first in rank that is not above its bound gets the
request, where the bound is [`LOAD_PERCENT`] of the mean load. Loads are hints that
came back with earlier answers, corrected by what this process has sent since;
so a choice costs no message. A home that finds the hint wrong refuses with
"not run" and its true load, and the next candidate is tried.

# Cost

Hints are old where a process sends little. The home's own bound corrects
that at the price of one more hop.
*/

use {
    crate::{
        ids::{EndpointId, hash64, mix64},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Bound of a replica's load, in percent of the mean.
pub const LOAD_PERCENT: u64 = 125;
/// Streams that a replica may have whatever the mean is.
pub const FREE_STREAMS: u64 = 4;
/// Age at which a load hint no longer counts, in milliseconds.
pub const HINT_LIFE_MS: u64 = 2_000;
/// How long a replica is avoided after a failure, in milliseconds.
pub const AVOID_MS: u64 = 1_000;
/// Bytes of a prompt that make up its prefix.
pub const PREFIX_BYTES: usize = 256;

/// Hash of the prefix of a prompt, within one customer and model.
///
/// Customers do not share prefixes: a cache hit must not tell one customer
/// what another has asked.
#[must_use]
pub fn prefix_hash(customer: &str, model: &str, prompt: &[u8]) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    hash64(&[customer.as_bytes(), model.as_bytes(), prefix])
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    load: u64,
    sent_since: u64,
    at: Time,
}

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// Prefix affinity with bounded load.
    #[default]
    Affinity,
    /// Least loaded by hint, whatever the prefix. A baseline.
    LeastLoaded,
    /// Random. A baseline.
    Random,
}

/// Load hints of replicas, and how to choose by them.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    rule: Rule,
    hints: BTreeMap<EndpointId, Hint>,
    avoided: BTreeMap<EndpointId, Time>,
}

impl Chooser {
    /// Makes a chooser without hints.
    #[must_use]
    pub const fn new(rule: Rule) -> Self {
        Self {
            rule,
            hints: BTreeMap::new(),
            avoided: BTreeMap::new(),
        }
    }

    /// Takes a replica's load, from an answer.
    pub fn note_load(&mut self, now: Time, endpoint: EndpointId, load: u64) {
        self.hints.insert(
            endpoint,
            Hint {
                load,
                sent_since: 0,
                at: now,
            },
        );
    }

    /// Notes that a request was sent to a replica.
    pub fn note_sent(&mut self, now: Time, endpoint: EndpointId) {
        let hint = self.hints.entry(endpoint).or_insert(Hint {
            load: 0,
            sent_since: 0,
            at: now,
        });
        hint.sent_since += 1;
    }

    /// Notes that an attempt at a replica failed. It is tried last for a while.
    pub fn note_failure(&mut self, now: Time, endpoint: EndpointId) {
        self.avoided.insert(endpoint, now);
    }

    /// Drops what is known of replicas that are not listed any more.
    pub fn retain(&mut self, listed: impl Fn(EndpointId) -> bool) {
        self.hints.retain(|endpoint, _| listed(*endpoint));
        self.avoided.retain(|endpoint, _| listed(*endpoint));
    }

    fn load(&self, now: Time, endpoint: EndpointId) -> u64 {
        match self.hints.get(&endpoint) {
            Some(hint) if now.since(hint.at) < HINT_LIFE_MS => hint.load + hint.sent_since,
            _ => 0,
        }
    }

    /// Orders the replicas by a key alone, so that a resend comes to the same
    /// one whatever the loads are; avoided ones come last.
    #[must_use]
    pub fn order_by_key(&self, now: Time, key: u64, endpoints: &[EndpointId]) -> Vec<EndpointId> {
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

    /// Returns the load above which a replica of these gets no more.
    #[must_use]
    pub fn bound(&self, now: Time, endpoints: &[EndpointId]) -> u64 {
        let total: u64 = endpoints
            .iter()
            .map(|endpoint| self.load(now, *endpoint))
            .sum();
        let mean = total.div_ceil(endpoints.len().max(1) as u64);
        (mean * LOAD_PERCENT).div_ceil(100).max(FREE_STREAMS)
    }

    fn is_avoided(&self, now: Time, endpoint: EndpointId) -> bool {
        self.avoided
            .get(&endpoint)
            .is_some_and(|since| now.since(*since) < AVOID_MS)
    }

    /// Orders the replicas to try for a prefix, best first.
    ///
    /// `seed` varies by request; only the random rule uses it.
    #[must_use]
    pub fn order(
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
                let over = if load > bound { load } else { 0 };
                let rank = |key: u64| u64::MAX - score(key, *endpoint);
                let (first, second) = match self.rule {
                    Rule::Affinity => (over, rank(prefix)),
                    Rule::LeastLoaded => (load, rank(seed)),
                    Rule::Random => (0, rank(seed)),
                };
                (self.is_avoided(now, *endpoint), first, second, *endpoint)
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

/// Hash of a request that varies by attempt.
#[must_use]
pub fn attempt_seed(request: &[u8], attempt: u32) -> u64 {
    hash64(&[request, &attempt.to_le_bytes()])
}
