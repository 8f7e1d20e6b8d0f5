/*!
Plain services: any method and path of a route, relayed whole.
*/

use {
    super::{
        Call, admit, body,
        error::{ApiError, Result},
        key::{Caller, caller, relayed_headers, relayed_path},
        relay::{Render, begin, body as relayed_body},
    },
    crate::process::Entry,
    actix_http::{
        Method, Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
    },
    bytes::Bytes,
    cicadagate_node::{
        request::{Answer, Failure, Plan, Step},
        trace::Context,
    },
    cicadagate_policy::{
        ids::{CustomerId, RequestId, hash64},
        process::dispatch::Class,
        version::config::{Customer, choose_backend},
    },
    cicadagate_wire::peer::Target,
    std::rc::Rc,
};

/// Work that a call to a plain service is taken to be, in tokens.
const CALL_COST: u64 = 8;

/// Customer of calls on routes that are open to all.
fn nobody() -> Caller {
    Caller {
        customer: Customer {
            name: String::new(),
            rate_milli: 0,
            burst: 0,
        },
        key: None,
    }
}

pub(super) async fn answer(
    entry: &Rc<Entry>,
    mut req: Request,
    id: RequestId,
    context: Context,
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
        nobody()
    } else {
        caller(&entry.node, &req)?
    };
    let call = Call::new(entry, &req, caller, id, context);
    let body = body(&mut req, entry.settings.max_body_bytes).await?;
    if !route.open {
        admit(&call).await?;
    }
    let backend = choose_backend(&route, call.id)
        .ok_or_else(|| ApiError::not_run(503, "no_replica", "the route leads nowhere", 1_000))?;
    let safe = matches!(*req.method(), Method::GET | Method::HEAD | Method::OPTIONS);
    let plan = Plan {
        id: call.id,
        class: Class::Online,
        customer: CustomerId::of(&call.customer.name),
        deployment: backend.deployment.clone(),
        target: Target::Service,
        method: req.method().to_string(),
        path: relayed_path(&req),
        headers: relayed_headers(&req),
        body,
        cost: CALL_COST,
        prefix: hash64(&[&call.id.0]),
        idempotent: safe || !route.non_idempotent,
        keyed: call.idempotency_key.is_some(),
        key: call.key,
        start_within_ms: entry.settings.start_within_ms,
        end_within_ms: entry.settings.end_within_ms,
        context,
    };
    relay(&call, plan).await
}

async fn relay(call: &Call, plan: Plan) -> Result<Response<BoxBody>> {
    let guard = call.entry.node.count_running();
    let begun = begin(Answer::new(Rc::clone(&call.entry.router), plan)).await?;
    let Step::Head(status, headers) = &begun.first else {
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
    let stream = BodyStream::new(Box::pin(relayed_body(begun, Raw, guard)));
    Ok(builder.body(stream).map_into_boxed_body())
}

/// Writes an answer as it is.
struct Raw;

impl Render for Raw {
    fn begin(&mut self) -> Bytes {
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
