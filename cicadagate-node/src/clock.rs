/*!
The process's clock.
*/

use {
    cicadagate_policy::time::Time,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that starts with the process.
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

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        let ms = self.start.elapsed().as_millis();
        // Starts at one second, so that "long ago" can be expressed.
        Time(u64::try_from(ms).unwrap_or(u64::MAX).saturating_add(1_000))
    }
}

/// Milliseconds since the epoch, for records that outlive processes.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Seconds since the epoch.
#[must_use]
pub fn epoch_secs() -> u64 {
    epoch_ms() / 1000
}
