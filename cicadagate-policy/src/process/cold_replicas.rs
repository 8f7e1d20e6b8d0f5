/*!
Replicas that started a short time ago and can't take their full load yet.

# Problem

A cold replica sustains only a few requests per second from all members together, and
crashes well above that. It states in its registration how long it remains cold, but a
registration may be two seconds old when it is read, and members that have lost contact
with each other send at the same time.

# Choice

As for the rates that replicas name (see [`replica_rates`](super::replica_rates)), the owner
of the replica's slots keeps a token bucket, and a member that takes the replica for cold
sends nothing without a grant.

A replica also counts as cold if nothing recent is known of it: if it is new to this process,
registers again after its registration was removed, or its data centre's evacuation has
just ended. That lasts until a registration that is read [`MIN_PRESUMED_MS`] later says
otherwise, but at most as long as a cold start of the service takes.

While members disagree about who works, [`MAX_OWNERS`] of them may grant tokens for the same
replica, so each grants its share of what may be sent. Members that have lost contact with
more than half of the others grant none, see [`may_grant`].

# Cost

In agreement, only a part of the permitted rate is used. A process that starts takes all
replicas for cold at first.
*/

use {
    super::{
        membership::{Health, Info},
        replica_rates::{Bucket, RateDecision, RequestRate, TOKEN},
        slot_ledger::Purpose,
    },
    crate::{
        fault_injection::{Fault, is_injected},
        ids::EndpointId,
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, HashMap},
};

/// Time for which a replica of which nothing recent is known counts as cold at least, in
/// milliseconds: two of the heartbeats in which replicas renew their registrations.
pub const MIN_PRESUMED_MS: u64 = 2_400;
/// Members that may grant tokens for the same replica while members disagree: one on each
/// side of a partition, if each side has at least half of the members.
pub const MAX_OWNERS: u32 = 2;
/// Most tokens of a bucket; more would reach a replica at once.
const MAX_BURST: f64 = 2.0;

/// What a service's replicas sustain while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ColdStart {
    /// Longest time for which a replica is cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold replica sustains.
    pub per_s: f64,
}

/// What may be sent to a cold replica beyond the rate that it sustains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate.
    pub excess: f64,
    /// Requests in any second beyond that.
    pub slack: f64,
}

/// What one owner may grant at a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    rate: RequestRate,
    /// Capacity of the bucket, in parts of a token.
    capacity: i64,
}

impl ColdLimit {
    /// Returns an owner's share of what may be sent to a cold replica of a service; `None`
    /// if the service's rate is no limit.
    #[must_use]
    pub fn new(cold_start: ColdStart, tolerance: ColdTolerance) -> Option<Self> {
        let owners = f64::from(MAX_OWNERS);
        let factor = (tolerance.excess / owners).clamp(0.0, 1.0);
        if cold_start.per_s <= 0.0 {
            return None;
        }
        let rate = RequestRate::new(cold_start.per_s * factor)?;
        let burst = (tolerance.slack / owners).clamp(1.0, MAX_BURST);
        #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)] // Small.
        let capacity = (burst * TOKEN as f64) as i64;
        Some(Self { rate, capacity })
    }

    /// Returns the requests per second that an owner grants.
    #[must_use]
    pub const fn rate(self) -> RequestRate {
        self.rate
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    started_ms: u64,
    is_registered: bool,
    /// Until when the registration says that the replica is cold.
    stated_until: Time,
    /// Since when the replica counts as cold without a statement.
    presumed_since: Option<Time>,
    /// Whether the replica was cold when that was last noted.
    was_cold: bool,
    /// Used by the owner only.
    bucket: Bucket,
}

impl Known {
    fn left_ms(&self, now: Time, cold_start: ColdStart) -> u64 {
        let stated_ms = self.stated_until.since(now);
        let presumed_ms = self
            .presumed_since
            .map_or(0, |since| since.plus(cold_start.duration_ms).since(now));
        stated_ms.max(presumed_ms)
    }
}

/// Which replicas are cold, and the tokens that this process has granted as their owner.
#[derive(Clone, Debug, Default)]
pub struct ColdReplicas {
    replicas: HashMap<EndpointId, Known>,
}

impl ColdReplicas {
    /// Records a registration that was read, which says that the replica is cold for
    /// `left_ms` milliseconds.
    pub fn note_registration(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        started_ms: u64,
        left_ms: u64,
    ) {
        let known = self.replicas.entry(endpoint).or_default();
        let is_recent =
            |since: Time| now.since(since) < MIN_PRESUMED_MS && !is_injected(Fault::TrustOldWarmth);
        known.presumed_since = if !known.is_registered || known.started_ms != started_ms {
            Some(now)
        } else {
            known.presumed_since.filter(|since| is_recent(*since))
        };
        known.is_registered = true;
        known.started_ms = started_ms;
        known.stated_until = now.plus(left_ms);
    }

    /// Records that a replica's registration was removed.
    pub fn note_removed(&mut self, endpoint: EndpointId) {
        if let Some(known) = self.replicas.get_mut(&endpoint) {
            known.is_registered = false;
        }
    }

    /// Lets a replica count as cold, since it got no requests for a while.
    pub fn presume(&mut self, now: Time, endpoint: EndpointId) {
        if let Some(known) = self.replicas.get_mut(&endpoint) {
            known.presumed_since = Some(now);
        }
    }

    /// Returns for how long a replica counts as cold, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: Time, endpoint: EndpointId, cold_start: ColdStart) -> u64 {
        let known = self.replicas.get(&endpoint);
        known.map_or(0, |known| known.left_ms(now, cold_start))
    }

    /// Notes whether a replica is cold now; returns that if it has changed.
    pub fn note_change(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        cold_start: Option<ColdStart>,
    ) -> Option<bool> {
        let known = self.replicas.get_mut(&endpoint)?;
        let is_cold = cold_start.is_some_and(|cold_start| known.left_ms(now, cold_start) > 0);
        let was_cold = std::mem::replace(&mut known.was_cold, is_cold);
        (was_cold != is_cold).then_some(is_cold)
    }

    /// Decides, as the owner of a cold replica, whether a request may be sent there that can
    /// wait `max_wait_ms`.
    pub fn check(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        purpose: Purpose,
        max_wait_ms: u64,
        limit: ColdLimit,
    ) -> RateDecision {
        if is_injected(Fault::IgnoreColdRate) {
            return RateDecision::Unlimited;
        }
        let known = self.replicas.entry(endpoint).or_default();
        let full = known.bucket.fill_up_to(now, limit.rate, limit.capacity);
        let (tokens, max_wait_ms) = match purpose {
            Purpose::Online | Purpose::OnlineFree => (TOKEN, max_wait_ms),
            Purpose::Batch { .. } => (full, 0),
        };
        known.bucket.decide(limit.rate, tokens, max_wait_ms)
    }

    /// Takes a token for a request that is sent to a cold replica, as [`Self::check`] allows.
    pub fn take(&mut self, endpoint: EndpointId) {
        if let Some(known) = self.replicas.get_mut(&endpoint) {
            known.bucket.take();
        }
    }

    /// Removes replicas that no longer exist.
    pub fn retain(&mut self, is_replica: impl Fn(EndpointId) -> bool) {
        self.replicas.retain(|endpoint, _| is_replica(*endpoint));
    }
}

/// Returns whether a member may grant tokens of cold replicas: whether at least half of the
/// instances, its own included, work in its view. Members that announced their end, and
/// processes that were replaced on their instance, do not count.
pub fn may_grant<'a>(own: &'a Info, others: impl Iterator<Item = (&'a Info, Health)>) -> bool {
    let mut working = BTreeSet::from([own.instance.as_str()]);
    let mut lost = BTreeSet::new();
    for (info, health) in others {
        match health {
            Health::Alive => {
                working.insert(info.instance.as_str());
            }
            Health::Suspect | Health::Dead if !info.leaving => {
                lost.insert(info.instance.as_str());
            }
            Health::Suspect | Health::Dead | Health::Left => {}
        }
    }
    lost.difference(&working).count() <= working.len()
}
