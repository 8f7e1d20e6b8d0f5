//! The index of jobs, compared with an oracle under repeated and late records.

use {
    cicadagate_policy::{
        ids::{CustomerId, ItemRunId, JobId, SoftwareVersion},
        version::job_index::{
            ContentLocation, ItemEntry, ItemRef, ItemState, JobIndex, Outcome, Progress, Record,
            Submission,
        },
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::{BTreeMap, BTreeSet},
};

const JOBS: u64 = 4;
const ITEMS: u32 = 3;
const FUZZ_CASES: u64 = 2_000;

fn place(offset: u64) -> ContentLocation {
    ContentLocation {
        part: 0,
        offset,
        records: 1,
        bytes: 10,
    }
}

fn accepted(job: u64, due_ms: u64) -> Record {
    Record::Accepted(submission(job, due_ms))
}

fn submission(job: u64, due_ms: u64) -> Submission {
    let items = (0..ITEMS).map(|index| ItemEntry {
        id: format!("item {index}"),
        tokens: 10,
        content: place(u64::from(index)),
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
        give_up_ms: 60_000,
        items: items.collect(),
    }
}

fn item(job: u64, index: u32) -> ItemRef {
    ItemRef {
        job: JobId::from_raw(job),
        index,
    }
}

#[derive(Clone, Debug)]
struct Log(Vec<Record>);

impl Arbitrary for Log {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = usize::arbitrary(g) % 60;
        let records = (0..len).map(|at| {
            let job = u64::arbitrary(g) % JOBS;
            // The index may be one past the job's last item.
            let item = item(job, u32::arbitrary(g) % (ITEMS + 1));
            match u8::arbitrary(g) % 10 {
                0..=2 => accepted(job, 10_000 + job),
                3..=5 => Record::Finished {
                    item,
                    outcome: if bool::arbitrary(g) {
                        Outcome::Done(place(at as u64))
                    } else {
                        Outcome::Abandoned
                    },
                },
                6 | 7 => Record::Saved {
                    item,
                    progress: Progress {
                        output: place(at as u64),
                        last_event: u64::arbitrary(g) % 5,
                        version: None,
                    },
                },
                8 => Record::FailedRun {
                    item,
                    run: ItemRunId::from_raw(u64::arbitrary(g) % 4),
                },
                _ => Record::Ended {
                    job: JobId::from_raw(job),
                },
            }
        });
        Self(records.collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink_records().map(Self))
    }
}

trait ShrinkRecords {
    fn shrink_records(&self) -> Box<dyn Iterator<Item = Vec<Record>>>;
}

impl ShrinkRecords for Vec<Record> {
    fn shrink_records(&self) -> Box<dyn Iterator<Item = Vec<Record>>> {
        let all = self.clone();
        Box::new((0..all.len()).map(move |at| {
            let mut fewer = all.clone();
            fewer.remove(at);
            fewer
        }))
    }
}

/// The guarantees, written as direct rules over the records.
#[derive(Default)]
struct Oracle {
    accepted: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    listed: BTreeMap<u64, Vec<(u32, Outcome)>>,
}

impl Oracle {
    fn take(&mut self, record: &Record) {
        match record {
            Record::Accepted(submission) => {
                self.accepted.insert(submission.job.raw());
            }
            Record::Finished { item, outcome } => {
                let job = item.job.raw();
                let listed = self.listed.entry(job).or_default();
                let is_first = listed.iter().all(|(index, _)| *index != item.index);
                let is_open = self.accepted.contains(&job) && !self.ended.contains(&job);
                if is_first && is_open && item.index < ITEMS {
                    listed.push((item.index, *outcome));
                }
            }
            Record::Ended { job } if self.accepted.contains(&job.raw()) => {
                self.ended.insert(job.raw());
            }
            Record::Saved { .. }
            | Record::SavedAtVersion { .. }
            | Record::Failed { .. }
            | Record::FailedRun { .. }
            | Record::Ended { .. }
            | Record::Submitted { .. } => {}
        }
    }
}

fn listed(index: &JobIndex, job: u64) -> Vec<(u32, Outcome)> {
    let Some(job) = index.job(JobId::from_raw(job)) else {
        return Vec::new();
    };
    let outcome = |index: u32| match job.state(index) {
        Some(ItemState::Finished(outcome)) => outcome,
        other => panic!("listed item {index} is {other:?}"),
    };
    job.finished_items()
        .iter()
        .map(|i| (*i, outcome(*i)))
        .collect()
}

fn agrees_with_the_oracle(log: Log) -> bool {
    let mut index = JobIndex::default();
    let mut oracle = Oracle::default();
    for record in log.0 {
        let before: Vec<_> = (0..JOBS).map(|job| listed(&index, job)).collect();
        oracle.take(&record);
        index.apply(record);
        for job in 0..JOBS {
            let after = listed(&index, job);
            let kept = after.starts_with(&before[usize::try_from(job).unwrap_or(0)]);
            let expected = oracle.listed.get(&job).cloned().unwrap_or_default();
            let is_known = index.job(JobId::from_raw(job)).is_some();
            if !kept || after != expected || is_known != oracle.accepted.contains(&job) {
                return false;
            }
        }
    }
    let open: BTreeSet<ItemRef> = index.open_items().collect();
    (0..JOBS).all(|job| {
        (0..ITEMS).all(|at| {
            let is_listed = oracle
                .listed
                .get(&job)
                .is_some_and(|listed| listed.iter().any(|(index, _)| *index == at));
            let expected =
                oracle.accepted.contains(&job) && !oracle.ended.contains(&job) && !is_listed;
            open.contains(&item(job, at)) == expected
                && index.is_item_open(item(job, at)) == expected
        })
    })
}

#[test]
fn positions_and_results_never_change() {
    QuickCheck::new()
        .tests(FUZZ_CASES)
        .quickcheck(agrees_with_the_oracle as fn(Log) -> bool);
}

#[test]
fn open_items_are_ordered_by_due_time() {
    let mut index = JobIndex::default();
    for (job, due_ms) in [(1, 9_000), (2, 3_000), (3, 6_000)] {
        index.apply(accepted(job, due_ms));
    }
    let order: Vec<u64> = index.open_items().map(|item| item.job.raw()).collect();
    assert_eq!(order, [2, 2, 2, 3, 3, 3, 1, 1, 1]);
}

#[test]
fn the_saved_output_with_the_last_event_is_kept() {
    let mut index = JobIndex::default();
    index.apply(accepted(1, 9_000));
    for (offset, last_event) in [(5, 20), (6, 10)] {
        index.apply(Record::Saved {
            item: item(1, 0),
            progress: Progress {
                output: place(offset),
                last_event,
                version: None,
            },
        });
    }
    let job = index.job(JobId::from_raw(1)).expect("accepted");
    let Some(ItemState::Open(Some(progress))) = job.state(0) else {
        panic!("an open item with an output");
    };
    assert_eq!((progress.last_event, progress.output.offset), (20, 5));
}

// Guards against an item that starts over at another software version each time, since the
// longer output of a version that is gone hides the one that can be continued.
#[test]
fn an_output_of_another_software_version_replaces_a_longer_one() {
    let mut index = JobIndex::default();
    index.apply(accepted(1, 9_000));
    let (old, new) = (SoftwareVersion::of("v1"), SoftwareVersion::of("v2"));
    let saved = [(old, 20), (old, 10), (new, 5), (new, 4), (new, 7)];
    let expected = [(old, 20), (old, 20), (new, 5), (new, 5), (new, 7)];
    for ((version, last_event), expected) in saved.into_iter().zip(expected) {
        index.apply(Record::SavedAtVersion {
            item: item(1, 0),
            progress: Progress {
                output: place(last_event),
                last_event,
                version: None,
            },
            version,
        });
        let job = index.job(JobId::from_raw(1)).expect("accepted");
        let Some(ItemState::Open(Some(progress))) = job.state(0) else {
            panic!("an open item with an output");
        };
        assert_eq!(
            (progress.version, progress.last_event),
            (Some(expected.0), expected.1)
        );
    }
}

// Guards against records of earlier builds, without a software version, that can't be read.
#[test]
fn an_output_saved_by_an_earlier_build_is_read_without_a_version() {
    // Variant; job and position of the item; part, offset, records and bytes of the
    // output; last event.
    let encoded = [2, 1, 0, 0, 5, 1, 10, 20];
    let record: Record = postcard::from_bytes(&encoded).expect("a record");
    let mut index = JobIndex::default();
    index.apply(accepted(1, 9_000));
    assert!(index.apply(record));
    let job = index.job(JobId::from_raw(1)).expect("accepted");
    let Some(ItemState::Open(Some(progress))) = job.state(0) else {
        panic!("an open item with an output");
    };
    assert_eq!((progress.version, progress.last_event), (None, 20));
}

fn failed_run(run: u64) -> Record {
    Record::FailedRun {
        item: item(1, 2),
        run: ItemRunId::from_raw(run),
    }
}

// Guards against items that are given up early since a record of a failed run is in the log
// twice, the second copy maybe behind newer records.
#[test]
fn each_failed_run_counts_once() {
    let mut index = JobIndex::default();
    index.apply(accepted(1, 9_000));
    let mut counts = Vec::new();
    for run in [7, 7, 8, 7, 9, 8] {
        index.apply(failed_run(run));
        let job = index.job(JobId::from_raw(1)).expect("accepted");
        counts.push((job.failures(2), job.failures(1)));
    }
    assert_eq!(counts, [(1, 0), (1, 0), (2, 0), (2, 0), (3, 0), (3, 0)]);
}

// Guards against a run that counts twice at the process that has seen it fail, once by its
// own knowledge and once by the record.
#[test]
fn failed_runs_seen_by_a_process_and_recorded_count_once() {
    let mut index = JobIndex::default();
    index.apply(accepted(1, 9_000));
    index.apply(failed_run(7));
    index.apply(failed_run(8));
    let job = index.job(JobId::from_raw(1)).expect("accepted");
    let own = [7, 9].map(ItemRunId::from_raw);
    assert_eq!(job.failures_with(2, &own), 3);
    assert_eq!(job.failures_with(1, &own), 2);
}

// Guards against items that are given up early since an earlier build, which runs beside this
// one during an upgrade, recorded a failed run twice.
#[test]
fn failed_runs_recorded_by_an_earlier_build_are_not_overcounted() {
    // For n runs the log has between n and 2n records.
    for (records, certain) in [(1, 1), (2, 1), (3, 2), (4, 2), (6, 3)] {
        let mut index = JobIndex::default();
        index.apply(accepted(1, 9_000));
        for _ in 0..records {
            // Variant; job and position of the item.
            let record: Record = postcard::from_bytes(&[3, 1, 2]).expect("a record");
            index.apply(record);
        }
        index.apply(failed_run(7));
        let job = index.job(JobId::from_raw(1)).expect("accepted");
        assert_eq!(job.failures(2), certain + 1, "{records} records");
    }
}
