/*!
State behind the operator RPCs of one process.
*/

mod history;
mod withdrawals;

pub(crate) use withdrawals::{Withdrawals, replicate_to_witnesses};

use {cicadagate_node::process::Node, history::History, std::rc::Rc};

/// State and handlers of the operator RPCs.
pub(crate) struct OperatorApi {
    pub node: Rc<Node>,
    pub history: Rc<History>,
    pub withdrawals: Withdrawals,
}

impl OperatorApi {
    /// Creates the state and starts its background tasks.
    pub fn start(node: Rc<Node>) -> Rc<Self> {
        let history = Rc::new(History::default());
        actix_rt::spawn(history::run(Rc::clone(&node), Rc::clone(&history)));
        let api = Rc::new(Self {
            withdrawals: Withdrawals::default(),
            history,
            node,
        });
        actix_rt::spawn(withdrawals::run(Rc::clone(&api)));
        api
    }
}
