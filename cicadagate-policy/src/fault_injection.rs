/*!
Faults that tests inject into the decision functions.

A fuzzer that never fails proves little. For each guarantee of the system
there is a fault here that breaks its mechanism in one place; a test injects
it and checks that the oracle detects the violation. Without the feature
`planted-faults`, `is_injected` is a constant `false` and costs nothing.
*/

/// A fault to inject into one mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A new share holder grants tokens before the old holder's lease has
    /// ended.
    SkipHandoverWait,
    /// A restarted share holder starts with a full bucket.
    RefillOnRestart,
    /// A share holder grants tokens although its lease has expired.
    IgnoreHolderLease,
    /// A grant is used however late it arrives.
    AcceptLateGrant,
    /// A configuration change is applied whatever version it was based on.
    SkipCompareAndSet,
    /// A configuration change with a repeated request id is applied again.
    SkipIdCheck,
    /// A snapshot that is older than the state in force is adopted.
    AdoptOldSnapshot,
    /// A withdrawn API key becomes valid again through a later record.
    AcceptWithdrawnKey,
    /// A process without contact continues to serve.
    ServeWithoutContact,
    /// A lost attempt of a request that is not idempotent is retried.
    RetryNonIdempotent,
    /// An attempt that may have run is reported as not run.
    ReportNotRun,
    /// A frame of another attempt is accepted as part of the response.
    AcceptOtherAttempt,
    /// A response without its end marker counts as complete.
    AcceptTruncated,
    /// The last result of an item replaces the first.
    LastResultWins,
    /// A cancelled job continues.
    IgnoreCancel,
    /// An item or request for which another process has written an intent is
    /// run again.
    IgnoreIntent,
    /// Batch work is started before online work.
    BatchFirst,
    /// A draining endpoint still gets new work.
    IgnoreLeaving,
    /// A stopping process drops running requests.
    DropOnShutdown,
    /// A job is acknowledged before its record is in the log.
    AcknowledgeEarly,
    /// A queued request runs under another request's customer.
    RunForWrongCustomer,
    /// A job is accepted although its tokens exceed the customer's limit.
    IgnoreTokenLimit,
    /// A refused attempt to submit a job is decided again.
    ForgetRefusedAttempt,
    /// A member does not tell the others which replicas crashed.
    SkipCrashReports,
    /// A crash that is attributed to a quarantined prompt part counts against
    /// other parts.
    CountAttributedCrashes,
    /// Requests are quarantined also if many others were at as many replicas that
    /// crashed.
    QuarantineTiedRequests,
    /// A registration makes a replica usable that said in a response that it is leaving.
    ForgetLeavingOnRegistration,
    /// No request with a quarantined part is sent before the quarantine has ended.
    NeverTryQuarantined,
    /// A quarantine has any number of trials.
    TryWithoutEnd,
    /// A part of a prompt is quarantined however many replicas ended without it.
    IgnoreShareOfCrashes,
    /// The owner of a replica grants more requests than the rate that the
    /// replica names.
    IgnoreNamedRate,
    /// A member does not tell the owner of a replica which rate it names.
    SkipRateReports,
    /// Only one member is asked which software version began a stream.
    AskOneHolder,
    /// A resumed stream goes to a replica of any software version.
    IgnoreSoftwareVersion,
    /// Replicas of an evacuated data centre get new requests.
    IgnoreEvacuation,
    /// A member that others read registrations for never reads them itself.
    TrustRegistrationReaders,
    /// Changes of registrations are applied although changes before them are missing.
    IgnoreRegistrationGap,
    /// The owner of a cold replica grants any number of requests.
    IgnoreColdRate,
    /// A registration of any age ends the presumption that a replica is cold.
    TrustOldWarmth,
    /// Batch items are planned by the momentary load although it swings.
    IgnoreDemandSwing,
    /// Slots are kept free for online requests although no item runs.
    KeepWholeReserve,
    /// A request for a free slot preempts a batch item.
    PreemptForFreeSlot,
    /// The versions that the store lists do not count after a restart.
    IgnoreVersionRecord,
    /// A replica that may have restarted with other software counts as what it is
    /// registered as.
    TrustLostReplicas,
    /// Bytes are held beyond the bound of the memory account.
    IgnoreMemoryBound,
    /// Items that make no progress keep those behind them from being started.
    WaitForStalledItems,
    /// Requests that wait for a slot get it in the order of their arrival.
    FirstComeFirstServed,
    /// Requests that wait for a slot are admitted whatever their objective is.
    IgnoreObjective,
    /// Requests that wait for a slot are not shared out between customers.
    IgnoreCustomerShares,
    /// An act is permitted however old the knowledge is by which it is done.
    IgnoreAge,
    /// Members wait at the store for a record however long it takes to send it to all.
    WaitForLargeRecords,
}

#[cfg(feature = "planted-faults")]
mod hook {
    use {super::Fault, std::cell::Cell};

    thread_local! {
        static INJECTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Injects a fault on this thread, or removes it if `None`.
    pub fn inject(fault: Option<Fault>) {
        INJECTED.set(fault);
    }

    pub(crate) fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(fault)
    }
}

#[cfg(not(feature = "planted-faults"))]
mod hook {
    pub(crate) const fn is_injected(_fault: super::Fault) -> bool {
        false
    }
}

pub(crate) use hook::is_injected;

#[cfg(feature = "planted-faults")]
pub use hook::inject;
