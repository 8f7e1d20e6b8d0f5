/*!
Intents of calls that may not be repeated and that callers may send again.
*/

use {
    cicadagate_node::{
        event,
        platform::log::encode,
        process::{Fold, Node, follow},
    },
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        time::Time,
        version::intents::{Intent, REMEMBERED, State},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// Name of the stream.
const STREAM: &str = "intents";
/// Time that this process waits to read its own record back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a call may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// This home's intent came first, and it has not run it.
    Granted,
    /// It ran or runs, here or elsewhere.
    MaybeRun,
    /// The log does not answer.
    Unavailable,
}

/// The intents as this process knows them.
pub(crate) struct Intents {
    fold: Rc<IntentsFold>,
    member: MemberId,
    /// Calls that this home has begun to run.
    started: RefCell<BTreeSet<RequestId>>,
}

impl Intents {
    pub fn start(node: &Rc<Node>) -> Self {
        let fold = Rc::new(IntentsFold {
            state: RefCell::default(),
            is_current: Cell::new(false),
            changed: watch::channel(Offset::NONE).0,
        });
        let log = Rc::clone(&node.log);
        actix_rt::spawn(follow(Rc::clone(node), log, STREAM, Rc::clone(&fold)));
        Self {
            fold,
            member: node.me().id,
            started: RefCell::default(),
        }
    }

    /// Claims a call before it is run.
    pub async fn claim(&self, node: &Node, id: RequestId) -> Claim {
        if self.started.borrow().contains(&id) {
            return Claim::MaybeRun;
        }
        self.evict_started();
        let known = self.fold.state.borrow().first(id);
        let first = match known {
            Some(first) => Some(first),
            None => self.append_intent(node, id).await,
        };
        match first {
            None => Claim::Unavailable,
            // Two attempts may have waited for the same record.
            Some(first) if first == self.member && self.started.borrow_mut().insert(id) => {
                Claim::Granted
            }
            Some(_) => Claim::MaybeRun,
        }
    }

    /// Keeps what was begun no longer than the fold keeps its intent.
    fn evict_started(&self) {
        let mut started = self.started.borrow_mut();
        // At twice its size, so that few claims pay for it.
        if started.len() > 2 * REMEMBERED {
            let state = self.fold.state.borrow();
            started.retain(|id| state.first(*id).is_some());
        }
    }

    /// Writes an intent and returns whose came first.
    async fn append_intent(&self, node: &Node, id: RequestId) -> Option<MemberId> {
        let body = encode(&Intent {
            id,
            member: self.member,
        })
        .ok()?;
        let mut changes = self.fold.changed.subscribe();
        // An append whose answer is lost may be there all the same: the fold
        // tells, and an intent of this home that it did not run is its own.
        if let Err(err) = node.log.append(STREAM.to_owned(), body).await {
            event!(APPEND_FAILED, stream = STREAM, reason: = err);
        }
        let waiting = async {
            loop {
                let first = self.fold.state.borrow().first(id);
                if first.is_some() && self.fold.is_current.get() {
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

struct IntentsFold {
    state: RefCell<State>,
    is_current: Cell<bool>,
    changed: watch::Sender<Offset>,
}

impl Fold for IntentsFold {
    type Record = Intent;

    fn covers(&self, _record: &Intent) -> Option<Offset> {
        None
    }

    /// What expired is older than any resend that is expected.
    fn tolerates_gap(&self) -> bool {
        true
    }

    fn fold(&self, offset: Offset, record: &Intent) {
        self.state.borrow_mut().fold(offset, record);
        self.changed.send_replace(offset);
    }

    fn skip(&self, offset: Offset) {
        self.state.borrow_mut().skip(offset);
    }

    fn version(&self) -> Offset {
        self.state.borrow().version()
    }

    fn read_to_end(&self, _sent: Time) {
        self.is_current.set(true);
        self.changed.send_replace(self.version());
    }
}
