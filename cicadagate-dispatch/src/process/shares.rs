/*!
The shares of rate and burst that this process holds.
*/

use {
    cicadagate_node::process::Node,
    cicadagate_policy::{
        ids::{CustomerId, Offset},
        process::holder::{Draw, Holder},
    },
    std::cell::{Cell, RefCell},
};

/// A holder that is kept up to date with the configuration.
pub(super) struct Shares {
    holder: RefCell<Holder>,
    version: Cell<Offset>,
}

impl Shares {
    pub fn new(node: &Node) -> Self {
        let me = node.membership.borrow().me().id;
        Self {
            holder: RefCell::new(Holder::new(me)),
            version: Cell::default(),
        }
    }

    /// Draws grants.
    ///
    /// The holder takes the configuration in force first: contact vouches for
    /// that one, not for an older one.
    pub fn draw(&self, node: &Node, customer: CustomerId, want: u32) -> Draw {
        self.refresh(node);
        let now = node.now();
        self.holder
            .borrow_mut()
            .draw(now, node.has_contact(), customer, want)
    }

    /// Takes the configuration in force.
    pub fn refresh(&self, node: &Node) {
        let config = node.config.borrow();
        if self.version.get() == config.version() {
            return;
        }
        self.version.set(config.version());
        if let Some((version, epoch)) = config.epoch() {
            let mut holder = self.holder.borrow_mut();
            holder.update(node.now(), version, epoch, config.customers());
            node.metrics.set_state("shares", holder.customers().count());
        }
    }
}
