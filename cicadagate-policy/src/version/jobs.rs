/*!
State of the batch streams.

# Problem

A job must be accepted once, however often the caller sends it again. At most
one claimant at a time may work on it, the loss of any claimant must not lose
it, and each item must get one result that stays readable.

# Choice

There are two kinds of streams. The *jobs* stream holds one small record per
event of a job, and every batch process applies it ([`State`]). The *data*
streams hold file chunks, intents and results in large records. They are read
only by a process that works on a job or serves its results ([`Items`]).

* A job is accepted by its record in the jobs stream; a second record with the
  same id is the same job.
* A claim names the claim that it follows (compare-and-set). Its offset is the
  fencing token.
* The first result of an item in log order is its result, whichever claimant
  wrote it, so a claimant that was paused past its lease causes nothing worse
  than duplicate work.
* Before an item that can't be repeated is run, an intent is written. The
  first intent of an item in log order permits its writer to run it. An intent
  without a result whose claimant has lost the job becomes "outcome unknown".

# Cost

Work that is done twice after a pause is discarded. Its amount is bounded by
what one claimant has in flight.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{FileId, JobId, MemberId, Offset, RequestId, hash64},
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Maximum number of items of one job.
pub const MAX_ITEMS: u32 = 60_000;

/// A file, all of whose chunks are in its data stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct File {
    /// Id, derived from the customer and the content or chosen by the caller.
    pub id: FileId,
    /// Customer that owns the file.
    pub customer: String,
    /// Name that the caller gave.
    pub name: String,
    /// Length in bytes.
    pub bytes: u64,
    /// Number of lines.
    pub lines: u32,
    /// Offsets of the chunks in the data stream, in order.
    pub chunks: Vec<Offset>,
    /// Time of creation, in seconds since the Unix epoch.
    pub created: u64,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// Id, derived from the customer and the caller's idempotency key or file.
    pub id: JobId,
    /// Customer that owns the job.
    pub customer: String,
    /// Input file.
    pub file: FileId,
    /// Path that each item is sent to.
    pub endpoint: String,
    /// Number of items.
    pub items: u32,
    /// Offset in the data stream that all results of the job follow.
    pub data_from: Offset,
    /// Time of creation, in seconds since the Unix epoch.
    pub created: u64,
    /// Time until which results stay readable, in seconds since the Unix epoch.
    pub keep_until: u64,
}

/// A record of the jobs stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// All chunks of a file are written.
    File(File),
    /// A job is accepted.
    Accept(Job),
    /// A member claims a job.
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
    /// A job is cancelled permanently.
    Cancel(JobId),
    /// Every item has a result.
    Close {
        /// Job.
        job: JobId,
        /// Offset of the claim of the member that closes the job.
        fence: Offset,
        /// Items that completed.
        completed: u32,
        /// Items that failed or whose outcome is unknown.
        failed: u32,
        /// Offsets of the records that hold the results, in order.
        results: Vec<Offset>,
    },
    /// A snapshot of the state, written before the records that it covers
    /// expire.
    Carry(Box<State>),
    /// A file's chunks were copied to new records before the old ones expire.
    MoveFile {
        /// File.
        file: FileId,
        /// Old offset of the first chunk.
        from: Offset,
        /// New offsets of the chunks.
        chunks: Vec<Offset>,
    },
    /// A closed job's results were copied to new records before the old ones
    /// expire.
    MoveResults {
        /// Job.
        job: JobId,
        /// Old offset of the first record of results.
        from: Offset,
        /// New offsets of the records of results.
        results: Vec<Offset>,
    },
}

impl Record {
    /// Returns the offset up to which a snapshot covers the stream, or `None`
    /// for other records.
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
    /// Offset of the claim, which is its fencing token.
    pub fence: Offset,
    /// Member that made the claim.
    pub claimant: MemberId,
    /// Incarnation of the member.
    pub incarnation: u64,
}

/// The phase of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// The job is neither cancelled nor closed.
    Open,
    /// The job is cancelled; no more items are sent.
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

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    pub job: Job,
    /// The last valid claim.
    pub claim: Option<Claim>,
    /// The phase.
    pub phase: Phase,
}

/// The state after applying the jobs stream up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    version: Offset,
    files: BTreeMap<FileId, File>,
    jobs: BTreeMap<JobId, JobState>,
    /// Jobs whose phase is open, indexed because they are few among all jobs
    /// kept.
    open: BTreeSet<JobId>,
}

impl State {
    /// Returns the offset of the last applied record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Applies the record at `offset`; returns `true` if it took effect.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> bool {
        if offset <= self.version {
            return false;
        }
        if let Record::Carry(state) = record {
            return self.apply_snapshot(offset, state);
        }
        self.version = offset;
        match record {
            Record::File(file) => insert_first(&mut self.files, file.id, file.clone()),
            Record::Accept(job) => self.apply_accept(job),
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
                self.apply_claim(*job, claim, *after)
            }
            Record::Cancel(job) => self.apply_cancel(*job),
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
                self.apply_close(*job, *fence, phase)
            }
            Record::Carry(_) => false,
            Record::MoveFile { file, from, chunks } => self.apply_move_file(*file, *from, chunks),
            Record::MoveResults { job, from, results } => {
                self.apply_move_results(*job, *from, results)
            }
        }
    }

    /// Applies a copy of a file's chunks. If two members copy them, the first
    /// record takes effect and the copies of the other one are never read.
    fn apply_move_file(&mut self, file: FileId, from: Offset, chunks: &[Offset]) -> bool {
        let Some(file) = self.files.get_mut(&file) else {
            return false;
        };
        let is_valid = file.chunks.first() == Some(&from) && file.chunks.len() == chunks.len();
        if is_valid {
            file.chunks = chunks.to_vec();
        }
        is_valid
    }

    fn apply_move_results(&mut self, job: JobId, from: Offset, moved: &[Offset]) -> bool {
        let Some(Phase::Closed { results, .. }) =
            self.jobs.get_mut(&job).map(|state| &mut state.phase)
        else {
            return false;
        };
        let is_valid = results.first() == Some(&from) && results.len() == moved.len();
        if is_valid {
            *results = moved.to_vec();
        }
        is_valid
    }

    /// Advances the version past an offset whose record could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    fn apply_snapshot(&mut self, offset: Offset, state: &Self) -> bool {
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

    fn apply_accept(&mut self, job: &Job) -> bool {
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

    fn apply_claim(&mut self, job: JobId, claim: Claim, after: Offset) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let current = state.claim.map_or(Offset::NONE, |claim| claim.fence);
        let is_valid = state.phase == Phase::Open && current == after;
        if is_valid {
            state.claim = Some(claim);
        }
        is_valid
    }

    fn apply_cancel(&mut self, job: JobId) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let is_valid = state.phase == Phase::Open;
        if is_valid {
            state.phase = Phase::Cancelled;
            self.open.remove(&job);
        }
        is_valid
    }

    fn apply_close(&mut self, job: JobId, fence: Offset, phase: Phase) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let holds_claim = state.claim.is_some_and(|claim| claim.fence == fence);
        let is_valid = state.phase == Phase::Open && holds_claim;
        if is_valid {
            state.phase = phase;
            self.open.remove(&job);
        }
        is_valid
    }

    /// Removes jobs whose `keep_until` has passed, and files that no remaining
    /// job uses and that are at least `file_secs` old.
    pub fn expire(&mut self, now_unix_secs: u64, file_secs: u64) {
        self.jobs
            .retain(|_, state| state.job.keep_until > now_unix_secs);
        let jobs = &self.jobs;
        self.open.retain(|id| jobs.contains_key(id));
        let used_files: BTreeSet<FileId> = self.jobs.values().map(|state| state.job.file).collect();
        self.files
            .retain(|id, file| used_files.contains(id) || file.created + file_secs > now_unix_secs);
    }

    /// Returns an iterator over the files.
    pub fn files(&self) -> impl Iterator<Item = &File> {
        self.files.values()
    }

    /// Returns the job with the given id.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&JobState> {
        self.jobs.get(&id)
    }

    /// Returns an iterator over the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Returns an iterator over the open jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns the file with the given id.
    #[must_use]
    pub fn file(&self, id: FileId) -> Option<&File> {
        self.files.get(&id)
    }
}

/// Inserts a value if the map has none for the key; returns `true` if it did.
fn insert_first<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: V) -> bool {
    if map.contains_key(&key) {
        return false;
    }
    map.insert(key, value);
    true
}

/// The outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The item got a response with this body.
    Completed(Vec<u8>),
    /// The item was abandoned after a bounded number of attempts, for this
    /// reason.
    Failed(String),
    /// The item ran at most once, and it is not known whether it did.
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
        /// Item numbers and their outcomes.
        results: Vec<(u32, Outcome)>,
    },
}

/// The state of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Item {
    /// Fencing token of the first intent.
    intent: Option<Offset>,
    /// Offset of the record of the result, and whether the item completed.
    result: Option<(Offset, bool)>,
}

/// What a claimant may do with an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus {
    /// Nothing: the item has a result.
    Done,
    /// Run the item.
    Run,
    /// Record the outcome as unknown: the item can't be repeated, and the
    /// intent of an earlier claim came first.
    Unknown,
    /// Nothing: the intent of a later claim came first, so the claimant has
    /// lost the job, and the item is the later claimant's to run.
    ClaimLost,
}

/// The state of the items of one job, computed from its data stream.
#[derive(Clone, Debug)]
pub struct Items {
    job: JobId,
    item_states: Vec<Item>,
    /// Offsets of the records that hold the results.
    result_records: Vec<Offset>,
    remaining: usize,
    failed: u32,
}

impl Items {
    /// Creates the state of `items` items without results, at most
    /// [`MAX_ITEMS`].
    #[must_use]
    pub fn new(job: JobId, items: u32) -> Self {
        let item_states = vec![Item::default(); items.min(MAX_ITEMS) as usize];
        Self {
            job,
            remaining: item_states.len(),
            item_states,
            result_records: Vec::new(),
            failed: 0,
        }
    }

    /// Applies the record at `offset`; returns the items that it gave a result.
    pub fn apply(&mut self, offset: Offset, data: &Data) -> Vec<u32> {
        match data {
            Data::Intent { job, fence, items } if *job == self.job => {
                for index in items {
                    if let Some(item) = self.item_states.get_mut(*index as usize) {
                        item.intent = item.intent.or(Some(*fence));
                    }
                }
                Vec::new()
            }
            Data::Results { job, results, .. } if *job == self.job => {
                let newly_set = results.iter().filter_map(|(index, outcome)| {
                    let completed = matches!(outcome, Outcome::Completed(_));
                    self.set_result(offset, *index, completed).then_some(*index)
                });
                let newly_set: Vec<u32> = newly_set.collect();
                if !newly_set.is_empty() {
                    self.result_records.push(offset);
                }
                newly_set
            }
            _ => Vec::new(),
        }
    }

    /// Sets the result of an item if it has none; returns `true` if it did.
    fn set_result(&mut self, offset: Offset, index: u32, completed: bool) -> bool {
        let Some(item) = self.item_states.get_mut(index as usize) else {
            return false;
        };
        if item.result.is_some() {
            if is_injected(Fault::LastResultWins) {
                item.result = Some((offset, completed));
            }
            return false;
        }
        item.result = Some((offset, completed));
        self.remaining -= 1;
        self.failed += u32::from(!completed);
        true
    }

    /// Returns what the claimant with fencing token `fence` may do with an
    /// item.
    #[must_use]
    pub fn status(&self, index: u32, fence: Offset, idempotent: bool) -> ItemStatus {
        let Some(item) = self.item_states.get(index as usize) else {
            return ItemStatus::Done;
        };
        if item.result.is_some() {
            return ItemStatus::Done;
        }
        let Some(intent) = item.intent.filter(|_| !idempotent) else {
            return ItemStatus::Run;
        };
        // Claims follow each other by compare-and-set, so the claim with the
        // larger fencing token is the later one.
        match intent.cmp(&fence) {
            _ if is_injected(Fault::IgnoreIntent) => ItemStatus::Run,
            Ordering::Less => ItemStatus::Unknown,
            Ordering::Equal => ItemStatus::Run,
            Ordering::Greater => ItemStatus::ClaimLost,
        }
    }

    /// Returns the offset of the record that holds an item's result.
    #[must_use]
    pub fn result_offset(&self, index: u32) -> Option<Offset> {
        self.item_states
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
        &self.result_records
    }
}

/// Returns the id of the request that is sent in one try of an item under the
/// claim with fencing token `fence`.
///
/// The requests of a lost claimant may still wait or run while the next one
/// sends its own, so requests of two claims never share an id.
#[must_use]
pub fn request_id(job: JobId, fence: Offset, item: u32, try_number: u32) -> RequestId {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&job.raw().to_le_bytes());
    let suffix = hash64(&[
        &fence.0.to_le_bytes(),
        &item.to_le_bytes(),
        &try_number.to_le_bytes(),
    ]);
    id[8..].copy_from_slice(&suffix.to_le_bytes());
    RequestId(id)
}

/// Returns `true` if a job may be acknowledged to its caller.
///
/// A job is known to be durable only once its record has been read back from
/// the log, whether or not a response to the append arrived.
#[must_use]
pub fn may_acknowledge(state: &State, job: JobId) -> bool {
    state.job(job).is_some() || is_injected(Fault::AcknowledgeEarly)
}

/// Returns `true` if a claimant may send items of a job now.
///
/// A claimant stops when the job is cancelled or claimed by another member. It
/// also stops when it has lost contact, since it could then learn of neither.
#[must_use]
pub fn may_send(state: &JobState, fence: Offset, has_contact: bool) -> bool {
    let cancelled = state.phase != Phase::Open && !is_injected(Fault::IgnoreCancel);
    let holds_claim = state.claim.is_some_and(|claim| claim.fence == fence);
    !cancelled && holds_claim && has_contact
}
