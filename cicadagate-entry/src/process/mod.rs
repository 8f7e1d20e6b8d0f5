/*!
What an entry shares among its requests.
*/

mod addresses;
mod admission;

pub(crate) use admission::Admission;

use {
    crate::EntrySettings,
    cicadagate_node::{process::Node, request::Router},
    cicadagate_policy::request::choice::Rule,
    std::rc::Rc,
};

/// The callers' side of one process.
pub(crate) struct Entry {
    pub node: Rc<Node>,
    pub settings: EntrySettings,
    pub router: Rc<Router>,
    pub admission: Admission,
}

impl Entry {
    /// Makes an entry.
    pub fn new(node: Rc<Node>, settings: EntrySettings, rule: Rule) -> Self {
        Self {
            router: Rc::new(Router::new(Rc::clone(&node), rule)),
            admission: Admission::new(Rc::clone(&node), settings.limiting),
            settings,
            node,
        }
    }
}
