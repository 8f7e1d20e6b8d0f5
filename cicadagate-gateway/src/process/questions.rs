/*!
Questions to other gateways that wait for an answer.
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

/// Time for another gateway to answer. A message takes two milliseconds there
/// and back; one that is slow must not hold a request up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

/// Questions by their numbers.
#[derive(Debug)]
pub struct Questions<T> {
    waiting: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    seq: Cell<u64>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            seq: Cell::default(),
        }
    }
}

impl<T> Questions<T> {
    /// Sends a question under a number of its own and waits for the answer;
    /// `None` if it does not come in time.
    pub(super) async fn ask(&self, send: impl FnOnce(u64)) -> Option<T> {
        self.seq.set(self.seq.get() + 1);
        let seq = self.seq.get();
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(seq, tx);
        send(seq);
        let answer = timeout(ANSWER_TIMEOUT, rx).await;
        self.waiting.borrow_mut().remove(&seq);
        answer.ok()?.ok()
    }

    /// Takes the answer to a question.
    pub(super) fn answer(&self, seq: u64, answer: T) {
        let waiting = self.waiting.borrow_mut().remove(&seq);
        if let Some(tx) = waiting {
            // Whoever asked may have stopped waiting.
            let _ = tx.send(answer);
        }
    }
}
