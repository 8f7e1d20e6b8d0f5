/*!
HTTP/1.1 server on the process's own thread.

The HTTP library limits the size of request heads, and the handler that of
bodies. The number of connections is limited too, and a connection whose
request head does not arrive in time is closed.
*/

use {
    crate::{event, metrics::Metrics},
    actix_http::{
        HttpService, Request, Response,
        body::{BoxBody, MessageBody},
        header,
    },
    actix_rt::net::{TcpListener, TcpStream},
    actix_service::{Service, ServiceFactory, fn_service},
    bytes::{Bytes, BytesMut},
    futures_util::StreamExt,
    std::{cell::Cell, convert::Infallible, future::Future, rc::Rc, time::Duration},
};

/// Time within which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which the rest of a body over the limit is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that are read of the rest of a body over the limit: several times
/// the longest bodies that are allowed.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;

/// Timeouts of an HTTP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time within which a request's head must arrive.
    pub head: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for ConnectionTimeouts {
    /// Returns timeouts that suit callers on slow connections.
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            idle: Duration::from_mins(1),
        }
    }
}

/// Serves HTTP on a listener until the returned future is dropped.
pub async fn serve<F, Fut, B>(
    listener: TcpListener,
    max_connections: usize,
    timeouts: ConnectionTimeouts,
    metrics: Rc<Metrics>,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: MessageBody + 'static,
{
    serve_with(
        listener,
        max_connections,
        move || timeouts,
        metrics,
        handler,
    )
    .await;
}

/// Serves HTTP like [`serve`], with timeouts that may change: a connection
/// keeps those in force when it was accepted.
pub async fn serve_with<F, Fut, B>(
    listener: TcpListener,
    max_connections: usize,
    timeouts: impl Fn() -> ConnectionTimeouts,
    metrics: Rc<Metrics>,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: MessageBody + 'static,
{
    let build = |timeouts: ConnectionTimeouts| {
        let factory = HttpService::build()
            .client_request_timeout(timeouts.head)
            .keep_alive(timeouts.idle)
            .h1_allow_half_closed(false)
            .tcp_nodelay(true)
            .finish(fn_service(handler.clone()))
            .tcp();
        async move { factory.new_service(()).await.map(Rc::new) }
    };
    let mut current_timeouts = timeouts();
    let Ok(mut service) = build(current_timeouts).await else {
        return;
    };
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= max_connections {
            metrics
                .refused_messages
                .with_label_values(&["connection"])
                .inc();
            event!(CONNECTION_REFUSED, open = open.get());
            continue;
        }
        if timeouts() != current_timeouts {
            current_timeouts = timeouts();
            if let Ok(rebuilt) = build(current_timeouts).await {
                service = rebuilt;
            }
        }
        open.set(open.get() + 1);
        actix_rt::spawn(serve_connection(
            Rc::clone(&service),
            stream,
            Rc::clone(&open),
        ));
    }
}

async fn serve_connection<S: Service<TcpStream>>(
    service: Rc<S>,
    stream: TcpStream,
    open: Rc<Cell<usize>>,
) {
    // An error ends only this connection and its requests.
    let _ = service.call(stream).await;
    open.set(open.get() - 1);
}

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLong,
    /// The connection failed, or the body did not arrive in time.
    Incomplete,
    /// There is no memory to hold the body.
    NoMemory,
}

/// Reads a request's body, up to `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body exceeds the limit or does not arrive completely
/// in time.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    read_body_within(req, limit, |_| true).await
}

/// Reads a request's body like [`read_body`], and reserves memory for it.
///
/// `reserve` is called with the further bytes to be held, before they are: once with the
/// length of the body if the request states it, else for each piece. It returns whether
/// they may be held.
///
/// # Errors
///
/// Returns an error if the body exceeds the limit, does not arrive completely in time, or
/// may not be held.
pub async fn read_body_within(
    req: &mut Request,
    limit: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let mut reserved = content_length(req).unwrap_or_default().min(limit);
    let mut payload = req.take_payload();
    let read = async {
        if !reserve(reserved) {
            discard_rest(&mut payload).await;
            return Err(BodyError::NoMemory);
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
            let len = body.len() + chunk.len();
            if len > limit {
                discard_rest(&mut payload).await;
                return Err(BodyError::TooLong);
            }
            if len > reserved {
                if !reserve(len - reserved) {
                    discard_rest(&mut payload).await;
                    return Err(BodyError::NoMemory);
                }
                reserved = len;
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    actix_rt::time::timeout(BODY_TIMEOUT, read)
        .await
        .unwrap_or(Err(BodyError::Incomplete))
}

/// Returns the length that a request states for its body, in bytes.
fn content_length(req: &Request) -> Option<usize> {
    let value = req.head().headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Reads and discards the rest of a body, within limits.
///
/// Closing a connection while the caller still sends resets it, and the caller
/// never sees the response.
async fn discard_rest(payload: &mut actix_http::Payload) {
    let read = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(chunk)) = payload.next().await {
            left = left.saturating_sub(chunk.len());
            if left == 0 {
                return;
            }
        }
    };
    // The connection of a caller that sends for longer may be reset before it
    // sees the response; callers are told the limit on bodies.
    let _ = actix_rt::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Creates a response with a body of the given content type.
#[must_use]
pub fn respond(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<BoxBody> {
    let status = actix_http::StatusCode::from_u16(status)
        .unwrap_or(actix_http::StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header(("content-type", content_type))
        .body(body.into())
        .map_into_boxed_body()
}

/// Creates a response with a JSON body.
#[must_use]
pub fn respond_json(status: u16, body: &serde_json::Value) -> Response<BoxBody> {
    respond(status, "application/json", body.to_string())
}

/// Returns the value of a parameter in a query string, without decoding it.
#[must_use]
pub fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
