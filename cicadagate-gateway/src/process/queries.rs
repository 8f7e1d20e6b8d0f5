/*!
Queries to other gateways that wait for a reply.
*/

use {
    actix_rt::time::timeout,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Time for another gateway to reply. A round trip takes two milliseconds; a
/// slow gateway must not delay a request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Pending queries by sequence number.
#[derive(Debug)]
pub struct PendingQueries<T> {
    pending: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    seq: Cell<u64>,
}

impl<T> Default for PendingQueries<T> {
    fn default() -> Self {
        Self {
            pending: RefCell::default(),
            seq: Cell::default(),
        }
    }
}

impl<T> PendingQueries<T> {
    /// Sends a query with a new sequence number and waits for the reply;
    /// returns `None` on a timeout.
    pub(super) async fn query(&self, send: impl FnOnce(u64)) -> Option<T> {
        self.seq.set(self.seq.get() + 1);
        let seq = self.seq.get();
        let (tx, rx) = oneshot::channel();
        self.pending.borrow_mut().insert(seq, tx);
        send(seq);
        let reply = timeout(REPLY_TIMEOUT, rx).await;
        self.pending.borrow_mut().remove(&seq);
        reply.ok()?.ok()
    }

    /// Delivers the reply to a query.
    pub(super) fn complete(&self, seq: u64, reply: T) {
        let sender = self.pending.borrow_mut().remove(&seq);
        if let Some(tx) = sender {
            // The receiver may have timed out.
            let _ = tx.send(reply);
        }
    }
}
