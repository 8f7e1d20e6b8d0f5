/*!
The age of what a process knows, and the acts that it permits.

# Problem

What a process knows of the fleet is as of the moment at which the store, or another process,
had it so. It is older than the time at which it arrived, and it grows older while reads are
slow, answers are lost or the process doesn't run. A request sent by a registration that is too
old reaches a replica that has left; an item started by an index that is too old runs after its
job was cancelled.

# Choice

Each kind of knowledge has the time as of which it is known, never later than the truth, and a
bound: how long after a change acts by the state before it may still reach their target. An act
is permitted while [`ACT_PERCENT`] of the bound are not over. The rest is for its way there. It is
checked when the act begins and once more when its first byte is written, since a process may
stand still in between. An act that isn't permitted waits until the knowledge was renewed, or is
not done.

# Cost

A comparison for each act. A process that reads less often than the bound requires asks the
store before it acts, which delays the act by a read.
*/

use crate::{
    fault_injection::{Fault, is_injected},
    time::Time,
};

/// Share of a bound within which an act may begin, in percent.
pub const ACT_PERCENT: u64 = 80;
/// Shortest time between two periodic reads of the job index, in milliseconds.
const MIN_INDEX_READ_INTERVAL_MS: u64 = 200;
/// Most periodic reads of the job index per second by all members together.
const MAX_FLEET_INDEX_READS_PER_S: u64 = 80;

/// Returns the time between two periodic reads of the job index by a member, in milliseconds.
/// It grows with the number of members, also beyond the time for which an index permits acts.
#[must_use]
pub fn index_read_interval_ms(members: usize) -> u64 {
    let members = u64::try_from(members).unwrap_or(u64::MAX);
    let interval_ms = members.saturating_mul(1_000) / MAX_FLEET_INDEX_READS_PER_S;
    interval_ms.max(MIN_INDEX_READ_INTERVAL_MS)
}

/// Time that a periodic read of the job index may take, in milliseconds, before the index counts
/// as not read in time.
const INDEX_READ_TIME_MS: u64 = 500;

/// Returns whether the job index is older than the periodic reads of a member leave it. In a
/// large fleet these are rarer than acts require, which read the index themselves.
#[must_use]
pub fn is_index_read_late(age_ms: u64, members: usize) -> bool {
    age_ms > index_read_interval_ms(members) + INDEX_READ_TIME_MS
}

/// As of when something is known, and how long that permits acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    as_of: Option<Time>,
    bound_ms: u64,
}

impl Freshness {
    /// Creates the freshness of what is known as of a time, `None` if nothing is known yet.
    /// An act that is based on it must reach its target within `bound_ms` milliseconds after
    /// a change.
    #[must_use]
    pub const fn new(as_of: Option<Time>, bound_ms: u64) -> Self {
        Self { as_of, bound_ms }
    }

    /// Returns the age, in milliseconds: since the start of the clock if nothing is known.
    #[must_use]
    pub fn age_ms(self, now: Time) -> u64 {
        now.since(self.as_of.unwrap_or_default())
    }

    /// Returns the time until which an act may begin, exclusive.
    #[must_use]
    pub fn permits_until(self) -> Time {
        self.as_of.map_or(Time(0), |as_of| {
            as_of.plus(self.bound_ms * ACT_PERCENT / 100)
        })
    }

    /// Returns whether an act may begin now.
    #[must_use]
    pub fn permits(self, now: Time) -> bool {
        now < self.permits_until() || is_injected(Fault::IgnoreAge)
    }
}
