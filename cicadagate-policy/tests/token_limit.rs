//! The limit of waiting tokens under a flood of jobs, compared with an oracle
//! that counts from the whole log.
//!
//! Pattern: several instances submit jobs of the same customers at the same
//! time, the store appends records twice or late, jobs finish and are
//! cancelled, and the limit changes while jobs wait.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{CustomerId, JobId},
        version::{
            job_index::{
                ContentLocation, ItemEntry, ItemRef, JobIndex, Outcome, Record, Submission,
                SubmissionState,
            },
            token_limit::{MAX_RETRY_MS, MIN_RETRY_MS, TokenCount, check},
        },
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::{BTreeMap, BTreeSet},
};

const JOBS: u64 = 8;
const ITEMS: u32 = 3;
const CUSTOMERS: [&str; 2] = ["huka", "pule"];
const FUZZ_CASES: u64 = 2_000;
/// Time for which jobs of the oracle may wait, in milliseconds.
const GIVE_UP_MS: u64 = 300;

const PLACE: ContentLocation = ContentLocation {
    part: 0,
    offset: 0,
    records: 1,
    bytes: 1,
};

fn submission(job: u64, tokens: u32, accepted_ms: u64) -> Submission {
    let customer = CUSTOMERS[usize::from(job >= JOBS / 2)];
    let items = (0..ITEMS).map(|index| ItemEntry {
        id: format!("item {index}"),
        tokens,
        content: PLACE,
    });
    Submission {
        job: JobId::from_raw(job),
        customer: CustomerId::of(customer),
        customer_name: customer.to_owned(),
        route: "drafts".to_owned(),
        host: "a.example".to_owned(),
        config_version: 1,
        accepted_ms,
        due_ms: accepted_ms + 100,
        give_up_ms: accepted_ms + GIVE_UP_MS,
        items: items.collect(),
    }
}

/// A log in which the records of submissions may be repeated.
#[derive(Clone, Debug)]
struct Log(Vec<Record>);

impl Arbitrary for Log {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = u64::arbitrary(g) % 80;
        let mut records: Vec<Record> = Vec::new();
        for at in 0..len {
            let job = u64::arbitrary(g) % JOBS;
            let item = ItemRef {
                job: JobId::from_raw(job),
                index: u32::arbitrary(g) % ITEMS,
            };
            let is_submission = |record: &&Record| matches!(record, Record::Submitted { .. });
            let submitted: Vec<&Record> = records.iter().filter(is_submission).collect();
            let record = match u8::arbitrary(g) % 10 {
                // The store appends a record again.
                0 | 1 if !submitted.is_empty() => (*g.choose(&submitted).expect("some")).clone(),
                0..=4 => Record::Submitted {
                    submission: submission(job, u32::arbitrary(g) % 30, at * 10),
                    attempt: at,
                    token_limit: *g.choose(&[0, 50, 100, 150]).expect("some"),
                },
                // Written by a build without limits.
                5 => Record::Accepted(submission(job, 10, at * 10)),
                6..=8 => Record::Finished {
                    item,
                    outcome: *g
                        .choose(&[Outcome::Done(PLACE), Outcome::Abandoned])
                        .expect("some"),
                },
                _ => Record::Ended {
                    job: JobId::from_raw(job),
                },
            };
            records.push(record);
        }
        Self(records)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let all = self.0.clone();
        Box::new((0..all.len()).map(move |at| {
            let mut fewer = all.clone();
            fewer.remove(at);
            Self(fewer)
        }))
    }
}

/// The rules, counted anew from everything seen so far.
#[derive(Default)]
struct Oracle {
    accepted: BTreeMap<u64, Submission>,
    refused: BTreeSet<u64>,
    finished: BTreeSet<(u64, u32)>,
    ended: BTreeSet<u64>,
}

impl Oracle {
    fn waiting(&self, customer: CustomerId, now_ms: u64) -> u64 {
        let mut waiting = 0;
        for (job, submission) in &self.accepted {
            for (index, entry) in (0..).zip(&submission.items) {
                let counts = submission.customer == customer
                    && submission.give_up_ms > now_ms
                    && !self.ended.contains(job)
                    && !self.finished.contains(&(*job, index));
                waiting += if counts { u64::from(entry.tokens) } else { 0 };
            }
        }
        waiting
    }

    fn take(&mut self, record: &Record) {
        match record {
            Record::Accepted(submission) => {
                let job = submission.job.raw();
                self.accepted
                    .entry(job)
                    .or_insert_with(|| submission.clone());
            }
            Record::Submitted {
                submission,
                attempt,
                token_limit,
            } => {
                let job = submission.job.raw();
                if self.accepted.contains_key(&job) || self.refused.contains(attempt) {
                    return;
                }
                let waiting = self.waiting(submission.customer, submission.accepted_ms);
                let tokens: u64 = submission.items.iter().map(|i| u64::from(i.tokens)).sum();
                if *token_limit == 0 || waiting + tokens <= *token_limit {
                    self.accepted.insert(job, submission.clone());
                } else {
                    self.refused.insert(*attempt);
                }
            }
            Record::Finished { item, .. } => {
                let job = item.job.raw();
                if self.accepted.contains_key(&job) && !self.ended.contains(&job) {
                    self.finished.insert((job, item.index));
                }
            }
            Record::Ended { job } if self.accepted.contains_key(&job.raw()) => {
                self.ended.insert(job.raw());
            }
            Record::Ended { .. }
            | Record::Saved { .. }
            | Record::SavedAtVersion { .. }
            | Record::Failed { .. }
            | Record::FailedRun { .. } => {}
        }
    }
}

fn agrees_with_the_oracle(log: Log) -> bool {
    let mut index = JobIndex::default();
    let mut oracle = Oracle::default();
    for (record, now_ms) in log.0.into_iter().zip((0..).step_by(10)) {
        oracle.take(&record);
        let attempt = match &record {
            Record::Submitted {
                submission,
                attempt,
                ..
            } => Some((submission.job, *attempt)),
            _ => None,
        };
        index.apply(record);
        if let Some((job, attempt)) = attempt {
            let expected = if oracle.accepted.contains_key(&job.raw()) {
                SubmissionState::Accepted
            } else {
                SubmissionState::Refused
            };
            if index.submission_state(job, attempt) != expected {
                return false;
            }
        }
        let counts_agree = CUSTOMERS.iter().all(|name| {
            let customer = CustomerId::of(name);
            let count = index.token_count(customer, "drafts", now_ms);
            count.waiting == oracle.waiting(customer, now_ms)
        });
        if !counts_agree {
            return false;
        }
    }
    true
}

#[test]
fn index_accepts_what_the_oracle_accepts() {
    QuickCheck::new()
        .tests(FUZZ_CASES)
        .quickcheck(agrees_with_the_oracle as fn(Log) -> bool);
}

#[test]
fn oracle_detects_planted_faults() {
    for fault in [Fault::IgnoreTokenLimit, Fault::ForgetRefusedAttempt] {
        inject(Some(fault));
        let mut g = Gen::new(100);
        let detected = (0..FUZZ_CASES).any(|_| !agrees_with_the_oracle(Log::arbitrary(&mut g)));
        inject(None);
        assert!(detected, "{fault:?} is not detected");
    }
}

#[test]
fn a_process_that_reads_the_log_later_comes_to_the_same_verdicts() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes its inputs by value.
    fn same(log: Log) -> bool {
        let mut first = JobIndex::default();
        let mut later = JobIndex::default();
        for record in &log.0 {
            first.apply(record.clone());
        }
        for record in &log.0 {
            let bytes = postcard::to_stdvec(record).expect("encodes");
            later.apply(postcard::from_bytes(&bytes).expect("decodes"));
        }
        (0..JOBS).all(|job| {
            let job = JobId::from_raw(job);
            first.job(job).is_some() == later.job(job).is_some()
        })
    }
    QuickCheck::new().quickcheck(same as fn(Log) -> bool);
}

#[test]
fn retry_after_follows_the_rate_of_finished_tokens_or_the_due_time() {
    let count = |finished, elapsed_ms, due_in_ms| TokenCount {
        waiting: 1_000,
        finished,
        elapsed_ms,
        due_in_ms,
    };
    let cases = [
        // 100 tokens too many, 50 a second.
        (count(500, 10_000, 9_000), 100, 2_000),
        // Nothing was finished yet.
        (count(0, 10_000, 9_000), 100, 9_000),
        (count(1_000_000, 10, 9_000), 100, MIN_RETRY_MS),
        (count(1, 20_000, 9_000), 1_000, MAX_RETRY_MS),
    ];
    for (count, tokens, expected) in cases {
        let over = check(count, tokens, 1_000).expect_err("does not fit");
        assert_eq!((over.waiting, over.retry_after_ms), (1_000, expected));
    }
    assert_eq!(check(count(0, 0, 0), u64::MAX, 0), Ok(()));
}
