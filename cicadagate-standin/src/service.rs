/*!
An emulated plain service that counts its calls, to detect duplicated ones.

`/control/calls` returns the number of calls for each `x-call-id`, and how many
calls contained an API key. `POST /control/faults` with `{"lose_answers": n}`
executes the next `n` calls but breaks their connections instead of sending a
response.
*/

use {
    crate::serve_announced,
    actix_http::{
        HttpMessage as _, Request, Response,
        body::{BodyStream, BoxBody, MessageBody},
    },
    cicadagate_node::connection::http::{read_body, respond, respond_json},
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
    lose_answers: Cell<u64>,
    call_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    lose_answers: u64,
}

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

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
                service.lose_answers.set(faults.lose_answers);
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
    if service.lose_answers.get() > 0 {
        service.lose_answers.set(service.lose_answers.get() - 1);
        return broken_response();
    }
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let echo = String::from_utf8_lossy(body);
    respond_json(
        200,
        &json!({"call": id, "count": count, "path": path, "echo": echo}),
    )
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

/// Returns a response whose body fails, which closes the connection.
fn broken_response() -> Response<BoxBody> {
    let failing_body = futures_util::stream::once(async {
        Err::<bytes::Bytes, io::Error>(io::Error::other("response lost by an injected fault"))
    });
    Response::ok().set_body(BodyStream::new(Box::pin(failing_body)).boxed())
}
