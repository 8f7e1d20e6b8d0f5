/*!
Requests to plain services, which are services other than model engines. Any
method and path of a route is forwarded, without API keys and without headers
of the caller's connection.
*/

use {
    super::{
        RequestInfo, admit,
        error::{ApiError, Result},
        key::{Caller, authenticate, forwarded_headers, forwarded_path},
        read_limited_body,
        relay::{Encoder, await_first_step, response_body},
    },
    crate::process::Entry,
    actix_http::{
        Method, Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
    },
    bytes::Bytes,
    cicadagate_node::{
        request::{Failure, RequestRun, RequestSpec, ResponseEvent},
        trace::TraceContext,
    },
    cicadagate_policy::{
        ids::{CustomerId, RequestId, hash64},
        process::replica_queue::Class,
        version::config::{Customer, choose_backend},
    },
    cicadagate_wire::peer::EndpointKind,
    std::rc::Rc,
};

/// Estimated cost of a request to a plain service, in output tokens.
const SERVICE_REQUEST_COST: u64 = 8;

/// Returns the caller of requests on routes that are open to all.
fn anonymous_caller() -> Caller {
    Caller {
        customer: Customer {
            name: String::new(),
            rate_milli: 0,
            burst: 0,
        },
        key_hash: None,
    }
}

pub(super) async fn handle(
    entry: &Rc<Entry>,
    mut req: Request,
    id: RequestId,
    context: TraceContext,
) -> Result<Response<BoxBody>> {
    let route = entry
        .node
        .config
        .borrow()
        .service_route(req.path())
        .cloned();
    let Some(route) = route else {
        return Err(ApiError::invalid(
            404,
            "unknown_path",
            "no route leads there",
        ));
    };
    let caller = if route.open {
        anonymous_caller()
    } else {
        authenticate(&entry.node, &req)?
    };
    let info = RequestInfo::new(entry, &req, caller, id, context);
    let body = read_limited_body(&mut req, entry.settings.max_body_bytes).await?;
    if !route.open {
        admit(&info).await?;
    }
    let backend = choose_backend(&route, info.id)
        .ok_or_else(|| ApiError::not_run(503, "no_replica", "the route leads nowhere", 1_000))?;
    let is_safe_method = matches!(*req.method(), Method::GET | Method::HEAD | Method::OPTIONS);
    let spec = RequestSpec {
        id: info.id,
        class: Class::Online,
        customer: CustomerId::of(&info.customer.name),
        deployment: backend.deployment.clone(),
        target: EndpointKind::Service,
        method: req.method().to_string(),
        path: forwarded_path(&req),
        headers: forwarded_headers(&req),
        body,
        cost: SERVICE_REQUEST_COST,
        prefix_hash: hash64(&[&info.id.0]),
        idempotent: is_safe_method || !route.non_idempotent,
        has_idempotency_key: info.idempotency_key.is_some(),
        api_key_hash: info.key_hash,
        start_within_ms: entry.settings.start_within_ms,
        end_within_ms: entry.settings.end_within_ms,
        trace_context: context,
    };
    relay(&info, spec).await
}

async fn relay(info: &RequestInfo, spec: RequestSpec) -> Result<Response<BoxBody>> {
    let guard = info.entry.node.track_running();
    let started = await_first_step(RequestRun::new(Rc::clone(&info.entry.router), spec)).await?;
    let ResponseEvent::Head(status, headers) = &started.first else {
        return Err(ApiError::invalid(
            502,
            "attempts_failed",
            "the service gave no head",
        ));
    };
    let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in headers {
        builder.append_header((name.as_str(), value.as_str()));
    }
    let stream = BodyStream::new(Box::pin(response_body(started, Passthrough, guard)));
    Ok(builder.body(stream).map_into_boxed_body())
}

/// Encodes the body of a service's response unchanged.
struct Passthrough;

impl Encoder for Passthrough {
    fn start(&mut self) -> Bytes {
        Bytes::new()
    }

    fn piece(&mut self, piece: &Bytes) -> Bytes {
        piece.clone()
    }

    fn end(&mut self, _finish: &str, _prompt_tokens: u64) -> Bytes {
        Bytes::new()
    }

    fn failure(&mut self, _failure: &Failure) -> Bytes {
        Bytes::new()
    }
}
