/*!
Shares of the customers' rate and burst limits that this process holds.

The share holder is updated after each configuration record and before each
grant, so that it never grants by an older configuration than the applied one:
fresh contact proves only that the applied one is current. Until the log has
been read to its end for the first time, the process holds no shares, and
updates are skipped.
*/

use {
    actix_rt::time::sleep,
    cicadagate_node::process::Node,
    cicadagate_policy::{
        ids::CustomerId,
        process::share_holder::{GrantOutcome, ShareHolder},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Interval between checks for shares that still wait for witnesses.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A share holder that is kept up to date with the configuration.
pub(super) struct Shares {
    share_holder: Rc<RefCell<ShareHolder>>,
}

impl Shares {
    /// Creates an empty share holder and starts keeping it up to date.
    pub fn start(node: &Rc<Node>) -> Self {
        let own_id = node.membership.borrow().own_info().id;
        let share_holder = Rc::new(RefCell::new(ShareHolder::new(own_id)));
        let hook_share_holder = Rc::clone(&share_holder);
        node.on_config_change(Box::new(move |node| update(node, &hook_share_holder)));
        actix_rt::spawn(await_witnesses(Rc::clone(node), Rc::clone(&share_holder)));
        Self { share_holder }
    }

    /// Grants up to `want` requests of a customer from this process's share.
    pub fn grant_tokens(&self, node: &Node, customer: CustomerId, want: u32) -> GrantOutcome {
        update(node, &self.share_holder);
        self.share_holder
            .borrow_mut()
            .grant_tokens(node.now(), node.has_contact(), customer, want)
    }
}

fn update(node: &Node, share_holder: &RefCell<ShareHolder>) {
    if node.has_caught_up() {
        share_holder
            .borrow_mut()
            .update(node.now(), &node.config.borrow());
    }
}

/// Notifies the share holder when a majority of the witnesses has read the
/// version that brought its new shares, so that it may start to grant from
/// them.
async fn await_witnesses(node: Rc<Node>, share_holder: Rc<RefCell<ShareHolder>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        update(&node, &share_holder);
        node.metrics
            .set_state("shares", share_holder.borrow().customers().count());
        let Some(needed) = share_holder.borrow().unwitnessed_version() else {
            continue;
        };
        if let Some((epoch, version)) = node.majority_version().await
            && version >= needed
        {
            share_holder
                .borrow_mut()
                .note_witnessed(node.now(), epoch, version);
        }
    }
}
