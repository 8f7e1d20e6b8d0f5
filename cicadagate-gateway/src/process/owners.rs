/*!
Which gateway owns a replica's slots or a customer's limit.
*/

use {
    super::Gateway,
    cicadagate_policy::{
        ids::MemberId,
        process::{membership::Health, slot_ledger::owner},
    },
    std::net::SocketAddr,
};

/// Returns the owner of a key (the id of a replica or customer) among the
/// gateways that this process considers working, itself included if it is
/// ready.
///
/// A gateway that is suspected to have failed owns nothing: in a large fleet
/// its last report counts for seconds after its end, and each query to it would
/// time out.
pub(super) fn owner_of(gateway: &Gateway, key: u64) -> Option<(MemberId, SocketAddr)> {
    let now = gateway.now();
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let working = members
        .members()
        .filter(|(info, health)| *health == Health::Alive && reports.is_working(now, info))
        .map(|(info, _)| info.id);
    let own_id = gateway.is_ready().then_some(gateway.member_id);
    let id = owner(key, working.chain(own_id))?;
    members.member(id).map(|(info, _)| (id, info.udp))
}
