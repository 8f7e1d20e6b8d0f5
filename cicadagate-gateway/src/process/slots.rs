/*!
Asking the owners of replicas for slots.
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

/// What an owner says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The slot is granted.
    Granted,
    /// The replica has no slot left.
    Full(InFlight),
}

/// How a slot was taken; dropping the guard gives it back.
pub enum Taken {
    /// The owner granted it.
    Granted(InFlightGuard),
    /// The owner does not answer, which must not hold work up.
    OwnerSilent(InFlightGuard),
    /// The replica has no slot left beside this load.
    Full(InFlight),
}

/// Asks the owner of a replica for a slot there. The slot counts as taken from
/// the question on, so that two questions at a time are not granted the same.
pub async fn take(gateway: &Rc<Gateway>, endpoint: EndpointId, purpose: Purpose) -> Taken {
    let own = gateway.own_load(endpoint);
    let guard = gateway.count_in_flight(endpoint, purpose);
    match ask(gateway, endpoint, own, purpose).await {
        Some(Reply::Granted) => Taken::Granted(guard),
        Some(Reply::Full(load)) => Taken::Full(load),
        None => {
            tell(gateway, endpoint);
            Taken::OwnerSilent(guard)
        }
    }
}

/// Takes a slot whatever the owner says, and tells it.
pub fn take_unasked(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    purpose: Purpose,
) -> InFlightGuard {
    let guard = gateway.count_in_flight(endpoint, purpose);
    tell(gateway, endpoint);
    guard
}

/// Returns the owner's answer, `None` if there is none in time.
async fn ask(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    own: InFlight,
    purpose: Purpose,
) -> Option<Reply> {
    let (owner, addr) = owner_of(gateway, endpoint.raw())?;
    if owner == gateway.me {
        return decide(gateway, gateway.me, endpoint, own, purpose);
    }
    let question = |seq| {
        let message = SlotMessage::Ask {
            seq,
            member: gateway.me,
            endpoint,
            own,
            purpose,
        };
        send(gateway, addr, message);
    };
    gateway.slot_questions.ask(question).await
}

/// Tells the owner of a replica what this process holds there.
pub fn tell(gateway: &Gateway, endpoint: EndpointId) {
    let own = gateway.own_load(endpoint);
    match owner_of(gateway, endpoint.raw()) {
        Some((owner, _)) if owner == gateway.me => {
            let mut ledger = gateway.slot_ledger.borrow_mut();
            ledger.update(gateway.now(), endpoint, gateway.me, own);
        }
        Some((_, addr)) => {
            let message = SlotMessage::Update {
                member: gateway.me,
                endpoint,
                own,
            };
            send(gateway, addr, message);
        }
        None => {}
    }
}

fn send(gateway: &Gateway, to: SocketAddr, message: SlotMessage) {
    if let Some(outbox) = gateway.outbox.get() {
        outbox.send(gateway, to, &GatewayDatagram::Slot(message));
    }
}

fn decide(
    gateway: &Gateway,
    member: MemberId,
    endpoint: EndpointId,
    own: InFlight,
    purpose: Purpose,
) -> Option<Reply> {
    let slots = {
        let replicas = gateway.replicas.borrow();
        let replica = replicas.get(endpoint)?;
        replica.registration.slots
    };
    let decision =
        gateway
            .slot_ledger
            .borrow_mut()
            .ask(gateway.now(), endpoint, slots, member, own, purpose);
    match decision.yields {
        Some(yielding) if yielding == gateway.me => gateway.work.yield_slot(gateway, endpoint),
        Some(yielding) => {
            let addr = {
                let members = gateway.members.borrow();
                members.member(yielding).map(|(info, _)| info.udp)
            };
            if let Some(addr) = addr {
                send(gateway, addr, SlotMessage::Yield { endpoint });
            }
        }
        None => {}
    }
    Some(if decision.is_granted {
        Reply::Granted
    } else {
        Reply::Full(decision.load)
    })
}

/// Takes a message of another gateway.
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
                Some(Reply::Granted) => (true, InFlight::default()),
                Some(Reply::Full(load)) => (false, load),
                // The asker knows of the replica; this process does not yet.
                None => return,
            };
            let answer = SlotMessage::Answer {
                seq,
                is_granted,
                load,
            };
            send(gateway, from, answer);
        }
        SlotMessage::Answer {
            seq,
            is_granted,
            load,
        } => {
            let reply = if is_granted {
                Reply::Granted
            } else {
                Reply::Full(load)
            };
            gateway.slot_questions.answer(seq, reply);
        }
        SlotMessage::Update {
            member,
            endpoint,
            own,
        } => {
            let mut ledger = gateway.slot_ledger.borrow_mut();
            ledger.update(gateway.now(), endpoint, member, own);
        }
        SlotMessage::Yield { endpoint } => gateway.work.yield_slot(gateway, endpoint),
    }
}
