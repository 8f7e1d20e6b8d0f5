/*!
Replicas that may have restarted under their id with other software.

Responses carry no software version. After contact with a replica was lost, its version is
proven only by a registration that it wrote later. The gateway that sees the loss tells the
others, since the callers of the streams that were lost resume them anywhere.
*/

use {
    super::{Gateway, peers::alive_or_suspect_addrs, stream_origins::send},
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::{replicas::VersionProof, stream_origins::StreamOriginMessage},
        time::Time,
    },
    std::cell::Cell,
};

/// Period in which at most [`MAX_NOTICES`] replicas are told of, in milliseconds.
const NOTICE_PERIOD_MS: u64 = 1_000;
/// Most replicas of which the other gateways are told in a period. If contact with more is
/// lost at once, the network is the likely cause, and the others see it as well.
const MAX_NOTICES: u32 = 8;

/// Bounds the notices to the other gateways.
#[derive(Debug, Default)]
pub(super) struct NoticeBudget {
    period_start: Cell<Time>,
    sent: Cell<u32>,
}

impl NoticeBudget {
    fn take(&self, now: Time) -> bool {
        if now.since(self.period_start.get()) >= NOTICE_PERIOD_MS {
            self.period_start.set(now);
            self.sent.set(0);
        }
        let is_allowed = self.sent.get() < MAX_NOTICES;
        self.sent.set(self.sent.get() + u32::from(is_allowed));
        is_allowed
    }
}

/// Records that a connection to a replica was lost or refused, here and at the other
/// gateways.
pub(super) fn note(gateway: &Gateway, endpoint: EndpointId, is_refused: bool) {
    let mut replicas = gateway.replicas.borrow_mut();
    if !replicas.note_lost_contact(endpoint, is_refused) {
        return;
    }
    if let Some(replica) = replicas.get(endpoint) {
        event!(
            REPLICA_IN_DOUBT,
            replica = replica.registration.id.as_str(),
            version = replica.registration.software_version.as_str(),
            is_refused
        );
    }
    drop(replicas);
    if !gateway.lost_contact_notices.take(gateway.now()) {
        return;
    }
    let message = StreamOriginMessage::LostContact {
        endpoint,
        is_refused,
    };
    let others = alive_or_suspect_addrs(&gateway.members.borrow());
    for addr in others {
        send(gateway, addr, message);
    }
}

impl Gateway {
    /// Returns what is asked of the proof that a replica of a service runs the version of
    /// its registration. `goes_on` says whether the request goes on at a version.
    #[must_use]
    pub fn version_proof(&self, service: &str, goes_on: bool) -> VersionProof {
        let replicas = self.replicas.borrow();
        let present = replicas.versions_of(service);
        let history = self.version_history.borrow();
        if goes_on && history.has_several(self.now(), service, present) {
            VersionProof::Required
        } else {
            VersionProof::Preferred
        }
    }
}
