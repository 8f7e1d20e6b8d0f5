/*!
Requests for slots to the owners of replicas.
*/

use {
    super::{Gateway, InFlightGuard, cold, evacuation, owners::owner_of, rates, registry},
    actix_rt::time::sleep,
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        process::{
            replica_rates::{NamedRate, RateDecision},
            reports::InFlight,
            slot_ledger::{Purpose, SlotMessage},
        },
    },
    cicadagate_wire::datagram::GatewayDatagram,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Delay after which a slot at a replica with a request rate is requested again
/// if its owner did not reply, in milliseconds.
const OWNER_RETRY_MS: u64 = 100;

/// An owner's reply to a slot query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotReply {
    /// The slot is granted after this time, in milliseconds.
    Granted(u64),
    /// The replica has no slot left.
    Full(InFlight),
    /// The rate that the replica names allows a request only after this time,
    /// in milliseconds.
    Limited(u64),
    /// The replica is leaving.
    Leaving,
    /// The replica's data centre is evacuated.
    Evacuated,
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
    /// The rate that the replica names allows a request only after this time,
    /// in milliseconds.
    Limited(u64),
    /// The owner says that the replica is leaving, or in an evacuated data centre.
    Leaving,
}

/// Requests a slot from the owner of a replica. The slot counts as taken as
/// soon as the query is sent, so that concurrent queries are not granted the
/// same slot.
///
/// If the replica names a request rate, waits up to `max_wait_ms` until the rate
/// allows the request.
pub async fn acquire(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    purpose: Purpose,
    max_wait_ms: u64,
) -> SlotOutcome {
    let own = gateway.own_load(endpoint);
    let guard = gateway.count_in_flight(endpoint, purpose);
    let query = SlotQuery {
        endpoint,
        own,
        purpose,
        max_wait_ms,
    };
    match query_owner(gateway, query).await {
        Some(SlotReply::Granted(wait_ms)) => {
            if wait_ms > 0 {
                sleep(Duration::from_millis(wait_ms)).await;
            }
            SlotOutcome::Granted(guard)
        }
        Some(SlotReply::Full(load)) => SlotOutcome::Full(load),
        Some(SlotReply::Limited(wait_ms)) => SlotOutcome::Limited(wait_ms),
        Some(SlotReply::Leaving | SlotReply::Evacuated) => SlotOutcome::Leaving,
        None if gateway.is_limited(endpoint) => SlotOutcome::Limited(OWNER_RETRY_MS),
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

/// A request for a slot at a replica.
#[derive(Clone, Copy)]
struct SlotQuery {
    endpoint: EndpointId,
    /// Slots that the requesting member occupies there.
    own: InFlight,
    purpose: Purpose,
    max_wait_ms: u64,
}

/// Returns the owner's reply; `None` if there is none in time, if no owner is
/// known, or if this process is the owner but does not know the replica.
async fn query_owner(gateway: &Rc<Gateway>, query: SlotQuery) -> Option<SlotReply> {
    let SlotQuery {
        endpoint,
        own,
        purpose,
        max_wait_ms,
    } = query;
    let (owner, addr) = owner_of(gateway, endpoint.raw())?;
    let member = gateway.member_id;
    if owner == member {
        return decide(gateway, member, query);
    }
    let named = rate_in_message(gateway, endpoint);
    let send_query = |seq| {
        let message = match named {
            Some(named) => SlotMessage::AskLimited {
                seq,
                member,
                endpoint,
                own,
                purpose,
                named,
                max_wait_ms,
            },
            None => SlotMessage::Ask {
                seq,
                member,
                endpoint,
                own,
                purpose,
            },
        };
        send(gateway, addr, message);
    };
    gateway.slot_queries.query(send_query).await
}

/// Returns what this process knows of a replica's request rate, to tell another one.
fn known_rate(gateway: &Gateway, endpoint: EndpointId) -> Option<NamedRate> {
    let rates = gateway.replica_rates.borrow();
    rates.named(gateway.now(), endpoint)
}

/// Returns the rate in a message about a slot, `None` if the replica is not limited.
fn rate_in_message(gateway: &Gateway, endpoint: EndpointId) -> Option<NamedRate> {
    // Messages about cold replicas carry a wait, too.
    let is_cold = || gateway.cold_limit(endpoint).is_some();
    known_rate(gateway, endpoint).or_else(|| is_cold().then_some(NamedRate::UNKNOWN))
}

/// Tells the owner of a replica that the replica is leaving.
pub(super) fn tell_owner_leaving(gateway: &Gateway, endpoint: EndpointId) {
    let now = gateway.now();
    let leaving = gateway.replicas.borrow().leaving_replica(now, endpoint);
    let owner = owner_of(gateway, endpoint.raw()).filter(|(id, _)| *id != gateway.member_id);
    if let (Some(leaving), Some((_, addr))) = (leaving, owner) {
        send(gateway, addr, SlotMessage::Leaving { endpoint, leaving });
    }
}

/// Tells the owner of a replica what this process knows of its request rate.
pub(super) fn tell_owner_rate(gateway: &Gateway, endpoint: EndpointId) {
    let named = known_rate(gateway, endpoint);
    let owner = owner_of(gateway, endpoint.raw()).filter(|(id, _)| *id != gateway.member_id);
    if let (Some(named), Some((_, addr))) = (named, owner) {
        send(gateway, addr, SlotMessage::Named { endpoint, named });
    }
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

/// Decides on a query of a member, as the owner of the replica.
fn decide(gateway: &Gateway, member: MemberId, query: SlotQuery) -> Option<SlotReply> {
    let SlotQuery {
        endpoint,
        own,
        purpose,
        max_wait_ms,
    } = query;
    let slots = {
        let replicas = gateway.replicas.borrow();
        let replica = replicas.get(endpoint)?;
        replica.registration.slots
    };
    let now = gateway.now();
    if gateway.replicas.borrow().is_evacuated(endpoint) {
        return Some(SlotReply::Evacuated);
    }
    let source = gateway.replicas.borrow().leaving_source(now, endpoint);
    if source.is_some() {
        return Some(SlotReply::Leaving);
    }
    let mut rates = gateway.replica_rates.borrow_mut();
    let wait_ms = match rates.check(now, endpoint, purpose, max_wait_ms) {
        RateDecision::Unlimited => 0,
        RateDecision::After(wait_ms) => wait_ms,
        RateDecision::Denied(wait_ms) => return Some(SlotReply::Limited(wait_ms)),
    };
    let (wait_ms, is_cold) = match cold::check(gateway, endpoint, purpose, max_wait_ms) {
        RateDecision::Unlimited => (wait_ms, false),
        RateDecision::After(cold_wait_ms) => (wait_ms.max(cold_wait_ms), true),
        RateDecision::Denied(wait_ms) => return Some(SlotReply::Limited(wait_ms)),
    };
    let mut ledger = gateway.slot_ledger.borrow_mut();
    let decision = ledger.request_slot(now, endpoint, slots, member, own, purpose);
    drop(ledger);
    if decision.is_granted {
        rates.take(endpoint);
        if is_cold {
            gateway.cold_replicas.borrow_mut().take(endpoint);
        }
    }
    drop(rates);
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
        SlotReply::Granted(wait_ms)
    } else {
        SlotReply::Full(decision.load)
    })
}

/// Decides on a query of another gateway and replies to it.
fn answer(gateway: &Gateway, to: SocketAddr, seq: u64, member: MemberId, query: SlotQuery) {
    let Some(reply) = decide(gateway, member, query) else {
        // This process has not read the replica's registration yet.
        return;
    };
    let endpoint = query.endpoint;
    let (is_granted, load, wait_ms) = match reply {
        SlotReply::Granted(wait_ms) => (true, InFlight::default(), wait_ms),
        SlotReply::Full(load) => (false, load, 0),
        SlotReply::Limited(wait_ms) => (false, InFlight::default(), wait_ms),
        SlotReply::Evacuated => {
            send(gateway, to, SlotMessage::AnswerEvacuated { seq, endpoint });
            return;
        }
        SlotReply::Leaving => {
            let now = gateway.now();
            let leaving = gateway.replicas.borrow().leaving_replica(now, endpoint);
            if let Some(leaving) = leaving {
                let message = SlotMessage::AnswerLeaving {
                    seq,
                    endpoint,
                    leaving,
                };
                send(gateway, to, message);
            }
            return;
        }
    };
    let named = rate_in_message(gateway, endpoint);
    let message = match named {
        Some(named) => SlotMessage::AnswerLimited {
            seq,
            is_granted,
            load,
            endpoint,
            named,
            wait_ms,
        },
        None => SlotMessage::Answer {
            seq,
            is_granted,
            load,
        },
    };
    send(gateway, to, message);
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
            let query = SlotQuery {
                endpoint,
                own,
                purpose,
                max_wait_ms: 0,
            };
            answer(gateway, from, seq, member, query);
        }
        SlotMessage::AskLimited {
            seq,
            member,
            endpoint,
            own,
            purpose,
            named,
            max_wait_ms,
        } => {
            rates::apply(gateway, endpoint, named, from);
            let query = SlotQuery {
                endpoint,
                own,
                purpose,
                max_wait_ms,
            };
            answer(gateway, from, seq, member, query);
        }
        SlotMessage::Answer {
            seq,
            is_granted,
            load,
        } => {
            let reply = if is_granted {
                SlotReply::Granted(0)
            } else {
                SlotReply::Full(load)
            };
            gateway.slot_queries.complete(seq, reply);
        }
        SlotMessage::AnswerLimited {
            seq,
            is_granted,
            load,
            endpoint,
            named,
            wait_ms,
        } => {
            rates::apply(gateway, endpoint, named, from);
            let reply = match (is_granted, wait_ms) {
                (true, wait_ms) => SlotReply::Granted(wait_ms),
                (false, 0) => SlotReply::Full(load),
                (false, wait_ms) => SlotReply::Limited(wait_ms),
            };
            gateway.slot_queries.complete(seq, reply);
        }
        SlotMessage::AnswerLeaving {
            seq,
            endpoint,
            leaving,
        } => {
            registry::note_told_leaving(gateway, endpoint, leaving, from);
            let now = gateway.now();
            // Without a reply, the request is sent: this process knows a later incarnation.
            let source = gateway.replicas.borrow().leaving_source(now, endpoint);
            if source.is_some() {
                gateway.slot_queries.complete(seq, SlotReply::Leaving);
            }
        }
        SlotMessage::AnswerEvacuated { seq, endpoint } => {
            evacuation::note_told(gateway, endpoint);
            gateway.slot_queries.complete(seq, SlotReply::Evacuated);
        }
        SlotMessage::Leaving { endpoint, leaving } => {
            registry::note_told_leaving(gateway, endpoint, leaving, from);
        }
        SlotMessage::Named { endpoint, named } => rates::apply(gateway, endpoint, named, from),
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
