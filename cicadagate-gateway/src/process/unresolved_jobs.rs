/*!
Submissions of batch jobs without an outcome, exchanged with the other gateways.

[`unresolved_jobs`](cicadagate_policy::process::unresolved_jobs) decides whom to tell and to
ask.
*/

use {
    super::{
        Gateway,
        stream_origins::{addr_of, candidates},
    },
    cicadagate_policy::{
        ids::JobId,
        process::{
            membership::Health,
            unresolved_jobs::{UnresolvedJobMessage, holders, members_to_ask},
        },
    },
    cicadagate_wire::datagram::GatewayDatagram,
    futures_util::stream::{FuturesUnordered, StreamExt as _},
    std::{net::SocketAddr, rc::Rc},
};

impl Gateway {
    /// Records, here and at other gateways, that a submission of a job has no outcome.
    pub fn note_unresolved_job(&self, job: JobId) {
        self.unresolved_jobs.borrow_mut().note(self.now(), job);
        let message = UnresolvedJobMessage::Unresolved { job };
        for member in holders(job, &candidates(self, Health::Alive)) {
            if let Some(addr) = addr_of(self, member) {
                send(self, addr, message);
            }
        }
    }
}

/// Returns whether a submission of a job has no outcome, as far as this gateway or those
/// that would have been told know.
pub async fn is_unresolved(gateway: &Rc<Gateway>, job: JobId) -> bool {
    let now = gateway.now();
    if gateway.unresolved_jobs.borrow_mut().contains(now, job) {
        return true;
    }
    let asked = members_to_ask(job, &candidates(gateway, Health::Suspect));
    let addrs = asked.into_iter().filter_map(|id| addr_of(gateway, id));
    let mut replies: FuturesUnordered<_> = addrs.map(|addr| ask(gateway, addr, job)).collect();
    while let Some(reply) = replies.next().await {
        if reply == Some(true) {
            return true;
        }
    }
    false
}

/// Asks a gateway; returns `None` if it doesn't reply.
async fn ask(gateway: &Gateway, addr: SocketAddr, job: JobId) -> Option<bool> {
    let send_query = |seq| send(gateway, addr, UnresolvedJobMessage::Ask { seq, job });
    gateway.unresolved_queries.query(send_query).await
}

fn send(gateway: &Gateway, to: SocketAddr, message: UnresolvedJobMessage) {
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send(gateway, to, &GatewayDatagram::UnresolvedJob(message));
    }
}

/// Handles a message from another gateway.
pub(super) fn receive(gateway: &Gateway, from: SocketAddr, message: UnresolvedJobMessage) {
    let now = gateway.now();
    let mut unresolved = gateway.unresolved_jobs.borrow_mut();
    match message {
        UnresolvedJobMessage::Unresolved { job } => {
            unresolved.note(now, job);
            gateway
                .metrics
                .set_state("unresolved_jobs", unresolved.len());
        }
        UnresolvedJobMessage::Ask { seq, job } => {
            let is_unresolved = unresolved.contains(now, job);
            drop(unresolved);
            let answer = UnresolvedJobMessage::Answer { seq, is_unresolved };
            send(gateway, from, answer);
        }
        UnresolvedJobMessage::Answer { seq, is_unresolved } => {
            gateway.unresolved_queries.complete(seq, is_unresolved);
        }
    }
}
