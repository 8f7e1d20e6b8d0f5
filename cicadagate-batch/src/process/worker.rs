/*!
Working on one claimed job.

A worker first reads what earlier claimants have written, then runs the items
without a result, packs results into records and closes the job. It stops at
once when the job is cancelled or claimed by another, and pauses without
contact: then it could hear of neither.

In an outage of the log results are kept in a bounded buffer; when that is
full no further item is begun.
*/

use {
    super::{Batch, files::lines},
    crate::{
        request::{Line, is_idempotent, run_item},
        version::{DataStream, Position},
    },
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::{JobId, Offset},
        version::jobs::{Data, Items, JobState, Next, Outcome, Phase, Record, may_send},
    },
    futures_util::{FutureExt, StreamExt, stream::FuturesUnordered},
    std::{
        collections::{BTreeSet, VecDeque},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Pause before a failed call to the log is repeated.
const LOG_PAUSE: Duration = Duration::from_millis(300);
/// Pause of a worker that may not begin items.
const IDLE_PAUSE: Duration = Duration::from_millis(50);
/// Appends a second that results of all jobs may take because of time; full
/// records come on top.
const RESULT_APPENDS_PER_SEC: u64 = 100;
/// Bytes of unwritten results above which no item is begun.
const MAX_UNWRITTEN_BYTES: usize = 8 * 1024 * 1024;
/// Items that can't be repeated in one intent record.
const INTENT_ITEMS: usize = 16;
/// Least number of items that run at once.
const MIN_WINDOW: usize = 4;

struct Worker {
    batch: Rc<Batch>,
    job: JobState,
    fence: Offset,
    stream: DataStream,
    position: Position,
    items: Items,
    lines: Vec<Line>,
    todo: VecDeque<u32>,
    /// Items whose intent was read back as this claim's.
    intended: BTreeSet<u32>,
    unwritten: Vec<(u32, Outcome)>,
    unwritten_bytes: usize,
    unwritten_since: Instant,
}

/// Why a worker ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Every item has a result and the job is closed.
    Closed,
    /// Cancelled, or claimed by another.
    Lost,
}

/// Works on a job until it is closed, cancelled or lost.
pub(super) async fn run(batch: Rc<Batch>, job: JobState, fence: Offset) {
    let id = job.job.id;
    if let Some(mut worker) = Worker::prepare(Rc::clone(&batch), job, fence).await {
        worker.work().await;
    }
    let mut working = batch.working.borrow_mut();
    if working.get(&id) == Some(&fence) {
        working.remove(&id);
    }
}

fn still_mine(batch: &Batch, job: JobId, fence: Offset) -> bool {
    let state = batch.jobs.state.borrow();
    state.job(job).is_some_and(|job| may_send(job, fence, true))
}

impl Worker {
    /// Reads the input and what was written so far; `None` if the job is lost.
    async fn prepare(batch: Rc<Batch>, job: JobState, fence: Offset) -> Option<Self> {
        let file = batch.jobs.state.borrow().file(job.job.file).cloned()?;
        let body = loop {
            if !still_mine(&batch, job.job.id, fence) {
                return None;
            }
            if let Some(body) = batch.file_body(&file).await {
                break body;
            }
            sleep(LOG_PAUSE).await;
        };
        let parsed: Vec<Line> = lines(&body)
            .filter_map(|line| serde_json::from_slice(line).ok())
            .collect();
        let stream = batch.data(job.job.file);
        let mut worker = Self {
            items: Items::new(job.job.id, job.job.items),
            position: Position(job.job.data_from),
            todo: VecDeque::new(),
            intended: BTreeSet::new(),
            unwritten: Vec::new(),
            unwritten_bytes: 0,
            unwritten_since: Instant::now(),
            lines: parsed,
            batch,
            job,
            fence,
            stream,
        };
        worker.catch_up().await?;
        worker.todo = (0..worker.job.job.items).collect();
        Some(worker)
    }

    /// Reads the data stream to its present end.
    async fn catch_up(&mut self) -> Option<()> {
        loop {
            if !still_mine(&self.batch, self.job.job.id, self.fence) {
                return None;
            }
            if self.read_to_end().await {
                return Some(());
            }
            sleep(LOG_PAUSE).await;
        }
    }

    async fn read_to_end(&mut self) -> bool {
        match self.stream.end().await {
            Ok(end) => self.read_until(end).await,
            Err(_) => false,
        }
    }

    async fn read_until(&mut self, end: Offset) -> bool {
        let items = &mut self.items;
        let each = |offset, data: &Data| {
            items.fold(offset, data);
        };
        self.stream
            .read_until(&mut self.position, end, each)
            .await
            .is_ok()
    }

    async fn work(&mut self) -> End {
        let mut running = FuturesUnordered::new();
        loop {
            if !still_mine(&self.batch, self.job.job.id, self.fence) {
                // Dropping the running items cancels them at their homes.
                return End::Lost;
            }
            while running.len() < self.window() && self.may_begin() {
                let Some(index) = self.next_item().await else {
                    break;
                };
                let (batch, job) = (Rc::clone(&self.batch), self.job.job.clone());
                let Some(line) = self.lines.get(index as usize).cloned() else {
                    self.keep(index, Outcome::Failed("the line is missing".to_owned()));
                    continue;
                };
                running.push(async move {
                    let _guard = batch.node.count_running();
                    batch.running_items.set(batch.running_items.get() + 1);
                    let outcome = run_item(&batch, &job, index, &line).await;
                    batch.running_items.set(batch.running_items.get() - 1);
                    (index, outcome)
                });
            }
            self.flush_if_due(running.is_empty()).await;
            if running.is_empty() {
                if self.items.remaining() == 0 && self.close().await {
                    return End::Closed;
                }
                sleep(IDLE_PAUSE).await;
                if self.todo.is_empty() && self.unwritten.is_empty() {
                    // What was written but not read back must be counted.
                    self.read_to_end().await;
                }
                continue;
            }
            let pause = sleep(IDLE_PAUSE);
            tokio::select! {
                Some((index, outcome)) = running.next() => {
                    self.take(index, outcome);
                    while let Some(Some((index, outcome))) = running.next().now_or_never() {
                        self.take(index, outcome);
                    }
                }
                () = pause => {}
            }
        }
    }

    fn take(&mut self, index: u32, outcome: Option<Outcome>) {
        match outcome {
            Some(outcome) => self.keep(index, outcome),
            None => self.todo.push_back(index),
        }
    }

    /// Jobs that are worked on anywhere.
    fn jobs_worked_on(&self) -> usize {
        let state = self.batch.jobs.state.borrow();
        state
            .open_jobs()
            .filter(|job| job.claim.is_some())
            .count()
            .max(1)
    }

    /// Items of this job that may run at once: its part of the replicas'
    /// streams among the jobs that are worked on anywhere.
    fn window(&self) -> usize {
        let listing = self.batch.node.listing.borrow();
        let streams: usize = listing
            .endpoints
            .values()
            .map(|e| e.max_streams.max(1))
            .sum();
        let share = streams * self.batch.settings.window_percent / 100 / self.jobs_worked_on();
        share.max(MIN_WINDOW)
    }

    /// Longest wait of a result, so that all jobs' results together stay
    /// within their share of the log's appends.
    fn flush_interval(&self) -> Duration {
        let shared = self.jobs_worked_on() as u64 * 1_000 / RESULT_APPENDS_PER_SEC;
        Duration::from_millis(self.batch.settings.flush_ms.max(shared))
    }

    fn may_begin(&self) -> bool {
        let node = &self.batch.node;
        let is_serving = node.has_contact() && node.phase().is_given_out();
        is_serving && self.unwritten_bytes < MAX_UNWRITTEN_BYTES
    }

    /// Returns the next item to run.
    async fn next_item(&mut self) -> Option<u32> {
        while let Some(index) = self.todo.pop_front() {
            let line = self.lines.get(index as usize);
            let idempotent =
                line.is_none_or(|line| is_idempotent(&self.batch, &self.job.job, line));
            if !idempotent && !self.intended.contains(&index) {
                self.todo.push_front(index);
                self.write_intent().await?;
                continue;
            }
            match self.items.next(index, self.fence, idempotent) {
                Next::Run => return Some(index),
                Next::Done => {}
                Next::Unknown => self.keep(index, Outcome::Unknown),
            }
        }
        None
    }

    /// Writes and reads back the intent for the next items.
    async fn write_intent(&mut self) -> Option<()> {
        let items: Vec<u32> = self.todo.iter().take(INTENT_ITEMS).copied().collect();
        let (job, fence) = (self.job.job.id, self.fence);
        let intent = Data::Intent {
            job,
            fence,
            items: items.clone(),
        };
        // With the answer lost, the record may be there all the same. It is
        // this claim's own, so writing it again changes nothing.
        let offset = self.stream.append(&intent).await.ok()?;
        if !self.read_until(offset).await {
            return None;
        }
        self.intended.extend(items);
        Some(())
    }

    fn keep(&mut self, index: u32, outcome: Outcome) {
        let (label, bytes) = match &outcome {
            Outcome::Completed(body) => ("completed", body.len()),
            Outcome::Failed(reason) => ("failed", reason.len()),
            Outcome::Unknown => ("unknown", 0),
        };
        self.batch
            .node
            .metrics
            .items
            .with_label_values(&[label])
            .inc();
        if self.unwritten.is_empty() {
            self.unwritten_since = Instant::now();
        }
        self.unwritten_bytes += bytes + 16;
        self.unwritten.push((index, outcome));
    }

    async fn flush_if_due(&mut self, is_idle: bool) {
        let waited = self.unwritten_since.elapsed();
        let is_due = waited >= self.flush_interval() || is_idle;
        if self.unwritten.is_empty()
            || (!is_due && self.unwritten_bytes < self.batch.settings.record_bytes)
        {
            return;
        }
        let (job, fence) = (self.job.job.id, self.fence);
        let results = std::mem::take(&mut self.unwritten);
        let data = Data::Results {
            job,
            fence,
            results,
        };
        let appended = self.stream.append(&data).await;
        if let Ok(offset) = appended {
            self.unwritten_bytes = 0;
            // The results count as the log orders them, after others' if
            // those came first.
            if !self.read_until(offset).await {
                sleep(LOG_PAUSE).await;
            }
            return;
        }
        event!(APPEND_FAILED, stream = "data", job: = job);
        if let Data::Results { results, .. } = data {
            // Kept for the next try; a record that did arrive only comes
            // twice, and the first one counts.
            self.unwritten = results;
            self.unwritten_since = Instant::now();
        }
        sleep(LOG_PAUSE).await;
    }

    /// Closes the job; returns whether it is closed.
    async fn close(&mut self) -> bool {
        let (job, fence) = (self.job.job.id, self.fence);
        let failed = self.items.failed();
        let record = Record::Close {
            job,
            fence,
            completed: self.job.job.items - failed,
            failed,
            results: self.items.records().to_vec(),
        };
        // With the answer lost the fold tells.
        let _ = self.batch.append(&record).await;
        let ended = |state: &JobState| state.phase != Phase::Open;
        let is_closed = self
            .batch
            .wait_for(|state| state.job(job).is_some_and(ended))
            .await;
        if is_closed {
            event!(JOB_CLOSED, job: = job, failed);
        }
        is_closed
    }
}
