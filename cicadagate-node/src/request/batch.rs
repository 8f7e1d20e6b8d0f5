/*!
Calls to batch processes.

Every call may be repeated at another process: the ids of files and jobs make a
repeated call refer to the same object.
*/

use {
    crate::process::Node,
    cicadagate_policy::{ids::mix64, process::membership::Role},
    cicadagate_wire::peer::{BatchCall, BatchReply, FromServer, ToServer},
    std::time::Duration,
};

/// Time within which a batch process must respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Most batch processes that are tried for a call.
const MAX_TRIES: usize = 3;

/// Calls batch processes until one responds, in an order that depends on
/// `order_seed`.
///
/// Returns `None` if none of those tried responds.
pub async fn call_batch(node: &Node, order_seed: u64, call: &BatchCall) -> Option<BatchReply> {
    let mut peers = node.live_members(Role::Batch);
    peers.sort_by_key(|info| mix64(order_seed, info.id.raw()));
    for peer in peers.into_iter().take(MAX_TRIES) {
        let call = call.clone();
        let make = |seq| ToServer::Batch { seq, call };
        let response = node.peers.call(peer.tcp, CALL_TIMEOUT, make).await;
        if let Ok(FromServer::Batch { reply, .. }) = response {
            return Some(reply);
        }
    }
    None
}
