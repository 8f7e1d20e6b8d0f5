/*!
Stopping without cutting a request.

Callers keep an address for [`KEEP_ADDRESS_MS`]. A stopping process is no
longer given out as an address, yet it listens and serves for as long as
callers may keep it, with `Connection: close`, and ends when that time has
passed and nothing runs any more.
*/

use crate::{
    planted::{Fault, is_planted},
    time::Time,
};

/// How long a caller may keep an address, in milliseconds.
pub const KEEP_ADDRESS_MS: u64 = 10_000;

/// Where a process stands between start and end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Serves and is given out as an address.
    #[default]
    Serving,
    /// Serves, but is not given out.
    Leaving {
        /// Time of the stop order.
        since: Time,
    },
}

impl Phase {
    /// Takes a stop order; a second one changes nothing.
    #[must_use]
    pub const fn stop(self, now: Time) -> Self {
        match self {
            Self::Serving => Self::Leaving { since: now },
            Self::Leaving { .. } => self,
        }
    }

    /// Tells whether the process may be given out as an address.
    #[must_use]
    pub const fn is_given_out(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Tells whether the process may end.
    #[must_use]
    pub fn may_end(self, now: Time, keep_address_ms: u64, running: usize) -> bool {
        match self {
            Self::Serving => false,
            Self::Leaving { since } => {
                let kept = now.since(since) < keep_address_ms;
                !kept && (running == 0 || is_planted(Fault::DropOnShutdown))
            }
        }
    }
}
