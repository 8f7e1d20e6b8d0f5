/*!
The replicated state of the jobs stream.
*/

use {
    cicadagate_node::{event, process::StreamConsumer},
    cicadagate_policy::{
        ids::Offset,
        process::freshness::Freshness,
        time::Time,
        version::jobs::{Record, State},
    },
    std::cell::{Cell, RefCell},
    tokio::sync::watch,
};

/// Name of the stream.
pub(crate) const JOBS_STREAM: &str = "jobs";

/// Time after the acknowledgement of a job's cancellation within which its items may still
/// start, in milliseconds.
const CANCEL_WITHIN_MS: u64 = 4_000;

/// This process's copy of the jobs' state, replayed from the jobs stream.
pub(crate) struct ReplicatedJobs {
    pub state: RefCell<State>,
    /// When the last read that reached the end of the stream was sent.
    read_to_end: Cell<Option<Time>>,
    version_sender: watch::Sender<Offset>,
}

impl ReplicatedJobs {
    pub fn new() -> Self {
        Self {
            state: RefCell::default(),
            read_to_end: Cell::new(None),
            version_sender: watch::channel(Offset::NONE).0,
        }
    }

    /// Returns `true` if the stream was read to its end since the process
    /// started.
    pub fn has_caught_up(&self) -> bool {
        self.read_to_end.get().is_some()
    }

    /// Returns as of when the jobs are known. It permits items to start: a job may have been
    /// cancelled or claimed by another process since.
    pub fn freshness(&self) -> Freshness {
        Freshness::new(self.read_to_end.get(), CANCEL_WITHIN_MS)
    }

    /// Returns a receiver that is notified of each new version.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.version_sender.subscribe()
    }
}

impl StreamConsumer for ReplicatedJobs {
    type Record = Record;

    fn covered_offset(&self, record: &Record) -> Option<Offset> {
        record.covers()
    }

    fn apply(&self, offset: Offset, record: &Record) {
        let took_effect = self.state.borrow_mut().apply(offset, record);
        match record {
            Record::Accept(job) if took_effect => {
                event!(JOB_ACCEPTED, job: = job.id, customer = job.customer.as_str(), items = job.items);
            }
            Record::Cancel(job) if took_effect => event!(JOB_CANCELLED, job: = job),
            _ => {}
        }
        self.version_sender.send_replace(offset);
    }

    fn skip(&self, offset: Offset) {
        self.state.borrow_mut().skip(offset);
        self.version_sender.send_replace(offset);
    }

    fn applied_offset(&self) -> Offset {
        self.state.borrow().version()
    }

    fn on_caught_up(&self, sent: Time) {
        self.read_to_end.set(self.read_to_end.get().max(Some(sent)));
    }
}
