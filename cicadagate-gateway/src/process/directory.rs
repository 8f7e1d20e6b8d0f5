/*!
HTTP handlers for callers, the platform and operators: addresses of the
gateways, readiness, and metrics.

Callers get the addresses of all working gateways, whatever their data centre:
within a region another data centre adds about a millisecond, while the few
instances of a single data centre would have to absorb its load peaks alone.
*/

use {
    super::{Gateway, freshness},
    crate::request::{Response, respond},
    actix_http::Request,
    cicadagate_node::clock::unix_time_ms,
    cicadagate_policy::process::{membership::Health, reachability::members_to_advertise},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Time for which callers cache the addresses: short, since an instance may
/// have just failed, but long enough to keep the number of queries low.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Most addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Serves the readiness check.
pub async fn serve_readiness(gateway: Rc<Gateway>, _req: Request) -> Response {
    let status = if gateway.is_ready() { 200 } else { 503 };
    respond(status, "text/plain", "")
}

/// Serves the addresses of the gateways that callers may use.
pub async fn serve_addresses(gateway: Rc<Gateway>, req: Request) -> Response {
    if !gateway.codec.is_address_request(req.path()) {
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

/// Returns the addresses of the working gateways that accept callers.
#[must_use]
pub fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let now = gateway.now();
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let cut_off = gateway.cut_off_members.borrow();
    let mut working: Vec<(SocketAddr, bool)> = members
        .members()
        .filter(|(info, health)| *health == Health::Alive && reports.is_working(now, info))
        .map(|(info, _)| (info.tcp, cut_off.is_cut_off_from_all(now, info.id)))
        .collect();
    if gateway.is_ready() {
        let own_addr = gateway.settings.addresses.callers;
        working.push((own_addr, gateway.is_cut_off_from_all()));
    }
    let mut addresses = members_to_advertise(&working);
    addresses.sort_unstable();
    if addresses.len() > MAX_ADDRESSES {
        let skip = usize::try_from(gateway.next_random()).unwrap_or_default() % addresses.len();
        addresses.rotate_left(skip);
        addresses.truncate(MAX_ADDRESSES);
    }
    addresses
}

/// Serves the metrics.
pub async fn serve_metrics(gateway: Rc<Gateway>, _req: Request) -> Response {
    set_waiting_tokens(&gateway);
    freshness::set_ages(&gateway, gateway.now());
    respond(200, "text/plain; version=0.0.4", gateway.metrics.render())
}

fn set_waiting_tokens(gateway: &Gateway) {
    let gauge = &gateway.metrics.waiting_tokens;
    gauge.reset();
    let Some(config) = gateway.current_config() else {
        return;
    };
    let as_gauge = |tokens: u64| i64::try_from(tokens).unwrap_or(i64::MAX);
    let index = gateway.jobs.index.borrow();
    for ((customer, route), waiting) in index.waiting_tokens(unix_time_ms()) {
        let limit = config
            .route_by_name(route)
            .map_or(0, |route| route.max_waiting_tokens);
        for (kind, tokens) in [("waiting", waiting), ("limit", limit)] {
            gauge
                .with_label_values(&[customer, route, kind])
                .set(as_gauge(tokens));
        }
    }
}
