/*!
Load shedding: refuses requests that would wait too long.

# Problem

Peaks of online load, lost replicas and customers far above their usual rate
need more slots than there are. A request that joins a long queue at a replica
is served late and delays all requests behind it.

# Choice

Before a request is sent, its wait is estimated from the online requests in
flight at the service's replicas across the fleet, the slots of the replicas,
and the average time that requests occupied a slot lately. Batch work does not
count, since it is paused for online requests. A request that would wait longer
than [`MAX_WAIT_PERCENT`] percent of its latency objective is refused at once,
with a retry-after time by which the queue should have drained. Jitter keeps
the retries from forming the next peak.

A less urgent request may wait for a shorter time, so that it is refused first
as a queue grows. The same holds for customers that have used up most of their
burst: the allowed wait shrinks with the burst that is left.

# Cost

The estimate is as old as the load reports. A refused caller retries once; if
the overload lasts, it is refused again.
*/

use crate::average::MovingAverage;

/// Share of the latency objective that a request may wait for a slot, in
/// percent. The rest is left for the network and the first event.
pub const MAX_WAIT_PERCENT: u64 = 70;
/// Shortest retry-after, in milliseconds.
pub const MIN_RETRY_MS: u64 = 150;
/// Longest retry-after, in milliseconds. It is bounded because callers have a
/// deadline.
pub const MAX_RETRY_MS: u64 = 1_500;
/// Share of the burst above which the full wait is allowed, in percent.
pub const FULL_WAIT_BURST_PERCENT: u64 = 50;

/// Factor on the allowed wait from which a request is hopeless according to load
/// reports, however old they are.
pub const HOPELESS_FACTOR: u64 = 4;

/// Relative priority from which all less urgent requests are treated alike.
pub const MAX_RELATIVE_PRIORITY: u32 = 3;

/// Load of a service, as seen by one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Online requests in flight across the fleet.
    pub online: u32,
    /// Slots of the usable replicas.
    pub slots: u32,
    /// Time that a request occupies a slot, in milliseconds; 0 if not known.
    pub slot_hold_ms: u64,
}

impl ServiceLoad {
    /// Returns how long a further request would wait for a slot, in
    /// milliseconds.
    #[must_use]
    pub fn wait_ms(self) -> u64 {
        let queued = u64::from((self.online + 1).saturating_sub(self.slots));
        queued * self.slot_hold_ms / u64::from(self.slots.max(1))
    }
}

/// The error for a request that would wait too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// Estimated wait, in milliseconds.
    pub wait_ms: u64,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Returns how long a request may wait for a slot, in milliseconds, unless its
/// customer has used up its burst.
#[must_use]
pub fn max_wait_ms(objective_ms: u64, relative_priority: u32) -> u64 {
    let urgency = u64::from(relative_priority.min(MAX_RELATIVE_PRIORITY) + 1);
    objective_ms * MAX_WAIT_PERCENT / 100 / urgency
}

/// Decides whether a request may be sent.
///
/// `objective_ms` is its latency objective. `relative_priority` is 0 for the
/// most urgent requests. `burst_left` is the rest of the customer's burst, in
/// percent. `jitter` is a random number that spreads the retry-after.
///
/// # Errors
///
/// Returns an error if the request would wait too long.
pub fn admit(
    service_load: ServiceLoad,
    objective_ms: u64,
    relative_priority: u32,
    burst_left: u64,
    jitter: u64,
) -> Result<(), Overloaded> {
    let wait_ms = service_load.wait_ms();
    let full_wait_ms = max_wait_ms(objective_ms, relative_priority);
    let allowed_wait_ms =
        full_wait_ms * burst_left.min(FULL_WAIT_BURST_PERCENT) / FULL_WAIT_BURST_PERCENT;
    if wait_ms <= allowed_wait_ms {
        return Ok(());
    }
    Err(Overloaded {
        wait_ms,
        retry_after_ms: retry_after_ms(wait_ms - allowed_wait_ms, jitter),
    })
}

/// Rejects a request that is hopeless according to load reports, where they are too
/// old for an exact decision and the owners of replicas decide.
///
/// # Errors
///
/// Returns an error if the request would wait [`HOPELESS_FACTOR`] times as long as
/// its objective allows.
pub fn reject_hopeless(
    service_load: ServiceLoad,
    objective_ms: u64,
    jitter: u64,
) -> Result<(), Overloaded> {
    let wait_ms = service_load.wait_ms();
    let hopeless_ms = HOPELESS_FACTOR * max_wait_ms(objective_ms, 0);
    if wait_ms <= hopeless_ms {
        return Ok(());
    }
    Err(Overloaded {
        wait_ms,
        retry_after_ms: retry_after_ms(wait_ms - hopeless_ms, jitter),
    })
}

/// Returns the time after which to retry if a queue is too long by `drain_ms`, in
/// milliseconds.
#[must_use]
pub fn retry_after_ms(drain_ms: u64, jitter: u64) -> u64 {
    let drain_ms = drain_ms.max(MIN_RETRY_MS);
    // About twice `drain_ms` on average, since further requests arrive
    // meanwhile.
    (drain_ms + jitter % (2 * drain_ms + MIN_RETRY_MS)).min(MAX_RETRY_MS)
}

/// Moving average of the time that requests of one service occupy a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotHoldTime {
    ms: MovingAverage<16>,
}

impl SlotHoldTime {
    /// Adds the time that a finished request occupied its slot.
    pub const fn note(&mut self, held_ms: u64) {
        self.ms.note(held_ms);
    }

    /// Returns the average, in milliseconds; 0 if not known.
    #[must_use]
    pub const fn ms(self) -> u64 {
        self.ms.value()
    }
}
