/*!
Joining: a process is advertised only when it can serve.

A new process that has the configuration but does not know the other members
yet would refuse requests wrongly, since it could reach neither the owners of
replicas nor share holders. It is therefore not advertised, and no replica or
share is placed on it, until it knows a majority of the processes on the
platform's instance list, and until it has contact: a configuration taken from a
peer comes without. A majority may contain no share holder of a customer,
so an entry process also waits until it knows a live one of each customer. The
list lags and may contain many processes that are gone, and all holders may be
lost, so the wait is bounded.
*/

use {
    super::Node,
    crate::event,
    actix_rt::time::sleep,
    cicadagate_policy::process::{membership::Role, share_holder::have_live_holders},
    std::{rc::Rc, time::Duration},
};

/// Time between two checks whether the process has joined.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the other members once there is a configuration, in
/// milliseconds.
const MAX_JOIN_WAIT_MS: u64 = 10_000;

/// Waits until the process has joined, then marks it as advertised.
pub(super) async fn run(node: Rc<Node>) {
    let mut configured_at = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !node.is_configured() {
            continue;
        }
        let now = node.now();
        let waiting_since = *configured_at.get_or_insert(now);
        if can_serve(&node) || now.since(waiting_since) >= MAX_JOIN_WAIT_MS {
            break;
        }
    }
    node.has_joined.set(true);
    let version = node.config.borrow().version();
    node.membership
        .borrow_mut()
        .set_own_state(version, !node.is_advertised());
    event!(JOINED, members = node.membership.borrow().alive().count());
}

fn can_serve(node: &Node) -> bool {
    let is_entry = node.membership.borrow().own_info().role == Role::Entry;
    node.has_contact() && knows_majority(node) && (!is_entry || knows_share_holders(node))
}

fn knows_share_holders(node: &Node) -> bool {
    have_live_holders(&node.config.borrow(), |member| node.is_alive(member))
}

fn knows_majority(node: &Node) -> bool {
    let listed = node.listed_instances.borrow().gossip.clone();
    let membership = node.membership.borrow();
    let is_known = |addr: &&std::net::SocketAddr| {
        **addr == membership.own_info().udp || membership.alive().any(|info| info.udp == **addr)
    };
    let known = listed.iter().filter(is_known).count();
    !listed.is_empty() && known > listed.len() / 2
}
