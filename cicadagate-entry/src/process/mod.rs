/*!
State that all requests of an entry process share.
*/

mod addresses;
mod admission;

pub(crate) use admission::Admission;

use {
    crate::EntrySettings,
    cicadagate_node::{process::Node, request::Router},
    cicadagate_policy::request::replica_selection::SelectionPolicy,
    std::rc::Rc,
};

/// The state of an entry process.
pub(crate) struct Entry {
    pub node: Rc<Node>,
    pub settings: EntrySettings,
    pub router: Rc<Router>,
    pub admission: Admission,
}

impl Entry {
    /// Creates the state of an entry process.
    pub fn new(node: Rc<Node>, settings: EntrySettings, selection_policy: SelectionPolicy) -> Self {
        Self {
            router: Rc::new(Router::new(Rc::clone(&node), selection_policy)),
            admission: Admission::new(Rc::clone(&node), settings.limiting),
            settings,
            node,
        }
    }
}
