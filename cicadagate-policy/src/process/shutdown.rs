/*!
Graceful shutdown.

Callers cache the address of a process for up to [`ADDRESS_TTL_MS`] by
default. The address of a stopping process is no longer advertised to callers,
but the process listens and serves, with `Connection: close`, for as long as
callers may use the address. It exits when that time has passed and no request
is running.
*/

use crate::{
    fault_injection::{Fault, is_injected},
    time::Time,
};

/// Default time for which a caller may keep an address, in milliseconds.
pub const ADDRESS_TTL_MS: u64 = 10_000;

/// Phase in the life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Serves, and its address is advertised to callers.
    #[default]
    Serving,
    /// Serves, but its address is no longer advertised to callers.
    Leaving {
        /// Time at which the process was told to stop.
        since: Time,
    },
}

impl Phase {
    /// Returns the phase after the process is told to stop; a second time
    /// changes nothing.
    #[must_use]
    pub const fn stop(self, now: Time) -> Self {
        match self {
            Self::Serving => Self::Leaving { since: now },
            Self::Leaving { .. } => self,
        }
    }

    /// Returns whether the address of the process is advertised to callers.
    #[must_use]
    pub const fn is_advertised(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Returns whether the process may exit, with `running` requests in
    /// progress and an address that callers may keep for `address_ttl_ms`.
    #[must_use]
    pub fn may_exit(self, now: Time, address_ttl_ms: u64, running: usize) -> bool {
        match self {
            Self::Serving => false,
            Self::Leaving { since } => {
                let may_address_be_cached = now.since(since) < address_ttl_ms;
                !may_address_be_cached && (running == 0 || is_injected(Fault::DropOnShutdown))
            }
        }
    }
}
