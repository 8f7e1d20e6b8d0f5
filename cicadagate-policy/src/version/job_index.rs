/*!
Index of the batch jobs, which every process holds.

# Problem

All instances may lose power at any moment. An accepted job, and each result
that a caller has seen, must therefore be readable from the log alone, at the
same position by every process. Bodies and outputs are large, and most
processes never need them.

# Choice

Contents (bodies and outputs) are appended to content partitions first, and
then a small record that names their [`ContentLocation`] is appended to the
index. Every process applies the index; contents are read only by processes
that need them. The first record of a job accepts it (on a route with
a [limit of waiting tokens](super::token_limit) if it fits), the first result of an
item in log order is its result, and the order of those records determines the
positions at which results are listed. A result after the cancellation of the job
changes nothing.

An append may be carried out twice, or seconds after its sender has given up on it:
the store may not respond, and slow operations are also sent through other processes.
So a record says what it means in full, and a second copy of it changes nothing. A
failed run of an item has an id by which it is counted once.

# Cost

Each process keeps an entry of some tens of bytes for each item and another for its
result, and the locations of the partial outputs of items without a result. A result is
listed one append later than its content was written.
*/

use {
    super::token_limit::{self, RefusedAttempts, TokenCount},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, ItemRunId, JobId, SoftwareVersion, hash64},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Most copies of one record in the log: an append is carried out by the process itself
/// and through one other process.
const MAX_COPIES: u32 = 2;
/// Age up to which a job counts for the rate at which tokens are finished, in
/// milliseconds.
const FINISHED_WINDOW_MS: u64 = 20_000;

/// The location of a body or an output in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ContentLocation {
    /// Partition of the content topic.
    pub part: u32,
    /// Offset of the first record.
    pub offset: u64,
    /// Number of records that hold the content.
    pub records: u32,
    /// Length of the content, in bytes.
    pub bytes: u32,
}

/// Identifies an item of a job by its position in the submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ItemRef {
    /// Job.
    pub job: JobId,
    /// Position in the submission.
    pub index: u32,
}

impl ItemRef {
    /// Returns a hash by which items are distributed over members.
    #[must_use]
    pub fn hash(self) -> u64 {
        hash64(&[&self.job.raw().to_le_bytes(), &self.index.to_le_bytes()])
    }
}

/// An item as submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemEntry {
    /// Id that the submitter gave to the item.
    pub id: String,
    /// Maximum number of tokens of the prompt and the output together.
    pub tokens: u32,
    /// Location of the path, headers and body.
    pub content: ContentLocation,
}

/// The outcome of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The item is done; the location of its output.
    Done(ContentLocation),
    /// The item was abandoned.
    Abandoned,
}

/// The partial output of an item that is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Location of the output so far.
    pub output: ContentLocation,
    /// Id of the last event in the output.
    pub last_event: u64,
    /// Version of the replicas' software that wrote it; `None` if it was saved by a
    /// build that did not record it. [`Record::SavedAtVersion`] carries it, so that
    /// [`Record::Saved`] keeps its encoding.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Job.
    pub job: JobId,
    /// Customer that submitted it.
    pub customer: CustomerId,
    /// The customer's name, as sent to replicas.
    pub customer_name: String,
    /// Name of the route of the submission.
    pub route: String,
    /// Host of the submission.
    pub host: String,
    /// Configuration version by which the job was accepted; an older one may
    /// lack the job's route.
    pub config_version: u64,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time at which the results are due, in milliseconds since the Unix
    /// epoch.
    pub due_ms: u64,
    /// Time from which items may be abandoned, in milliseconds since the Unix
    /// epoch.
    pub give_up_ms: u64,
    /// Items, in the order of the submission.
    pub items: Vec<ItemEntry>,
}

impl Submission {
    /// Returns the tokens of all items.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        tokens_of(&self.items)
    }
}

fn least_tokens(items: &[ItemEntry]) -> u32 {
    let tokens = items.iter().map(|entry| entry.tokens);
    tokens.min().unwrap_or_default()
}

fn tokens_of(items: &[ItemEntry]) -> u64 {
    items.iter().map(|entry| u64::from(entry.tokens)).sum()
}

/// A record of the index.
///
/// Variants are only added at the end, since the log has records of earlier
/// builds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted on a route without a limit of waiting tokens.
    Accepted(Submission),
    /// An item has a result.
    Finished {
        /// Item.
        item: ItemRef,
        /// Outcome of the item.
        outcome: Outcome,
    },
    /// Part of an item's output was saved by a build that did not record its software
    /// version.
    Saved {
        /// Item.
        item: ItemRef,
        /// The partial output.
        progress: Progress,
    },
    /// A replica failed while it ran an item; written by a build that did not record
    /// which run it was, so a second copy can't be told from a second failure.
    Failed {
        /// Item.
        item: ItemRef,
    },
    /// A job was cancelled by its customer.
    Ended {
        /// Job.
        job: JobId,
    },
    /// A job was submitted to a route with a limit of waiting tokens. The index
    /// accepts it if its tokens fit.
    Submitted {
        /// The job.
        submission: Submission,
        /// Number of the request that submitted it; a refusal is final for it.
        attempt: u64,
        /// Most tokens that the customer may have waiting on the route.
        token_limit: u64,
    },
    /// Part of an item's output was saved.
    SavedAtVersion {
        /// Item.
        item: ItemRef,
        /// The partial output.
        progress: Progress,
        /// Version of the replicas' software that wrote it.
        version: SoftwareVersion,
    },
    /// A replica failed while it ran an item.
    FailedRun {
        /// Item.
        item: ItemRef,
        /// The run.
        run: ItemRunId,
    },
}

/// Failed runs of an item that has no result.
#[derive(Clone, Debug, Default)]
struct FailedRuns {
    runs: BTreeSet<ItemRunId>,
    /// Number of records that do not name their run.
    unnamed: u32,
}

impl FailedRuns {
    /// Returns the number of runs that have certainly failed, with `own` among them.
    fn count(&self, own: &[ItemRunId]) -> u32 {
        let others = own.iter().filter(|run| !self.runs.contains(run));
        let named = self.runs.len() + others.count();
        let named = u32::try_from(named).unwrap_or(u32::MAX);
        named.saturating_add(self.unnamed.div_ceil(MAX_COPIES))
    }
}

/// What the index says of an attempt to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionState {
    /// The job was accepted, by this attempt or another.
    Accepted,
    /// The attempt was refused, and no other one was accepted.
    Refused,
    /// The index has no record of the attempt.
    Unknown,
}

/// The state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item has no result; its partial output, if some was saved.
    Open(Option<Progress>),
    /// The item has a result.
    Finished(Outcome),
}

/// A job in the index.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub submission: Submission,
    states: Vec<ItemState>,
    /// Failed runs of each item that has failed and has no result.
    failures: BTreeMap<u32, FailedRuns>,
    /// Partition and offset of each partial output of the items without a result.
    outputs: BTreeMap<u32, BTreeSet<(u32, u64)>>,
    /// Items with a result, in the order of their results.
    listed: Vec<u32>,
    is_ended: bool,
    /// Tokens of the items without a result.
    open_tokens: u64,
    /// Tokens of the smallest item.
    least_tokens: u32,
}

impl Job {
    fn new(submission: Submission) -> Self {
        Self {
            states: vec![ItemState::Open(None); submission.items.len()],
            failures: BTreeMap::new(),
            outputs: BTreeMap::new(),
            listed: Vec::new(),
            is_ended: false,
            open_tokens: submission.tokens(),
            least_tokens: least_tokens(&submission.items),
            submission,
        }
    }

    /// Returns the key by which open jobs are sorted.
    const fn due_key(&self) -> (u64, JobId) {
        (self.submission.due_ms, self.submission.job)
    }

    /// Returns the number of items.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.submission.items.len()
    }

    /// Returns the number of items without a result.
    #[must_use]
    pub const fn open_count(&self) -> usize {
        self.submission.items.len() - self.listed.len()
    }

    /// Returns the tokens of the smallest item.
    #[must_use]
    pub const fn least_tokens(&self) -> u32 {
        self.least_tokens
    }

    /// Returns an item as submitted.
    #[must_use]
    pub fn item(&self, index: u32) -> Option<&ItemEntry> {
        self.submission.items.get(index as usize)
    }

    /// Returns an item's state.
    #[must_use]
    pub fn state(&self, index: u32) -> Option<ItemState> {
        self.states.get(index as usize).copied()
    }

    /// Returns how often replicas have failed while they ran an item without a result,
    /// by its records.
    #[must_use]
    pub fn failures(&self, index: u32) -> u32 {
        self.failures_with(index, &[])
    }

    /// Returns how often replicas have failed while they ran an item without a result, by
    /// its records and by the runs that a process has seen fail itself. A run that
    /// is in both counts once.
    #[must_use]
    pub fn failures_with(&self, index: u32, own: &[ItemRunId]) -> u32 {
        let none = FailedRuns::default();
        self.failures.get(&index).unwrap_or(&none).count(own)
    }

    /// Returns the position of the item with the given submitter's id.
    #[must_use]
    pub fn item_by_id(&self, id: &str) -> Option<u32> {
        let position = self
            .submission
            .items
            .iter()
            .position(|entry| entry.id == id)?;
        u32::try_from(position).ok()
    }

    /// Returns the items with a result, in the order in which results are
    /// listed.
    #[must_use]
    pub fn finished_items(&self) -> &[u32] {
        &self.listed
    }

    /// Returns `true` if the customer has cancelled the job.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns `true` if items of the job remain to be run.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.is_ended && self.listed.len() < self.submission.items.len()
    }

    /// Returns the tokens of the items that wait or run at a time, in
    /// milliseconds since the Unix epoch.
    #[must_use]
    pub const fn waiting_tokens(&self, now_ms: u64) -> u64 {
        if self.is_ended || self.submission.give_up_ms <= now_ms {
            0
        } else {
            self.open_tokens
        }
    }

    /// Returns the tokens of the items that have a result.
    fn finished_tokens(&self) -> u64 {
        self.submission.tokens().saturating_sub(self.open_tokens)
    }

    /// Returns an iterator over the items that remain to be run.
    pub fn open_items(&self) -> impl Iterator<Item = ItemRef> + '_ {
        let job = self.submission.job;
        let open = |state: &ItemState| matches!(state, ItemState::Open(_));
        self.states
            .iter()
            .zip(0_u32..)
            .filter(move |(state, _)| open(state))
            .map(move |(_, index)| ItemRef { job, index })
    }
}

/// The index of the batch jobs.
#[derive(Clone, Debug, Default)]
pub struct JobIndex {
    jobs: BTreeMap<JobId, Job>,
    /// Open jobs, sorted by due time.
    open: BTreeSet<(u64, JobId)>,
    /// Items without a result that have a partial output.
    saved: BTreeSet<ItemRef>,
    /// Attempts to submit a job that were refused.
    refused: RefusedAttempts,
}

impl JobIndex {
    /// Applies the next record; returns `true` if it changed anything.
    pub fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Accepted(submission) => self.accept(submission),
            Record::Finished { item, outcome } => self.finish(item, outcome),
            Record::Saved { item, progress } => self.save(item, progress),
            Record::SavedAtVersion {
                item,
                progress,
                version,
            } => {
                let version = Some(version);
                self.save(
                    item,
                    Progress {
                        version,
                        ..progress
                    },
                )
            }
            Record::Failed { item } => self.note_failure(item, None),
            Record::FailedRun { item, run } => self.note_failure(item, Some(run)),
            Record::Ended { job } => self.end(job),
            Record::Submitted {
                submission,
                attempt,
                token_limit,
            } => self.decide(submission, attempt, token_limit),
        }
    }

    fn accept(&mut self, submission: Submission) -> bool {
        if self.jobs.contains_key(&submission.job) {
            return false;
        }
        let id = submission.job;
        let job = Job::new(submission);
        if job.is_open() {
            self.open.insert(job.due_key());
        }
        self.jobs.insert(id, job);
        true
    }

    fn decide(&mut self, submission: Submission, attempt: u64, token_limit: u64) -> bool {
        let is_refused =
            self.refused.contains(attempt) && !is_injected(Fault::ForgetRefusedAttempt);
        if is_refused || self.jobs.contains_key(&submission.job) {
            return false;
        }
        // Time comes from the record, so that all processes decide alike.
        let now_ms = submission.accepted_ms;
        let count = self.token_count(submission.customer, &submission.route, now_ms);
        if token_limit::check(count, submission.tokens(), token_limit).is_err() {
            self.refused.insert(attempt);
            return true;
        }
        self.accept(submission)
    }

    /// Returns what the index says of an attempt to submit a job.
    #[must_use]
    pub fn submission_state(&self, job: JobId, attempt: u64) -> SubmissionState {
        if self.jobs.contains_key(&job) {
            SubmissionState::Accepted
        } else if self.refused.contains(attempt) {
            SubmissionState::Refused
        } else {
            SubmissionState::Unknown
        }
    }

    /// Returns the tokens of a customer on a route at a time, in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub fn token_count(&self, customer: CustomerId, route: &str, now_ms: u64) -> TokenCount {
        let mut count = TokenCount::default();
        let counted_from = now_ms.saturating_sub(FINISHED_WINDOW_MS);
        for job in self.jobs.values() {
            let submission = &job.submission;
            if submission.customer != customer || submission.route != route {
                continue;
            }
            let waiting = job.waiting_tokens(now_ms);
            count.waiting += waiting;
            if waiting > 0 {
                let due_in_ms = submission.due_ms.saturating_sub(now_ms);
                count.due_in_ms = count.due_in_ms.max(due_in_ms);
            }
            if submission.accepted_ms >= counted_from {
                count.finished += job.finished_tokens();
                let age_ms = now_ms.saturating_sub(submission.accepted_ms);
                count.elapsed_ms = count.elapsed_ms.max(age_ms);
            }
        }
        count
    }

    /// Returns the waiting tokens of each customer and route with an open job.
    #[must_use]
    pub fn waiting_tokens(&self, now_ms: u64) -> BTreeMap<(&str, &str), u64> {
        let mut waiting = BTreeMap::new();
        for job in self.open_jobs() {
            let Submission {
                customer_name,
                route,
                ..
            } = &job.submission;
            let key = (customer_name.as_str(), route.as_str());
            *waiting.entry(key).or_default() += job.waiting_tokens(now_ms);
        }
        waiting
    }

    fn finish(&mut self, item: ItemRef, outcome: Outcome) -> bool {
        let Some(job) = self.jobs.get_mut(&item.job) else {
            return false;
        };
        let is_ended = job.is_ended;
        let Some(state) = job.states.get_mut(item.index as usize) else {
            return false;
        };
        if is_ended || matches!(state, ItemState::Finished(_)) {
            return false;
        }
        *state = ItemState::Finished(outcome);
        job.failures.remove(&item.index);
        job.outputs.remove(&item.index);
        let tokens = job.submission.items[item.index as usize].tokens;
        job.open_tokens = job.open_tokens.saturating_sub(u64::from(tokens));
        job.listed.push(item.index);
        self.saved.remove(&item);
        if !job.is_open() {
            self.open.remove(&job.due_key());
        }
        true
    }

    fn note_failure(&mut self, item: ItemRef, run: Option<ItemRunId>) -> bool {
        let job = self.jobs.get_mut(&item.job);
        let Some(job) = job.filter(|job| matches!(job.state(item.index), Some(ItemState::Open(_))))
        else {
            return false;
        };
        let failures = job.failures.entry(item.index).or_default();
        if let Some(run) = run {
            return failures.runs.insert(run);
        }
        failures.unnamed += 1;
        true
    }

    fn save(&mut self, item: ItemRef, progress: Progress) -> bool {
        let job = self.jobs.get_mut(&item.job);
        let Some(job) = job else {
            return false;
        };
        let is_ended = job.is_ended;
        let Some(ItemState::Open(known)) = job.states.get_mut(item.index as usize) else {
            return false;
        };
        // Each output has a location of its own, by which a copy of its record is known.
        let location = (progress.output.part, progress.output.offset);
        if !job.outputs.entry(item.index).or_default().insert(location) {
            return false;
        }
        // An output of another version replaces a longer one: no replica was left that
        // could continue that.
        let is_further = known.is_none_or(|known| {
            known.version != progress.version || known.last_event < progress.last_event
        });
        if !is_further {
            return false;
        }
        *known = Some(progress);
        if !is_ended {
            self.saved.insert(item);
        }
        true
    }

    fn end(&mut self, job: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&job) else {
            return false;
        };
        let was_ended = job.is_ended;
        job.is_ended = true;
        self.open.remove(&job.due_key());
        for item in job.open_items() {
            self.saved.remove(&item);
        }
        !was_ended
    }

    /// Returns the job with the given id.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns `true` if there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns `true` if an item remains to be run.
    #[must_use]
    pub fn is_item_open(&self, item: ItemRef) -> bool {
        self.job(item.job).is_some_and(|job| {
            !job.is_ended && matches!(job.state(item.index), Some(ItemState::Open(_)))
        })
    }

    /// Returns an iterator over the items that remain to be run, in the order
    /// of their due times.
    pub fn open_items(&self) -> impl Iterator<Item = ItemRef> + '_ {
        self.open_jobs().flat_map(Job::open_items)
    }

    /// Returns an iterator over the items that remain to be run and have a partial
    /// output.
    pub fn saved_items(&self) -> impl Iterator<Item = ItemRef> + '_ {
        self.saved.iter().copied()
    }

    /// Returns an iterator over the open jobs, in the order of their due times.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Removes jobs that are not open and were accepted before a time, in
    /// milliseconds since the Unix epoch.
    pub fn remove_before(&mut self, accepted_ms: u64) {
        self.jobs
            .retain(|_, job| job.is_open() || job.submission.accepted_ms >= accepted_ms);
    }
}
