/*!
What the operators' side of one process keeps.
*/

mod history;
mod withdrawals;

pub(crate) use withdrawals::{Withdrawals, tell_witnesses};

use {cicadagate_node::process::Node, history::History, std::rc::Rc};

/// The operators' side of one process.
pub(crate) struct Operators {
    pub node: Rc<Node>,
    pub history: Rc<History>,
    pub withdrawals: Withdrawals,
}

impl Operators {
    /// Makes the operators' side and starts its tasks.
    pub fn start(node: Rc<Node>) -> Rc<Self> {
        let history = Rc::new(History::default());
        actix_rt::spawn(history::run(Rc::clone(&node), Rc::clone(&history)));
        let operators = Rc::new(Self {
            withdrawals: Withdrawals::default(),
            history,
            node,
        });
        actix_rt::spawn(withdrawals::run(Rc::clone(&operators)));
        operators
    }
}
