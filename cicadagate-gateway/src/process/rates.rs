/*!
Request rates that replicas name in their responses.
*/

use {
    super::{Gateway, slots},
    actix_http::ResponseHead,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::{
            replica_rates::{NamedRate, RateChange, RequestRate},
            replicas::Registration,
        },
        time::Time,
    },
    std::{fmt::Display, net::SocketAddr},
};

/// Longest time for which a replica counts as full because of its rate, in
/// milliseconds. The rate may be lifted meanwhile.
const MAX_LIMITED_MS: u64 = 1_000;

impl Gateway {
    /// Returns whether a replica is known to name a rate, or to be cold.
    pub(crate) fn is_limited(&self, endpoint: EndpointId) -> bool {
        self.replica_rates.borrow().rate(endpoint).is_some() || self.cold_limit(endpoint).is_some()
    }

    /// Records that the rate of a replica allows no request for `wait_ms`
    /// milliseconds.
    pub(crate) fn note_limited(&self, endpoint: EndpointId, wait_ms: u64) {
        let wait_ms = wait_ms.min(MAX_LIMITED_MS);
        let mut replicas = self.replicas.borrow_mut();
        replicas.note_full_for(self.now(), endpoint, wait_ms);
    }

    /// Returns the rate that a replica accepts, or an empty text, for logs.
    pub(crate) fn named_rate(&self, endpoint: EndpointId) -> String {
        let replicas = self.replicas.borrow();
        let rate = replicas.get(endpoint).and_then(|replica| {
            let cold_start = self.cold_start(&replica.registration.service);
            let named = self.replica_rates.borrow().rate(endpoint);
            self.usable_rate(replica, named, cold_start)
        });
        rate.map_or_else(String::new, |rate| rate.to_string())
    }
}

/// Records the rate that the head of a replica's response names, or that it
/// names none. The request was sent at `sent_at` or later.
pub(super) fn note_head(
    gateway: &Gateway,
    request: &str,
    replica: &Registration,
    head: &ResponseHead,
    sent_at: Time,
) {
    let value = head.headers.get(&gateway.codec.headers().max_rate);
    let rate = value.map(|value| {
        let per_s = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        per_s.and_then(RequestRate::new)
    });
    if rate == Some(None) {
        event!(
            REPLICA_RATE_INVALID,
            replica = replica.id.as_str(),
            request,
            value:? = value
        );
        return;
    }
    let endpoint = EndpointId::of(&replica.id);
    let change = gateway.replica_rates.borrow_mut().note_response(
        gateway.now(),
        endpoint,
        replica.started_ms,
        sent_at,
        rate.flatten(),
    );
    if rate.is_some() || change != RateChange::None {
        slots::tell_owner_rate(gateway, endpoint);
    }
    log(gateway, endpoint, change, &request);
}

/// Applies what another gateway knows of a replica's rate.
pub(super) fn apply(gateway: &Gateway, endpoint: EndpointId, named: NamedRate, from: SocketAddr) {
    let now = gateway.now();
    let change = gateway
        .replica_rates
        .borrow_mut()
        .apply(now, endpoint, named);
    log(gateway, endpoint, change, &from);
}

/// Logs a change of a replica's rate; `source` is the request or the member
/// that it is known from.
fn log(gateway: &Gateway, endpoint: EndpointId, change: RateChange, source: &dyn Display) {
    let replica = {
        let replicas = gateway.replicas.borrow();
        let replica = replicas.get(endpoint);
        replica.map_or_else(String::new, |replica| replica.registration.id.clone())
    };
    match change {
        RateChange::None => return,
        RateChange::Limited(rate) => {
            event!(REPLICA_LIMITED, replica, rate: = rate, source: = source);
        }
        RateChange::Lifted => event!(REPLICA_UNLIMITED, replica, source: = source),
    }
    let limited = gateway.replica_rates.borrow().limited_count();
    gateway.metrics.set_state("limited_replicas", limited);
}
