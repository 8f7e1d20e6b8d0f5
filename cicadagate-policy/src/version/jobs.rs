/*!
The folds of the batch streams.

# Problem

A job must be accepted once, however often its client resends it, be worked
on by one claimant at a time, survive any claimant, and give each item one
result that stays readable.

# Choice

Two kinds of streams. The *jobs* stream carries one small record per event of
a job and is folded by every batch process ([`State`]). The *data* streams
carry file chunks, intents and results in large records and are read only by
whoever works on a job or serves its results ([`Items`]).

* A job is accepted by its record in the jobs stream; a second record with the
  same id is the same job.
* A claim names the claim that it follows (compare-and-set). Its offset is the
  fencing number.
* The first result of an item in log order is its result, whoever wrote it, so
  a claimant that was paused past its lease can do no harm but extra work.
* Before an item that can't be repeated is run, an intent is written. The
  first intent of an item in log order may run it; an intent without a result
  whose claimant is gone becomes "outcome unknown".

# Cost

Work done twice after a pause is thrown away; it is bounded by what one
claimant has in flight.
*/

use {
    crate::{
        ids::{FileId, JobId, MemberId, Offset},
        planted::{Fault, is_planted},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Most items of one job.
pub const MAX_ITEMS: u32 = 60_000;

/// A file whose chunks are all in its data stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct File {
    /// Id, derived from customer and content or chosen by the client.
    pub id: FileId,
    /// Customer that owns it.
    pub customer: String,
    /// Name that the client gave.
    pub name: String,
    /// Length in bytes.
    pub bytes: u64,
    /// Number of lines.
    pub lines: u32,
    /// Offsets of the chunks in the data stream, in order.
    pub chunks: Vec<Offset>,
    /// Seconds since the epoch.
    pub created: u64,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// Id, derived from customer and the client's idempotency key or file.
    pub id: JobId,
    /// Customer that owns it.
    pub customer: String,
    /// Input file.
    pub file: FileId,
    /// Path that each item is sent to.
    pub endpoint: String,
    /// Number of items.
    pub items: u32,
    /// Offset in the data stream after which results may be.
    pub data_from: Offset,
    /// Seconds since the epoch.
    pub created: u64,
    /// Results stay readable until then; seconds since the epoch.
    pub keep_until: u64,
}

/// A record of the jobs stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// A file is whole.
    File(File),
    /// A job is accepted.
    Accept(Job),
    /// A member takes a job over.
    Claim {
        /// Job.
        job: JobId,
        /// Member that claims it.
        claimant: MemberId,
        /// Incarnation of the member.
        incarnation: u64,
        /// Offset of the claim that this one follows.
        after: Offset,
    },
    /// A job is cancelled, for good.
    Cancel(JobId),
    /// Every item has a result.
    Close {
        /// Job.
        job: JobId,
        /// Offset of the closer's claim.
        fence: Offset,
        /// Items that completed.
        completed: u32,
        /// Items that failed or whose outcome is unknown.
        failed: u32,
        /// Offsets of the records that hold the results, in order.
        results: Vec<Offset>,
    },
    /// State carried forward before its records expire.
    Carry(Box<State>),
    /// A file's chunks were written again before they expire.
    MoveFile {
        /// File.
        file: FileId,
        /// Offset of the first chunk so far.
        from: Offset,
        /// Offsets of the chunks now.
        chunks: Vec<Offset>,
    },
    /// A closed job's results were written again before they expire.
    MoveResults {
        /// Job.
        job: JobId,
        /// Offset of the first record of results so far.
        from: Offset,
        /// Offsets of the records of results now.
        results: Vec<Offset>,
    },
}

impl Record {
    /// Returns the offset that a carried state covers.
    #[must_use]
    pub const fn covers(&self) -> Option<Offset> {
        match self {
            Self::Carry(state) => Some(state.version()),
            _ => None,
        }
    }
}

/// A claim on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Offset of the claim; the fencing number.
    pub fence: Offset,
    /// Member that holds it.
    pub claimant: MemberId,
    /// Incarnation of the member.
    pub incarnation: u64,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// Items remain.
    Open,
    /// Cancelled; nothing more is sent.
    Cancelled,
    /// Every item has a result.
    Closed {
        /// Items that completed.
        completed: u32,
        /// Items that failed or whose outcome is unknown.
        failed: u32,
        /// Offsets of the records that hold the results.
        results: Vec<Offset>,
    },
}

/// A job as folded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    pub job: Job,
    /// Its last valid claim.
    pub claim: Option<Claim>,
    /// Where it stands.
    pub phase: Phase,
}

/// The state after folding the jobs stream up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    version: Offset,
    files: BTreeMap<FileId, File>,
    jobs: BTreeMap<JobId, JobState>,
    /// Jobs whose phase is open: few among all that are kept.
    open: BTreeSet<JobId>,
}

impl State {
    /// Returns the offset of the last folded record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Folds the record at `offset`; tells whether it took effect.
    pub fn fold(&mut self, offset: Offset, record: &Record) -> bool {
        if offset <= self.version {
            return false;
        }
        if let Record::Carry(state) = record {
            return self.fold_carry(offset, state);
        }
        self.version = offset;
        match record {
            Record::File(file) => insert_first(&mut self.files, file.id, file.clone()),
            Record::Accept(job) => self.fold_accept(job),
            Record::Claim {
                job,
                claimant,
                incarnation,
                after,
            } => {
                let claim = Claim {
                    fence: offset,
                    claimant: *claimant,
                    incarnation: *incarnation,
                };
                self.fold_claim(*job, claim, *after)
            }
            Record::Cancel(job) => self.fold_cancel(*job),
            Record::Close {
                job,
                fence,
                completed,
                failed,
                results,
            } => {
                let phase = Phase::Closed {
                    completed: *completed,
                    failed: *failed,
                    results: results.clone(),
                };
                self.fold_close(*job, *fence, phase)
            }
            Record::Carry(_) => false,
            Record::MoveFile { file, from, chunks } => self.fold_move_file(*file, *from, chunks),
            Record::MoveResults { job, from, results } => {
                self.fold_move_results(*job, *from, results)
            }
        }
    }

    /// The first of two movers wins; the other one's copies are garbage.
    fn fold_move_file(&mut self, file: FileId, from: Offset, chunks: &[Offset]) -> bool {
        let Some(file) = self.files.get_mut(&file) else {
            return false;
        };
        let valid = file.chunks.first() == Some(&from) && file.chunks.len() == chunks.len();
        if valid {
            file.chunks = chunks.to_vec();
        }
        valid
    }

    fn fold_move_results(&mut self, job: JobId, from: Offset, moved: &[Offset]) -> bool {
        let Some(Phase::Closed { results, .. }) =
            self.jobs.get_mut(&job).map(|state| &mut state.phase)
        else {
            return false;
        };
        let valid = results.first() == Some(&from) && results.len() == moved.len();
        if valid {
            *results = moved.to_vec();
        }
        valid
    }

    /// Marks an offset as read that held no readable record.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    fn fold_carry(&mut self, offset: Offset, state: &Self) -> bool {
        if state.version < self.version {
            self.version = offset;
            return false;
        }
        *self = state.clone();
        if self.version.next() == offset {
            self.version = offset;
        }
        true
    }

    fn fold_accept(&mut self, job: &Job) -> bool {
        if !self.files.contains_key(&job.file) || job.items > MAX_ITEMS {
            return false;
        }
        let state = JobState {
            job: job.clone(),
            claim: None,
            phase: Phase::Open,
        };
        let is_new = insert_first(&mut self.jobs, job.id, state);
        if is_new {
            self.open.insert(job.id);
        }
        is_new
    }

    fn fold_claim(&mut self, job: JobId, claim: Claim, after: Offset) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let current = state.claim.map_or(Offset::NONE, |claim| claim.fence);
        let valid = state.phase == Phase::Open && current == after;
        if valid {
            state.claim = Some(claim);
        }
        valid
    }

    fn fold_cancel(&mut self, job: JobId) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let valid = state.phase == Phase::Open;
        if valid {
            state.phase = Phase::Cancelled;
            self.open.remove(&job);
        }
        valid
    }

    fn fold_close(&mut self, job: JobId, fence: Offset, phase: Phase) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let held = state.claim.is_some_and(|claim| claim.fence == fence);
        let valid = state.phase == Phase::Open && held;
        if valid {
            state.phase = phase;
            self.open.remove(&job);
        }
        valid
    }

    /// Drops jobs once their keep-until has passed, and files that no job
    /// names and that are older than `file_secs`.
    pub fn expire(&mut self, now_epoch_secs: u64, file_secs: u64) {
        self.jobs
            .retain(|_, state| state.job.keep_until > now_epoch_secs);
        let jobs = &self.jobs;
        self.open.retain(|id| jobs.contains_key(id));
        let named: BTreeSet<FileId> = self.jobs.values().map(|state| state.job.file).collect();
        self.files
            .retain(|id, file| named.contains(id) || file.created + file_secs > now_epoch_secs);
    }

    /// Iterates over the files.
    pub fn files(&self) -> impl Iterator<Item = &File> {
        self.files.values()
    }

    /// Finds a job.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&JobState> {
        self.jobs.get(&id)
    }

    /// Iterates over the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Iterates over the open jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Finds a file.
    #[must_use]
    pub fn file(&self, id: FileId) -> Option<&File> {
        self.files.get(&id)
    }
}

fn insert_first<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: V) -> bool {
    if map.contains_key(&key) {
        return false;
    }
    map.insert(key, value);
    true
}

/// How one item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// Answered; the body of the answer.
    Completed(Vec<u8>),
    /// Given up after bounded tries; the reason.
    Failed(String),
    /// Ran at most once, but whether it did is not known.
    Unknown,
}

/// A record of a data stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Data {
    /// Part of a file.
    Chunk {
        /// File.
        file: FileId,
        /// Position among the file's chunks.
        seq: u32,
        /// Bytes.
        body: Vec<u8>,
    },
    /// A claimant is about to run items that can't be repeated.
    Intent {
        /// Job.
        job: JobId,
        /// Offset of the writer's claim.
        fence: Offset,
        /// Items.
        items: Vec<u32>,
    },
    /// Results of items.
    Results {
        /// Job.
        job: JobId,
        /// Offset of the writer's claim.
        fence: Offset,
        /// Item numbers and how they ended.
        results: Vec<(u32, Outcome)>,
    },
}

/// What is known of one item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Item {
    intent: Option<Offset>,
    result: Option<(Offset, bool)>,
}

/// Whether an item may be run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It has a result.
    Done,
    /// It may be run.
    Run,
    /// It can't be repeated and another claim's intent came first.
    Unknown,
}

/// The items of one job, folded from its data stream.
#[derive(Clone, Debug)]
pub struct Items {
    job: JobId,
    slots: Vec<Item>,
    records: Vec<Offset>,
    remaining: usize,
    failed: u32,
}

impl Items {
    /// Starts with `items` items without results.
    #[must_use]
    pub fn new(job: JobId, items: u32) -> Self {
        let slots = vec![Item::default(); items.min(MAX_ITEMS) as usize];
        Self {
            job,
            remaining: slots.len(),
            slots,
            records: Vec::new(),
            failed: 0,
        }
    }

    /// Folds the record at `offset`; returns the items that got their result.
    pub fn fold(&mut self, offset: Offset, data: &Data) -> Vec<u32> {
        match data {
            Data::Intent { job, fence, items } if *job == self.job => {
                for index in items {
                    if let Some(item) = self.slots.get_mut(*index as usize) {
                        item.intent = item.intent.or(Some(*fence));
                    }
                }
                Vec::new()
            }
            Data::Results { job, results, .. } if *job == self.job => {
                let news = results.iter().filter_map(|(index, outcome)| {
                    let completed = matches!(outcome, Outcome::Completed(_));
                    self.settle(offset, *index, completed).then_some(*index)
                });
                let news: Vec<u32> = news.collect();
                if !news.is_empty() {
                    self.records.push(offset);
                }
                news
            }
            _ => Vec::new(),
        }
    }

    fn settle(&mut self, offset: Offset, index: u32, completed: bool) -> bool {
        let Some(item) = self.slots.get_mut(index as usize) else {
            return false;
        };
        if item.result.is_some() {
            if is_planted(Fault::LastResultWins) {
                item.result = Some((offset, completed));
            }
            return false;
        }
        item.result = Some((offset, completed));
        self.remaining -= 1;
        self.failed += u32::from(!completed);
        true
    }

    /// Tells whether a claimant with `fence` may run an item.
    #[must_use]
    pub fn next(&self, index: u32, fence: Offset, idempotent: bool) -> Next {
        let Some(item) = self.slots.get(index as usize) else {
            return Next::Done;
        };
        if item.result.is_some() {
            return Next::Done;
        }
        let others = item.intent.is_some_and(|intent| intent != fence);
        if others && !idempotent && !is_planted(Fault::IgnoreIntent) {
            return Next::Unknown;
        }
        Next::Run
    }

    /// Returns the offset of the record that holds an item's result.
    #[must_use]
    pub fn result_at(&self, index: u32) -> Option<Offset> {
        self.slots
            .get(index as usize)?
            .result
            .map(|(offset, _)| offset)
    }

    /// Returns the number of items without a result.
    #[must_use]
    pub const fn remaining(&self) -> usize {
        self.remaining
    }

    /// Returns the number of items that failed or whose outcome is unknown.
    #[must_use]
    pub const fn failed(&self) -> u32 {
        self.failed
    }

    /// Returns the offsets of the records that hold the results, in order.
    #[must_use]
    pub fn records(&self) -> &[Offset] {
        &self.records
    }
}

/// Whether a job may be acknowledged to its client: only a fold that shows it
/// proves that it is durable, an answered append or not.
#[must_use]
pub fn may_acknowledge(state: &State, job: JobId) -> bool {
    state.job(job).is_some() || is_planted(Fault::AcknowledgeEarly)
}

/// Whether a claimant may send an item of a job now.
///
/// A claimant stops at a cancel, at another's claim, and when it has lost
/// contact, since it could hear of neither.
#[must_use]
pub fn may_send(state: &JobState, fence: Offset, has_contact: bool) -> bool {
    let cancelled = state.phase != Phase::Open && !is_planted(Fault::IgnoreCancel);
    let held = state.claim.is_some_and(|claim| claim.fence == fence);
    !cancelled && held && has_contact
}
