/*!
The age of what this process knows.

[`freshness`](cicadagate_policy::process::freshness) decides which acts it permits.
*/

use {
    super::Gateway,
    cicadagate_node::event,
    cicadagate_policy::{
        process::{
            freshness::{Freshness, is_index_read_late},
            registration_readers::KnownFrom,
        },
        time::Time,
    },
    std::time::Duration,
};

/// Time after a failed read until which the store counts as still away: the next read has
/// ended by then, unless the process stood still.
pub(super) const MAX_CHECK_AGE_MS: u64 = 2_000;

/// What came of a wait until something is known well enough to act by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refreshed {
    /// It is recent enough.
    Recent,
    /// The store can't be read, and no other gateway says that it reaches it. As long as it is
    /// away, nothing in it can change.
    StoreAway,
    /// It was not read in time.
    Late,
}

/// Kinds of knowledge that are older than acts by them permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Stale {
    registrations: bool,
    index: bool,
    config: bool,
}

impl Gateway {
    /// Returns the freshness of the replicas' registrations.
    #[must_use]
    pub fn registrations_freshness(&self) -> Freshness {
        let (as_of, _) = self.registration_feed.borrow().known_as_of();
        Freshness::new(as_of, millis(self.bounds().drain))
    }

    /// Returns from what the state of the replicas' registrations is known.
    #[must_use]
    pub fn registrations_known_from(&self) -> KnownFrom {
        self.registration_feed.borrow().known_as_of().1
    }

    /// Returns the freshness of the index of batch jobs.
    #[must_use]
    pub fn index_freshness(&self) -> Freshness {
        Freshness::new(self.jobs.synced_at(), millis(self.bounds().cancel))
    }

    /// Returns the freshness of the operators' records: the configuration and evacuations.
    #[must_use]
    pub fn config_freshness(&self) -> Freshness {
        let bounds = self.bounds();
        let bound = bounds.config_in_force.min(bounds.evacuation);
        Freshness::new(self.config_as_of.get(), millis(bound))
    }
}

/// Sets the metrics, and logs whether what is known has become too old or recent again.
pub(super) fn tick(gateway: &Gateway) {
    let now = gateway.now();
    let (registrations, index) = (gateway.registrations_freshness(), gateway.index_freshness());
    let config = gateway.config_freshness();
    set_ages(gateway, now);
    let is_stale = Stale {
        registrations: gateway.registrations_loaded.get() && !registrations.permits(now),
        index: gateway.jobs.synced_at().is_some()
            && !index.permits(now)
            && is_index_read_late(index.age_ms(now), gateway.member_count()),
        config: gateway.config_as_of.get().is_some() && !config.permits(now),
    };
    let was_stale = gateway.stale.replace(is_stale);
    if is_stale.registrations != was_stale.registrations {
        let age_ms = registrations.age_ms(now);
        let known_from = gateway.registrations_known_from().as_str();
        if is_stale.registrations {
            event!(REGISTRATIONS_STALE, age_ms, known_from);
        } else {
            event!(REGISTRATIONS_FRESH, age_ms, known_from);
        }
    }
    if is_stale.index != was_stale.index {
        let age_ms = index.age_ms(now);
        if is_stale.index {
            event!(JOB_INDEX_STALE, age_ms);
        } else {
            event!(JOB_INDEX_FRESH, age_ms);
        }
    }
    if is_stale.config != was_stale.config {
        let age_ms = config.age_ms(now);
        if is_stale.config {
            event!(CONFIG_STALE, age_ms);
        } else {
            event!(CONFIG_FRESH, age_ms);
        }
    }
}

/// Sets the metrics of the ages.
pub(super) fn set_ages(gateway: &Gateway, now: Time) {
    let ages = [
        ("registrations_age_ms", gateway.registrations_freshness()),
        ("job_index_age_ms", gateway.index_freshness()),
        ("config_age_ms", gateway.config_freshness()),
    ];
    for (kind, freshness) in ages {
        let age_ms = usize::try_from(freshness.age_ms(now)).unwrap_or(usize::MAX);
        gateway.metrics.set_state(kind, age_ms);
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
