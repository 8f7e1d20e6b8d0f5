/*!
Monotonic time of a process, and wall-clock time.
*/

use {
    cicadagate_policy::time::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that reads one second when it is created.
///
/// It goes on while the machine is suspended, unlike that of [`Instant`](std::time::Instant):
/// what a process knows grows older meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let ms = time_since_boot().saturating_sub(self.start).as_millis();
        // One second is added so that `Time(0)` always lies in the past.
        Time(u64::try_from(ms).unwrap_or(u64::MAX).saturating_add(1_000))
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    // The kernel's clock is never negative.
    Duration::try_from(now).unwrap_or_default()
}

/// Returns the milliseconds since the Unix epoch.
///
/// Wall-clock time is for records that outlive the process; a [`Clock`]
/// measures intervals within it.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the seconds since the Unix epoch.
#[must_use]
pub fn unix_time_secs() -> u64 {
    unix_time_ms() / 1000
}
