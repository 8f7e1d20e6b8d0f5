/*!
The shares of rate and burst that this process holds.

The holder takes each record of the configuration as it is folded, before any
draw can see it: contact vouches for the configuration in force, not for an
older one. Before the first fold to the log's end there is nothing to hold, so
a start folds without it.
*/

use {
    actix_rt::time::sleep,
    cicadagate_node::process::Node,
    cicadagate_policy::{
        ids::CustomerId,
        process::holder::{Draw, Holder},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// How often it is looked whether parts wait for witnesses.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A holder that is kept up to date with the configuration.
pub(super) struct Shares {
    holder: Rc<RefCell<Holder>>,
}

impl Shares {
    pub fn start(node: &Rc<Node>) -> Self {
        let me = node.membership.borrow().me().id;
        let holder = Rc::new(RefCell::new(Holder::new(me)));
        let hook_holder = Rc::clone(&holder);
        node.on_config(Box::new(move |node| update(node, &hook_holder)));
        actix_rt::spawn(await_witnesses(Rc::clone(node), Rc::clone(&holder)));
        Self { holder }
    }

    /// Draws grants.
    pub fn draw(&self, node: &Node, customer: CustomerId, want: u32) -> Draw {
        update(node, &self.holder);
        self.holder
            .borrow_mut()
            .draw(node.now(), node.has_contact(), customer, want)
    }
}

fn update(node: &Node, holder: &RefCell<Holder>) {
    if node.has_folded() {
        holder
            .borrow_mut()
            .update(node.now(), &node.config.borrow());
    }
}

/// Has parts granted once a majority of the witnesses knows of them.
async fn await_witnesses(node: Rc<Node>, holder: Rc<RefCell<Holder>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        update(&node, &holder);
        node.metrics
            .set_state("shares", holder.borrow().customers().count());
        let Some(needed) = holder.borrow().unwitnessed() else {
            continue;
        };
        if let Some((epoch, version)) = node.witnessed_version().await
            && version >= needed
        {
            holder.borrow_mut().witnessed(node.now(), epoch, version);
        }
    }
}
