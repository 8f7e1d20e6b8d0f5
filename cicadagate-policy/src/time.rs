/*!
Time as an argument of the decision functions.

A [`Time`] is a reading of one process's monotonic clock in milliseconds.
Readings of different processes can't be compared. The only assumption about
two clocks is that they run at nearly the same rate, see
[`MAX_CLOCK_DRIFT_PPM`].
*/

use std::fmt;

/// Largest deviation of a clock's rate from true time, in parts per million.
pub const MAX_CLOCK_DRIFT_PPM: u64 = 500;

/// A reading of the local monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since an earlier reading, or 0 if `earlier` is
    /// the later one.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Lengthens a duration so that at least `ms` pass on any other clock as well.
///
/// The two clocks may deviate in opposite directions, hence twice the drift.
#[must_use]
pub const fn with_clock_drift(ms: u64) -> u64 {
    ms + (ms * 2 * MAX_CLOCK_DRIFT_PPM).div_ceil(1_000_000)
}
