/*!
Rate limits of customers.

In a small fleet load reports are fresh enough for a local decision. In a large
one the gateway that owns the customer's limit decides; see
[`rate_limit`](cicadagate_policy::process::rate_limit).
*/

use {
    super::{Gateway, owners::owner_of},
    cicadagate_policy::{
        ids::CustomerId,
        process::rate_limit::{Limit, LimitMessage, OverLimit},
    },
    cicadagate_wire::datagram::GatewayDatagram,
    std::{net::SocketAddr, rc::Rc},
};

/// A rate limit decision.
pub type LimitDecision = Result<(), OverLimit>;

/// Takes a token for a request from a customer's token bucket.
///
/// # Errors
///
/// Returns an error if the customer's limit allows no request at present.
pub async fn admit(gateway: &Rc<Gateway>, customer: CustomerId, limit: Limit) -> LimitDecision {
    let needs_owner = gateway.limiter.borrow().needs_owner();
    let owner = owner_of(gateway, customer.raw()).filter(|(id, _)| *id != gateway.member_id);
    let Some((_, addr)) = owner.filter(|_| needs_owner) else {
        let mut limiter = gateway.limiter.borrow_mut();
        return limiter.admit(gateway.now(), customer, limit);
    };
    let decision = query_owner(gateway, addr, customer).await;
    let mut limiter = gateway.limiter.borrow_mut();
    match decision {
        Some(Ok(())) => {
            limiter.record_admitted(gateway.now(), customer, limit);
            Ok(())
        }
        Some(Err(over)) => Err(over),
        None => limiter.admit(gateway.now(), customer, limit),
    }
}

async fn query_owner(
    gateway: &Rc<Gateway>,
    addr: SocketAddr,
    customer: CustomerId,
) -> Option<LimitDecision> {
    let spent = gateway.limiter.borrow().admitted_totals(customer);
    let send_query = |seq| {
        let message = LimitMessage::Ask {
            seq,
            member: gateway.member_id,
            customer,
            spent,
        };
        send(gateway, addr, message);
    };
    gateway.limit_queries.query(send_query).await
}

fn send(gateway: &Gateway, to: SocketAddr, message: LimitMessage) {
    if let Some(peer_socket) = gateway.peer_socket.get() {
        peer_socket.send(gateway, to, &GatewayDatagram::Limit(message));
    }
}

/// Returns the limit of a customer in the configuration in force.
#[must_use]
pub fn limit_of(gateway: &Gateway, customer: CustomerId) -> Option<Limit> {
    let config = gateway.current_config()?;
    let customers = config.customers();
    let found = customers.iter().find(|known| known.id == customer)?;
    Some(Limit {
        rate_per_s: found.rate_per_s,
        burst: found.burst,
    })
}

/// Handles a message from another gateway.
pub(super) fn receive(gateway: &Rc<Gateway>, from: SocketAddr, message: LimitMessage) {
    match message {
        LimitMessage::Ask {
            seq,
            member,
            customer,
            spent,
        } => {
            // Without the limit there is no reply: the sender's query times
            // out, and it decides locally.
            let Some(limit) = limit_of(gateway, customer) else {
                return;
            };
            let mut limiter = gateway.limiter.borrow_mut();
            let verdict = limiter.admit_for_member(gateway.now(), member, customer, limit, spent);
            send(gateway, from, LimitMessage::Answer { seq, verdict });
        }
        LimitMessage::Answer { seq, verdict } => gateway.limit_queries.complete(seq, verdict),
    }
}
