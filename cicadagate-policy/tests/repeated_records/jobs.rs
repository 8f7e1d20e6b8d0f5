//! Records of the jobs and data streams.

use {
    super::{Fold, member},
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        version::jobs::{Data, File, Items, Job, Outcome, Phase, Record, State},
    },
};

const ITEMS: u32 = 3;
const JOB: JobId = JobId::from_raw(1);

pub fn empty_items() -> Items {
    Items::new(JOB, ITEMS)
}

impl Fold for State {
    type Record = Record;

    fn apply(&mut self, offset: Offset, record: &Record) {
        Self::apply(self, offset, record);
    }

    fn skip(&mut self, offset: Offset) {
        Self::skip(self, offset);
    }

    fn is_same(&self, other: &Self) -> bool {
        self == other
    }
}

impl Fold for Items {
    type Record = Data;

    fn apply(&mut self, offset: Offset, record: &Data) {
        Self::apply(self, offset, record);
    }

    fn skip(&mut self, _offset: Offset) {}

    fn is_same(&self, other: &Self) -> bool {
        let is_same_item = |index| {
            let is_same_status = |fence: u64| {
                self.status(index, Offset(fence), false)
                    == other.status(index, Offset(fence), false)
            };
            self.result_offset(index) == other.result_offset(index) && (0..5).all(is_same_status)
        };
        (0..ITEMS).all(is_same_item)
            && self.remaining() == other.remaining()
            && self.failed() == other.failed()
            && self.records() == other.records()
    }
}

/// Returns a record that a process with this state may append, and its kind.
pub fn record(state: &State, kind: u8, object: u8, number: u64) -> Option<(&'static str, Record)> {
    let (job, file) = (
        JobId::from_raw(object.into()),
        FileId::from_raw(object.into()),
    );
    let known_job = state.job(job);
    let open = known_job.filter(|known| known.phase == Phase::Open);
    let new_offset = Offset(1_000 + number);
    match kind % 8 {
        0 if state.file(file).is_none() => Some(("file", Record::File(input(file, number)))),
        1 if known_job.is_none() && state.file(file).is_some() => {
            Some(("accept", Record::Accept(accepted(job, file, number))))
        }
        2 => open.map(|open| {
            let claim = Record::Claim {
                job,
                claimant: member(object),
                incarnation: number,
                after: open.claim.map_or(Offset::NONE, |claim| claim.fence),
            };
            ("claim", claim)
        }),
        3 => open.map(|_| ("cancel", Record::Cancel(job))),
        4 => open.and_then(|open| open.claim).map(|claim| {
            let close = Record::Close {
                job,
                fence: claim.fence,
                completed: ITEMS,
                failed: 0,
                results: vec![new_offset],
            };
            ("close", close)
        }),
        5 => Some(("snapshot", Record::Carry(Box::new(state.clone())))),
        6 => state.file(file).map(|known| {
            let moved = Record::MoveFile {
                file,
                from: known.chunks[0],
                chunks: vec![new_offset],
            };
            ("move of a file", moved)
        }),
        7 => match &known_job?.phase {
            Phase::Closed { results, .. } => {
                let moved = Record::MoveResults {
                    job,
                    from: results[0],
                    results: vec![new_offset],
                };
                Some(("move of results", moved))
            }
            _ => None,
        },
        _ => None,
    }
}

fn input(id: FileId, number: u64) -> File {
    File {
        id,
        customer: "c".to_owned(),
        name: "in".to_owned(),
        bytes: 1,
        lines: ITEMS,
        chunks: vec![Offset(1_000 + number)],
        created: number,
    }
}

fn accepted(id: JobId, file: FileId, number: u64) -> Job {
    Job {
        id,
        customer: "c".to_owned(),
        file,
        endpoint: "/v1/x".to_owned(),
        items: ITEMS,
        data_from: Offset(number),
        created: number,
        keep_until: number + 1,
    }
}

/// Returns a record of the data stream, and its kind.
pub fn data(kind: u8, item: u8, fence: u8) -> (&'static str, Data) {
    let (job, item) = (JOB, u32::from(item));
    let fence = Offset(u64::from(fence % 4) + 1);
    let outcome = match kind % 5 {
        0 => {
            let items = (0..=item).collect();
            return ("intent of items", Data::Intent { job, fence, items });
        }
        1 => {
            let chunk = Data::Chunk {
                file: FileId::from_raw(1),
                seq: item,
                body: Vec::new(),
            };
            return ("chunk", chunk);
        }
        2 => Outcome::Completed(vec![kind]),
        3 => Outcome::Failed("failed".to_owned()),
        _ => Outcome::Unknown,
    };
    let results = vec![(item, outcome)];
    let results = Data::Results {
        job,
        fence,
        results,
    };
    ("results", results)
}
