/*!
Refusing what would wait too long.

# Problem

Peaks of online load, lost replicas and customers far above their usual rate
take more slots than there are. A request that joins a long queue at a replica
is answered late, and makes all behind it late as well.

# Choice

Before a request is sent, its wait is estimated from the online requests that
are in flight at the service's replicas over the whole fleet, the replicas'
slots, and the time that requests have held a slot lately. Batch work does not
count, since it gives way. A request that would wait longer than
[`WAIT_SHARE`] of its objective is refused at once and told when the queue will
have drained. Returns are spread, so that they do not form the next peak.

The less urgent a request is, the shorter it may wait, so that in a queue that
grows it is refused first. The same goes for customers that have used up most
of their burst: the wait that they may cause shrinks with what is left of it.

# Cost

The estimate is as old as the reports. A refused caller comes back once; if
the load stays, it is refused again.
*/

/// Share of the objective that a request may wait for a slot, in percent. The
/// rest is for the way and the first event.
pub const WAIT_SHARE: u64 = 70;
/// Shortest time to come back, in milliseconds.
pub const MIN_RETRY_MS: u64 = 150;
/// Longest time to come back, in milliseconds; callers have a deadline.
pub const MAX_RETRY_MS: u64 = 1_500;
/// Share of the burst that must be left for the full wait, in percent.
pub const CALM_SHARE: u64 = 50;

/// Rank from which less urgent requests are treated alike.
pub const MAX_RANK: u32 = 3;

/// Load of a service as a process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Online requests in flight over the fleet.
    pub online: u32,
    /// Slots of the replicas that may be used.
    pub slots: u32,
    /// Time that a request holds a slot, in milliseconds; 0 if not known.
    pub hold_ms: u64,
}

impl Pressure {
    /// Returns the time that another request would wait for a slot, in milliseconds.
    #[must_use]
    pub fn wait_ms(self) -> u64 {
        let ahead = u64::from((self.online + 1).saturating_sub(self.slots));
        ahead * self.hold_ms / u64::from(self.slots.max(1))
    }
}

/// A request would wait too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// Time that it would wait, in milliseconds.
    pub wait_ms: u64,
    /// Time after which to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Decides whether a request may be sent.
///
/// `rank` is its priority, 0 the most urgent. `burst_left` is what is left of the customer's burst, in percent. `spread`
/// is a random number.
///
/// # Errors
///
/// Returns an error if the request would wait too long.
pub fn admit(
    pressure: Pressure,
    objective_ms: u64,
    rank: u32,
    burst_left: u64,
    spread: u64,
) -> Result<(), Overloaded> {
    let wait_ms = pressure.wait_ms();
    let full_ms = objective_ms * WAIT_SHARE / 100 / u64::from(rank.min(MAX_RANK) + 1);
    let allowed_ms = full_ms * burst_left.min(CALM_SHARE) / CALM_SHARE;
    if wait_ms <= allowed_ms {
        return Ok(());
    }
    let drained_ms = (wait_ms - allowed_ms).max(MIN_RETRY_MS);
    // Twice the time on average, since others come meanwhile.
    let retry_after_ms = (drained_ms + spread % (2 * drained_ms + MIN_RETRY_MS)).min(MAX_RETRY_MS);
    Err(Overloaded {
        wait_ms,
        retry_after_ms,
    })
}

/// Time that requests hold a slot of one service, smoothed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldTime {
    sixteenths: u64,
}

impl HoldTime {
    /// Notes a request that has ended.
    pub const fn note(&mut self, held_ms: u64) {
        if self.sixteenths == 0 {
            self.sixteenths = held_ms * 16;
        } else {
            self.sixteenths = self.sixteenths - self.sixteenths / 16 + held_ms;
        }
    }

    /// Returns the smoothed time, in milliseconds; 0 if nothing is known.
    #[must_use]
    pub const fn ms(self) -> u64 {
        self.sixteenths / 16
    }
}
