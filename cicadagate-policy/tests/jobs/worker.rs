//! A batch process without I/O.

use {
    super::{JOBS, empty_items, empty_state, log::Stream, member_id},
    cicadagate_policy::{
        ids::{MemberId, Offset},
        time::Time,
        version::{
            jobs::{Data, Items, Outcome, Record, State},
            reader::{CatchUpStep, SnapshotCatchUp},
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

pub struct Worker {
    pub id: MemberId,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    pub state: State,
    pub last_read: Time,
    /// Results whose append is not confirmed: job, item and outcome.
    pub unwritten: Vec<(usize, u32, Outcome)>,
    /// Fence of the last finished item of each job.
    pub fences: BTreeMap<usize, Offset>,
    /// Jobs whose intents were written, with the offsets of those records.
    pub intended: BTreeSet<(usize, Offset)>,
    /// Items that were started: job, item and fence.
    pub started: BTreeSet<(usize, u32, Offset)>,
    catch_up: SnapshotCatchUp<Record>,
    next: Offset,
    data_next: Offset,
    items: Vec<Items>,
}

impl Worker {
    pub fn new(index: usize) -> Self {
        Self::with_incarnation(index, 0)
    }

    pub fn with_incarnation(index: usize, incarnation: u64) -> Self {
        Self {
            id: member_id(index, incarnation),
            incarnation,
            alive: true,
            paused: false,
            state: empty_state(),
            last_read: Time::default(),
            unwritten: Vec::new(),
            fences: BTreeMap::new(),
            intended: BTreeSet::new(),
            started: BTreeSet::new(),
            catch_up: SnapshotCatchUp::new(Offset::NONE),
            next: Offset(1),
            data_next: Offset(1),
            items: (0..JOBS).map(empty_items).collect(),
        }
    }

    pub fn items(&self, job: usize) -> &Items {
        &self.items[job]
    }

    /// Returns the offset of the last data record that was read.
    pub fn data_read(&self) -> Offset {
        Offset(self.data_next.0 - 1)
    }

    /// Returns whether the jobs stream was read and applied without a gap.
    pub fn has_caught_up(&self) -> bool {
        !self.catch_up.has_gap() && self.next > Offset(1)
    }

    pub fn read(&mut self, jobs: &Stream<Record>, data: &Stream<Data>, now: Time) {
        self.read_jobs(jobs);
        self.read_data(data);
        if !self.catch_up.has_gap() {
            self.last_read = now;
        }
    }

    fn read_jobs(&mut self, jobs: &Stream<Record>) {
        for (offset, record) in jobs.records_from(self.next) {
            self.next = offset.next();
            let covers = record.covers();
            if let CatchUpStep::Apply(records) = self.catch_up.push(offset, record, covers) {
                for (offset, record) in records {
                    self.state.apply(offset, &record);
                }
            }
        }
    }

    /// Reads the data stream only, as a worker does after an append to it.
    pub fn read_data(&mut self, data: &Stream<Data>) {
        for (offset, record) in data.records_from(self.data_next) {
            self.data_next = offset.next();
            for items in &mut self.items {
                items.apply(offset, &record);
            }
        }
    }
}
