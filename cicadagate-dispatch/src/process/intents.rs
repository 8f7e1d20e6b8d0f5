/*!
Write-ahead intents for non-idempotent requests with an idempotency key.

A caller may retry such a request, but it must run only once. Before running
it, a dispatcher appends an intent to the log; only the member whose intent
comes first in the log may run the request.
*/

use {
    cicadagate_node::{
        event,
        platform::log::encode,
        process::{Node, StreamConsumer, follow_stream},
    },
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        time::Time,
        version::intents::{Intent, MAX_INTENTS, State},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// Name of the log stream of intents.
const STREAM: &str = "intents";
/// Maximum time until this process reads its own intent back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// This process's intent came first, and it has not run the request yet.
    Granted,
    /// The request may have been run already, here or elsewhere.
    MaybeRun,
    /// The log did not return the intent in time.
    Unavailable,
}

/// Intents that this process has read from the log, and the requests it
/// started.
pub(crate) struct Intents {
    replicated: Rc<ReplicatedIntents>,
    member: MemberId,
    /// Requests that this process has started to run.
    started: RefCell<BTreeSet<RequestId>>,
}

impl Intents {
    /// Starts following the stream of intents.
    pub fn start(node: &Rc<Node>) -> Self {
        let replicated = Rc::new(ReplicatedIntents {
            state: RefCell::default(),
            is_current: Cell::new(false),
            changed: watch::channel(Offset::NONE).0,
        });
        let log = Rc::clone(&node.log);
        actix_rt::spawn(follow_stream(
            Rc::clone(node),
            log,
            STREAM,
            Rc::clone(&replicated),
        ));
        Self {
            replicated,
            member: node.own_info().id,
            started: RefCell::default(),
        }
    }

    /// Claims a request before it is run.
    pub async fn claim(&self, node: &Node, id: RequestId) -> Claim {
        if self.started.borrow().contains(&id) {
            return Claim::MaybeRun;
        }
        self.evict_started();
        let known = self.replicated.state.borrow().first_member(id);
        let first = match known {
            Some(first) => Some(first),
            None => self.append_intent(node, id).await,
        };
        match first {
            None => Claim::Unavailable,
            // Two attempts may have waited for the same record; only one of
            // them inserts the id.
            Some(first) if first == self.member && self.started.borrow_mut().insert(id) => {
                Claim::Granted
            }
            Some(_) => Claim::MaybeRun,
        }
    }

    /// Removes started requests whose intents are no longer in the state.
    fn evict_started(&self) {
        let mut started = self.started.borrow_mut();
        // The scan runs only at twice the size, so that few claims pay for it.
        if started.len() > 2 * MAX_INTENTS {
            let state = self.replicated.state.borrow();
            started.retain(|id| state.first_member(*id).is_some());
        }
    }

    /// Appends an intent and returns the member whose intent came first.
    async fn append_intent(&self, node: &Node, id: RequestId) -> Option<MemberId> {
        let body = encode(&Intent {
            id,
            member: self.member,
        })
        .ok()?;
        let mut changes = self.replicated.changed.subscribe();
        // The record may be in the log even if the append failed, since only
        // the response may be lost. So the result is always read back from the
        // stream.
        if let Err(err) = node.log.append(STREAM.to_owned(), body).await {
            event!(APPEND_FAILED, stream = STREAM, reason: = err);
        }
        let waiting = async {
            loop {
                let first = self.replicated.state.borrow().first_member(id);
                if first.is_some() && self.replicated.is_current.get() {
                    return first;
                }
                changes.changed().await.ok()?;
            }
        };
        actix_rt::time::timeout(READ_BACK_TIMEOUT, waiting)
            .await
            .ok()?
    }
}

/// State replicated from the stream of intents.
struct ReplicatedIntents {
    state: RefCell<State>,
    /// Whether the stream has been read to its end since the start.
    is_current: Cell<bool>,
    changed: watch::Sender<Offset>,
}

impl StreamConsumer for ReplicatedIntents {
    type Record = Intent;

    fn covered_offset(&self, _record: &Intent) -> Option<Offset> {
        None
    }

    /// Returns `true`: expired intents are older than any expected retry.
    fn allows_gaps(&self) -> bool {
        true
    }

    fn apply(&self, offset: Offset, record: &Intent) {
        self.state.borrow_mut().apply(offset, record);
        self.changed.send_replace(offset);
    }

    fn skip(&self, offset: Offset) {
        self.state.borrow_mut().skip(offset);
    }

    fn applied_offset(&self) -> Offset {
        self.state.borrow().version()
    }

    fn on_caught_up(&self, _sent: Time) {
        self.is_current.set(true);
        self.changed.send_replace(self.applied_offset());
    }
}
