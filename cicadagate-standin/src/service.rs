/*!
An emulated plain service that counts its calls, to detect duplicated ones.

`/control/calls` returns the number of calls for each `x-call-id`, and how many
calls contained an API key. `POST /control/faults` with `{"lose_answers": n}`
executes the next `n` calls but breaks their connections instead of sending a
response; with `{"cut_answers": n}` it breaks them in the middle of the response.
*/

use {
    crate::serve_announced,
    actix_http::{
        HttpMessage as _, Request, Response,
        body::{BodyStream, BoxBody, MessageBody},
    },
    bytes::Bytes,
    cicadagate_node::connection::http::{read_body, respond, respond_json},
    futures_util::stream::{StreamExt as _, iter, once},
    serde::Deserialize,
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        convert::Infallible,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

#[derive(Default)]
struct Service {
    calls: RefCell<BTreeMap<String, u64>>,
    leaked_keys: Cell<u64>,
    faults: Cell<Faults>,
    call_ms: u64,
}

/// How many of the next calls have each fault.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    lose_answers: u64,
    cut_answers: u64,
}

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time for the start of a response to be sent before the rest fails.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Serves the service until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(addr: SocketAddr, call_ms: u64) -> io::Result<()> {
    let service = Rc::new(Service {
        call_ms,
        ..Service::default()
    });
    let handler = move |req| {
        let service = Rc::clone(&service);
        async move { Ok::<_, Infallible>(handle_request(&service, req).await) }
    };
    serve_announced(addr, "service", handler).await
}

async fn handle_request(service: &Service, mut req: Request) -> Response<BoxBody> {
    let Ok(body) = read_body(&mut req, MAX_BODY_BYTES).await else {
        return respond(413, "text/plain", "too long\n");
    };
    match req.path() {
        "/control/calls" => {
            let calls = service.calls.borrow();
            let body = json!({"calls": *calls, "leaked_keys": service.leaked_keys.get()});
            respond_json(200, &body)
        }
        "/control/faults" => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                service.faults.set(faults);
                respond(200, "text/plain", "set\n")
            }
            Err(err) => respond(400, "text/plain", format!("{err}\n")),
        },
        _ => handle_call(service, &req, &body).await,
    }
}

async fn handle_call(service: &Service, req: &Request, body: &[u8]) -> Response<BoxBody> {
    if has_api_key(req) {
        service.leaked_keys.set(service.leaked_keys.get() + 1);
    }
    let id = req
        .headers()
        .get("x-call-id")
        .and_then(|value| value.to_str().ok());
    let id = id.unwrap_or("none").to_owned();
    let count = {
        let mut calls = service.calls.borrow_mut();
        let count = calls.entry(id.clone()).or_insert(0);
        *count += 1;
        *count
    };
    actix_rt::time::sleep(Duration::from_millis(service.call_ms)).await;
    let mut faults = service.faults.get();
    if faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        service.faults.set(faults);
        return broken_response(None);
    }
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let echo = String::from_utf8_lossy(body);
    let body = json!({"call": id, "count": count, "path": path, "echo": echo});
    if faults.cut_answers > 0 {
        faults.cut_answers -= 1;
        service.faults.set(faults);
        let start = body.to_string().into_bytes();
        return broken_response(Some(Bytes::from(start[..start.len() / 2].to_vec())));
    }
    respond_json(200, &body)
}

/// Returns whether a request contains an API key in any of its accepted forms.
pub(crate) fn has_api_key(req: &Request) -> bool {
    let headers = req.headers();
    let names = ["authorization", "x-api-key", "api-key"];
    let cookie = headers.get("cookie").and_then(|value| value.to_str().ok());
    let in_cookie = cookie.is_some_and(|cookie| cookie.contains("key="));
    let in_query = req
        .uri()
        .query()
        .is_some_and(|query| query.contains("key="));
    // All API keys start with this prefix, in whichever header they are sent.
    let in_value = headers
        .iter()
        .any(|(_, value)| value.as_bytes().starts_with(b"cg-"));
    in_query || in_cookie || in_value || names.iter().any(|name| headers.contains_key(*name))
}

/// Returns a response whose body fails after its start, which closes the
/// connection.
fn broken_response(start: Option<Bytes>) -> Response<BoxBody> {
    let failing_end = once(async {
        // The server drops what it has not sent yet when the body fails.
        actix_rt::time::sleep(FLUSH_TIME).await;
        Err(io::Error::other("response lost by an injected fault"))
    });
    let chunks = iter(start.map(Ok)).chain(failing_end);
    Response::ok().set_body(BodyStream::new(Box::pin(chunks)).boxed())
}
