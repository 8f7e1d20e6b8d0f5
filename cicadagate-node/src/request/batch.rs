/*!
Calls to batch processes.

Every call may be repeated at another process: the ids of files and jobs make a
repeated call refer to the same object.
*/

use {
    crate::{connection::peer_client::PeerError, process::Node},
    cicadagate_policy::{ids::mix64, process::membership::Role},
    cicadagate_wire::peer::{BatchCall, BatchReply, FromServer, ToServer},
    std::time::Duration,
};

/// Time within which a batch process must respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Most batch processes that are tried for a call.
const MAX_TRIES: usize = 3;

/// The outcome of a call over all processes that were tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// Reply of the process that responded, if any did.
    pub reply: Option<BatchReply>,
    /// Whether another process may have carried out the call, or may still do
    /// so, without a response.
    pub may_be_done: bool,
}

/// Calls batch processes until one responds, in an order that depends on
/// `order_seed`.
pub async fn call_batch(node: &Node, order_seed: u64, call: &BatchCall) -> CallOutcome {
    let mut may_be_done = false;
    let mut peers = node.live_members(Role::Batch);
    peers.sort_by_key(|info| mix64(order_seed, info.id.raw()));
    for peer in peers.into_iter().take(MAX_TRIES) {
        let call = call.clone();
        let make = |seq| ToServer::Batch { seq, call };
        match node.peers.call(peer.tcp, CALL_TIMEOUT, make).await {
            Ok(FromServer::Batch { reply, .. }) => {
                let reply = Some(reply);
                return CallOutcome { reply, may_be_done };
            }
            Err(PeerError::NotConnected) => {}
            Ok(_) | Err(PeerError::NoResponse) => may_be_done = true,
        }
    }
    let reply = None;
    CallOutcome { reply, may_be_done }
}
