/*!
The batch side of one process: calls, claims and workers.
*/

mod calls;
mod carry;
mod claims;
mod files;
mod renew;
mod worker;

use {
    crate::{
        BatchSettings,
        version::{DataStream, JOBS_STREAM, JobsFold},
    },
    cicadagate_node::{
        connection::server::{Handler, Outbox},
        event,
        platform::{PlatformError, log::encode},
        process::{Node, follow},
        request::Router,
    },
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        request::choice::Rule,
        version::jobs::Record,
    },
    cicadagate_wire::peer::{FromServer, ToServer},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::{Rc, Weak},
        time::Duration,
    },
};

/// Time that this process waits to read its own record back.
const READ_BACK: Duration = Duration::from_secs(5);

/// The batch side of one process.
pub(crate) struct Batch {
    pub node: Rc<Node>,
    pub settings: BatchSettings,
    pub jobs: Rc<JobsFold>,
    pub router: Rc<Router>,
    /// Jobs that a worker of this process works on, by their claim.
    pub working: RefCell<BTreeMap<JobId, Offset>>,
    /// Items that run now, over all jobs.
    pub running_items: Cell<usize>,
    me: Weak<Self>,
}

impl Batch {
    /// Makes the batch side and starts its tasks.
    pub fn start(node: Rc<Node>, settings: BatchSettings) -> Rc<Self> {
        let jobs = Rc::new(JobsFold::new());
        let batch = Rc::new_cyclic(|me| Self {
            router: Rc::new(Router::new(Rc::clone(&node), Rule::Affinity)),
            jobs: Rc::clone(&jobs),
            working: RefCell::default(),
            running_items: Cell::new(0),
            me: me.clone(),
            settings,
            node: Rc::clone(&node),
        });
        let log = Rc::clone(&node.log);
        actix_rt::spawn(follow(node, log, JOBS_STREAM, jobs));
        actix_rt::spawn(claims::run(Rc::clone(&batch)));
        actix_rt::spawn(carry::run(Rc::clone(&batch)));
        actix_rt::spawn(renew::run(Rc::clone(&batch)));
        batch
    }

    /// Returns the data stream of a file and its jobs.
    pub fn data(&self, file: FileId) -> DataStream {
        DataStream::of(&self.node.log, file, self.settings.data_streams)
    }

    /// Appends a record to the jobs stream.
    pub async fn append(&self, record: &Record) -> Result<Offset, PlatformError> {
        let result = self
            .node
            .log
            .append(JOBS_STREAM.to_owned(), encode(record)?)
            .await;
        if let Err(err) = &result {
            event!(APPEND_FAILED, stream = JOBS_STREAM, reason: = err);
        }
        result
    }

    /// Waits until the fold shows what `shows` looks for.
    pub async fn wait_for(
        &self,
        shows: impl Fn(&cicadagate_policy::version::jobs::State) -> bool,
    ) -> bool {
        let mut changes = self.jobs.changes();
        let waiting = async {
            while !shows(&self.jobs.state.borrow()) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        actix_rt::time::timeout(READ_BACK, waiting).await.is_ok()
    }
}

impl Handler for Batch {
    fn handle(&self, outbox: &Outbox, message: ToServer) {
        let (ToServer::Batch { seq, call }, Some(me)) = (message, self.me.upgrade()) else {
            return;
        };
        let outbox = outbox.clone();
        actix_rt::spawn(async move {
            let reply = me.answer(call).await;
            outbox.send(FromServer::Batch { seq, reply });
        });
    }

    fn closed(&self, _outbox: &Outbox) {}
}
