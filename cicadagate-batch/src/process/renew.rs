/*!
Writing data again before its records expire.

Files and results stay readable until their keep-until, while the log keeps
records for less. The first member by turn of a file or job writes its chunks
or results again once they are half as old as records may get, and then names
the copies in the jobs stream. A reader uses the offsets in its fold, so it
finds one or the other; two movers at once leave one set of garbage.

Results of a job that is still open are not written again: a job must end within
half of the log's retention, or its first results may expire before it closes.
*/

use {
    super::Batch,
    crate::version::DataStream,
    actix_rt::time::sleep,
    cicadagate_node::{clock::epoch_secs, event},
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        process::{homes::home, membership::Role},
        version::jobs::{File, Phase, Record},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Looks in half of the log's retention.
const LOOKS: u64 = 50;

/// When what was last written, as far as this process knows.
#[derive(Default)]
struct Written {
    /// First offset of the chunks or results, and when it was first seen.
    seen: BTreeMap<u64, (Offset, u64)>,
}

impl Written {
    /// Returns the age in seconds of what begins at `first`.
    fn age(&mut self, id: u64, first: Offset, created: u64, now: u64) -> u64 {
        // What is seen for the first time may be as old as its file or job.
        let (known, since) = self.seen.entry(id).or_insert((first, created));
        if *known != first {
            (*known, *since) = (first, now);
        }
        now.saturating_sub(*since)
    }

    /// Forgets what is no more.
    fn retain(&mut self, is_there: impl Fn(u64) -> bool) {
        self.seen.retain(|id, _| is_there(*id));
    }
}

/// A closed job's results.
struct Results {
    job: JobId,
    file: FileId,
    from: Offset,
    records: Vec<Offset>,
}

/// Writes again for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let (mut files, mut results) = (Written::default(), Written::default());
    let due = batch.settings.log_retention_secs / 2;
    let look_every = Duration::from_secs((due / LOOKS).max(1));
    loop {
        sleep(look_every).await;
        if !batch.jobs.is_current() || !batch.node.has_contact() {
            continue;
        }
        for (file, from) in batch.due_files(&mut files, due) {
            batch.move_file(&file, from).await;
        }
        for due in batch.due_results(&mut results, due) {
            batch.move_results(&due).await;
        }
    }
}

impl Batch {
    fn due_files(&self, written: &mut Written, due: u64) -> Vec<(File, Offset)> {
        let now = epoch_secs();
        let state = self.jobs.state.borrow();
        written.retain(|id| state.file(FileId::from_raw(id)).is_some());
        let due = state.files().filter_map(|file| {
            let from = file.chunks.first().copied()?;
            let id = file.id.raw();
            let is_due = written.age(id, from, file.created, now) >= due && self.is_mine(id);
            is_due.then(|| (file.clone(), from))
        });
        due.collect()
    }

    fn due_results(&self, written: &mut Written, due: u64) -> Vec<Results> {
        let now = epoch_secs();
        let state = self.jobs.state.borrow();
        written.retain(|id| state.job(JobId::from_raw(id)).is_some());
        let due = state.jobs().filter_map(|job| {
            let Phase::Closed { results, .. } = &job.phase else {
                return None;
            };
            let from = results.first().copied()?;
            let (job, records) = (&job.job, results.clone());
            let id = job.id.raw();
            let is_due = written.age(id, from, job.created, now) >= due && self.is_mine(id);
            is_due.then_some(Results {
                job: job.id,
                file: job.file,
                from,
                records,
            })
        });
        due.collect()
    }

    /// Tells whether this member is the one to write something again.
    fn is_mine(&self, id: u64) -> bool {
        let me = self.node.me();
        home(id, 0, &self.node.places(Role::Batch)) == Some(me.id)
    }

    async fn move_file(&self, file: &File, from: Offset) {
        let stream = self.data(file.id);
        if let Some(chunks) = copy(&stream, &file.chunks).await {
            self.note_move(&Record::MoveFile {
                file: file.id,
                from,
                chunks,
            })
            .await;
        }
    }

    async fn move_results(&self, due: &Results) {
        let stream = self.data(due.file);
        if let Some(results) = copy(&stream, &due.records).await {
            let record = Record::MoveResults {
                job: due.job,
                from: due.from,
                results,
            };
            self.note_move(&record).await;
        }
    }

    async fn note_move(&self, record: &Record) {
        if let Ok(offset) = self.append(record).await {
            event!(RECORDS_RENEWED, offset: = offset);
            // Until it is read back the move would look due again.
            self.wait_for(|state| state.version() >= offset).await;
        }
    }
}

/// Writes records again, in order; `None` if one could not be.
async fn copy(stream: &DataStream, records: &[Offset]) -> Option<Vec<Offset>> {
    let mut copies = Vec::new();
    for offset in records {
        let data = stream.read_one(*offset).await.ok()??;
        copies.push(stream.append(&data).await.ok()?);
    }
    Some(copies)
}
