/*!
Monotonic time of a process, and wall-clock time.
*/

use {
    cicadagate_policy::time::Time,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that reads one second when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let ms = self.start.elapsed().as_millis();
        // One second is added so that `Time(0)` always lies in the past.
        Time(u64::try_from(ms).unwrap_or(u64::MAX).saturating_add(1_000))
    }
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
