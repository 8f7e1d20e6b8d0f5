/*!
Faults that tests plant into mechanisms.

A fuzzer that never fails proves little. For each promise there is a fault
here that breaks its mechanism in one place; a test plants it and shows that
the oracle catches it. Without the feature `planted-faults` the question is
a constant `false` and costs nothing.
*/

/// A fault in one mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A new holder grants without waiting for the old one's lease to end.
    SkipHandoverWait,
    /// A restarted holder starts with a full bucket.
    RefillOnRestart,
    /// A holder grants although its lease has lapsed.
    IgnoreHolderLease,
    /// A grant counts however late it arrives.
    AcceptLateGrant,
    /// The configuration fold ignores the version that a change was based on.
    SkipCompareAndSet,
    /// The configuration fold counts a repeated request id again.
    SkipIdCheck,
    /// A snapshot that covers less than is in force is adopted.
    AdoptOldSnapshot,
    /// A withdrawn key is let in again by a later record.
    ForgetWithdrawal,
    /// A process without contact goes on serving.
    ServeWithoutContact,
    /// A lost attempt of a call that is not idempotent is tried again.
    RetryNonIdempotent,
    /// An attempt that may have run is reported as not run.
    ClaimNotRun,
    /// A frame of another attempt is taken as the answer.
    AcceptCrossedAnswer,
    /// An answer without its end mark counts as whole.
    AcceptTruncated,
    /// The last result of an item wins.
    LastResultWins,
    /// A cancelled job goes on.
    IgnoreCancel,
    /// An item with an intent of another run is run again.
    IgnoreIntent,
    /// Batch work goes before online work.
    BatchFirst,
    /// A leaving endpoint still gets new work.
    IgnoreLeaving,
    /// A stopping process drops what runs.
    DropOnShutdown,
    /// A job is acknowledged before its record is in the log.
    AcknowledgeEarly,
    /// A queued request is run for the customer of another.
    CrossCustomers,
}

#[cfg(feature = "planted-faults")]
mod hook {
    use {super::Fault, std::cell::Cell};

    thread_local! {
        static PLANTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Plants a fault on this thread, or removes it.
    pub fn plant(fault: Option<Fault>) {
        PLANTED.set(fault);
    }

    pub(crate) fn is_planted(fault: Fault) -> bool {
        PLANTED.get() == Some(fault)
    }
}

#[cfg(not(feature = "planted-faults"))]
mod hook {
    pub(crate) const fn is_planted(_fault: super::Fault) -> bool {
        false
    }
}

pub(crate) use hook::is_planted;

#[cfg(feature = "planted-faults")]
pub use hook::plant;
