/*!
Writing data again before its records expire.

Files and results stay readable until their keep-until, while the log keeps
records for less. The first member by turn of a file or job writes its chunks
or results again once they are half as old as records may get, and then names
the copies in the jobs stream. A reader uses the offsets in its fold, so it
finds one or the other; two movers at once leave one set of garbage.

Results of an open job are written again too: the first result of an item wins,
and a copy of it is the same result for whoever reads only the later part.
*/

use {
    super::Batch,
    crate::version::DataStream,
    actix_rt::time::sleep,
    cicadagate_node::{clock::epoch_secs, event},
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        process::{homes::home, membership::Role},
        version::jobs::{File, JobState, Phase, Record},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// How often it is looked what is due.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// When what was last written, as far as this process knows.
#[derive(Default)]
struct Written {
    /// By first offset of the chunks or results, with when it was first seen.
    seen: BTreeMap<(u64, Offset), u64>,
}

impl Written {
    /// Returns the age in seconds of what begins at `first`.
    fn age(&mut self, id: u64, first: Offset, created: u64, now: u64) -> u64 {
        // What was there at the start may be as old as its file or job.
        let is_first_copy = !self.seen.keys().any(|(other, _)| *other == id);
        let since =
            self.seen
                .entry((id, first))
                .or_insert(if is_first_copy { created } else { now });
        now.saturating_sub(*since)
    }
}

/// Writes again for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let (mut files, mut results) = (Written::default(), Written::default());
    loop {
        sleep(LOOK_EVERY).await;
        if !batch.jobs.is_current() || !batch.node.has_contact() {
            continue;
        }
        let due = batch.settings.log_retention_secs / 2;
        let now = epoch_secs();
        for file in batch.all_files() {
            let Some(first) = file.chunks.first().copied() else {
                continue;
            };
            let is_due = files.age(file.id.raw(), first, file.created, now) >= due;
            if is_due && batch.is_mine(file.id.raw()) {
                batch.move_file(&file, first).await;
            }
        }
        for (job, first, records) in batch.closed_jobs() {
            let (id, file, created) = (job.job.id, job.job.file, job.job.created);
            let is_due = results.age(id.raw(), first, created, now) >= due;
            if is_due && batch.is_mine(id.raw()) {
                batch.move_results(id, file, first, &records).await;
            }
        }
    }
}

impl Batch {
    fn all_files(&self) -> Vec<File> {
        self.jobs.state.borrow().files().cloned().collect()
    }

    fn closed_jobs(&self) -> Vec<(JobState, Offset, Vec<Offset>)> {
        let state = self.jobs.state.borrow();
        let closed = state.jobs().filter_map(|job| match &job.phase {
            Phase::Closed { results, .. } => {
                Some((job.clone(), results.first().copied()?, results.clone()))
            }
            _ => None,
        });
        closed.collect()
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

    async fn move_results(&self, job: JobId, file: FileId, from: Offset, records: &[Offset]) {
        let stream = self.data(file);
        if let Some(results) = copy(&stream, records).await {
            self.note_move(&Record::MoveResults { job, from, results })
                .await;
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
