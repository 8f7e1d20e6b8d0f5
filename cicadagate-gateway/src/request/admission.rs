/*!
Checks of a request before it is sent to a replica.
*/

use {
    super::{
        RequestError, Response, forward, headers::MEMBER_HOP, job_requests,
        pending::PendingRequest, quarantine, through_member,
    },
    crate::process::{Gateway, RequestGuard, freshness::Refreshed, limits, memory::HeldBytes},
    actix_http::{HttpMessage as _, Request, header},
    cicadagate_node::{
        connection::http::{BodyError, read_body_within},
        event,
    },
    cicadagate_policy::{
        ids::RequestPart,
        process::rate_limit::Limit,
        time::Time,
        version::serving::{Customer, Identity, Route, RouteKind, ServingConfig},
    },
    std::{rc::Rc, time::Duration},
};

/// Time until the deadline of a request that sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// `Retry-After` of an instance that is starting or stopping while others
/// serve: short, since the caller can retry at one of them.
const RETRY_AT_OTHERS: Duration = Duration::from_millis(50);
/// `Retry-After` if no other instance is known to serve.
const RETRY_WITHOUT_OTHERS: Duration = Duration::from_millis(1_500);

/// Identity and route of a request, and the configuration they are from.
pub(super) struct RequestContext {
    pub(super) config: Rc<ServingConfig>,
    pub(super) route: Option<Rc<Route>>,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) host: String,
}

/// Where a request goes, and what of its prompt other requests may share.
pub(super) struct Destination {
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    pub(super) prompt_parts: Vec<RequestPart>,
}

impl Destination {
    fn new(gateway: &Gateway, req: &Request, route: Rc<Route>, id: &str) -> Self {
        let service = route.service_of(id).unwrap_or_default().to_owned();
        let value = header_text(req, &gateway.codec.headers().prompt_parts);
        Self {
            prompt_parts: gateway.prompt_parts(&service, &value),
            route,
            service,
        }
    }
}

/// Serves a request, or refuses it.
pub(super) async fn serve(
    gateway: &Rc<Gateway>,
    mut req: Request,
    guard: RequestGuard,
) -> Response {
    let arrival = gateway.now();
    let id = header_text(&req, &gateway.codec.headers().request_id);
    let query = req.uri().query().unwrap_or_default();
    let job_request = gateway
        .codec
        .parse_job_request(req.method(), req.path(), query);
    let refreshed = gateway.refresh_config().await;
    let identified = identify(gateway, &req, job_request.is_some());
    let context = match judge_by_age(identified, refreshed) {
        Ok(context) => context,
        Err(request_error) => return refuse(gateway, &id, request_error, "", None),
    };
    if let Some(job_request) = job_request {
        return job_requests::serve(gateway, &req, &context, job_request).await;
    }
    let Some(route) = context.route.clone() else {
        return refuse(gateway, &id, RequestError::NoRoute, "", None);
    };
    if id.is_empty() {
        return refuse(gateway, &id, RequestError::Malformed, &route.name, None);
    }
    let destination = Destination::new(gateway, &req, Rc::clone(&route), &id);
    let is_online = route.kind != RouteKind::Batch;
    let deadline = deadline(gateway, &req, &route, arrival);
    if is_online && !gateway.admits_until(arrival, deadline) {
        return refuse(gateway, &id, RequestError::Closing, &route.name, None);
    }
    let is_from_member = req.headers().contains_key(&MEMBER_HOP);
    let goes_through_member =
        is_online && !is_from_member && through_member::is_needed(gateway, &destination.service);
    // The other gateway admits the request.
    if is_online
        && !goes_through_member
        && let Err((request_error, delay)) = admit(gateway, &id, &context, &destination).await
    {
        return refuse(gateway, &id, request_error, &route.name, Some(delay));
    }
    let customer_id = context.customer.as_ref().map(|customer| customer.id);
    let mut held = HeldBytes::new(gateway, customer_id);
    let limit = context.config.limits().body_bytes;
    let body = read_body_within(&mut req, limit, |bytes| held.reserve(&id, bytes));
    let body = match body.await {
        Ok(body) => body,
        Err(body_error) => {
            let (request_error, retry_after) = match body_error {
                BodyError::TooLong => (RequestError::TooLong, None),
                BodyError::Incomplete => (RequestError::Incomplete, None),
                BodyError::NoMemory => (RequestError::MemoryShort, Some(RETRY_AT_OTHERS)),
            };
            return refuse(gateway, &id, request_error, &route.name, retry_after);
        }
    };
    if route.kind == RouteKind::Batch {
        return job_requests::submit(gateway, &id, &context, &route, &body).await;
    }
    // The body may have taken long, or the stop may have begun meanwhile.
    if !gateway.admits_until(gateway.now(), deadline) {
        return refuse(gateway, &id, RequestError::Closing, &route.name, None);
    }
    let mut request = PendingRequest::new(
        gateway,
        &req,
        id,
        &context,
        destination,
        body,
        arrival,
        deadline,
    );
    request.held_bytes = Some(held);
    if goes_through_member {
        return forward::serve_through_member(gateway, request, guard).await;
    }
    forward::serve(gateway, request, guard).await
}

fn identify(
    gateway: &Rc<Gateway>,
    req: &Request,
    is_job_request: bool,
) -> Result<RequestContext, RequestError> {
    if gateway.refuses_requests() {
        return Err(RequestError::Closing);
    }
    let config = gateway
        .current_config()
        .ok_or(RequestError::NotConfigured)?;
    let host = header_text(req, &header::HOST);
    let route = config.route(&host, req.path()).cloned();
    if route.is_none() && !is_job_request {
        return Err(RequestError::NoRoute);
    }
    let key = bearer_token(req);
    let is_open = !is_job_request && route.as_ref().is_some_and(|route| route.is_open);
    let customer = match config.identify(key.as_deref()) {
        Identity::Customer(customer) => Some(customer),
        Identity::NotNeeded => None,
        Identity::Unknown if is_open => None,
        Identity::Unknown => return Err(RequestError::UnknownKey),
    };
    Ok(RequestContext {
        config,
        route,
        customer,
        host,
    })
}

/// Returns what may be said of a request by a configuration of this age. One that is too old
/// denies nothing: the route or key may have been added since.
fn judge_by_age(
    identified: Result<RequestContext, RequestError>,
    refreshed: Refreshed,
) -> Result<RequestContext, RequestError> {
    match identified {
        Err(RequestError::NoRoute | RequestError::UnknownKey) if refreshed != Refreshed::Recent => {
            Err(RequestError::ConfigStale)
        }
        identified => identified,
    }
}

/// Checks a request against the quarantined parts of prompts, the load of the
/// service and the customer's rate limit.
async fn admit(
    gateway: &Rc<Gateway>,
    id: &str,
    context: &RequestContext,
    destination: &Destination,
) -> Result<(), (RequestError, Duration)> {
    let customer = context.customer.as_deref();
    quarantine::check(gateway, id, &destination.prompt_parts)
        .map_err(|delay| (RequestError::Quarantined, delay))?;
    if let Some(delay) = gateway.retry_after_evacuation(&destination.service) {
        return Err((RequestError::AllEvacuated, delay));
    }
    // A request that is refused because of the load takes no token.
    forward::check_load(gateway, id, destination, customer)
        .map_err(|delay| (RequestError::Overloaded, delay))?;
    take_token(gateway, id, customer)
        .await
        .map_err(|delay| (RequestError::OverLimit, delay))
}

async fn take_token(
    gateway: &Rc<Gateway>,
    id: &str,
    customer: Option<&Customer>,
) -> Result<(), Duration> {
    let Some(customer) = customer else {
        return Ok(());
    };
    let limit = Limit {
        rate_per_s: customer.rate_per_s,
        burst: customer.burst,
    };
    let decision = limits::admit(gateway, customer.id, limit).await;
    decision.map_err(|over| {
        event!(
            OVER_LIMIT,
            request = id,
            customer = customer.name.as_str(),
            rate_per_s = limit.rate_per_s,
            burst = limit.burst,
            tokens = over.tokens,
            retry_after_ms = over.retry_after_ms
        );
        Duration::from_millis(over.retry_after_ms)
    })
}

fn deadline(gateway: &Rc<Gateway>, req: &Request, route: &Route, arrival: Time) -> Time {
    let requested = header_text(req, &gateway.codec.headers().deadline_ms);
    let requested_ms = requested.parse().unwrap_or(DEFAULT_DEADLINE_MS);
    let until_deadline_ms = match route.timeout_ms {
        0 => requested_ms,
        timeout_ms => requested_ms.min(timeout_ms),
    };
    arrival.plus(until_deadline_ms)
}

/// Responds to a request that is refused, and logs it.
pub(super) fn refuse(
    gateway: &Rc<Gateway>,
    id: &str,
    request_error: RequestError,
    route: &str,
    retry_after: Option<Duration>,
) -> Response {
    let retry_after = match request_error {
        RequestError::NotConfigured | RequestError::ConfigStale | RequestError::Closing => {
            let now = gateway.now();
            let others_serve = gateway
                .reports
                .borrow()
                .recent(now)
                .any(|other| !other.is_leaving);
            Some(if others_serve {
                RETRY_AT_OTHERS
            } else {
                RETRY_WITHOUT_OTHERS
            })
        }
        _ => retry_after,
    };
    let (status, code, _) = request_error.describe();
    let version = gateway.config.borrow().version().unwrap_or_default();
    event!(
        REQUEST_REFUSED,
        request = id,
        status,
        code,
        route,
        config_version = version,
        retry_after_ms = retry_after.map_or(0, |delay| delay.as_millis())
    );
    request_error.respond(gateway, retry_after)
}

/// Returns a header's value as text, empty if it is missing or not text.
pub(super) fn header_text(req: &Request, name: &header::HeaderName) -> String {
    let value = req.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().trim().to_owned()
}

fn bearer_token(req: &Request) -> Option<String> {
    let value = header_text(req, &header::AUTHORIZATION);
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}
