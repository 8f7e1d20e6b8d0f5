/*!
Requests from callers.

The route, the customer and its rate limit are checked before a request is sent
to a replica. A request that can't be served is refused at once; if it has not
run and may be retried, the response says when.

* `admission`: route, API key, load and rate limit.
* `buffer`: reads short responses before they are passed on.
* `forward`: attempts at replicas.
* `headers`: headers of requests to replicas and of their responses.
* `pending`: a request while it is sent to replicas.
* `placement`: choice of a replica, with a slot there.
* `quarantine`: checks against the quarantined parts of requests.
* `resumption`: streams that callers resume.
* `through_member`: requests sent through another gateway.
* `relay`: streams a response body to the caller.
* `job_requests`: submissions of jobs, and requests about accepted jobs.
*/

mod admission;
mod buffer;
mod forward;
mod free_slot;
mod headers;
mod job_requests;
mod pending;
mod placement;
mod quarantine;
mod relay;
mod resumption;
mod through_member;

pub use headers::{is_event_stream, is_hop_by_hop, set_replica_headers};
use {
    crate::process::Gateway,
    actix_http::{Request, StatusCode, body::BoxBody, header},
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
};

/// A response to a caller.
pub type Response = actix_http::Response<BoxBody>;

/// Serves a request from a caller.
pub async fn serve_caller(gateway: Rc<Gateway>, req: Request) -> Response {
    let guard = gateway.count_request();
    let mut res = admission::serve(&gateway, req, guard).await;
    if !gateway.phase().is_advertised() {
        let head = res.head_mut();
        head.set_connection_type(actix_http::ConnectionType::Close);
    }
    res
}

/// Returns the id of a stream's event for logs, empty if there is none.
#[must_use]
pub fn event_id_text(id: Option<u64>) -> String {
    id.map_or_else(String::new, |id| id.to_string())
}

/// Creates a response of the gateway itself.
#[must_use]
pub fn respond(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
    cicadagate_node::connection::http::respond(status, content_type, body)
}

/// Why the gateway itself responds to a request, and not a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No configuration has been read yet.
    NotConfigured,
    /// The configuration that is known is too old to decide by it.
    ConfigStale,
    /// The process is about to exit.
    Closing,
    /// No route matches the request.
    NoRoute,
    /// The job or item does not exist.
    JobNotFound,
    /// The API key is missing or belongs to no customer.
    UnknownKey,
    /// The customer's rate limit is exceeded.
    OverLimit,
    /// The customer has too many tokens waiting on the route.
    TooManyTokens,
    /// A header or the body is malformed.
    Malformed,
    /// The body is too long.
    TooLong,
    /// The body did not arrive completely.
    Incomplete,
    /// There is no memory to hold the body.
    MemoryShort,
    /// The request would wait too long for a replica.
    Overloaded,
    /// No replica can accept the request at present.
    NoReplica,
    /// Replicas crashed under the request or a part of its prompt.
    Quarantined,
    /// No replica runs the software version that began the resumed stream.
    VersionGone,
    /// The software version that began the resumed stream is not known.
    VersionUnknown,
    /// The store can't be reached.
    StoreUnavailable,
    /// The request may have run, but there is no response.
    NoAnswer,
    /// The request's deadline has passed.
    TimedOut,
    /// All data centres with replicas of the service are evacuated.
    AllEvacuated,
}

impl RequestError {
    /// Returns the HTTP status, the stable code and the message.
    #[must_use]
    pub const fn describe(self) -> (u16, &'static str, &'static str) {
        match self {
            Self::NotConfigured => (503, "not_configured", "no configuration is known yet"),
            Self::ConfigStale => (503, "config_stale", "the configuration can't be read"),
            Self::Closing => (503, "closing", "this instance is stopping"),
            Self::NoRoute => (404, "no_route", "no route matches host and path"),
            Self::JobNotFound => (404, "no_such_job", "no such job or item"),
            Self::UnknownKey => (401, "unknown_key", "the key is missing or not valid"),
            Self::OverLimit => (429, "over_limit", "the customer's rate is used up"),
            Self::TooManyTokens => (
                429,
                "too_many_tokens",
                "the customer has too many tokens waiting on this route",
            ),
            Self::Malformed => (400, "malformed", "the request makes no sense"),
            Self::TooLong => (413, "too_long", "the body is too long"),
            Self::Incomplete => (408, "incomplete", "the body did not arrive whole"),
            Self::MemoryShort => (503, "memory_short", "this instance can't hold the body now"),
            Self::Overloaded => (503, "overloaded", "the replicas have too much to do"),
            Self::NoReplica => (503, "no_replica", "no replica can take the request now"),
            Self::Quarantined => (
                503,
                "prompt_quarantined",
                "replicas crashed under this request or a part of its prompt",
            ),
            Self::VersionGone => (
                503,
                "version_gone",
                "no replica runs the software version that began the stream",
            ),
            Self::VersionUnknown => (
                503,
                "version_unknown",
                "the software version that began the stream is not known",
            ),
            Self::StoreUnavailable => (503, "store_away", "the store can't be reached"),
            Self::NoAnswer => (502, "no_answer", "the replica's answer was lost"),
            Self::TimedOut => (504, "timed_out", "the request's time is up"),
            Self::AllEvacuated => (
                503,
                "all_evacuated",
                "all data centres with replicas of the service are evacuated",
            ),
        }
    }

    /// Creates the response; `retry_after` is for requests that have not run.
    #[must_use]
    pub fn respond(self, gateway: &Gateway, retry_after: Option<Duration>) -> Response {
        let (status, code, message) = self.describe();
        let body = gateway.codec.error(code, message);
        let mut res = respond(status, "application/json", body);
        gateway.metrics.refusals.with_label_values(&[code]).inc();
        if let Some(delay) = retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = header::HeaderValue::from_str(&seconds) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        let closes_connection =
            matches!(self, Self::TooLong | Self::Incomplete | Self::MemoryShort);
        if closes_connection {
            let head = res.head_mut();
            head.set_connection_type(actix_http::ConnectionType::Close);
        }
        debug_assert!(res.status() == StatusCode::from_u16(status).unwrap_or_default());
        res
    }
}
