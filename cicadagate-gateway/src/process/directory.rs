/*!
What callers, the platform and operators ask besides requests: the addresses
to use, readiness, and metrics.

Callers are told all gateways that work, whatever their data centre: within a
region the distance costs a millisecond, while a data centre's few instances
would carry its peaks alone.
*/

use {
    super::Gateway,
    crate::request::{Response, respond},
    actix_http::Request,
    cicadagate_policy::process::membership::Health,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// How long callers are to keep an answer: short, since it may name an
/// instance that has just been lost; long enough for few calls.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Answers whether callers may be sent here.
pub async fn serve_readiness(gateway: Rc<Gateway>, _req: Request) -> Response {
    let status = if gateway.is_ready() { 200 } else { 503 };
    respond(status, "text/plain", "")
}

/// Answers with the addresses to use.
pub async fn serve_addresses(gateway: Rc<Gateway>, req: Request) -> Response {
    if !gateway.codec.is_address_call(req.path()) {
        return respond(404, "text/plain", "");
    }
    let addresses = addresses(&gateway);
    if addresses.is_empty() {
        return respond(503, "text/plain", "");
    }
    let ttl = ADDRESS_TTL.min(gateway.bounds().max_address_ttl);
    respond(
        200,
        "application/json",
        gateway.codec.addresses(&addresses, ttl),
    )
}

/// Returns the callers' addresses of gateways that work.
#[must_use]
pub fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let now = gateway.now();
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let mut addresses: Vec<SocketAddr> = members
        .members()
        .filter(|(info, health)| *health == Health::Alive && reports.is_working(now, info))
        .map(|(info, _)| info.tcp)
        .collect();
    if gateway.is_ready() {
        addresses.push(gateway.settings.addresses.callers);
    }
    addresses.sort_unstable();
    if addresses.len() > MAX_ADDRESSES {
        let skip = usize::try_from(gateway.roll()).unwrap_or_default() % addresses.len();
        addresses.rotate_left(skip);
        addresses.truncate(MAX_ADDRESSES);
    }
    addresses
}

/// Answers with the metrics.
pub async fn serve_metrics(gateway: Rc<Gateway>, _req: Request) -> Response {
    respond(200, "text/plain; version=0.0.4", gateway.metrics.render())
}
