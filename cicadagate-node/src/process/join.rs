/*!
Joining: a process is given out only when it can serve.

A new process that knows the configuration but not yet the other processes
would refuse wrongly: it could reach neither homes nor holders. So it is not
given out, and no replica or share is placed on it, until it knows a majority
of the processes that the platform lists. The list lags and may name many that
are gone, so the wait is bounded.
*/

use {
    super::Node,
    crate::event,
    actix_rt::time::sleep,
    std::{rc::Rc, time::Duration},
};

/// How often it is looked whether the process has joined.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Longest wait for the other processes once there is a configuration, in
/// milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

/// Waits until the process has joined, and has it given out then.
pub(super) async fn run(node: Rc<Node>) {
    let mut configured_at = None;
    loop {
        sleep(LOOK_EVERY).await;
        if !node.is_configured() {
            continue;
        }
        let now = node.now();
        let since = *configured_at.get_or_insert(now);
        if knows_majority(&node) || now.since(since) >= MAX_WAIT_MS {
            break;
        }
    }
    node.has_joined.set(true);
    let version = node.config.borrow().version();
    node.membership
        .borrow_mut()
        .set_me(version, !node.is_given_out());
    event!(JOINED, members = node.membership.borrow().alive().count());
}

fn knows_majority(node: &Node) -> bool {
    let listed = node.listing.borrow().gossip.clone();
    let membership = node.membership.borrow();
    let is_known = |addr: &&std::net::SocketAddr| {
        **addr == membership.me().udp || membership.alive().any(|info| info.udp == **addr)
    };
    let known = listed.iter().filter(is_known).count();
    !listed.is_empty() && known > listed.len() / 2
}
