/*!
Renews files and results in the log: appends copies of their records before
these expire.

Files and results stay readable for `keep_secs`, but the log may keep records
for a shorter time. For each file or job the member that rendezvous hashing
prefers appends copies of the chunks or results once they reach half of the
log's retention, and then appends a record with the copies' offsets to the jobs
stream ([`Record::MoveFile`] or [`Record::MoveResults`]). A reader uses the
offsets of its replicated state, so it finds either the originals or the copies.
If two members copy at once, the first record wins and the other copies are
unused until they expire.

Results of an open job are not copied: a job must end within half of the log's
retention, or its first results may expire before it is closed.
*/

use {
    super::Batch,
    crate::version::DataStream,
    actix_rt::time::sleep,
    cicadagate_node::{clock::unix_time_secs, event},
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        process::{membership::Role, placement::preferred_member},
        version::jobs::{File, Phase, Record},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Scans in the age at which records are copied, which is half of the log's
/// retention.
const SCANS_PER_COPY_AGE: u64 = 50;

/// When files' chunks or jobs' results were last written, as far as this
/// process knows.
#[derive(Default)]
struct WriteTimes {
    /// By id of the file or job: the first offset of its chunks or results, and
    /// the time from which their age is counted, in seconds since the epoch.
    written: BTreeMap<u64, (Offset, u64)>,
}

impl WriteTimes {
    /// Returns the age of the data that begins at offset `first`, in seconds.
    fn age(&mut self, id: u64, first: Offset, created: u64, now: u64) -> u64 {
        // Data that is new to this process may be as old as its file or job.
        let (known, since) = self.written.entry(id).or_insert((first, created));
        if *known != first {
            (*known, *since) = (first, now);
        }
        now.saturating_sub(*since)
    }

    /// Removes entries whose file or job no longer exists.
    fn retain(&mut self, exists: impl Fn(u64) -> bool) {
        self.written.retain(|id, _| exists(*id));
    }
}

/// A closed job's results that are due to be copied.
struct DueResults {
    job: JobId,
    file: FileId,
    /// Offset of the first record.
    from: Offset,
    records: Vec<Offset>,
}

/// Copies due files and results for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let (mut files, mut results) = (WriteTimes::default(), WriteTimes::default());
    let copy_age_secs = batch.settings.log_retention_secs / 2;
    let scan_interval = Duration::from_secs((copy_age_secs / SCANS_PER_COPY_AGE).max(1));
    loop {
        sleep(scan_interval).await;
        if !batch.jobs.has_caught_up() || !batch.node.has_contact() {
            continue;
        }
        for (file, from) in batch.due_files(&mut files, copy_age_secs) {
            batch.copy_file(&file, from).await;
        }
        for due in batch.due_results(&mut results, copy_age_secs) {
            batch.copy_results(&due).await;
        }
    }
}

impl Batch {
    fn due_files(&self, write_times: &mut WriteTimes, copy_age_secs: u64) -> Vec<(File, Offset)> {
        let now = unix_time_secs();
        let state = self.jobs.state.borrow();
        write_times.retain(|id| state.file(FileId::from_raw(id)).is_some());
        let due = state.files().filter_map(|file| {
            let from = file.chunks.first().copied()?;
            let id = file.id.raw();
            let is_due = write_times.age(id, from, file.created, now) >= copy_age_secs
                && self.is_preferred(id);
            is_due.then(|| (file.clone(), from))
        });
        due.collect()
    }

    fn due_results(&self, write_times: &mut WriteTimes, copy_age_secs: u64) -> Vec<DueResults> {
        let now = unix_time_secs();
        let state = self.jobs.state.borrow();
        write_times.retain(|id| state.job(JobId::from_raw(id)).is_some());
        let due = state.jobs().filter_map(|job| {
            let Phase::Closed { results, .. } = &job.phase else {
                return None;
            };
            let from = results.first().copied()?;
            let (job, records) = (&job.job, results.clone());
            let id = job.id.raw();
            let is_due = write_times.age(id, from, job.created, now) >= copy_age_secs
                && self.is_preferred(id);
            is_due.then_some(DueResults {
                job: job.id,
                file: job.file,
                from,
                records,
            })
        });
        due.collect()
    }

    /// Returns `true` if this member is the one that copies the data of a file
    /// or job.
    fn is_preferred(&self, id: u64) -> bool {
        let own_info = self.node.own_info();
        preferred_member(id, 0, &self.node.placement_candidates(Role::Batch)) == Some(own_info.id)
    }

    async fn copy_file(&self, file: &File, from: Offset) {
        let stream = self.data_stream(file.id);
        if let Some(chunks) = copy_records(&stream, &file.chunks).await {
            self.append_move(&Record::MoveFile {
                file: file.id,
                from,
                chunks,
            })
            .await;
        }
    }

    async fn copy_results(&self, due: &DueResults) {
        let stream = self.data_stream(due.file);
        if let Some(results) = copy_records(&stream, &due.records).await {
            let record = Record::MoveResults {
                job: due.job,
                from: due.from,
                results,
            };
            self.append_move(&record).await;
        }
    }

    /// Appends the record that replaces offsets by those of copies to the jobs
    /// stream and waits until it is applied.
    async fn append_move(&self, record: &Record) {
        if let Ok(offset) = self.append(record).await {
            event!(RECORDS_RENEWED, offset: = offset);
            // Until the record is applied, the same data would be due again.
            self.wait_until(|state| state.version() >= offset).await;
        }
    }
}

/// Appends copies of records, in order, and returns their offsets; `None` if
/// one could not be read or appended.
async fn copy_records(stream: &DataStream, records: &[Offset]) -> Option<Vec<Offset>> {
    let mut copies = Vec::new();
    for offset in records {
        let data = stream.read_one(*offset).await.ok()??;
        copies.push(stream.append(&data).await.ok()?);
    }
    Some(copies)
}
