/*!
The worker of one claimed job.

A worker first reads what earlier claimants have written, then runs the items
without a result, packs results into records and closes the job. It stops at
once when the job is cancelled or claimed by another process. While the jobs were
not read recently it starts no items, since it may then learn of neither. Contact
(the lease on the configuration in force) is required too, but doesn't suffice:
the witnesses that renew it without the log know nothing of jobs.

An item that can't be repeated runs only after an intent, a record that names
it, was read back from the log. If the worker is lost before the item has a
result, the next claimant doesn't run the item again and records its outcome as
unknown.

During an outage of the log no items are started, and the results of those that
run stay in a bounded buffer.
*/

use {
    super::{Batch, files::non_empty_lines},
    crate::{
        request::{Line, is_idempotent, run_item},
        version::{DataStream, Position},
    },
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::{JobId, Offset},
        version::jobs::{Data, ItemStatus, Items, JobState, Outcome, Phase, Record, may_send},
    },
    futures_util::{FutureExt, StreamExt, stream::FuturesUnordered},
    std::{
        collections::{BTreeSet, VecDeque},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Delay before a failed operation on the log is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between two checks of what a worker has to do next.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum rate, over all claimed jobs together, of appends whose flush
/// interval has passed. Appends of full records are not limited.
const RESULT_APPENDS_PER_SEC: u64 = 100;
/// Bytes of unwritten results from which no items are started.
const MAX_UNWRITTEN_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of items in one intent record.
const MAX_INTENT_ITEMS: usize = 16;
/// Items of a job that may run at once even if its share is smaller.
const MIN_WINDOW_ITEMS: usize = 4;

struct Worker {
    batch: Rc<Batch>,
    job: JobState,
    fence: Offset,
    stream: DataStream,
    position: Position,
    items: Items,
    lines: Vec<Line>,
    /// Items that are still to be started or to be started again, in order.
    /// Those that turn out to have a result are skipped.
    pending: VecDeque<u32>,
    /// Items whose intent was written and read back under this claim.
    intents_read_back: BTreeSet<u32>,
    unwritten: Vec<(u32, Outcome)>,
    unwritten_bytes: usize,
    /// When the first unwritten result arrived or the last write failed.
    unwritten_since: Instant,
}

/// Why a worker stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// Every item has a result, and the job is closed or was cancelled while it
    /// was being closed.
    Closed,
    /// The job was cancelled, has expired or is claimed by another process.
    ClaimLost,
}

/// Works on a job until it is closed or cancelled, or its claim is lost.
pub(super) async fn run(batch: Rc<Batch>, job: JobState, fence: Offset) {
    let id = job.job.id;
    if let Some(mut worker) = Worker::prepare(Rc::clone(&batch), job, fence).await {
        worker.work().await;
    }
    let mut active_jobs = batch.active_jobs.borrow_mut();
    if active_jobs.get(&id) == Some(&fence) {
        active_jobs.remove(&id);
    }
}

/// Returns `true` if the job is open and claimed with the fencing token
/// `fence`.
fn holds_claim(batch: &Batch, job: JobId, fence: Offset) -> bool {
    let state = batch.jobs.state.borrow();
    state.job(job).is_some_and(|job| may_send(job, fence, true))
}

impl Worker {
    /// Reads the input file and what was written so far; `None` if the claim is
    /// lost.
    async fn prepare(batch: Rc<Batch>, job: JobState, fence: Offset) -> Option<Self> {
        let file = batch.jobs.state.borrow().file(job.job.file).cloned()?;
        let body = loop {
            if !holds_claim(&batch, job.job.id, fence) {
                return None;
            }
            if let Some(body) = batch.file_body(&file).await {
                break body;
            }
            sleep(LOG_RETRY_DELAY).await;
        };
        let parsed_lines: Vec<Line> = non_empty_lines(&body)
            .filter_map(|line| serde_json::from_slice(line).ok())
            .collect();
        let stream = batch.data_stream(job.job.file);
        let mut worker = Self {
            items: Items::new(job.job.id, job.job.items),
            position: Position(job.job.data_from),
            pending: VecDeque::new(),
            intents_read_back: BTreeSet::new(),
            unwritten: Vec::new(),
            unwritten_bytes: 0,
            unwritten_since: Instant::now(),
            lines: parsed_lines,
            batch,
            job,
            fence,
            stream,
        };
        worker.catch_up().await?;
        worker.pending = (0..worker.job.job.items).collect();
        Some(worker)
    }

    /// Reads the data stream to its current end, with retries; `None` if the
    /// claim is lost.
    async fn catch_up(&mut self) -> Option<()> {
        loop {
            if !self.holds_claim() {
                return None;
            }
            if self.read_to_end().await {
                return Some(());
            }
            sleep(LOG_RETRY_DELAY).await;
        }
    }

    /// Reads the data stream to its current end; returns `true` on success.
    async fn read_to_end(&mut self) -> bool {
        match self.stream.end().await {
            Ok(end) => self.read_until(end).await,
            Err(_) => false,
        }
    }

    async fn read_until(&mut self, end: Offset) -> bool {
        let items = &mut self.items;
        let apply = |offset, data: &Data| {
            items.apply(offset, data);
        };
        self.stream
            .read_until(&mut self.position, end, apply)
            .await
            .is_ok()
    }

    async fn work(&mut self) -> StopReason {
        let mut running = FuturesUnordered::new();
        loop {
            if !self.holds_claim() {
                // Dropping the running items cancels them at their owners.
                return StopReason::ClaimLost;
            }
            while running.len() < self.window() && self.may_start_items() {
                let Some(index) = self.next_item().await else {
                    break;
                };
                // An intent may have taken long to be written.
                if !self.may_start_items() || !self.holds_claim() {
                    self.pending.push_front(index);
                    break;
                }
                let (batch, job) = (Rc::clone(&self.batch), self.job.job.clone());
                let Some(line) = self.lines.get(index as usize).cloned() else {
                    self.buffer_result(index, Outcome::Failed("the line is missing".to_owned()));
                    continue;
                };
                let fence = self.fence;
                running.push(async move {
                    let _guard = batch.node.track_running();
                    batch.running_items.set(batch.running_items.get() + 1);
                    let outcome = run_item(&batch, &job, fence, index, &line).await;
                    batch.running_items.set(batch.running_items.get() - 1);
                    (index, outcome)
                });
            }
            self.flush_if_due(running.is_empty()).await;
            if running.is_empty() {
                if self.items.remaining() == 0 && self.close().await {
                    return StopReason::Closed;
                }
                sleep(POLL_INTERVAL).await;
                if self.pending.is_empty() && self.unwritten.is_empty() {
                    // Results that were written but not read back are not
                    // counted in `items` yet.
                    self.read_to_end().await;
                }
                continue;
            }
            let timer = sleep(POLL_INTERVAL);
            tokio::select! {
                Some((index, outcome)) = running.next() => {
                    self.finish_item(index, outcome);
                    while let Some(Some((index, outcome))) = running.next().now_or_never() {
                        self.finish_item(index, outcome);
                    }
                }
                () = timer => {}
            }
        }
    }

    /// Buffers the outcome of an item, or queues the item again if it has none.
    fn finish_item(&mut self, index: u32, outcome: Option<Outcome>) {
        match outcome {
            Some(outcome) => self.buffer_result(index, outcome),
            None => self.pending.push_back(index),
        }
    }

    /// Returns the number of open jobs that any process has claimed, at least
    /// 1.
    fn claimed_job_count(&self) -> usize {
        let state = self.batch.jobs.state.borrow();
        state
            .open_jobs()
            .filter(|job| job.claim.is_some())
            .count()
            .max(1)
    }

    /// Returns the number of items of this job that may run at once: its equal
    /// share, among all claimed jobs, of `window_percent` of the endpoints'
    /// streams, but at least [`MIN_WINDOW_ITEMS`].
    fn window(&self) -> usize {
        let listed = self.batch.node.listed_instances.borrow();
        let streams: usize = listed
            .endpoints
            .values()
            .map(|e| e.max_streams.max(1))
            .sum();
        let share = streams * self.batch.settings.window_percent / 100 / self.claimed_job_count();
        share.max(MIN_WINDOW_ITEMS)
    }

    /// Returns how long results are gathered before they are written, long
    /// enough that all claimed jobs together stay within
    /// [`RESULT_APPENDS_PER_SEC`].
    fn flush_interval(&self) -> Duration {
        let min_ms = self.claimed_job_count() as u64 * 1_000 / RESULT_APPENDS_PER_SEC;
        Duration::from_millis(self.batch.settings.flush_ms.max(min_ms))
    }

    fn holds_claim(&self) -> bool {
        holds_claim(&self.batch, self.job.job.id, self.fence)
    }

    /// Returns `true` if the worker may start items now.
    fn may_start_items(&self) -> bool {
        let node = &self.batch.node;
        let is_serving = node.has_contact() && node.phase().is_advertised();
        is_serving && self.batch.jobs_are_recent() && self.unwritten_bytes < MAX_UNWRITTEN_BYTES
    }

    /// Returns the next item to run; `None` if there is none or an intent could
    /// not be written.
    async fn next_item(&mut self) -> Option<u32> {
        while let Some(index) = self.pending.pop_front() {
            let line = self.lines.get(index as usize);
            let idempotent =
                line.is_none_or(|line| is_idempotent(&self.batch, &self.job.job, line));
            if !idempotent && !self.intents_read_back.contains(&index) {
                self.pending.push_front(index);
                self.write_intent().await?;
                continue;
            }
            match self.items.status(index, self.fence, idempotent) {
                ItemStatus::Run => return Some(index),
                ItemStatus::Done | ItemStatus::ClaimLost => {}
                ItemStatus::Unknown => self.buffer_result(index, Outcome::Unknown),
            }
        }
        None
    }

    /// Writes an intent for the next pending items and reads it back; `None` if
    /// either fails.
    async fn write_intent(&mut self) -> Option<()> {
        let items: Vec<u32> = self
            .pending
            .iter()
            .take(MAX_INTENT_ITEMS)
            .copied()
            .collect();
        let (job, fence) = (self.job.job.id, self.fence);
        let intent = Data::Intent {
            job,
            fence,
            items: items.clone(),
        };
        // If the append's response is lost, the record may still be in the log.
        // It belongs to this claim, so writing it again changes nothing.
        let offset = self.stream.append(&intent).await.ok()?;
        if !self.read_until(offset).await {
            return None;
        }
        self.intents_read_back.extend(items);
        Some(())
    }

    fn buffer_result(&mut self, index: u32, outcome: Outcome) {
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

    /// Writes the buffered results if they are due or a record is full.
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
            // Results count in log order: another claimant's result of an item
            // wins if it comes first.
            if !self.read_until(offset).await {
                sleep(LOG_RETRY_DELAY).await;
            }
            return;
        }
        event!(APPEND_FAILED, stream = "data", job: = job);
        if let Data::Results { results, .. } = data {
            // The results stay for the next try. If the record did arrive, it
            // is in the log twice and the first one counts.
            self.unwritten = results;
            self.unwritten_since = Instant::now();
        }
        sleep(LOG_RETRY_DELAY).await;
    }

    /// Closes the job; returns `true` if it is closed or cancelled.
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
        // The replicated state shows the result, also if the append's response
        // is lost.
        let _ = self.batch.append(&record).await;
        let ended = |state: &JobState| state.phase != Phase::Open;
        let is_closed = self
            .batch
            .wait_until(|state| state.job(job).is_some_and(ended))
            .await;
        if is_closed {
            event!(JOB_CLOSED, job: = job, failed);
        }
        is_closed
    }
}
