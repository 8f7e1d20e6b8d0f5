//! The items that a plan examines in a flood of jobs.
//!
//! Pattern: 3,000 jobs of 10 items are open, some late, some due soon and most later; the
//! service has 720 slots.

use {
    cicadagate_policy::{
        ids::{CustomerId, JobId, SoftwareVersion},
        process::{
            item_order::{OpenItem, RunRate, sort},
            item_scan::{EXTRA_ITEMS, MAX_EXAMINED_FACTOR, ServiceItems, scan},
        },
        version::job_index::{
            ContentLocation, ItemEntry, ItemRef, ItemState, Job, JobIndex, Outcome, Progress,
            Record, Submission,
        },
    },
    std::{collections::HashSet, time::Instant},
};

const JOBS: u64 = 3_000;
const ITEMS: u32 = 10;
const SLOTS: usize = 720;
const NOW_MS: u64 = 100_000;
const TOKENS: u32 = 3_000;

const PLACE: ContentLocation = ContentLocation {
    part: 0,
    offset: 0,
    records: 1,
    bytes: 10,
};

fn submission(job: u64, due_ms: u64) -> Submission {
    let items = (0..ITEMS).map(|index| ItemEntry {
        id: format!("item {index}"),
        tokens: TOKENS + index * 100,
        content: PLACE,
    });
    Submission {
        job: JobId::from_raw(job),
        customer: CustomerId::of("huka"),
        customer_name: "huka".to_owned(),
        route: "r".to_owned(),
        host: "a.example".to_owned(),
        config_version: 1,
        accepted_ms: 1_000,
        due_ms,
        give_up_ms: 600_000,
        items: items.collect(),
    }
}

/// Jobs that are due from 10 s ago on, one every `interval_ms`; every 40th has an item with
/// a partial output.
fn index(interval_ms: u64) -> JobIndex {
    let mut index = JobIndex::default();
    for job in 0..JOBS {
        index.apply(Record::Accepted(submission(
            job,
            NOW_MS - 10_000 + job * interval_ms,
        )));
        if job.is_multiple_of(40) {
            index.apply(Record::SavedAtVersion {
                item: ItemRef {
                    job: JobId::from_raw(job),
                    index: 3,
                },
                progress: Progress {
                    output: PLACE,
                    last_event: 30,
                    version: None,
                },
                version: SoftwareVersion::of_service("llm", "v1"),
            });
        }
    }
    index
}

fn rate() -> RunRate {
    let mut rate = RunRate::default();
    rate.note(TOKENS, 5_000);
    rate
}

fn open_item(job: &Job, item: ItemRef) -> Option<OpenItem> {
    let ItemState::Open(progress) = job.state(item.index)? else {
        return None;
    };
    let run_ms = rate().estimate_ms(job.item(item.index)?.tokens);
    let is_started = progress.is_some();
    Some(OpenItem {
        item,
        due_ms: job.submission.due_ms,
        remaining_ms: if is_started { run_ms / 2 } else { run_ms },
        is_started,
    })
}

fn first(mut items: Vec<OpenItem>) -> Vec<OpenItem> {
    sort(&mut items, NOW_MS);
    items.truncate(SLOTS + EXTRA_ITEMS);
    items
}

/// Returns the first items of the order and how many were examined.
fn first_by_scan(index: &JobIndex) -> (Vec<OpenItem>, usize) {
    let jobs: Vec<&Job> = index.open_jobs().collect();
    let known_set: HashSet<ItemRef> = index.saved_items().collect();
    let known: Vec<(&Job, ItemRef)> = known_set
        .iter()
        .map(|item| (index.job(item.job).expect("open"), *item))
        .collect();
    let items = ServiceItems {
        jobs: &jobs,
        known: &known,
        known_set: &known_set,
    };
    let run_ms = |tokens| rate().estimate_ms(tokens);
    let scan = scan(&items, SLOTS, NOW_MS, |_, _| true, run_ms, open_item);
    (first(scan.items), scan.examined)
}

fn first_of_all(index: &JobIndex) -> Vec<OpenItem> {
    let jobs = index.open_jobs();
    let items = jobs.flat_map(|job| {
        let open = |item| open_item(job, item);
        job.open_items().filter_map(open).collect::<Vec<_>>()
    });
    first(items.collect())
}

// Guards against plans whose cost grows with the number of open items: a flood of jobs on
// 195 instances took more than 600 s of processor time in a day.
#[test]
fn a_plan_examines_a_bounded_number_of_items() {
    // Most jobs are due later, most are due soon, and most are late.
    for interval_ms in [100, 9, 1] {
        let index = index(interval_ms);
        let started = Instant::now();
        let all = first_of_all(&index);
        let all_took = started.elapsed();
        let started = Instant::now();
        let (found, examined) = first_by_scan(&index);
        println!(
            "{interval_ms} ms: {examined} examined, {all_took:?} for all, {:?}",
            started.elapsed()
        );
        assert_eq!(found, all, "interval {interval_ms} ms");
        let known = index.saved_items().count();
        assert!(examined <= known + MAX_EXAMINED_FACTOR * (SLOTS + EXTRA_ITEMS));
    }
}

// Guards against a set of items with output that grows without bound.
#[test]
fn items_with_output_are_listed_until_they_have_a_result_or_the_job_ends() {
    let mut index = index(100);
    let before = index.saved_items().count();
    assert_eq!(before as u64, JOBS / 40);
    let item = index.saved_items().next().expect("some");
    let outcome = Outcome::Abandoned;
    index.apply(Record::Finished { item, outcome });
    let next = index.saved_items().next().expect("some");
    index.apply(Record::Ended { job: next.job });
    assert_eq!(index.saved_items().count(), before - 2);
    let progress = Progress {
        output: PLACE,
        last_event: 90,
        version: None,
    };
    index.apply(Record::Saved {
        item: next,
        progress,
    });
    assert_eq!(index.saved_items().count(), before - 2, "the job has ended");
}

// Guards against items that a plan doesn't find: those of another service of a split route,
// due earlier, were examined in their place.
#[test]
fn the_few_items_of_a_service_are_found_among_many_of_another_one() {
    let index = index(100);
    let jobs: Vec<&Job> = index.open_jobs().collect();
    let known_set = HashSet::new();
    let items = ServiceItems {
        jobs: &jobs,
        known: &[],
        known_set: &known_set,
    };
    // The last jobs to be due have one item each at the service.
    let first_job = JOBS - 5;
    let uses_service =
        |job: &Job, item: ItemRef| job.submission.job.raw() >= first_job && item.index == 0;
    let run_ms = |tokens| rate().estimate_ms(tokens);
    let scan = scan(&items, 1, NOW_MS, uses_service, run_ms, open_item);
    assert_eq!(scan.items.len(), 5);
    assert!(scan.examined <= 10, "{}", scan.examined);
}
