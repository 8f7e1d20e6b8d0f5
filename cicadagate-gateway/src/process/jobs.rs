/*!
The index of batch jobs: built from a log in the store, and appended to.

A response about a job must not be based on a stale index: [`Jobs::sync`]
returns once the index holds all records that were in the store when it was
called. Nor must the start of an item, which may be older by a part of the time
after a cancellation: [`Jobs::refresh`] reads the index only if it is older. Records that
are queued while an append is in progress are appended together.
*/

use {
    super::{Gateway, fleet_store::StoreReachability},
    crate::platform::{Result, StoreError},
    actix_rt::time::{sleep, timeout},
    bytes::Bytes,
    cicadagate_node::{clock::unix_time_ms, event},
    cicadagate_policy::{
        process::freshness::index_read_interval_ms,
        time::Time,
        version::job_index::{JobIndex, Record},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{Mutex, Notify, oneshot},
};

/// Topic of the index.
const TOPIC: &str = "cicadagate.jobs";
/// Partition of the index: only one, since the order of the records matters.
const PARTITION: u32 = 0;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Most bytes of one read.
const MAX_READ_BYTES: usize = 1024 * 1024;
/// Most records of one append.
const MAX_APPEND_RECORDS: usize = 200;
/// Number of periodic reads between removals of old jobs.
const READS_PER_CLEANUP: u64 = 100;

struct PendingAppend {
    record: Bytes,
    done: oneshot::Sender<Result<()>>,
}

/// The job index and its synchronization with the store.
#[derive(Default)]
pub struct Jobs {
    /// Index built from the records read so far.
    pub index: RefCell<JobIndex>,
    next_offset: Cell<u64>,
    synced_at: Cell<Option<Time>>,
    /// Whether the last read failed.
    has_failed: Cell<bool>,
    /// Notified when a read has failed.
    failed: Notify,
    read_lock: Mutex<()>,
    changed: Notify,
    append_queue: RefCell<Vec<PendingAppend>>,
    is_appending: Cell<bool>,
}

/// Reads the index periodically until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let mut reachability = StoreReachability::new("jobs");
    let mut reads = 0_u64;
    loop {
        let outcome = gateway.jobs.sync(&gateway, gateway.now()).await;
        reachability.note(outcome.as_ref().err());
        if outcome.is_err() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        reads += 1;
        if reads.is_multiple_of(READS_PER_CLEANUP) {
            remove_old_jobs(&gateway);
        }
        wait_for_next_read(&gateway).await;
    }
}

/// Waits until the index is as old as it may be without a request or item that needs it.
async fn wait_for_next_read(gateway: &Gateway) {
    loop {
        // Requests about jobs and items that start add reads.
        let interval_ms = index_read_interval_ms(gateway.member_count());
        let age_ms = gateway.jobs.age_ms(gateway.now()).unwrap_or(u64::MAX);
        // The index may be read for others meanwhile.
        let left_ms = interval_ms.saturating_sub(age_ms);
        if left_ms == 0 {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(left_ms)) => {}
            // Items wait for the next read that succeeds.
            () = gateway.jobs.failed.notified() => {
                sleep(RETRY_DELAY).await;
                return;
            }
        }
    }
}

fn remove_old_jobs(gateway: &Rc<Gateway>) {
    let keep_ms = gateway.bounds().keep_results.as_millis();
    // A job is kept for twice the time that its results must be readable.
    let keep_ms = u64::try_from(keep_ms).unwrap_or(u64::MAX).saturating_mul(2);
    let before = unix_time_ms().saturating_sub(keep_ms);
    let mut index = gateway.jobs.index.borrow_mut();
    index.remove_before(before);
    gateway.metrics.set_state("jobs", index.len());
}

impl Jobs {
    /// Waits until the index holds all records that were in the store at
    /// `since`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    pub async fn sync(&self, gateway: &Rc<Gateway>, since: Time) -> Result<()> {
        let _read_guard = self.read_lock.lock().await;
        if self.synced_at.get().is_some_and(|synced| synced > since) {
            return Ok(());
        }
        self.read(gateway).await
    }

    /// Waits until the index is recent enough to start items by it, and reads it if needed.
    /// After a read that failed, only the periodic reads read it until that succeeds: many items
    /// may wait.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    pub async fn refresh(&self, gateway: &Rc<Gateway>) -> Result<()> {
        if gateway.index_freshness().permits(gateway.now()) {
            return Ok(());
        }
        let _read_guard = self.read_lock.lock().await;
        // Another task may have read it meanwhile.
        if gateway.index_freshness().permits(gateway.now()) {
            return Ok(());
        }
        if self.has_failed.get() {
            return Err(StoreError::NotDone {
                reason: "the last read failed".to_owned(),
            });
        }
        self.read(gateway).await
    }

    /// Reads the index to its end. The lock is held.
    async fn read(&self, gateway: &Rc<Gateway>) -> Result<()> {
        let outcome = self.read_to_end(gateway).await;
        self.has_failed.set(outcome.is_err());
        if outcome.is_err() {
            self.failed.notify_one();
        }
        outcome
    }

    async fn read_to_end(&self, gateway: &Rc<Gateway>) -> Result<()> {
        loop {
            let read_started = gateway.now();
            let from = self.next_offset.get();
            let read = gateway
                .store
                .read(TOPIC, PARTITION, from, MAX_READ_BYTES, Duration::ZERO);
            let page = match read.await {
                Ok(page) => page,
                Err(StoreError::Expired { first }) => {
                    event!(LOG_GAP, from, first);
                    self.next_offset.set(first);
                    continue;
                }
                Err(err) => return Err(err),
            };
            let count = page.records.len() as u64;
            for record in &page.records {
                self.apply(record);
            }
            self.next_offset.set(page.from.max(from) + count);
            if count > 0 {
                self.changed.notify_waiters();
            }
            if self.next_offset.get() >= page.end {
                self.synced_at.set(Some(read_started));
                return Ok(());
            }
        }
    }

    fn apply(&self, record: &Bytes) {
        match postcard::from_bytes::<Record>(record) {
            Ok(record) => {
                self.index.borrow_mut().apply(record);
            }
            Err(err) => event!(RECORD_SKIPPED, key = TOPIC, reason: = err),
        }
    }

    /// Returns whether the index was up to date at most `within_ms` ago.
    #[must_use]
    pub fn is_fresh(&self, now: Time, within_ms: u64) -> bool {
        self.synced_at
            .get()
            .is_some_and(|synced| now.since(synced) <= within_ms)
    }

    /// Returns the time as of which the index is known; `None` if it was never read.
    #[must_use]
    pub const fn synced_at(&self) -> Option<Time> {
        self.synced_at.get()
    }

    /// Returns the time since which the index was up to date, in milliseconds;
    /// `None` if it never was.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.synced_at.get().map(|synced| now.since(synced))
    }

    /// Waits until the index changes, for at most `max_wait`.
    pub async fn wait_for_change(&self, max_wait: Duration) {
        // The calling code checks the index again, changed or not.
        let _ = timeout(max_wait, self.changed.notified()).await;
    }

    /// Appends a record to the index.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not acknowledge the record. It may
    /// have been appended nevertheless; appending it again is harmless.
    pub async fn append(&self, gateway: &Rc<Gateway>, record: &Record) -> Result<()> {
        let record = postcard::to_stdvec(record).map_err(|err| StoreError::NotDone {
            reason: err.to_string(),
        })?;
        let (done, outcome) = oneshot::channel();
        self.append_queue.borrow_mut().push(PendingAppend {
            record: record.into(),
            done,
        });
        if !self.is_appending.replace(true) {
            actix_rt::spawn(flush_appends(Rc::clone(gateway)));
        }
        outcome.await.unwrap_or_else(|_| {
            Err(StoreError::Unknown {
                reason: "append task ended without an outcome".to_owned(),
            })
        })
    }
}

async fn flush_appends(gateway: Rc<Gateway>) {
    let jobs = &gateway.jobs;
    loop {
        let batch: Vec<PendingAppend> = {
            let mut queue = jobs.append_queue.borrow_mut();
            let count = queue.len().min(MAX_APPEND_RECORDS);
            queue.drain(..count).collect()
        };
        if batch.is_empty() {
            jobs.is_appending.set(false);
            return;
        }
        let records = batch.iter().map(|pending| pending.record.clone()).collect();
        let outcome = gateway
            .store
            .append(TOPIC, PARTITION, records)
            .await
            .map(|_| ());
        for pending in batch {
            // The receiver may be gone; the record counts nevertheless.
            let _ = pending.done.send(outcome.clone());
        }
    }
}
