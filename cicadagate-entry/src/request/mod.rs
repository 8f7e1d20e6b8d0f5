/*!
Handling of one request of a caller.
*/

mod batches;
mod completion;
mod error;
mod files;
mod key;
mod relay;
mod service;

use {
    crate::process::Entry,
    actix_http::{HttpMessage as _, Method, Request, Response, body::BoxBody},
    cicadagate_node::{
        clock::unix_time_ms,
        connection::http::{BodyError, read_body, respond_json},
        trace::{Span, TraceContext, random_bytes},
    },
    cicadagate_policy::{
        ids::RequestId,
        version::config::{Customer, RouteKind},
    },
    error::{ApiError, Result},
    serde_json::{Value, json},
    std::rc::Rc,
};

/// What is known of a request before its body is read.
pub(crate) struct RequestInfo {
    pub entry: Rc<Entry>,
    pub id: RequestId,
    pub context: TraceContext,
    pub customer: Customer,
    /// Hash of the API key; `None` on routes that are open to all.
    pub key_hash: Option<[u8; 32]>,
    pub idempotency_key: Option<String>,
}

impl RequestInfo {
    /// Collects what is known of a request.
    ///
    /// If the request has an idempotency key, its id is derived from the key,
    /// so that a resend has the same id at any entry; otherwise it is `id`.
    fn new(
        entry: &Rc<Entry>,
        req: &Request,
        caller: key::Caller,
        id: RequestId,
        context: TraceContext,
    ) -> Self {
        let value = req.headers().get("idempotency-key");
        let idempotency_key = value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let key::Caller { customer, key_hash } = caller;
        let id = match &idempotency_key {
            Some(key) => RequestId::of(&format!("{}/{key}", customer.name)),
            None => id,
        };
        Self {
            entry: Rc::clone(entry),
            id,
            context,
            customer,
            key_hash,
            idempotency_key,
        }
    }
}

/// Handles a caller's request.
pub(crate) async fn handle(entry: Rc<Entry>, req: Request) -> Response<BoxBody> {
    let start_ms = unix_time_ms();
    let header = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let parent = header("traceparent").and_then(TraceContext::parse);
    let context = parent.map_or_else(TraceContext::new_trace, |parent| parent.child());
    let mut id = RequestId::default();
    // Without random bytes all ids would be equal, so the trace id is used:
    // one that the caller sent differs between traces.
    if random_bytes(&mut id.0).is_none() {
        id = RequestId(context.trace);
    }
    let is_stopping = !entry.node.phase().is_advertised();
    let _guard = entry.node.track_running();
    let path = req.path().to_owned();
    let result = route(&entry, req, id, context).await;
    let mut res = result.unwrap_or_else(ApiError::into_response);
    if let Ok(value) = id.to_string().parse() {
        let name = actix_http::header::HeaderName::from_static("x-request-id");
        res.headers_mut().insert(name, value);
    }
    if is_stopping {
        // The caller's next request should go to another entry.
        res.head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    let status = res.status().as_u16().to_string();
    entry
        .node
        .metrics
        .requests
        .with_label_values(&[status.as_str()])
        .inc();
    entry.node.spans.push(Span {
        name: "request",
        context,
        parent: parent.map(|parent| parent.span),
        start_ms,
        end_ms: unix_time_ms(),
        attributes: vec![
            ("request", id.to_string()),
            ("path", path),
            ("status", status),
        ],
    });
    res
}

async fn route(
    entry: &Rc<Entry>,
    req: Request,
    id: RequestId,
    context: TraceContext,
) -> Result<Response<BoxBody>> {
    let path = req.path().to_owned();
    let method = req.method().clone();
    if path == "/v1/addresses" && method == Method::GET {
        return Ok(respond_json(200, &entry.addresses()));
    }
    if !entry.node.is_configured() || !entry.node.has_contact() {
        return Err(ApiError::not_run(
            503,
            "no_contact",
            "this instance can't tell which configuration is in force",
            1_000,
        ));
    }
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts.first() != Some(&"v1") {
        return service::handle(entry, req, id, context).await;
    }
    let caller = key::authenticate(&entry.node, &req)?;
    let info = RequestInfo::new(entry, &req, caller, id, context);
    match (method, parts.as_slice()) {
        (Method::GET, ["v1", "models"]) => Ok(respond_json(200, &models(entry))),
        (Method::POST, ["v1", "chat", "completions"]) => {
            completion::handle(info, req, completion::Kind::Chat).await
        }
        (Method::POST, ["v1", "completions"]) => {
            completion::handle(info, req, completion::Kind::Text).await
        }
        (Method::POST, ["v1", "files"]) => files::upload(info, req).await,
        (Method::GET, ["v1", "files", file, "content"]) => files::content(info, file).await,
        (Method::POST, ["v1", "batches"]) => batches::create(info, req).await,
        (Method::GET, ["v1", "batches"]) => batches::list(info).await,
        (Method::GET, ["v1", "batches", job]) => batches::get(info, job).await,
        (Method::POST, ["v1", "batches", job, "cancel"]) => batches::cancel(info, job).await,
        _ => Err(ApiError::invalid(
            404,
            "unknown_path",
            "there is no such path or method",
        )),
    }
}

/// Returns the list of models as JSON.
fn models(entry: &Entry) -> Value {
    let config = entry.node.config.borrow();
    let models: Vec<Value> = config
        .routes()
        .filter(|route| route.kind == RouteKind::Model)
        .map(|route| {
            json!({"id": route.name, "object": "model", "created": 0, "owned_by": "cicadagate"})
        })
        .collect();
    json!({"object": "list", "data": models})
}

/// Reads a request's body of up to `limit` bytes.
async fn read_limited_body(req: &mut Request, limit: usize) -> Result<bytes::Bytes> {
    read_body(req, limit).await.map_err(|err| match err {
        BodyError::TooLong => ApiError::invalid(
            413,
            "body_too_long",
            &format!("a body has at most {limit} bytes"),
        ),
        BodyError::Incomplete | BodyError::NoMemory => ApiError::invalid(
            400,
            "body_incomplete",
            "the body did not arrive whole in time",
        ),
    })
}

/// Reads a request's body as a JSON object.
async fn read_json_body(req: &mut Request, limit: usize) -> Result<Value> {
    let body = read_limited_body(req, limit).await?;
    let value: Value = serde_json::from_slice(&body)
        .map_err(|err| ApiError::invalid(400, "malformed_json", &format!("body: {err}")))?;
    if !value.is_object() {
        return Err(ApiError::invalid(
            400,
            "malformed_json",
            "the body must be a JSON object",
        ));
    }
    Ok(value)
}

/// Admits a request within the customer's rate and burst.
async fn admit(info: &RequestInfo) -> Result<()> {
    info.entry
        .admission
        .admit(&info.customer)
        .await
        .map_err(|rejection| {
            let (status, code, message) = if rejection.limit_unavailable {
                (
                    503,
                    "limit_unavailable",
                    "the customer's rate can't be looked up now",
                )
            } else {
                (
                    429,
                    "rate_limit_exceeded",
                    "the customer's rate and burst are used up",
                )
            };
            info.entry
                .node
                .metrics
                .refusals
                .with_label_values(&[code])
                .inc();
            ApiError::not_run(status, code, message, rejection.retry_ms)
        })
}
