/*!
Items at the front of the order that make no progress.

# Problem

Only the first items of the [order](super::item_order) get a slot, as many as online
work leaves. One of them may be unable to use it: the replica writes nothing, the
output finds no memory, the member that must run the item waits, or two members
disagree about the order and each leaves the slot to the other. In a service with few
slots, such items keep all others from being started until they are given up.

# Choice

Each process notes how much output the items at the front have, as far as it knows. An
item that has gained none for [`STALL_MS`] is *stalled*. It keeps its place and may go
on, but one further item is at the front for each stalled one, up to [`MAX_STALLED`].
The owners of the replicas grant the slots, so the further items run only where a
slot is free.

# Cost

The progress at another member is known only once it is saved. An item that writes
slowly there, or while the store can't be written, counts as stalled, and a further
item asks for a slot in vain.
*/

use {
    super::item_scan::EXTRA_ITEMS,
    crate::{
        fault_injection::{Fault, is_injected},
        time::Time,
        version::job_index::ItemRef,
    },
    std::collections::HashMap,
};

/// Time without progress after which an item at the front is stalled, in
/// milliseconds. Engines write several events a second.
pub const STALL_MS: u64 = 3_000;
/// Most stalled items for which further ones are at the front: those that a plan
/// collects beyond the slots.
pub const MAX_STALLED: usize = EXTRA_ITEMS;

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// The most output so far: one that is dropped and written again is no progress.
    progress: u64,
    since: Time,
}

/// The items at the front of the order of one service.
#[derive(Clone, Debug, Default)]
pub struct FrontItems {
    seen: HashMap<ItemRef, Seen>,
}

impl FrontItems {
    /// Notes the progress of the items at the front and returns the number of stalled
    /// ones, which is the number of further items to start.
    ///
    /// `slots` is the number of items that may run, and `ordered` yields the open items in
    /// their order, each with a measure of its known output.
    pub fn note(
        &mut self,
        now: Time,
        slots: usize,
        ordered: impl Iterator<Item = (ItemRef, u64)>,
    ) -> usize {
        // The first item is followed also while online work leaves no slot, which may be
        // for moments only.
        let front = slots.max(1);
        let mut seen = HashMap::new();
        let mut stalled = 0;
        for (rank, (item, progress)) in ordered.enumerate() {
            if rank >= front + stalled {
                break;
            }
            let before = self.seen.get(&item).copied();
            let entry = before
                .filter(|before| progress <= before.progress)
                .unwrap_or(Seen {
                    progress,
                    since: now,
                });
            seen.insert(item, entry);
            if now.since(entry.since) >= STALL_MS && stalled < MAX_STALLED {
                stalled += 1;
            }
        }
        self.seen = seen;
        if slots == 0 || is_injected(Fault::WaitForStalledItems) {
            0
        } else {
            stalled
        }
    }
}
