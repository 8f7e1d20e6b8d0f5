/*!
How many items of batch jobs run, which, and where.

# Problem

Online load is a square wave: its peaks take nearly all slots of the engines
for seconds, its valleys a sixth of them. Jobs have much time and fill the
valleys, but an item that holds a slot in a peak makes an online request wait.
Engines know no priorities.

# Choice

Every process knows all open items from the index and the load of all replicas
from reports, so all can compute the same answer without a message: the items
that are due first, as many as online work leaves slots, are *active*. Each
active item has one runner by rendezvous hash over the working members; an item
that a member reports to run stays with it. When online load rises, the items
that are due last stop being active and are paused with the output they have;
they go on from there later.

Hysteresis of [`HYSTERESIS`] items keeps an item at the edge from pausing and
resuming with every report.

# Cost

Views differ for as long as a report and an index record travel. Meanwhile an
engine may have an item too many or a free slot.
*/

use {
    crate::{
        ids::{MemberId, mix64},
        version::job_index::ItemRef,
    },
    std::{collections::HashSet, hash::BuildHasher},
};

/// Items that may run beyond the share before one is paused.
pub const HYSTERESIS: usize = 1;

/// Share of the slots that online and batch work may fill together while jobs
/// have time, in percent. The rest takes the first requests of a peak, until
/// batch work has given way.
pub const CALM_FILL: u32 = 95;
/// The same when an item is due soon.
pub const PRESSED_FILL: u32 = 100;
/// Time before the first due item at which the fill begins to rise, in
/// milliseconds: about twice what an item runs.
pub const PRESSED_MS: u64 = 9_000;

/// Returns the share of the slots that may be filled, in percent.
#[must_use]
pub const fn fill(first_due_in_ms: u64) -> u32 {
    if first_due_in_ms < PRESSED_MS {
        PRESSED_FILL
    } else {
        CALM_FILL
    }
}

/// Slots of one service and how they are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Slots of all usable replicas.
    pub total: u32,
    /// Online requests in flight.
    pub online: u32,
    /// Share of the slots that online and batch work may fill together, in percent.
    pub fill: u32,
}

impl Slots {
    /// Returns the items that may run at once over the whole fleet.
    #[must_use]
    pub fn for_batch(self) -> usize {
        let fillable = self.total * self.fill / 100;
        fillable.saturating_sub(self.online) as usize
    }
}

/// What a process does about the items of jobs now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Items to start here.
    pub start: Vec<ItemRef>,
    /// Items to pause here.
    pub pause: Vec<ItemRef>,
}

/// Returns the member that runs an item, among those that take work.
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
/// `urgent` are the open items, those due first first. `here` are the items
/// that this process runs, `elsewhere` those that others report. `members` are
/// those that take new work, this process included if it does.
#[must_use]
pub fn plan<S: BuildHasher>(
    slots: usize,
    urgent: impl Iterator<Item = ItemRef>,
    here: &HashSet<ItemRef, S>,
    elsewhere: &HashSet<ItemRef, S>,
    me: MemberId,
    members: &[MemberId],
) -> Plan {
    let mut plan = Plan::default();
    let mut kept = 0;
    for (rank, item) in urgent.enumerate() {
        if kept >= here.len() && rank >= slots {
            break;
        }
        if here.contains(&item) {
            kept += 1;
            if rank >= slots + HYSTERESIS {
                plan.pause.push(item);
            }
        } else if rank < slots && !elsewhere.contains(&item) && runner(item, members) == Some(me) {
            plan.start.push(item);
        }
    }
    plan
}
