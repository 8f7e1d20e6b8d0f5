/*!
The index of batch jobs: what every process knows of every job.

# Problem

All instances may lose power at any moment, so a job that was accepted, and
each result that a caller has seen, must be read back from the log alone, at
the same position, by every process. Bodies and outputs are large, and most
processes never need them.

# Choice

Contents (bodies, outputs) are appended to content partitions, and only then a
small record to the index that names their [`Place`]. The index is folded by
every process; contents are read by whoever needs them. The first record of a
job accepts it, the first result of an item in log order is its result, and
the order of those records gives the positions at which results are listed.
A record that comes again, or after the job's end, changes nothing.

# Cost

An item costs two index records of some tens of bytes in each process. A
result is listed one append later than its content was written.
*/

use {
    crate::ids::{CustomerId, JobId, hash64},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Where a content lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// Partition of the content topic.
    pub part: u32,
    /// Offset of the first record.
    pub offset: u64,
    /// Number of records that the content was cut into.
    pub records: u32,
    /// Length of the content, in bytes.
    pub bytes: u32,
}

/// An item of a job, by its position in the submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ItemRef {
    /// Job.
    pub job: JobId,
    /// Position in the submission.
    pub index: u32,
}

impl ItemRef {
    /// Returns a hash that spreads items over members.
    #[must_use]
    pub fn hash(self) -> u64 {
        hash64(&[&self.job.raw().to_le_bytes(), &self.index.to_le_bytes()])
    }
}

/// What was submitted for one item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemEntry {
    /// The submitter's id.
    pub id: String,
    /// Tokens that it may take, prompt and output.
    pub tokens: u32,
    /// Where path, headers and body lie.
    pub content: Place,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// Its output lies there.
    Done(Place),
    /// It was given up.
    Abandoned,
}

/// Output of an item that is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Where the output so far lies.
    pub output: Place,
    /// Last event that the output holds.
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
        /// The customer's name, as replicas are told.
        customer_name: String,
        /// Route that took it.
        route: String,
        /// Host of the submission.
        host: String,
        /// Configuration version that allowed it.
        config_version: u64,
        /// Time of acceptance, in milliseconds since the epoch.
        accepted_ms: u64,
        /// Time at which the results are due, in milliseconds since the epoch.
        due_ms: u64,
        /// Time from which items may be given up, in milliseconds since the epoch.
        give_up_ms: u64,
        /// Items in the submitter's order.
        items: Vec<ItemEntry>,
    },
    /// An item has a result.
    Finished {
        /// Item.
        item: ItemRef,
        /// Its result.
        outcome: Outcome,
    },
    /// Part of an item's output was kept.
    Saved {
        /// Item.
        item: ItemRef,
        /// What was kept.
        progress: Progress,
    },
    /// A replica ran an item and failed.
    Failed {
        /// Item.
        item: ItemRef,
    },
    /// A job was ended by its customer.
    Ended {
        /// Job.
        job: JobId,
    },
}

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// Has no result; its output may be known in part.
    Open(Option<Progress>),
    /// Has a result.
    Finished(Outcome),
}

/// A job as the index knows it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Customer that submitted it.
    pub customer: CustomerId,
    /// The customer's name.
    pub customer_name: String,
    /// Route that took it.
    pub route: String,
    /// Host of the submission.
    pub host: String,
    /// Configuration version that allowed it; an older one says nothing of it.
    pub config_version: u64,
    /// Time of acceptance, in milliseconds since the epoch.
    pub accepted_ms: u64,
    /// Time at which the results are due, in milliseconds since the epoch.
    pub due_ms: u64,
    /// Time from which items may be given up, in milliseconds since the epoch.
    pub give_up_ms: u64,
    entries: Vec<ItemEntry>,
    states: Vec<ItemState>,
    failures: BTreeMap<u32, u32>,
    listed: Vec<u32>,
    is_ended: bool,
}

impl Job {
    /// Returns the number of items.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.entries.len()
    }

    /// Returns what was submitted for an item.
    #[must_use]
    pub fn entry(&self, index: u32) -> Option<&ItemEntry> {
        self.entries.get(index as usize)
    }

    /// Returns an item's state.
    #[must_use]
    pub fn state(&self, index: u32) -> Option<ItemState> {
        self.states.get(index as usize).copied()
    }

    /// Returns how often replicas have failed an item.
    #[must_use]
    pub fn failures(&self, index: u32) -> u32 {
        self.failures.get(&index).copied().unwrap_or_default()
    }

    /// Finds an item by the submitter's id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<u32> {
        let at = self.entries.iter().position(|entry| entry.id == id)?;
        u32::try_from(at).ok()
    }

    /// Returns the items with a result, in the order of their positions.
    #[must_use]
    pub fn listed(&self) -> &[u32] {
        &self.listed
    }

    /// Tells whether the customer has ended it.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Tells whether items of it remain to be run.
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

/// The fold of the index.
#[derive(Clone, Debug, Default)]
pub struct JobIndex {
    jobs: BTreeMap<JobId, Job>,
    /// Open jobs, most urgent first.
    open: BTreeSet<(u64, JobId)>,
}

impl JobIndex {
    /// Takes the next record; returns whether it changed anything.
    pub fn fold(&mut self, record: Record) -> bool {
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

    /// Finds a job.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Tells whether an item remains to be run.
    #[must_use]
    pub fn is_item_open(&self, item: ItemRef) -> bool {
        self.job(item.job).is_some_and(|job| {
            !job.is_ended && matches!(job.state(item.index), Some(ItemState::Open(_)))
        })
    }

    /// Iterates over the items that remain to be run, those due first first.
    pub fn open_items(&self) -> impl Iterator<Item = ItemRef> + '_ {
        self.open
            .iter()
            .filter_map(|(_, id)| self.jobs.get(id))
            .flat_map(Job::open_items)
    }

    /// Iterates over the items of a job that remain to be run.
    pub fn open_items_of(&self, job: JobId) -> impl Iterator<Item = ItemRef> + '_ {
        self.jobs.get(&job).into_iter().flat_map(Job::open_items)
    }

    /// Iterates over the open jobs, those due first first.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Forgets jobs that are over and were accepted before a time.
    pub fn forget_before(&mut self, accepted_ms: u64) {
        self.jobs
            .retain(|_, job| job.is_open() || job.accepted_ms >= accepted_ms);
    }
}
