/*!
State and tasks of a batch process: requests, claims and workers.
*/

mod claims;
mod files;
mod renew;
mod requests;
mod snapshot;
mod worker;

use {
    crate::{
        BatchSettings,
        version::{DataStream, JOBS_STREAM, ReplicatedJobs},
    },
    cicadagate_node::{
        connection::peer_server::{PeerHandler, PeerSender},
        event,
        platform::{PlatformError, log::encode},
        process::{Node, follow_stream},
        request::Router,
    },
    cicadagate_policy::{
        ids::{FileId, JobId, Offset},
        request::replica_selection::SelectionPolicy,
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

/// Time that this process waits to read its own record back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of a batch process.
pub(crate) struct Batch {
    pub node: Rc<Node>,
    pub settings: BatchSettings,
    pub jobs: Rc<ReplicatedJobs>,
    pub router: Rc<Router>,
    /// Jobs that have a worker in this process, with the fencing tokens of
    /// their claims.
    pub active_jobs: RefCell<BTreeMap<JobId, Offset>>,
    /// Number of items that run now, over all jobs.
    pub running_items: Cell<usize>,
    weak_self: Weak<Self>,
}

impl Batch {
    /// Creates the state and starts the tasks of the process.
    pub fn start(node: Rc<Node>, settings: BatchSettings) -> Rc<Self> {
        let jobs = Rc::new(ReplicatedJobs::new());
        let batch = Rc::new_cyclic(|weak_self| Self {
            router: Rc::new(Router::new(Rc::clone(&node), SelectionPolicy::Affinity)),
            jobs: Rc::clone(&jobs),
            active_jobs: RefCell::default(),
            running_items: Cell::new(0),
            weak_self: weak_self.clone(),
            settings,
            node: Rc::clone(&node),
        });
        let log = Rc::clone(&node.log);
        actix_rt::spawn(follow_stream(node, log, JOBS_STREAM, jobs));
        actix_rt::spawn(claims::run(Rc::clone(&batch)));
        actix_rt::spawn(snapshot::run(Rc::clone(&batch)));
        actix_rt::spawn(renew::run(Rc::clone(&batch)));
        batch
    }

    /// Returns the data stream of a file and its jobs.
    pub fn data_stream(&self, file: FileId) -> DataStream {
        DataStream::of(&self.node.log, file, self.settings.data_streams)
    }

    /// Returns `true` if the jobs were read recently enough to start items.
    pub fn jobs_are_recent(&self) -> bool {
        self.jobs.freshness().permits(self.node.now())
    }

    /// Appends a record to the jobs stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the append failed or its response was lost; the
    /// record may be in the log in the second case.
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

    /// Waits until the replicated state meets a condition.
    ///
    /// Returns `false` if it does not within [`READ_BACK_TIMEOUT`].
    pub async fn wait_until(
        &self,
        condition: impl Fn(&cicadagate_policy::version::jobs::State) -> bool,
    ) -> bool {
        let mut changes = self.jobs.changes();
        let waiting = async {
            while !condition(&self.jobs.state.borrow()) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        actix_rt::time::timeout(READ_BACK_TIMEOUT, waiting)
            .await
            .is_ok()
    }
}

impl PeerHandler for Batch {
    fn handle(&self, sender: &PeerSender, message: ToServer) {
        let (ToServer::Batch { seq, call }, Some(batch)) = (message, self.weak_self.upgrade())
        else {
            return;
        };
        let sender = sender.clone();
        actix_rt::spawn(async move {
            let reply = batch.handle_request(call).await;
            sender.send(FromServer::Batch { seq, reply });
        });
    }

    fn closed(&self, _sender: &PeerSender) {}
}
