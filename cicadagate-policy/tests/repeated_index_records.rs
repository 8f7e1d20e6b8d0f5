//! Records of the job index that stand in the log more than once, the copies right after
//! their original or behind newer records.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{CustomerId, ItemRunId, JobId, SoftwareVersion},
        version::job_index::{
            ContentLocation, ItemEntry, ItemRef, ItemState, JobIndex, Outcome, Progress, Record,
            Submission,
        },
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const JOBS: u64 = 4;
const ITEMS: u32 = 3;
const FUZZ_CASES: u64 = 2_000;

/// Returns a location; each content has its own.
fn place(offset: u64) -> ContentLocation {
    ContentLocation {
        part: 0,
        offset,
        records: 1,
        bytes: 10,
    }
}

fn submission(job: u64, accepted_ms: u64) -> Submission {
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
        accepted_ms,
        due_ms: accepted_ms + 1_000,
        give_up_ms: accepted_ms + 60_000,
        items: items.collect(),
    }
}

fn saved(item: ItemRef, version: &str, last_event: u64, offset: u64) -> Record {
    Record::SavedAtVersion {
        item,
        progress: Progress {
            output: place(offset),
            last_event,
            version: None,
        },
        version: SoftwareVersion::of(version),
    }
}

/// Returns a record about an item of an accepted job.
fn item_record(g: &mut Gen, item: ItemRef, at: u64) -> Record {
    match u8::arbitrary(g) % 8 {
        0 | 1 => Record::Finished {
            item,
            outcome: *g
                .choose(&[Outcome::Done(place(at)), Outcome::Abandoned])
                .expect("some"),
        },
        2..=4 => {
            let version = *g.choose(&["v1", "v2"]).expect("some");
            saved(item, version, u64::arbitrary(g) % 5, at)
        }
        5 => Record::Saved {
            item,
            progress: Progress {
                output: place(at),
                last_event: u64::arbitrary(g) % 5,
                version: None,
            },
        },
        6 => Record::FailedRun {
            item,
            run: ItemRunId::from_raw(at),
        },
        _ => Record::Ended { job: item.job },
    }
}

/// A log, and at which records which earlier ones are repeated. Records about a job follow its
/// acceptance, since processes write them only after they have read it.
#[derive(Clone, Debug)]
struct RepeatedLog {
    records: Vec<Record>,
    /// Positions of an original and of the record behind which its copy stands.
    copies: Vec<(usize, usize)>,
}

impl Arbitrary for RepeatedLog {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = u64::arbitrary(g) % 60;
        let mut index = JobIndex::default();
        let mut records: Vec<Record> = Vec::new();
        for at in 0..len {
            let job = u64::arbitrary(g) % JOBS;
            let item = ItemRef {
                job: JobId::from_raw(job),
                index: u32::arbitrary(g) % ITEMS,
            };
            let is_about_item = index.job(item.job).is_some() && u8::arbitrary(g) % 5 > 0;
            let record = match u8::arbitrary(g) % 3 {
                _ if is_about_item => item_record(g, item, at),
                0 => Record::Accepted(submission(job, 1_000 + at)),
                _ => Record::Submitted {
                    submission: submission(job, 1_000 + at),
                    attempt: at,
                    token_limit: *g.choose(&[30, 60, 90]).expect("some"),
                },
            };
            index.apply(record.clone());
            records.push(record);
        }
        let mut copies = Vec::new();
        for original in 0..records.len() {
            while u8::arbitrary(g) % 2 == 0 {
                let distance = usize::arbitrary(g) % (records.len() - original);
                copies.push((original, original + distance));
            }
        }
        Self { records, copies }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let all = self.clone();
        Box::new((0..all.copies.len()).map(move |at| {
            let mut fewer = all.clone();
            fewer.copies.remove(at);
            fewer
        }))
    }
}

/// Returns whether no copy changes anything in the index: jobs, results and their positions,
/// partial outputs, failures, token counts and refused attempts.
#[allow(clippy::needless_pass_by_value)] // quickcheck passes its inputs by value.
fn copies_change_nothing(log: RepeatedLog) -> bool {
    let mut index = JobIndex::default();
    for (at, record) in log.records.iter().enumerate() {
        index.apply(record.clone());
        let before = format!("{index:?}");
        for (original, _) in log.copies.iter().filter(|(_, behind)| *behind == at) {
            index.apply(log.records[*original].clone());
        }
        if format!("{index:?}") != before {
            return false;
        }
    }
    true
}

// Guards against results, refusals, counts and partial outputs that differ since an append was
// carried out twice, or once more seconds later.
#[test]
fn copies_of_records_change_nothing() {
    QuickCheck::new()
        .tests(FUZZ_CASES)
        .quickcheck(copies_change_nothing as fn(RepeatedLog) -> bool);
}

#[test]
fn a_planted_fault_is_detected() {
    inject(Some(Fault::ForgetRefusedAttempt));
    let mut g = Gen::new(100);
    let detected = (0..FUZZ_CASES).any(|_| !copies_change_nothing(RepeatedLog::arbitrary(&mut g)));
    inject(None);
    assert!(detected);
}

// Guards against items that start over since a late copy of an output, of a software version
// that is gone, replaces the output that can be continued.
#[test]
fn a_late_copy_of_an_output_of_another_version_does_not_return() {
    let item = ItemRef {
        job: JobId::from_raw(1),
        index: 0,
    };
    let old = [saved(item, "v1", 20, 1), saved(item, "v1", 10, 2)];
    for copy in &old {
        let mut index = JobIndex::default();
        index.apply(Record::Accepted(submission(1, 1_000)));
        for record in old.iter().chain(&[saved(item, "v2", 5, 3)]) {
            index.apply(record.clone());
        }
        assert!(!index.apply(copy.clone()));
        let job = index.job(item.job).expect("accepted");
        let Some(ItemState::Open(Some(progress))) = job.state(0) else {
            panic!("an open item with an output");
        };
        assert_eq!(progress.version, Some(SoftwareVersion::of("v2")));
        // A version that is installed again has new outputs.
        assert!(index.apply(saved(item, "v1", 4, 4)));
    }
}
