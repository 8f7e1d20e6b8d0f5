/*!
When members read a large record that all of them need.

# Problem

Every member reads the operators' configuration. If each waits for the next record at the
store, all read a new version at the same moment, and in a series of versions all read each of
them. The store serves a limited number of bytes per second to all reads together. While it
sends a configuration of 250 KB to 195 members, other reads wait for more than half a second;
a series of such versions takes it half a minute. Reads time out meanwhile and are made again,
so the store is busy with responses that nobody waits for.

# Choice

What the reads of all members take the store follows from the number of members and the size
of the record. If that is short, members wait at the store for the next record. Otherwise they
check at intervals whether there is one, which takes no bytes, and read it after a random delay,
such that all members together use [`SHARE_PERCENT`] of the store. Versions that were
superseded meanwhile are not read. The next record may be larger than the latest one, so
[`MIN_EXPECTED_BYTES`] are expected of it. The interval and the delay together leave a third of the
time within which the record must be in force.

# Cost

In a large fleet, a new version is in force later, by up to the interval and the delay. In a
fleet so large that the longest delay is not enough, reads use more than their share.
*/

use crate::{
    fault_injection::{Fault, is_injected},
    time::Time,
};

/// Share of the store's read limit that the reads of a large record may use, in percent.
pub const SHARE_PERCENT: u64 = 50;
/// Time for which the store may be busy with the reads of one record by all members, in
/// milliseconds, so that members may wait for it at the store.
pub const MAX_BURST_MS: u64 = 100;
/// Size that is expected of the next record if the latest one is smaller, in bytes.
pub const MIN_EXPECTED_BYTES: u64 = 128 * 1024;
/// Time between two checks for a new record, as a share of the time within which it must be
/// in force, in percent.
pub const CHECK_PERCENT: u64 = 25;
/// Largest share of the time within which a record must be in force by which its read is
/// delayed, in percent.
pub const MAX_DELAY_PERCENT: u64 = 40;
/// Longest delay after a first failed read, in milliseconds; it doubles with each one.
const MIN_BACKOFF_MS: u64 = 100;
/// Longest delay after a failed read, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_600;

/// The reads of the same record by all members.
#[derive(Clone, Copy, Debug)]
pub struct FleetReads {
    /// Number of members.
    pub members: usize,
    /// Bytes per second that the store serves to all reads; `None` if it is not limited.
    pub bytes_per_s: Option<u64>,
    /// Time within which a record must be in force, in milliseconds.
    pub in_force_ms: u64,
}

impl FleetReads {
    /// Returns the time for which the store sends `bytes` to each member, in milliseconds.
    #[must_use]
    pub fn transfer_ms(self, bytes: u64) -> u64 {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return 0;
        };
        let members = u64::try_from(self.members).unwrap_or(u64::MAX);
        let total = bytes.saturating_mul(members).saturating_mul(1_000);
        total / bytes_per_s.max(1)
    }

    /// Returns the time over which reads of `bytes` by each member are spread, in milliseconds.
    #[must_use]
    pub fn spread_ms(self, bytes: u64) -> u64 {
        let spread_ms = self.transfer_ms(bytes).saturating_mul(100) / SHARE_PERCENT;
        spread_ms.min(self.in_force_ms * MAX_DELAY_PERCENT / 100)
    }

    /// Returns the time between two checks for a new record, in milliseconds.
    #[must_use]
    pub const fn check_interval_ms(self) -> u64 {
        self.in_force_ms * CHECK_PERCENT / 100
    }
}

/// When a member reads the next record.
#[derive(Clone, Copy, Debug, Default)]
pub struct LargeReads {
    /// Size of the latest record.
    bytes: u64,
    /// Earliest time of the next read.
    earliest: Time,
    /// Time of the next read, if there is a record that was not read.
    planned: Option<Time>,
    failures: u32,
}

impl LargeReads {
    /// Returns whether members may wait for the next record at the store.
    #[must_use]
    pub fn may_wait_at_store(&self, fleet: FleetReads) -> bool {
        let transfer_ms = fleet.transfer_ms(self.expected_bytes());
        transfer_ms <= MAX_BURST_MS || is_injected(Fault::WaitForLargeRecords)
    }

    /// Returns the size of the latest record, in bytes; 0 if none was read.
    #[must_use]
    pub const fn size(&self) -> u64 {
        self.bytes
    }

    /// Returns the size that is expected of the next record, in bytes.
    #[must_use]
    pub fn expected_bytes(&self) -> u64 {
        self.bytes.max(MIN_EXPECTED_BYTES)
    }

    /// Records that the latest record has `bytes`.
    pub const fn note_size(&mut self, bytes: u64) {
        self.bytes = bytes;
    }

    /// Records that a read that began at `started` returned `bytes`.
    pub fn note_read(&mut self, started: Time, bytes: u64, fleet: FleetReads) {
        if bytes > 0 {
            self.planned = None;
            self.earliest = started.plus(fleet.spread_ms(bytes));
        }
    }

    /// Records that there is a record that was not read; returns when to read it. `random`
    /// spreads the reads of the members.
    pub fn note_available(&mut self, now: Time, fleet: FleetReads, random: u64) -> Time {
        let spread_ms = fleet.spread_ms(self.expected_bytes());
        let planned = self
            .planned
            .unwrap_or_else(|| now.plus(random % (spread_ms + 1)).max(self.earliest));
        self.planned = Some(planned);
        planned
    }

    /// Records that a read or a check succeeded.
    pub const fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay after a failed read, in milliseconds. It grows with the number of
    /// consecutive failures, as a store that is busy with the reads of all members gets busier
    /// by their repetitions.
    pub fn next_backoff_ms(&mut self, random: u64) -> u64 {
        let longest = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        MIN_BACKOFF_MS + random % (longest + 1)
    }
}
