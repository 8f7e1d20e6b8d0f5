//! Operations and faults.

use {
    super::{JOBS, WORKERS},
    quickcheck::{Arbitrary, Gen},
};

/// An operation or fault; the numbers are the worker and the job unless said
/// otherwise.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Advances time, in milliseconds.
    Advance(u16),
    ReadLogs(usize),
    CreateJob {
        worker: usize,
        job: usize,
        /// Whether the reply to the append is lost.
        lose_reply: bool,
    },
    AcknowledgeJob(usize, usize),
    CancelJob(usize, usize),
    ClaimJob(usize, usize),
    WriteIntents(usize, usize),
    StartItems(usize, usize),
    /// Finishes a running item, chosen by index.
    FinishItem(usize),
    WriteResults {
        worker: usize,
        job: usize,
        /// Whether the reply to the append is lost.
        lose_reply: bool,
    },
    CloseJob(usize, usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    LogDown,
    LogUp,
    AppendSnapshot(usize),
    ExpireLog,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        let job = usize::arbitrary(g) % JOBS;
        match u32::arbitrary(g) % 1_000 {
            0..=39 => Self::Advance(*g.choose(&[1, 100, 1_000, 5_000]).unwrap_or(&1)),
            40..=239 => Self::ReadLogs(worker),
            240..=289 => Self::CreateJob {
                worker,
                job,
                lose_reply: bool::arbitrary(g),
            },
            290..=329 => Self::AcknowledgeJob(worker, job),
            330..=333 => Self::CancelJob(worker, job),
            334..=369 => Self::ClaimJob(worker, job),
            370..=449 => Self::WriteIntents(worker, job),
            450..=599 => Self::StartItems(worker, job),
            600..=749 => Self::FinishItem(usize::arbitrary(g)),
            750..=829 => Self::WriteResults {
                worker,
                job,
                lose_reply: bool::arbitrary(g),
            },
            830..=879 => Self::CloseJob(worker, job),
            880..=889 => Self::Kill(worker),
            890..=919 => Self::Restart(worker),
            920..=929 => Self::Pause(worker),
            930..=959 => Self::Resume(worker),
            960..=964 => Self::LogDown,
            965..=984 => Self::LogUp,
            985..=994 => Self::AppendSnapshot(worker),
            _ => Self::ExpireLog,
        }
    }
}
