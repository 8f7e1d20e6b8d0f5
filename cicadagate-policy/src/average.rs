/*!
Moving averages of measured values.
*/

/// Moving average in which the latest sample has the weight `1 / DIVISOR`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MovingAverage<const DIVISOR: u64> {
    /// Average times `DIVISOR`; 0 before the first sample.
    scaled: u64,
}

impl<const DIVISOR: u64> MovingAverage<DIVISOR> {
    /// Adds a sample.
    pub(crate) const fn note(&mut self, sample: u64) {
        if self.scaled == 0 {
            self.scaled = sample * DIVISOR;
        } else {
            self.scaled = self.scaled - self.scaled / DIVISOR + sample;
        }
    }

    /// Returns the average; 0 before the first sample.
    pub(crate) const fn value(self) -> u64 {
        self.scaled / DIVISOR
    }
}
