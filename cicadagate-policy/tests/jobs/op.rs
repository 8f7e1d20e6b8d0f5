//! Operations and faults.

use {
    super::{JOBS, WORKERS},
    quickcheck::{Arbitrary, Gen},
};

#[derive(Clone, Copy, Debug)]
pub enum Op {
    Advance(u16),
    Read(usize),
    Create {
        worker: usize,
        job: usize,
        lost: bool,
    },
    Acknowledge(usize, usize),
    Cancel(usize, usize),
    Claim(usize, usize),
    Intend(usize, usize),
    Begin(usize, usize),
    End(usize),
    Write {
        worker: usize,
        job: usize,
        lost: bool,
    },
    Close(usize, usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    LogDown,
    LogUp,
    Carry(usize),
    Expire,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        let job = usize::arbitrary(g) % JOBS;
        match u32::arbitrary(g) % 1_000 {
            0..=39 => Self::Advance(*g.choose(&[1, 100, 1_000, 5_000]).unwrap_or(&1)),
            40..=239 => Self::Read(worker),
            240..=289 => Self::Create {
                worker,
                job,
                lost: bool::arbitrary(g),
            },
            290..=329 => Self::Acknowledge(worker, job),
            330..=333 => Self::Cancel(worker, job),
            334..=369 => Self::Claim(worker, job),
            370..=449 => Self::Intend(worker, job),
            450..=599 => Self::Begin(worker, job),
            600..=749 => Self::End(usize::arbitrary(g)),
            750..=829 => Self::Write {
                worker,
                job,
                lost: bool::arbitrary(g),
            },
            830..=879 => Self::Close(worker, job),
            880..=889 => Self::Kill(worker),
            890..=919 => Self::Restart(worker),
            920..=929 => Self::Pause(worker),
            930..=959 => Self::Resume(worker),
            960..=964 => Self::LogDown,
            965..=984 => Self::LogUp,
            985..=994 => Self::Carry(worker),
            _ => Self::Expire,
        }
    }
}
