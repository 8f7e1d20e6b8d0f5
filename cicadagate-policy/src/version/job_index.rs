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
that need them. The first record of a job accepts it, the first result of an
item in log order is its result, and the order of those records determines the
positions at which results are listed. A repeated record or a result after the
cancellation of the job changes nothing, but each record of a failure is
counted.

# Cost

Each process keeps an entry of some tens of bytes for each item and another for
its result. A result is listed one append later than its content was written.
*/

use {
    crate::ids::{CustomerId, JobId, hash64},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

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
}

/// A record of the index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// Job.
        job: JobId,
        /// Customer that submitted it.
        customer: CustomerId,
        /// The customer's name, as sent to replicas.
        customer_name: String,
        /// Name of the route of the submission.
        route: String,
        /// Host of the submission.
        host: String,
        /// Configuration version by which the job was accepted.
        config_version: u64,
        /// Time of acceptance, in milliseconds since the Unix epoch.
        accepted_ms: u64,
        /// Time at which the results are due, in milliseconds since the Unix
        /// epoch.
        due_ms: u64,
        /// Time from which items may be abandoned, in milliseconds since the
        /// Unix epoch.
        give_up_ms: u64,
        /// Items, in the order of the submission.
        items: Vec<ItemEntry>,
    },
    /// An item has a result.
    Finished {
        /// Item.
        item: ItemRef,
        /// Outcome of the item.
        outcome: Outcome,
    },
    /// Part of an item's output was saved.
    Saved {
        /// Item.
        item: ItemRef,
        /// The partial output.
        progress: Progress,
    },
    /// A replica failed while it ran an item.
    Failed {
        /// Item.
        item: ItemRef,
    },
    /// A job was cancelled by its customer.
    Ended {
        /// Job.
        job: JobId,
    },
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
    /// Id.
    pub id: JobId,
    /// Customer that submitted it.
    pub customer: CustomerId,
    /// The customer's name.
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
    /// Time at which the results are due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Time from which items may be abandoned, in milliseconds since the Unix
    /// epoch.
    pub give_up_ms: u64,
    entries: Vec<ItemEntry>,
    states: Vec<ItemState>,
    /// Number of failures of each item that has failed.
    failures: BTreeMap<u32, u32>,
    /// Items with a result, in the order of their results.
    listed: Vec<u32>,
    is_ended: bool,
}

impl Job {
    /// Returns the number of items.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.entries.len()
    }

    /// Returns an item as submitted.
    #[must_use]
    pub fn item(&self, index: u32) -> Option<&ItemEntry> {
        self.entries.get(index as usize)
    }

    /// Returns an item's state.
    #[must_use]
    pub fn state(&self, index: u32) -> Option<ItemState> {
        self.states.get(index as usize).copied()
    }

    /// Returns how often replicas have failed while they ran an item.
    #[must_use]
    pub fn failures(&self, index: u32) -> u32 {
        self.failures.get(&index).copied().unwrap_or_default()
    }

    /// Returns the position of the item with the given submitter's id.
    #[must_use]
    pub fn item_by_id(&self, id: &str) -> Option<u32> {
        let position = self.entries.iter().position(|entry| entry.id == id)?;
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
        !self.is_ended && self.listed.len() < self.entries.len()
    }

    fn open_items(&self) -> impl Iterator<Item = ItemRef> + '_ {
        let job = self.id;
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
}

impl JobIndex {
    /// Applies the next record; returns `true` if it changed anything.
    pub fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Accepted { job, .. } if self.jobs.contains_key(&job) => false,
            Record::Accepted {
                job,
                customer,
                customer_name,
                route,
                host,
                config_version,
                accepted_ms,
                due_ms,
                give_up_ms,
                items,
            } => {
                let state = Job {
                    id: job,
                    customer,
                    customer_name,
                    route,
                    host,
                    config_version,
                    accepted_ms,
                    due_ms,
                    give_up_ms,
                    states: vec![ItemState::Open(None); items.len()],
                    entries: items,
                    failures: BTreeMap::new(),
                    listed: Vec::new(),
                    is_ended: false,
                };
                if state.is_open() {
                    self.open.insert((due_ms, job));
                }
                self.jobs.insert(job, state);
                true
            }
            Record::Finished { item, outcome } => self.finish(item, outcome),
            Record::Saved { item, progress } => self.save(item, progress),
            Record::Failed { item } => self.note_failure(item),
            Record::Ended { job } => self.end(job),
        }
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
        job.listed.push(item.index);
        if !job.is_open() {
            self.open.remove(&(job.due_ms, job.id));
        }
        true
    }

    fn note_failure(&mut self, item: ItemRef) -> bool {
        let job = self.jobs.get_mut(&item.job);
        let Some(job) = job.filter(|job| (item.index as usize) < job.entries.len()) else {
            return false;
        };
        *job.failures.entry(item.index).or_default() += 1;
        true
    }

    fn save(&mut self, item: ItemRef, progress: Progress) -> bool {
        let job = self.jobs.get_mut(&item.job);
        let Some(ItemState::Open(known)) =
            job.and_then(|job| job.states.get_mut(item.index as usize))
        else {
            return false;
        };
        if known.is_some_and(|known| known.last_event >= progress.last_event) {
            return false;
        }
        *known = Some(progress);
        true
    }

    fn end(&mut self, job: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&job) else {
            return false;
        };
        let was_ended = job.is_ended;
        job.is_ended = true;
        self.open.remove(&(job.due_ms, job.id));
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
        self.open
            .iter()
            .filter_map(|(_, id)| self.jobs.get(id))
            .flat_map(Job::open_items)
    }

    /// Returns an iterator over the items of a job that remain to be run.
    pub fn open_items_of(&self, job: JobId) -> impl Iterator<Item = ItemRef> + '_ {
        self.jobs.get(&job).into_iter().flat_map(Job::open_items)
    }

    /// Returns an iterator over the open jobs, in the order of their due times.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Removes jobs that are not open and were accepted before a time, in
    /// milliseconds since the Unix epoch.
    pub fn remove_before(&mut self, accepted_ms: u64) {
        self.jobs
            .retain(|_, job| job.is_open() || job.accepted_ms >= accepted_ms);
    }
}
