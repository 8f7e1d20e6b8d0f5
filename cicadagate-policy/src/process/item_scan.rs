/*!
The open items that matter for a plan.

# Problem

A plan ranks the open items of a service, and only the first ones, as many as the service
has slots, get one. In a flood tens of thousands are open. Ranking all of them for each
plan takes a small instance hundreds of milliseconds, and each process does so.

# Choice

Items that run or have output are few, since each occupied a slot. All of them are
ranked. Of the others, up to a limit are collected in the order of their due times: first
those that can meet it, and if these are too few also those that can't. Jobs without an
item that can meet its due time are skipped by their smallest item. The first `limit` items
of the order are the same as if all items were ranked, unless more than
[`MAX_EXAMINED_FACTOR`] times as many would have to be examined. Items of jobs whose route
is split over services count for the service that runs them only, and those of another one
are skipped without being examined: however few items a service has, they are found.

# Cost

Each open job is still visited once for each plan, and each item of a job whose route is
split.
*/

use {
    super::item_order::{OpenItem, START_MARGIN_PERCENT},
    crate::version::job_index::{ItemRef, Job},
    std::{collections::HashSet, hash::BuildHasher},
};

/// Items beyond the slots of a service that are collected: the hysteresis of the plan and a
/// change of the slots.
pub const EXTRA_ITEMS: usize = 16;

/// Items without output that are examined at most, as a multiple of those that are
/// collected. Few are examined in vain: items of a job that is due soon, of which only the
/// smallest can be in time.
pub const MAX_EXAMINED_FACTOR: usize = 8;

/// The open items of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceItems<'a, S> {
    /// Open jobs with items of the service, in the order of their due times.
    pub jobs: &'a [&'a Job],
    /// Items of the service that run or wait for a slot, or have output.
    pub known: &'a [(&'a Job, ItemRef)],
    /// The items of `known`, and maybe those of other services.
    pub known_set: &'a HashSet<ItemRef, S>,
}

/// The items collected for a plan.
#[derive(Clone, Debug, Default)]
pub struct ItemScan {
    /// Items, in no order.
    pub items: Vec<OpenItem>,
    /// Number of items that were examined.
    pub examined: usize,
}

/// Collects the open items that a plan for `slots` slots needs.
///
/// `uses_service` returns whether an item of a job runs at this service, `run_ms` the
/// estimated time of a run by the item's tokens, and `open` what is known of an item without
/// a result.
#[must_use]
pub fn scan<S: BuildHasher>(
    service: &ServiceItems<'_, S>,
    slots: usize,
    now_ms: u64,
    uses_service: impl Fn(&Job, ItemRef) -> bool,
    run_ms: impl Fn(u32) -> u64,
    open: impl Fn(&Job, ItemRef) -> Option<OpenItem>,
) -> ItemScan {
    let limit = slots + EXTRA_ITEMS;
    let max_examined = service.known.len() + limit * MAX_EXAMINED_FACTOR;
    let mut scan = ItemScan::default();
    for (job, item) in service.known {
        scan.examined += 1;
        scan.items.extend(open(job, *item));
    }
    // Items that are not known have not been started.
    let can_meet = |job: &Job| {
        let needed_ms = run_ms(job.least_tokens()) * START_MARGIN_PERCENT / 100;
        now_ms + needed_ms < job.submission.due_ms
    };
    let mut collect = |jobs: &[&Job], limit: usize, wants: &dyn Fn(&OpenItem) -> bool| {
        let mut collected = 0;
        for job in jobs {
            for item in job.open_items() {
                if collected >= limit || scan.examined >= max_examined {
                    return collected;
                }
                if service.known_set.contains(&item) || !uses_service(job, item) {
                    continue;
                }
                scan.examined += 1;
                if let Some(open) = open(job, item).filter(|open| wants(open)) {
                    scan.items.push(open);
                    collected += 1;
                }
            }
        }
        collected
    };
    let is_late = |job: &&Job| job.submission.due_ms <= now_ms;
    let first_ahead = service.jobs.partition_point(is_late);
    let ahead: Vec<&Job> = service.jobs[first_ahead..]
        .iter()
        .copied()
        .filter(|job| can_meet(job))
        .collect();
    let in_time = collect(&ahead, limit, &|open| open.can_meet_due_time(now_ms));
    if in_time < limit {
        collect(service.jobs, limit, &|open| !open.can_meet_due_time(now_ms));
    }
    scan
}
