/*!
Requests for slots to the owners of replicas.
*/

use {
    super::{Gateway, InFlightGuard, owners::owner_of},
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        process::{
            reports::InFlight,
            slot_ledger::{Purpose, SlotMessage},
        },
    },
    cicadagate_wire::datagram::GatewayDatagram,
    std::{net::SocketAddr, rc::Rc},
};

/// An owner's reply to a slot query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReply {
    /// The slot is granted.
    Granted,
    /// The replica has no slot left.
    Full(InFlight),
}

/// Outcome of a slot query. Dropping the guard releases the slot.
pub enum SlotOutcome {
    /// The owner granted the slot.
    Granted(InFlightGuard),
    /// The owner did not reply in time, or could not be determined; the slot is
    /// taken without its grant, so that the request is not delayed further.
    OwnerTimedOut(InFlightGuard),
    /// The replica has no free slot; this is its load.
    Full(InFlight),
}

/// Requests a slot from the owner of a replica. The slot counts as taken as
/// soon as the query is sent, so that concurrent queries are not granted the
/// same slot.
pub async fn acquire(gateway: &Rc<Gateway>, endpoint: EndpointId, purpose: Purpose) -> SlotOutcome {
    let own = gateway.own_load(endpoint);
    let guard = gateway.count_in_flight(endpoint, purpose);
    match query_owner(gateway, endpoint, own, purpose).await {
        Some(SlotReply::Granted) => SlotOutcome::Granted(guard),
        Some(SlotReply::Full(load)) => SlotOutcome::Full(load),
        None => {
            update_owner(gateway, endpoint);
            SlotOutcome::OwnerTimedOut(guard)
        }
    }
}

/// Counts a slot as taken without a grant, and reports this to the owner.
pub fn acquire_without_grant(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    purpose: Purpose,
) -> InFlightGuard {
    let guard = gateway.count_in_flight(endpoint, purpose);
    update_owner(gateway, endpoint);
    guard
}

/// Returns the owner's reply; `None` if there is none in time, if no owner is
/// known, or if this process is the owner but does not know the replica.
async fn query_owner(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    own: InFlight,
    purpose: Purpose,
) -> Option<SlotReply> {
    let (owner, addr) = owner_of(gateway, endpoint.raw())?;
    if owner == gateway.member_id {
        return decide(gateway, gateway.member_id, endpoint, own, purpose);
    }
    let send_query = |seq| {
        let message = SlotMessage::Ask {
            seq,
            member: gateway.member_id,
            endpoint,
            own,
            purpose,
        };
        send(gateway, addr, message);
    };
    gateway.slot_queries.query(send_query).await
}

/// Reports the slots that this process occupies at a replica to its owner.
pub fn update_owner(gateway: &Gateway, endpoint: EndpointId) {
    let own = gateway.own_load(endpoint);
    match owner_of(gateway, endpoint.raw()) {
        Some((owner, _)) if owner == gateway.member_id => {
            let mut ledger = gateway.slot_ledger.borrow_mut();
            ledger.update(gateway.now(), endpoint, gateway.member_id, own);
        }
        Some((_, addr)) => {
            let message = SlotMessage::Update {
                member: gateway.member_id,
                endpoint,
                own,
            };
            send(gateway, addr, message);
        }
        None => {}
    }
}

fn send(gateway: &Gateway, to: SocketAddr, message: SlotMessage) {
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send(gateway, to, &GatewayDatagram::Slot(message));
    }
}

fn decide(
    gateway: &Gateway,
    member: MemberId,
    endpoint: EndpointId,
    own: InFlight,
    purpose: Purpose,
) -> Option<SlotReply> {
    let slots = {
        let replicas = gateway.replicas.borrow();
        let replica = replicas.get(endpoint)?;
        replica.registration.slots
    };
    let decision = gateway.slot_ledger.borrow_mut().request_slot(
        gateway.now(),
        endpoint,
        slots,
        member,
        own,
        purpose,
    );
    match decision.pause_at {
        Some(preempted) if preempted == gateway.member_id => {
            gateway.item_runner.preempt_item(gateway, endpoint);
        }
        Some(preempted) => {
            let addr = {
                let members = gateway.members.borrow();
                members.member(preempted).map(|(info, _)| info.udp)
            };
            if let Some(addr) = addr {
                send(gateway, addr, SlotMessage::Yield { endpoint });
            }
        }
        None => {}
    }
    Some(if decision.is_granted {
        SlotReply::Granted
    } else {
        SlotReply::Full(decision.load)
    })
}

/// Handles a message from another gateway.
pub(super) fn receive(gateway: &Rc<Gateway>, from: SocketAddr, message: SlotMessage) {
    match message {
        SlotMessage::Ask {
            seq,
            member,
            endpoint,
            own,
            purpose,
        } => {
            let (is_granted, load) = match decide(gateway, member, endpoint, own, purpose) {
                Some(SlotReply::Granted) => (true, InFlight::default()),
                Some(SlotReply::Full(load)) => (false, load),
                // This process has not read the replica's registration yet.
                None => return,
            };
            let reply = SlotMessage::Answer {
                seq,
                is_granted,
                load,
            };
            send(gateway, from, reply);
        }
        SlotMessage::Answer {
            seq,
            is_granted,
            load,
        } => {
            let reply = if is_granted {
                SlotReply::Granted
            } else {
                SlotReply::Full(load)
            };
            gateway.slot_queries.complete(seq, reply);
        }
        SlotMessage::Update {
            member,
            endpoint,
            own,
        } => {
            let mut ledger = gateway.slot_ledger.borrow_mut();
            ledger.update(gateway.now(), endpoint, member, own);
        }
        SlotMessage::Yield { endpoint } => gateway.item_runner.preempt_item(gateway, endpoint),
    }
}
