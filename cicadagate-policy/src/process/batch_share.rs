/*!
Decides which items of batch jobs run, and on which member.

# Problem

Online load is a square wave: its peaks use nearly all slots of the engines
for seconds, its valleys a sixth of them. Batch jobs are not urgent and fill
the valleys, but an item that occupies a slot in a peak delays an online
request, since engines have no priorities.

# Choice

Every process has all open items from the job index and the load of all
replicas from reports, so all compute the same plan without coordination. The
first items in the [order](super::item_order) are *active*: one for each slot that
online work leaves. Each active item is run by one member, chosen by rendezvous
hashing over the members that accept work; an item that a member reports as
running stays with it. When online load rises, the last ones are no longer
active. They are paused with the output that they have and resume from there
later.

A hysteresis of [`PAUSE_HYSTERESIS_ITEMS`] items keeps the last active item
from being paused and resumed with every report.

A share of the slots is kept free for the first requests of a peak. In a service
with few slots that share is a large part of them, or all. It yields to the first
item: one item may run in any slot that online work leaves.

# Cost

The views of two processes differ until a report or an index record has
reached both. Meanwhile an engine may run an item too many or have a free
slot.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{MemberId, mix64},
        version::job_index::ItemRef,
    },
    std::{collections::HashSet, hash::BuildHasher},
};

/// Number of items that may run beyond the slots for batch work before one is
/// paused.
pub const PAUSE_HYSTERESIS_ITEMS: usize = 1;

/// Share of the slots that online and batch work may fill together while no
/// item is due soon, in percent. The rest takes the first requests of a peak,
/// until batch items are paused.
pub const NORMAL_FILL_PERCENT: u32 = 95;
/// Share of the slots that online and batch work may fill together when an item
/// is due soon, in percent.
pub const DEADLINE_FILL_PERCENT: u32 = 100;
/// Time before the earliest deadline from which [`DEADLINE_FILL_PERCENT`]
/// applies, in milliseconds: about twice the run time of an item.
pub const DEADLINE_WINDOW_MS: u64 = 9_000;

/// Shortest time between two plans, in milliseconds.
pub const MIN_PLAN_INTERVAL_MS: u64 = 60;
/// Longest time between two plans, in milliseconds.
pub const MAX_PLAN_INTERVAL_MS: u64 = 2_000;
/// Time between two plans, as a multiple of the time that the last one took: the
/// plans of a flood of jobs must leave the processor to online requests.
const PLAN_INTERVAL_FACTOR: u64 = 20;

/// Returns the time until the next plan, in milliseconds, after one that took
/// `took_ms`.
#[must_use]
pub fn plan_interval_ms(took_ms: u64) -> u64 {
    (took_ms * PLAN_INTERVAL_FACTOR).clamp(MIN_PLAN_INTERVAL_MS, MAX_PLAN_INTERVAL_MS)
}

/// Returns the time until the next deadline of an item, in milliseconds: its due time, and
/// once that is over, the time at which it is given up.
#[must_use]
pub const fn deadline_in_ms(due_ms: u64, give_up_ms: u64, now_ms: u64) -> u64 {
    if due_ms > now_ms {
        due_ms - now_ms
    } else {
        give_up_ms.saturating_sub(now_ms)
    }
}

/// Returns the share of the slots that online and batch work may fill together,
/// in percent.
///
/// `first_deadline_in_ms` is the time until the first [deadline](deadline_in_ms) of an
/// item.
#[must_use]
pub const fn fill_percent(first_deadline_in_ms: u64) -> u32 {
    if first_deadline_in_ms < DEADLINE_WINDOW_MS {
        DEADLINE_FILL_PERCENT
    } else {
        NORMAL_FILL_PERCENT
    }
}

/// Slots of one service and their use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Slots of all usable replicas.
    pub total: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Share of the slots that online and batch work may fill together, in
    /// percent.
    pub fill_percent: u32,
}

impl Slots {
    /// Returns the number of items that may run concurrently in the whole
    /// fleet. It is 0 only if online work leaves no slot.
    #[must_use]
    pub fn for_batch(self) -> usize {
        let fillable = u64::from(self.total) * u64::from(self.fill_percent) / 100;
        let share = fillable.saturating_sub(u64::from(self.online));
        let least = u64::from(self.online < self.total && !is_injected(Fault::KeepWholeReserve));
        usize::try_from(share.max(least)).unwrap_or(usize::MAX)
    }
}

/// The items that this process must start and pause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Items to start here.
    pub start: Vec<ItemRef>,
    /// Items to pause here.
    pub pause: Vec<ItemRef>,
}

/// Returns the member that runs an item, among the members that accept work.
#[must_use]
pub fn runner(item: ItemRef, members: &[MemberId]) -> Option<MemberId> {
    let hash = item.hash();
    members
        .iter()
        .copied()
        .max_by_key(|member| mix64(hash, member.raw()))
}

/// Decides which items to start and to pause.
///
/// `slots` is the number of items that may run in the fleet.
/// `ordered_items` yields the open items, those first that get a slot first.
/// `here` are the items that this process runs, `elsewhere` those that other
/// members report as running. `members` are the members that accept new work, including this
/// process if it does.
#[must_use]
pub fn plan<S: BuildHasher>(
    slots: usize,
    ordered_items: impl Iterator<Item = ItemRef>,
    here: &HashSet<ItemRef, S>,
    elsewhere: &HashSet<ItemRef, S>,
    me: MemberId,
    members: &[MemberId],
) -> Plan {
    let mut plan = Plan::default();
    let mut seen_here = 0;
    for (rank, item) in ordered_items.enumerate() {
        if seen_here >= here.len() && rank >= slots {
            break;
        }
        if here.contains(&item) {
            seen_here += 1;
            if rank >= slots + PAUSE_HYSTERESIS_ITEMS {
                plan.pause.push(item);
            }
        } else if rank < slots && !elsewhere.contains(&item) && runner(item, members) == Some(me) {
            plan.start.push(item);
        }
    }
    plan
}
