/*!
Graceful shutdown.

Callers cache the address of a process for up to [`ADDRESS_TTL_MS`] by
default. The address of a stopping process is no longer advertised to callers,
but the process listens and serves, with `Connection: close`, for as long as
callers may use the address. It exits when that time has passed and no request
is running.

A platform that kills a stopping process after a fixed time, its [`Grace`], cuts every
request that is still open then. Callers that have not learned of the stop are served at
first. Afterwards a request is admitted only if it ends before the process exits even if
it lasts until its deadline; any other is refused at once, so that its caller turns to
another process with most of its time left.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        time::Time,
    },
    std::time::Duration,
};

/// Default time for which a caller may keep an address, in milliseconds.
pub const ADDRESS_TTL_MS: u64 = 10_000;

/// Time before the kill from which every new request is refused, in milliseconds.
const REFUSE_BEFORE_KILL_MS: u64 = 1_500;
/// Time before the kill at which the process exits, even if requests are open, in
/// milliseconds.
const EXIT_BEFORE_KILL_MS: u64 = 500;
/// Time before the exit at which the last response begins, in milliseconds: enough to
/// write it to the caller's connection.
const RESPOND_BEFORE_EXIT_MS: u64 = 150;

/// The time that a platform leaves a process between the stop signal and the kill. All
/// times are relative to the signal, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    total_ms: u64,
}

impl Grace {
    /// Creates the schedule of a stop.
    #[must_use]
    pub fn new(total: Duration) -> Self {
        Self {
            total_ms: u64::try_from(total.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time at which the process exits, even if requests are open.
    #[must_use]
    pub const fn exit_ms(self) -> u64 {
        self.total_ms.saturating_sub(EXIT_BEFORE_KILL_MS)
    }

    /// Returns the time until which responses should begin.
    #[must_use]
    pub const fn respond_ms(self) -> u64 {
        self.exit_ms().saturating_sub(RESPOND_BEFORE_EXIT_MS)
    }

    /// Returns the time from which every new request is refused.
    #[must_use]
    pub const fn refuse_ms(self) -> u64 {
        self.total_ms.saturating_sub(REFUSE_BEFORE_KILL_MS)
    }

    /// Returns the time until which requests are admitted whatever their deadline: the
    /// three eighths of the grace in which callers learn of the stop.
    #[must_use]
    pub const fn learn_ms(self) -> u64 {
        self.total_ms / 8 * 3
    }

    /// Returns whether a request that arrives `since_ms` after the signal, and may last
    /// `left_ms` longer, is admitted.
    #[must_use]
    pub fn admits(self, since_ms: u64, left_ms: u64) -> bool {
        if since_ms >= self.refuse_ms() {
            return false;
        }
        let ends_in_time = since_ms.saturating_add(left_ms) <= self.respond_ms();
        since_ms < self.learn_ms() || ends_in_time
    }
}

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
