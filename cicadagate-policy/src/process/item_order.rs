/*!
Order in which the open items of batch jobs get slots.

# Problem

A flood of jobs brings more items than the slots can run by their due time. If
the item that is due first always runs next, the queue of items that are late
already stays ahead of those that could still be in time, and from then on all
results are late.

# Choice

Items that can still meet their due time go before those that can't, by an
estimate of the time that a run takes. Among each of these, items that run or
have output go first, so that the work in them is not left unfinished, and then
the items that are due first. Late items get the slots that are left until they
are given up.

The estimate is the average of the runs that this process has completed, in
relation to the items' tokens. Before the first completed run it is 0, and every
item whose due time is ahead counts as one that can meet it.

# Cost

Processes have different averages and progress, so their orders may differ for
items that barely meet their due time. Such an item may run although another
process would have chosen a different one. The whole order is computed anew for
each plan.
*/

use {
    crate::{average::MovingAverage, version::job_index::ItemRef},
    std::cmp::Reverse,
};

/// Factor on the estimated time of a run that an item needs until its due time
/// to be started, in percent: it may be paused once for a peak of online load.
pub const START_MARGIN_PERCENT: u64 = 160;

/// An item without a result, as seen by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenItem {
    /// Item.
    pub item: ItemRef,
    /// Time at which its result is due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Estimated time until it is done if it runs from now on, in milliseconds.
    pub remaining_ms: u64,
    /// It runs, here or elsewhere, or part of its output is known.
    pub is_started: bool,
}

impl OpenItem {
    /// Returns whether the item can be done by its due time.
    #[must_use]
    pub const fn can_meet_due_time(&self, now_ms: u64) -> bool {
        let needed_ms = if self.is_started {
            self.remaining_ms
        } else {
            self.remaining_ms * START_MARGIN_PERCENT / 100
        };
        now_ms + needed_ms < self.due_ms
    }

    /// Returns the sort key: the item with the lowest one gets a slot first.
    #[must_use]
    pub const fn rank(&self, now_ms: u64) -> (bool, bool, u64, ItemRef) {
        let can_meet = self.can_meet_due_time(now_ms);
        (!can_meet, !self.is_started, self.due_ms, self.item)
    }
}

impl OpenItem {
    /// Returns the sort key for preemption: the item with the lowest one is preempted
    /// first.
    ///
    /// Items that are late anyway come first and those without a margin to their due time
    /// last; among equal ones, the least work since the last saved output and the latest
    /// due time decide.
    #[must_use]
    pub const fn preemption_rank(
        &self,
        unsaved_events: u64,
        now_ms: u64,
    ) -> (u8, u64, Reverse<u64>, ItemRef) {
        let with_margin_ms = self.remaining_ms * START_MARGIN_PERCENT / 100;
        let risk = if !self.can_meet_due_time(now_ms) {
            0
        } else if now_ms + with_margin_ms < self.due_ms {
            1
        } else {
            2
        };
        (risk, unsaved_events, Reverse(self.due_ms), self.item)
    }
}

/// Sorts items by the order in which they get slots.
pub fn sort(items: &mut [OpenItem], now_ms: u64) {
    items.sort_unstable_by_key(|item| item.rank(now_ms));
}

/// Moving average of the time of a run in relation to the tokens of its item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunRate {
    us_per_token: MovingAverage<8>,
}

impl RunRate {
    /// Adds a run that was not interrupted.
    pub fn note(&mut self, tokens: u32, took_ms: u64) {
        self.us_per_token
            .note(took_ms * 1_000 / u64::from(tokens.max(1)));
    }

    /// Returns the estimated time of a run, in milliseconds; 0 if not known.
    #[must_use]
    pub fn estimate_ms(self, tokens: u32) -> u64 {
        self.us_per_token.value() * u64::from(tokens) / 1_000
    }
}
