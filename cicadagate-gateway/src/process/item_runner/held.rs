/*!
Why open items wait although a slot is free.

An item that waits beside a free slot is held by a bound of this system: the share of
slots for batch work, the limits beside peaks, its place in the order, the member that
must run it, or a delay. For each service, the state `items_held_ms` says for how long no
item has been running although online work leaves a slot. After a second, each member
logs the first item that it would run, with the bound that holds it.
*/

use {
    super::{ItemName, Round, fleet_load_of},
    crate::process::Gateway,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::MemberId,
        process::{
            batch_share::{Slots, runner},
            item_order::OpenItem,
        },
        time::Time,
        version::job_index::ItemRef,
    },
    std::{cell::RefCell, collections::HashMap},
};

/// Time for which items are held before one is logged, and between two log lines, in
/// milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The open items of a service, as a plan sees them.
pub(super) struct View<'a> {
    pub(super) service: &'a str,
    pub(super) slots: Slots,
    /// Items that the plan lets run.
    pub(super) for_batch: usize,
    /// Open items in their order.
    pub(super) items: &'a [OpenItem],
    pub(super) members: &'a [MemberId],
}

#[derive(Clone, Copy, Debug)]
struct Held {
    since: Time,
    logged: Option<Time>,
}

/// Services whose items are held.
#[derive(Default)]
pub(super) struct HeldItems {
    services: RefCell<HashMap<String, Held>>,
}

impl HeldItems {
    /// Drops the services without open items. `held_ms` has for how long each of the others
    /// has been held.
    pub(super) fn finish(&self, gateway: &Gateway, held_ms: &[(&str, u64)]) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| held_ms.iter().any(|(open, _)| open == service));
        let longest_ms = held_ms.iter().map(|(_, ms)| *ms).max().unwrap_or_default();
        let longest_ms = usize::try_from(longest_ms).unwrap_or(usize::MAX);
        gateway.metrics.set_state("items_held_ms", longest_ms);
    }
}

/// Notes whether items of a service are held, and logs why; returns for how long they have
/// been held, in milliseconds.
pub(super) fn note(gateway: &Gateway, round: &Round<'_>, view: &View<'_>) -> u64 {
    let now = round.now;
    let batch = fleet_load_of(gateway, view.service).batch;
    let mut services = gateway.item_runner.held.services.borrow_mut();
    let is_held = batch == 0 && view.slots.online < view.slots.total && !view.items.is_empty();
    if !is_held {
        services.remove(view.service);
        return 0;
    }
    let held = services.entry(view.service.to_owned()).or_insert(Held {
        since: now,
        logged: None,
    });
    let held_ms = now.since(held.since);
    let is_logged = held
        .logged
        .is_some_and(|at| now.since(at) < LOG_INTERVAL_MS);
    if held_ms >= LOG_INTERVAL_MS && !is_logged {
        held.logged = Some(now);
        log(gateway, round, view, held_ms);
    }
    held_ms
}

/// Logs the first item that this member would run, and the bound that holds it.
fn log(gateway: &Gateway, round: &Round<'_>, view: &View<'_>, held_ms: u64) {
    let is_mine = |item: ItemRef| runner(item, view.members) == Some(gateway.member_id);
    let mut items = view.items.iter().enumerate();
    let Some((rank, open)) = items.find(|(_, open)| is_mine(open.item)) else {
        return;
    };
    let item = open.item;
    let id = {
        let job = round.index.job(item.job);
        let entry = job.and_then(|job| job.item(item.index));
        entry.map_or("", |entry| entry.id.as_str())
    };
    event!(
        ITEM_HELD,
        item: = ItemName(item),
        id,
        service = view.service,
        reason = reason(gateway, round, view, rank, item),
        held_ms,
        rank,
        for_batch = view.for_batch,
        slots = view.slots.total,
        online = view.slots.online,
        fill_percent = view.slots.fill_percent
    );
}

fn reason(
    gateway: &Gateway,
    round: &Round<'_>,
    view: &View<'_>,
    rank: usize,
    item: ItemRef,
) -> &'static str {
    let restart_after = gateway.item_runner.restart_after.borrow();
    if view.for_batch == 0 {
        "share of the slots"
    } else if round.waiting.contains(&item) {
        "no slot granted"
    } else if round.here.contains(&item) {
        "result being written"
    } else if round.elsewhere.contains(&item) {
        "with another member"
    } else if rank >= view.for_batch {
        "behind others"
    } else if restart_after
        .get(&item)
        .is_some_and(|until| round.now < *until)
    {
        "delay after a preemption"
    } else {
        "limits beside peaks"
    }
}
