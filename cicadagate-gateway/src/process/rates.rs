/*!
Request rates that replicas name in their responses.
*/

use {
    super::Gateway,
    actix_http::ResponseHead,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::{
            replica_rates::{RateChange, RequestRate},
            replicas::Registration,
        },
        time::Time,
    },
};

impl Gateway {
    /// Returns the rate that a replica names, or an empty text, for logs.
    pub(crate) fn named_rate(&self, endpoint: EndpointId) -> String {
        let rate = self.replica_rates.borrow().rate(endpoint);
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
    log(gateway, endpoint, change, request);
}

/// Logs a change of a replica's rate; `source` is the request or the member
/// that it is known from.
fn log(gateway: &Gateway, endpoint: EndpointId, change: RateChange, source: &str) {
    let replica = {
        let replicas = gateway.replicas.borrow();
        let replica = replicas.get(endpoint);
        replica.map_or_else(String::new, |replica| replica.registration.id.clone())
    };
    match change {
        RateChange::None => return,
        RateChange::Limited(rate) => event!(REPLICA_LIMITED, replica, rate: = rate, source),
        RateChange::Lifted => event!(REPLICA_UNLIMITED, replica, source),
    }
    let limited = gateway.replica_rates.borrow().limited_count();
    gateway.metrics.set_state("limited_replicas", limited);
}
