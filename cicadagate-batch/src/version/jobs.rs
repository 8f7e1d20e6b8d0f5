/*!
Following the jobs stream.
*/

use {
    cicadagate_node::{event, process::Fold},
    cicadagate_policy::{
        ids::Offset,
        time::Time,
        version::jobs::{Record, State},
    },
    std::cell::{Cell, RefCell},
    tokio::sync::watch,
};

/// Name of the stream.
pub(crate) const JOBS_STREAM: &str = "jobs";

/// The fold of the jobs stream in this process.
pub(crate) struct JobsFold {
    pub state: RefCell<State>,
    is_current: Cell<bool>,
    changed: watch::Sender<Offset>,
}

impl JobsFold {
    pub fn new() -> Self {
        Self {
            state: RefCell::default(),
            is_current: Cell::new(false),
            changed: watch::channel(Offset::NONE).0,
        }
    }

    /// Tells whether the stream was read to its end since the start.
    pub fn is_current(&self) -> bool {
        self.is_current.get()
    }

    /// Returns a receiver that tells of each new version.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.changed.subscribe()
    }
}

impl Fold for JobsFold {
    type Record = Record;

    fn covers(&self, record: &Record) -> Option<Offset> {
        record.covers()
    }

    fn fold(&self, offset: Offset, record: &Record) {
        let took_effect = self.state.borrow_mut().fold(offset, record);
        match record {
            Record::Accept(job) if took_effect => {
                event!(JOB_ACCEPTED, job: = job.id, customer = job.customer.as_str(), items = job.items);
            }
            Record::Cancel(job) if took_effect => event!(JOB_CANCELLED, job: = job),
            _ => {}
        }
        self.changed.send_replace(offset);
    }

    fn skip(&self, offset: Offset) {
        self.state.borrow_mut().skip(offset);
        self.changed.send_replace(offset);
    }

    fn version(&self) -> Offset {
        self.state.borrow().version()
    }

    fn read_to_end(&self, _sent: Time) {
        self.is_current.set(true);
    }
}
