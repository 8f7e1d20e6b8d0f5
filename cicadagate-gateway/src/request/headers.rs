/*!
Headers of requests to replicas and of responses to callers.
*/

use {
    super::{Response, admission::header_text},
    crate::process::Gateway,
    actix_http::{
        HttpMessage as _, Request, ResponseHead,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    cicadagate_node::connection::http_client::ReplicaResponse,
    cicadagate_policy::process::replicas::Registration,
};

/// Header of a request that another gateway sends on; it is not sent on again. The value is
/// the number of replicas that may still run it.
pub(super) const MEMBER_HOP: HeaderName = HeaderName::from_static("cicadagate-member-hop");
/// Value of [`MEMBER_HOP`] on the response of a gateway that has not sent the request to a
/// replica, since it is cut off itself.
pub(super) const MEMBER_CUT_OFF: &str = "cut-off";

/// Returns the `Content-Length` of a response.
pub(super) fn content_length(response: &ReplicaResponse) -> Option<u64> {
    let value = response.head.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns whether a response is a stream of events, by its status and its type. One that
/// names no type counts only if it begins a stream: what is appended to events that were
/// passed on before has to say that it is events too.
#[must_use]
pub fn is_event_stream(head: &ResponseHead, continues: bool) -> bool {
    let Some(value) = head.headers.get(header::CONTENT_TYPE) else {
        return head.status.is_success() && !continues;
    };
    let media_type = value.to_str().unwrap_or_default().split(';').next();
    let media_type = media_type.unwrap_or_default().trim();
    head.status.is_success() && media_type.eq_ignore_ascii_case("text/event-stream")
}

/// Creates a response with the status and the headers of a replica's response,
/// without hop-by-hop headers and the header that marks a refusal.
pub(super) fn response_from_replica(gateway: &Gateway, response: &ReplicaResponse) -> Response {
    let mut res = Response::new(response.head.status);
    let names = gateway.codec.headers();
    for (name, value) in &response.head.headers {
        if !is_hop_by_hop(name) && ![&names.not_run, &MEMBER_HOP].contains(&name) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    res
}

/// Returns whether a header is not passed on, since it concerns a single
/// connection or the framing of a single message.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 9] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    NAMES.contains(&name.as_str())
}

/// Returns the headers of a caller's request that are passed to replicas.
pub(super) fn forwarded_headers(gateway: &Gateway, req: &Request) -> HeaderMap {
    let names = gateway.codec.headers();
    let connection_options = header_text(req, &header::CONNECTION).to_ascii_lowercase();
    let connection_options: Vec<&str> = connection_options.split(',').map(str::trim).collect();
    let mut headers = HeaderMap::new();
    for (name, value) in req.headers() {
        let is_reserved = [
            &names.deadline_ms,
            &names.expected_replica,
            &names.customer,
            &names.not_run,
            &MEMBER_HOP,
        ]
        .contains(&name);
        let is_dropped = is_hop_by_hop(name)
            || is_reserved
            || *name == header::AUTHORIZATION
            || connection_options.contains(&name.as_str());
        if !is_dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Sets the headers that name the replica that must run the request, and the
/// customer.
pub fn set_replica_headers(
    gateway: &Gateway,
    headers: &mut HeaderMap,
    replica: &Registration,
    customer: Option<&str>,
) {
    let names = gateway.codec.headers();
    for (name, value) in [
        (&names.expected_replica, Some(replica.id.as_str())),
        (&names.customer, customer),
    ] {
        headers.remove(name);
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
            headers.insert(name.clone(), value);
        }
    }
}
