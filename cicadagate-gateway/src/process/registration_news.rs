/*!
Changes of registrations, which few gateways read for all.

[`registration_readers`](cicadagate_policy::process::registration_readers) decides who
reads, what is sent, and what a receiver applies.
*/

use {
    super::{Gateway, freshness::millis, registry},
    cicadagate_node::event,
    cicadagate_policy::{
        process::{
            membership::Health,
            placement::{PlacementCandidate, data_centre_hash},
            registration_readers::{
                DatedNews, ReadLimits, Received, RegistrationNews, Role, readers, serving_readers,
            },
        },
        time::Time,
    },
    cicadagate_wire::datagram::GatewayDatagram,
    std::{net::SocketAddr, rc::Rc},
};

/// Returns the limits that decide whether and when this gateway reads.
pub(super) fn read_limits(gateway: &Gateway) -> ReadLimits {
    let bounds = gateway.bounds();
    ReadLimits {
        read_bytes_per_s: bounds.store_read_bytes_per_s,
        heartbeat_ms: millis(bounds.heartbeat),
        drain_ms: millis(bounds.drain),
    }
}

/// Returns how this gateway gets to know the registrations from now on; `before` is how it
/// did so far.
pub(super) fn next_role(gateway: &Gateway, before: Role) -> Role {
    let limits = read_limits(gateway);
    if limits.read_bytes_per_s.is_none() {
        return Role::Independent;
    }
    let candidates = reader_candidates(gateway);
    let role = gateway.registration_feed.borrow_mut().role(
        gateway.member_id,
        gateway.member_count(),
        &candidates,
        &limits,
    );
    if role != before {
        event!(REGISTRATION_READS_CHANGED, role:? = role, before:? = before);
    }
    role
}

/// Returns the gateways that may read for others, this one included if it is ready.
fn reader_candidates(gateway: &Gateway) -> Vec<PlacementCandidate> {
    let now = gateway.now();
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let own = members.own_info();
    let own = gateway.is_ready().then_some(own);
    members
        .members()
        .filter(|(info, health)| *health == Health::Alive && reports.is_working(now, info))
        .map(|(info, _)| info)
        .chain(own)
        .map(|info| PlacementCandidate {
            member: info.id,
            data_centre: data_centre_hash(&info.data_centre),
        })
        .collect()
}

/// Tells the gateways that this one reads for what it has just read; `end` is the end of the
/// topic at the read.
pub(super) fn send(gateway: &Gateway, end: u64) {
    let Some(peer_socket) = gateway.peer_socket.get() else {
        return;
    };
    let served = served_addrs(gateway);
    let mut feed = gateway.registration_feed.borrow_mut();
    let messages = feed.news(served.len(), end);
    let (as_of, _) = feed.known_as_of();
    drop(feed);
    for news in messages {
        let age_ms = gateway.now().since(as_of.unwrap_or_default());
        let datagram = GatewayDatagram::DatedRegistrations(DatedNews { news, age_ms });
        for to in &served {
            peer_socket.send(gateway, *to, &datagram);
        }
    }
}

/// Returns the addresses of the gateways that this one reads for.
fn served_addrs(gateway: &Gateway) -> Vec<SocketAddr> {
    let readers = readers(&reader_candidates(gateway));
    let members = gateway.members.borrow();
    members
        .members()
        .filter(|(info, health)| {
            *health <= Health::Suspect
                && !readers.iter().any(|reader| reader.member == info.id)
                && serving_readers(info.id, &readers).contains(&gateway.member_id)
        })
        .map(|(info, _)| info.udp)
        .collect()
}

/// Handles the news of a reader. They were not sent before `sent_after`, and their age then is
/// `None` if the reader doesn't say it.
pub(super) fn receive(
    gateway: &Rc<Gateway>,
    sent_after: Time,
    age_ms: Option<u64>,
    news: RegistrationNews,
) {
    let now = gateway.now();
    let as_of = age_ms.map(|age_ms| Time(sent_after.0.saturating_sub(age_ms)));
    let received = gateway.registration_feed.borrow_mut().receive(as_of, news);
    let kind = match received {
        Received::Gap => "gap",
        Received::Known => "known",
        Received::Records(records) => {
            for record in &records {
                registry::apply_raw(gateway, record);
            }
            let limits = read_limits(gateway);
            let due = gateway
                .registration_feed
                .borrow()
                .read_due(gateway.member_id, &limits);
            // News of a reader that lags behind don't replace an own read.
            if due > now {
                gateway.registrations_current.notify_one();
                gateway.registrations_checked.notify_waiters();
            }
            "news"
        }
    };
    count(gateway, kind);
}

/// Counts a read or message by its kind.
pub(super) fn count(gateway: &Gateway, kind: &str) {
    let counter = &gateway.metrics.registration_reads;
    counter.with_label_values(&[kind]).inc();
}
