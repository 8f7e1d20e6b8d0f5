/*!
Which software version began a stream, exchanged with the other gateways.

[`stream_origins`](cicadagate_policy::process::stream_origins) decides whom to tell and to
ask.
*/

use {
    super::Gateway,
    cicadagate_policy::{
        ids::{MemberId, SoftwareVersion, StreamId},
        process::{
            membership::Health,
            placement::{PlacementCandidate, data_centre_hash},
            stream_origins::{StreamOriginMessage, holders, members_to_ask},
            version_record::VersionName,
        },
    },
    cicadagate_wire::datagram::GatewayDatagram,
    futures_util::stream::{FuturesUnordered, StreamExt as _},
    std::{net::SocketAddr, rc::Rc},
};

/// How often the other gateways are asked for the origin of a stream, since datagrams may
/// be lost.
const QUERY_ROUNDS: usize = 2;

/// From what a gateway knows which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// The stream began here, or this gateway was told.
    Known,
    /// Another gateway knew it.
    Asked,
}

impl Gateway {
    /// Records which version began a stream, here and at other gateways. To be called
    /// before the first event is passed on.
    pub fn note_stream_began(&self, stream: StreamId, version: SoftwareVersion) {
        let now = self.now();
        self.stream_origins.borrow_mut().note(now, stream, version);
        let message = StreamOriginMessage::Began { stream, version };
        let candidates = candidates(self, Health::Alive);
        for member in holders(stream, &candidates) {
            if let Some(addr) = addr_of(self, member) {
                send(self, addr, message);
            }
        }
    }

    /// Returns the only version of a service at which a stream may have begun, as far as
    /// this gateway knows. `listed` are versions that the store lists.
    #[must_use]
    pub fn only_version(&self, service: &str, listed: &[VersionName]) -> Option<SoftwareVersion> {
        let replicas = self.replicas.borrow();
        let present = replicas.versions_of(service);
        let history = self.version_history.borrow();
        let record = self.version_record.borrow();
        record.only_version(self.now(), service, present, &history, listed)
    }
}

/// Returns which version began a stream, from this gateway's memory or that of others.
pub async fn find(
    gateway: &Rc<Gateway>,
    stream: StreamId,
) -> Option<(SoftwareVersion, OriginSource)> {
    let known = gateway.stream_origins.borrow().get(stream);
    if let Some(version) = known {
        return Some((version, OriginSource::Known));
    }
    let candidates = candidates(gateway, Health::Suspect);
    let asked = members_to_ask(stream, &candidates);
    let mut silent: Vec<SocketAddr> = asked
        .into_iter()
        .filter_map(|member| addr_of(gateway, member))
        .collect();
    for _ in 0..QUERY_ROUNDS {
        let mut replies: FuturesUnordered<_> = silent
            .iter()
            .map(|addr| async move { (*addr, ask(gateway, *addr, stream).await) })
            .collect();
        let mut still_silent = Vec::new();
        while let Some((addr, reply)) = replies.next().await {
            match reply {
                Some(Some(version)) => return Some((version, OriginSource::Asked)),
                Some(None) => {}
                None => still_silent.push(addr),
            }
        }
        drop(replies);
        silent = still_silent;
    }
    None
}

/// Asks a gateway; returns `None` if it doesn't reply.
async fn ask(
    gateway: &Gateway,
    addr: SocketAddr,
    stream: StreamId,
) -> Option<Option<SoftwareVersion>> {
    let send_query = |seq| send(gateway, addr, StreamOriginMessage::Ask { seq, stream });
    gateway.origin_queries.query(send_query).await
}

/// Returns the other gateways whose health is at least `health`.
pub(super) fn candidates(gateway: &Gateway, health: Health) -> Vec<PlacementCandidate> {
    let members = gateway.members.borrow();
    let healthy = members.members().filter(|(_, found)| *found <= health);
    let candidate = |member: MemberId, data_centre: &str| PlacementCandidate {
        member,
        data_centre: data_centre_hash(data_centre),
    };
    healthy
        .filter(|(info, _)| info.id != gateway.member_id)
        .map(|(info, _)| candidate(info.id, &info.data_centre))
        .collect()
}

pub(super) fn addr_of(gateway: &Gateway, member: MemberId) -> Option<SocketAddr> {
    let members = gateway.members.borrow();
    members.member(member).map(|(info, _)| info.udp)
}

pub(super) fn send(gateway: &Gateway, to: SocketAddr, message: StreamOriginMessage) {
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send(gateway, to, &GatewayDatagram::StreamOrigin(message));
    }
}

/// Handles a message from another gateway.
pub(super) fn receive(gateway: &Gateway, from: SocketAddr, message: StreamOriginMessage) {
    match message {
        StreamOriginMessage::Began { stream, version } => {
            let now = gateway.now();
            let mut origins = gateway.stream_origins.borrow_mut();
            origins.note(now, stream, version);
            gateway.metrics.set_state("stream_origins", origins.len());
        }
        StreamOriginMessage::Ask { seq, stream } => {
            let version = gateway.stream_origins.borrow().get(stream);
            send(gateway, from, StreamOriginMessage::Answer { seq, version });
        }
        StreamOriginMessage::Answer { seq, version } => {
            gateway.origin_queries.complete(seq, version);
        }
        StreamOriginMessage::Recorded { version } => {
            let now = gateway.now();
            gateway.version_record.borrow_mut().note_added(now, version);
        }
        StreamOriginMessage::LostContact {
            endpoint,
            is_refused,
        } => {
            let mut replicas = gateway.replicas.borrow_mut();
            replicas.note_lost_contact(endpoint, is_refused);
        }
        StreamOriginMessage::Removed { version } => {
            gateway.version_record.borrow_mut().note_removed(version);
        }
    }
}
