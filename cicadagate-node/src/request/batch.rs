/*!
Calls to batch processes.

Every call may be repeated at another process: files and jobs have ids that a
resend meets.
*/

use {
    crate::process::Node,
    cicadagate_policy::{ids::mix64, process::membership::Role},
    cicadagate_wire::peer::{BatchCall, BatchReply, FromServer, ToServer},
    std::time::Duration,
};

/// Time that a batch process has to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Batch processes that are tried for a call.
const MAX_TRIES: usize = 3;

/// Calls a batch process; `spread` varies which one is tried first.
///
/// Returns `None` if none answers.
pub async fn call_batch(node: &Node, spread: u64, call: &BatchCall) -> Option<BatchReply> {
    let mut peers = node.live(Role::Batch);
    peers.sort_by_key(|info| mix64(spread, info.id.raw()));
    for peer in peers.into_iter().take(MAX_TRIES) {
        let call = call.clone();
        let make = |seq| ToServer::Batch { seq, call };
        let answer = node.links.call(peer.tcp, CALL_TIMEOUT, make).await;
        if let Ok(FromServer::Batch { reply, .. }) = answer {
            return Some(reply);
        }
    }
    None
}
