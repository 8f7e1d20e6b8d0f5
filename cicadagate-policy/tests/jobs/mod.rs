//! The simulation of the job tests: batch processes, the streams of a fake log,
//! and the runs of items at an engine.

mod log;
mod op;
mod worker;

pub use op::Op;

use {
    super::support::{Counts, Simulation},
    cicadagate_policy::{
        ids::{FileId, JobId, MemberId, Offset},
        process::contact::CONTACT_TTL_MS,
        time::Time,
        version::jobs::{
            Data, File, ItemStatus, Items, Job, Outcome, Phase, Record, State, may_acknowledge,
            may_send,
        },
    },
    log::Stream,
    std::collections::{BTreeMap, BTreeSet},
    worker::Worker,
};

/// Number of batch processes.
pub const WORKERS: usize = 3;
/// Number of jobs; the items of odd ones are not idempotent.
pub const JOBS: usize = 3;
/// Number of items of each job.
pub const ITEMS: u32 = 3;

/// An item that runs at the engine.
struct Running {
    worker: usize,
    incarnation: u64,
    job: usize,
    item: u32,
    fence: Offset,
    run: u64,
}

/// Batch processes, the streams of the log, and items at the engine.
pub struct JobSimulation {
    now: Time,
    workers: Vec<Worker>,
    jobs: Stream<Record>,
    data: Stream<Data>,
    log_down: bool,
    running: Vec<Running>,
    /// Number of runs of each item.
    runs: BTreeMap<(usize, u32), u64>,
    last_run: u64,
    acknowledged: BTreeSet<usize>,
    /// Time at which the log accepted a job's cancellation.
    cancelled: BTreeMap<usize, Time>,
    /// Offset of the first result of each item, which is the expected one.
    results: BTreeMap<(usize, u32), Offset>,
    /// Fence of the first intent of each job, whose writer may run the items.
    first_intents: BTreeMap<usize, Offset>,
    counts: Counts,
}

fn job_id(job: usize) -> JobId {
    JobId::from_raw(job as u64 + 1)
}

fn input_file() -> File {
    File {
        id: FileId::from_raw(1),
        customer: "c".to_owned(),
        name: "in".to_owned(),
        bytes: 1,
        lines: ITEMS,
        chunks: Vec::new(),
        created: 0,
    }
}

fn accepted_job(job: usize) -> Job {
    Job {
        id: job_id(job),
        customer: "c".to_owned(),
        file: input_file().id,
        endpoint: "/v1/x".to_owned(),
        items: ITEMS,
        data_from: Offset::NONE,
        created: 0,
        keep_until: 1,
    }
}

const fn is_idempotent(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Simulation for JobSimulation {
    type Op = Op;

    fn new() -> Self {
        let mut simulation = Self {
            now: Time(100_000),
            workers: (0..WORKERS).map(Worker::new).collect(),
            jobs: Stream::default(),
            data: Stream::default(),
            log_down: false,
            running: Vec::new(),
            runs: BTreeMap::new(),
            last_run: 0,
            acknowledged: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            results: BTreeMap::new(),
            first_intents: BTreeMap::new(),
            counts: Counts::new(),
        };
        simulation.jobs.append(Record::File(input_file()));
        for worker in 0..WORKERS {
            simulation.read_logs(worker);
        }
        simulation
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Advance(ms) => self.now = self.now.plus(u64::from(ms)),
            Op::ReadLogs(worker) => self.read_logs(worker),
            Op::CreateJob {
                worker,
                job,
                lose_reply,
            } => self.create_job(worker, job, lose_reply),
            Op::AcknowledgeJob(worker, job) => self.acknowledge_job(worker, job),
            Op::CancelJob(worker, job) => self.cancel_job(worker, job),
            Op::ClaimJob(worker, job) => self.claim_job(worker, job),
            Op::WriteIntents(worker, job) => self.write_intents(worker, job),
            Op::StartItems(worker, job) => {
                (0..ITEMS).try_for_each(|item| self.start_item(worker, job, item))?;
            }
            Op::FinishItem(index) => self.finish_item(index),
            Op::WriteResults {
                worker,
                job,
                lose_reply,
            } => self.write_results(worker, job, lose_reply),
            Op::CloseJob(worker, job) => self.close_job(worker, job),
            Op::Kill(worker) => self.kill(worker),
            Op::Restart(worker) => self.restart(worker),
            Op::Pause(worker) => {
                self.workers[worker].paused = true;
                self.count("paused");
            }
            Op::Resume(worker) => self.workers[worker].paused = false,
            Op::LogDown => {
                self.log_down = true;
                self.count("log down");
            }
            Op::LogUp => self.log_down = false,
            Op::AppendSnapshot(worker) => self.append_snapshot(worker),
            Op::ExpireLog => {
                if self.jobs.expire_covered() {
                    self.count("log expired");
                }
            }
        }
        self.check_live_workers()
    }

    /// A new reader of the whole log finds every acknowledged job and the first
    /// result of each item.
    fn check_final_state(&mut self) -> Result<(), String> {
        self.log_down = false;
        let mut reader = Worker::new(0);
        reader.read(&self.jobs, &self.data, self.now);
        for job in &self.acknowledged {
            if reader.state.job(job_id(*job)).is_none() {
                return Err(format!("job {job} was acknowledged and is missing"));
            }
        }
        self.check_results(&reader)
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl JobSimulation {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn can_reach_log(&self, worker: usize) -> bool {
        self.is_up(worker) && !self.log_down
    }

    fn is_up(&self, worker: usize) -> bool {
        self.workers[worker].alive && !self.workers[worker].paused
    }

    fn read_logs(&mut self, worker: usize) {
        if self.can_reach_log(worker) {
            self.workers[worker].read(&self.jobs, &self.data, self.now);
        }
    }

    /// Appends a record; returns whether the log could be reached.
    fn append(&mut self, worker: usize, record: Record) -> bool {
        if !self.can_reach_log(worker) {
            self.count("append refused");
            return false;
        }
        if let Record::Cancel(id) = &record {
            let job = (0..JOBS).find(|job| job_id(*job) == *id).unwrap_or(0);
            let mut reader = Worker::new(0);
            reader.read(&self.jobs, &self.data, self.now);
            if reader
                .state
                .job(*id)
                .is_some_and(|job| job.phase == Phase::Open)
            {
                self.cancelled.entry(job).or_insert(self.now);
            }
        }
        self.jobs.append(record);
        true
    }

    fn create_job(&mut self, worker: usize, job: usize, lose_reply: bool) {
        if self.workers[worker].state.job(job_id(job)).is_some() {
            self.count("job sent again");
        }
        if self.append(worker, Record::Accept(accepted_job(job))) && lose_reply {
            self.count("reply lost");
        }
    }

    fn acknowledge_job(&mut self, worker: usize, job: usize) {
        let awaits_acknowledgement = self.is_up(worker) && !self.acknowledged.contains(&job);
        if awaits_acknowledgement && may_acknowledge(&self.workers[worker].state, job_id(job)) {
            self.acknowledged.insert(job);
            self.count("acknowledged");
        }
    }

    fn cancel_job(&mut self, worker: usize, job: usize) {
        if self.append(worker, Record::Cancel(job_id(job))) {
            self.count("cancelled");
        }
    }

    fn claim_job(&mut self, worker: usize, job: usize) {
        let Some(state) = self.workers[worker].state.job(job_id(job)).cloned() else {
            return;
        };
        let member = self.workers[worker].id;
        if state.claim.is_some_and(|claim| claim.claimant == member) {
            return;
        }
        let after = state.claim.map_or(Offset::NONE, |claim| claim.fence);
        let record = Record::Claim {
            job: job_id(job),
            claimant: member,
            incarnation: 1,
            after,
        };
        if self.append(worker, record) {
            self.count("claimed");
            if after != Offset::NONE {
                self.count("claim replaced");
            }
        }
    }

    /// Returns the fence of a worker's claim on a job, by the state that the
    /// worker has applied.
    fn fence(&self, worker: usize, job: usize) -> Option<Offset> {
        let state = self.workers[worker].state.job(job_id(job))?;
        let claim = state
            .claim
            .filter(|claim| claim.claimant == self.workers[worker].id)?;
        Some(claim.fence)
    }

    fn write_intents(&mut self, worker: usize, job: usize) {
        let Some(fence) = self.fence(worker, job) else {
            return;
        };
        if is_idempotent(job) || !self.can_reach_log(worker) {
            return;
        }
        let items = (0..ITEMS).collect();
        let offset = self.data.append(Data::Intent {
            job: job_id(job),
            fence,
            items,
        });
        self.first_intents.entry(job).or_insert(fence);
        self.workers[worker].read_data(&self.data);
        self.workers[worker].intended.insert((job, offset));
    }

    fn start_item(&mut self, worker: usize, job: usize, item: u32) -> Result<(), String> {
        let Some(fence) = self.fence(worker, job).filter(|_| self.is_up(worker)) else {
            return Ok(());
        };
        let has_contact = self.now.since(self.workers[worker].last_read) < CONTACT_TTL_MS;
        if !has_contact {
            self.count("no contact");
        }
        let state = self.workers[worker].state.job(job_id(job)).cloned();
        let state = state.ok_or("a claimed job is missing")?;
        if !may_send(&state, fence, has_contact) {
            return Ok(());
        }
        let may_repeat = is_idempotent(job);
        let has_intent = self.workers[worker]
            .intended
            .iter()
            .any(|(other, _)| *other == job);
        if !may_repeat && !has_intent {
            return Ok(());
        }
        if self.workers[worker].started.contains(&(job, item, fence)) {
            return Ok(());
        }
        match self.workers[worker]
            .items(job)
            .status(item, fence, may_repeat)
        {
            ItemStatus::Done | ItemStatus::ClaimLost => return Ok(()),
            ItemStatus::Unknown => {
                if self
                    .first_intents
                    .get(&job)
                    .is_some_and(|first| *first > fence)
                {
                    return Err(format!(
                        "worker {worker} gave up item {item} of job {job}, which a later claim runs"
                    ));
                }
                self.count("item unknown");
                self.workers[worker]
                    .unwritten
                    .push((job, item, Outcome::Unknown));
                return Ok(());
            }
            ItemStatus::Run => {}
        }
        self.check_cancel(worker, job)?;
        self.workers[worker].started.insert((job, item, fence));
        self.last_run += 1;
        let run = self.last_run;
        let incarnation = self.workers[worker].incarnation;
        self.running.push(Running {
            worker,
            incarnation,
            job,
            item,
            fence,
            run,
        });
        self.count("item started");
        let runs = self.runs.entry((job, item)).or_insert(0);
        *runs += 1;
        if *runs > 1 {
            if !may_repeat {
                return Err(format!(
                    "item {item} of job {job} is not idempotent and ran twice"
                ));
            }
            self.count("item ran again");
        }
        Ok(())
    }

    fn check_cancel(&self, worker: usize, job: usize) -> Result<(), String> {
        let Some(since) = self.cancelled.get(&job) else {
            return Ok(());
        };
        if self.now.since(*since) > CONTACT_TTL_MS {
            return Err(format!(
                "worker {worker} started an item too long after the cancellation of job {job}"
            ));
        }
        Ok(())
    }

    fn finish_item(&mut self, index: usize) {
        if self.running.is_empty() {
            return;
        }
        let running = self.running.swap_remove(index % self.running.len());
        let worker = &mut self.workers[running.worker];
        if worker.alive && worker.incarnation == running.incarnation {
            let outcome = Outcome::Completed(running.run.to_le_bytes().to_vec());
            worker.unwritten.push((running.job, running.item, outcome));
            worker.fences.insert(running.job, running.fence);
        }
    }

    fn write_results(&mut self, worker: usize, job: usize, lose_reply: bool) {
        if !self.can_reach_log(worker) {
            return;
        }
        let unwritten = &self.workers[worker].unwritten;
        let results: Vec<(u32, Outcome)> = unwritten
            .iter()
            .filter(|(other, _, _)| *other == job)
            .map(|(_, item, outcome)| (*item, outcome.clone()))
            .collect();
        if results.is_empty() {
            return;
        }
        let fence = self.workers[worker]
            .fences
            .get(&job)
            .copied()
            .unwrap_or_default();
        let items: Vec<u32> = results.iter().map(|(item, _)| *item).collect();
        let offset = self.data.append(Data::Results {
            job: job_id(job),
            fence,
            results,
        });
        for item in items {
            if self.results.contains_key(&(job, item)) {
                self.count("duplicate result");
            }
            self.results.entry((job, item)).or_insert(offset);
        }
        self.count("result written");
        if lose_reply {
            self.count("reply lost");
        } else {
            self.workers[worker]
                .unwritten
                .retain(|(other, _, _)| *other != job);
        }
    }

    fn close_job(&mut self, worker: usize, job: usize) {
        let Some(fence) = self.fence(worker, job) else {
            return;
        };
        let items = self.workers[worker].items(job);
        if items.remaining() > 0 {
            return;
        }
        let failed = items.failed();
        let record = Record::Close {
            job: job_id(job),
            fence,
            completed: ITEMS - failed,
            failed,
            results: items.records().to_vec(),
        };
        if self.append(worker, record) {
            self.count("closed");
        }
    }

    fn kill(&mut self, worker: usize) {
        if self.workers[worker].alive {
            self.workers[worker].alive = false;
            self.count("killed");
        }
    }

    fn restart(&mut self, worker: usize) {
        if !self.workers[worker].alive {
            let incarnation = self.workers[worker].incarnation + 1;
            self.workers[worker] = Worker::with_incarnation(worker, incarnation);
            self.count("restarted");
        }
    }

    fn append_snapshot(&mut self, worker: usize) {
        let state = Box::new(self.workers[worker].state.clone());
        if self.workers[worker].has_caught_up() && self.append(worker, Record::Carry(state)) {
            self.count("snapshot appended");
        }
    }

    /// Checks that every live worker agrees on the results that it has read.
    fn check_live_workers(&self) -> Result<(), String> {
        self.workers
            .iter()
            .filter(|worker| worker.alive)
            .try_for_each(|w| self.check_results(w))
    }

    fn check_results(&self, worker: &Worker) -> Result<(), String> {
        for ((job, item), first) in &self.results {
            if *first > worker.data_read() {
                continue;
            }
            let seen = worker.items(*job).result_offset(*item);
            if seen != Some(*first) {
                return Err(format!(
                    "item {item} of job {job}: result at {seen:?}, expected {first}"
                ));
            }
        }
        Ok(())
    }
}

/// Returns the items of a job before any record is applied.
fn empty_items(job: usize) -> Items {
    Items::new(job_id(job), ITEMS)
}

/// Returns the member id of a worker.
fn member_id(index: usize, incarnation: u64) -> MemberId {
    MemberId::of(&format!("b{index}#{incarnation}"))
}

/// Returns the state before any record is applied.
fn empty_state() -> State {
    State::default()
}
