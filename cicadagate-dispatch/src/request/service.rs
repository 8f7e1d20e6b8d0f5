/*!
Attempts at a plain service. The response is relayed unchanged, without the
[`DROPPED_HEADERS`] and headers whose values are not printable ASCII.
*/

use {
    super::{Attempt, Outcome, failed_maybe_run, send_error},
    awc::http::{
        Method,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    cicadagate_wire::peer::FromServer,
    futures_util::StreamExt,
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
        let method = Method::from_str(&submit.method).unwrap_or(Method::GET);
        let url = format!("http://{addr}{}", submit.path);
        let client = &self.dispatcher.clients.services;
        let mut request = client.request(method, url).no_decompress();
        for (name, value) in &submit.headers {
            let name = HeaderName::from_str(name);
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                request.headers_mut().append(name, value);
            }
        }
        let request = request
            .insert_header(("x-request-id", submit.id.to_string()))
            .insert_header(("traceparent", submit.traceparent.as_str()));
        let mut res = match request.send_body(submit.body.clone()).await {
            Ok(res) => res,
            Err(err) => return send_error(&err),
        };
        let (status, headers) = (res.status().as_u16(), relayed_headers(res.headers()));
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
        let mut next_chunk = res.next().await;
        if matches!(next_chunk, Some(Err(_))) {
            return failed_maybe_run("service broke off its answer");
        }
        self.pending.sender.send(head);
        while let Some(chunk) = next_chunk {
            let Ok(chunk) = chunk else {
                return failed_maybe_run("service broke off its answer");
            };
            self.send_piece(chunk);
            next_chunk = res.next().await;
        }
        self.end(String::new(), 0)
    }
}

fn relayed_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
