/*!
The latest configuration changes and their verdicts.

The node's configuration state keeps verdicts by request id, but not the
changes themselves. This module therefore applies the stream a second time and
keeps each change with its verdict, rejected ones included. Changes that a
snapshot had replaced before this process read the log are missing.
*/

use {
    cicadagate_node::process::{CONFIG_STREAM, Node, StreamConsumer, follow_stream},
    cicadagate_policy::{
        ids::Offset,
        time::Time,
        version::config::{Record, State, Verdict, object_key},
    },
    std::{cell::RefCell, collections::VecDeque, rc::Rc},
};

/// Maximum number of changes that are kept; the oldest are dropped.
const MAX_CHANGES: usize = 2_000;

/// A change and its verdict, which is the same at every reader of the log.
#[derive(Clone, Debug)]
pub(crate) struct DecidedChange {
    pub version: Offset,
    pub request_id: String,
    pub object: String,
    pub accepted: bool,
    pub verdict: String,
}

/// A second copy of the configuration state that keeps the changes.
#[derive(Default)]
pub(crate) struct History {
    state: RefCell<State>,
    changes: RefCell<VecDeque<DecidedChange>>,
}

impl History {
    /// Returns the kept changes, oldest first.
    pub fn changes(&self) -> Vec<DecidedChange> {
        self.changes.borrow().iter().cloned().collect()
    }
}

impl StreamConsumer for History {
    type Record = Record;

    fn covered_offset(&self, record: &Record) -> Option<Offset> {
        record.covers()
    }

    fn apply(&self, offset: Offset, record: &Record) {
        let Some(verdict) = self.state.borrow_mut().apply(offset, record) else {
            return;
        };
        let object = object_key(&record.change).map_or_else(String::new, |key| format!("{key:?}"));
        let mut changes = self.changes.borrow_mut();
        if changes.len() == MAX_CHANGES {
            changes.pop_front();
        }
        changes.push_back(DecidedChange {
            version: offset,
            request_id: record.id.to_string(),
            object,
            accepted: matches!(verdict, Verdict::Accepted(_)),
            verdict: format!("{verdict:?}"),
        });
    }

    fn skip(&self, offset: Offset) {
        self.state.borrow_mut().skip(offset);
    }

    fn applied_offset(&self) -> Offset {
        self.state.borrow().version()
    }

    fn on_caught_up(&self, _sent: Time) {}
}

/// Follows the configuration stream for as long as the process runs.
pub(super) async fn run(node: Rc<Node>, history: Rc<History>) {
    let log = Rc::clone(&node.log);
    follow_stream(node, log, CONFIG_STREAM, history).await;
}
