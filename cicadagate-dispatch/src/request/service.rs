/*!
Attempts at a plain service. The response is relayed unchanged, without the
[`DROPPED_HEADERS`] and headers whose values are not printable ASCII.
*/

use {
    super::{Attempt, LEAVING_HEADER, Outcome, exchange_error, failed_maybe_run},
    actix_http::{
        Method,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    cicadagate_node::connection::http_client::{ReplicaRequest, send_once},
    cicadagate_wire::peer::{FromServer, Submit},
    std::{net::SocketAddr, str::FromStr},
};

/// Response headers that are not relayed: hop-by-hop headers, and
/// `content-length`, since the body is relayed in pieces.
const DROPPED_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

impl Attempt {
    /// Sends the request to a service and relays its response.
    pub(super) async fn run_service(&self, addr: SocketAddr) -> Outcome {
        let submit = &self.pending.submit;
        // If a service closes an idle connection while a request is sent on it,
        // it is unknown whether the request ran. That is not acceptable for
        // non-idempotent requests, so each request to a service gets its own
        // connection.
        let res = match send_once(addr, &service_request(addr, submit)).await {
            Ok(res) => res,
            Err(err) => return exchange_error(&err),
        };
        let status = res.head.status.as_u16();
        if res.head.headers.contains_key(LEAVING_HEADER) {
            self.dispatcher.mark_draining(self.pending.endpoint);
        }
        let headers = relayed_headers(&res.head.headers);
        let mut body = res.body;
        self.pending.recorded.borrow_mut().head = Some((status, headers.clone()));
        let (id, attempt) = (submit.id, submit.attempt);
        let head = FromServer::Head {
            id,
            attempt,
            status,
            headers,
        };
        // The head is held back until the first chunk has arrived. An attempt
        // that fails before that chunk has then relayed nothing.
        let mut next_chunk = body.chunk().await;
        if matches!(next_chunk, Some(Err(_))) {
            return failed_maybe_run("service broke off its answer");
        }
        self.pending.sender.send(head);
        while let Some(chunk) = next_chunk {
            let Ok(chunk) = chunk else {
                return failed_maybe_run("service broke off its answer");
            };
            self.send_piece(chunk).await;
            next_chunk = body.chunk().await;
        }
        self.end(String::new(), 0)
    }
}

/// Creates the request to a service, without headers that are not valid.
fn service_request(addr: SocketAddr, submit: &Submit) -> ReplicaRequest {
    let mut headers = HeaderMap::new();
    for (name, value) in &submit.headers {
        let name = HeaderName::from_str(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    let own_headers = [
        (header::HOST, addr.to_string()),
        (
            HeaderName::from_static("x-request-id"),
            submit.id.to_string(),
        ),
        (
            HeaderName::from_static("traceparent"),
            submit.traceparent.clone(),
        ),
    ];
    for (name, value) in own_headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    ReplicaRequest {
        method: Method::from_str(&submit.method).unwrap_or(Method::GET),
        target: submit.path.clone(),
        headers,
        body: submit.body.clone(),
        id: None,
    }
}

fn relayed_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
