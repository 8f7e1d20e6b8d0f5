/*!
Tries of a batch item: which of them count, and when the item is given up.

# Problem

An item is given up after a number of failed tries, so that one that no endpoint
can serve ends. A try also fails without any fault of its endpoint: the owner of
the replica is restarted, its connection breaks, or the try waits until its
deadline behind online requests. An item that such tries end is lost although no
endpoint ever failed it.

# Choice

A try counts as failed only if an endpoint failed at least one of its attempts,
as the owner reports it. All other tries count towards a much larger limit of
their own, which ends items that can never be tried.

# Cost

An item under which owners are lost again and again is tried up to
[`MAX_UNAVAILABLE_TRIES`] times.
*/

/// Maximum number of tries that no endpoint is known to have failed. The item
/// outlasts outages of replicas, of their owners and of the log.
pub const MAX_UNAVAILABLE_TRIES: u32 = 600;

/// Why a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryFailure {
    /// A retry would not help.
    Permanent,
    /// An endpoint failed at least one attempt.
    Endpoint,
    /// No endpoint is known to have failed: the try was refused, or a process
    /// on the way to the endpoint was lost.
    Unavailable,
}

/// The failed tries of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemTries {
    max_failed: u32,
    failed: u32,
    unavailable: u32,
}

impl ItemTries {
    /// Creates the state of an item that is given up after `max_failed` tries
    /// that an endpoint failed.
    #[must_use]
    pub const fn new(max_failed: u32) -> Self {
        Self {
            max_failed,
            failed: 0,
            unavailable: 0,
        }
    }

    /// Returns the number of tries that have ended.
    #[must_use]
    pub const fn ended(&self) -> u32 {
        self.failed + self.unavailable
    }

    /// Records a failed try; returns `true` if the item is given up.
    pub const fn note_failure(&mut self, failure: TryFailure) -> bool {
        match failure {
            TryFailure::Permanent => return true,
            TryFailure::Endpoint => self.failed += 1,
            TryFailure::Unavailable => self.unavailable += 1,
        }
        self.failed >= self.max_failed || self.unavailable >= MAX_UNAVAILABLE_TRIES
    }
}
