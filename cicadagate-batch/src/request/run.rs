/*!
Runs one item, with retries.
*/

use {
    super::Line,
    crate::process::Batch,
    bytes::Bytes,
    cicadagate_node::{
        event,
        request::{CollectedBody, Failure, FailureKind, RequestRun, RequestSpec, ResponseEvent},
        trace::TraceContext,
    },
    cicadagate_policy::{
        ids::{CustomerId, JobId, Offset, RequestId},
        process::replica_queue::Class,
        request::{
            item_tries::{ItemTries, TryFailure},
            replica_selection::prefix_hash,
        },
        version::{
            config::{Route, choose_backend},
            jobs::{Job, Outcome, request_id},
        },
    },
    cicadagate_wire::peer::EndpointKind,
    serde_json::{Value, json},
    std::{rc::Rc, time::Duration},
};

/// Time within which one try of an item must be complete, in milliseconds.
const END_WITHIN_MS: u64 = 900_000;
/// Time within which one try of an item must start to run, in milliseconds.
const START_WITHIN_MS: u64 = 600_000;
/// Output tokens that the cost estimate assumes if an item sets no
/// `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Interval between two checks whether the jobs were read recently.
const RECENT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum delay between two tries, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 5_000;

/// Runs an item under the claim with fencing token `fence` until it has an
/// outcome; `None` if its route has no deployment with a positive weight now.
pub(crate) async fn run_item(
    batch: &Batch,
    job: &Job,
    fence: Offset,
    index: u32,
    line: &Line,
) -> Option<Outcome> {
    let Some(route) = route(batch, job, line) else {
        let reason = format!("no route leads to '{}'", job.endpoint);
        return Some(Outcome::Failed(reason));
    };
    let mut tries = ItemTries::new(batch.settings.max_tries);
    loop {
        // The worker stops this run if the job turns out to be cancelled.
        while !batch.jobs_are_recent() {
            actix_rt::time::sleep(RECENT_POLL_INTERVAL).await;
        }
        let id = request_id(job.id, fence, index, tries.ended());
        let spec = request_spec(job, id, line, &route)?;
        let is_idempotent = spec.idempotent;
        let failure = match run_try(batch, spec, job).await {
            Ok(body) => return Some(Outcome::Completed(body)),
            Err(failure) => failure,
        };
        if !is_idempotent && !failure.not_run {
            return Some(Outcome::Unknown);
        }
        if tries.note_failure(try_failure(&failure)) {
            return Some(fail_item(job.id, index, &failure));
        }
        let delay_ms = failure
            .retry_after_ms
            .unwrap_or(100)
            .clamp(50, MAX_RETRY_DELAY_MS);
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Returns how a failed try counts.
const fn try_failure(failure: &Failure) -> TryFailure {
    match failure.kind {
        FailureKind::Permanent | FailureKind::KeyWithdrawn => TryFailure::Permanent,
        FailureKind::Failed | FailureKind::Deadline if failure.failed_by_endpoint => {
            TryFailure::Endpoint
        }
        _ => TryFailure::Unavailable,
    }
}

/// Logs the final failure of an item and returns its outcome.
fn fail_item(job: JobId, index: u32, failure: &Failure) -> Outcome {
    event!(ITEM_FAILED, job: = job, item = index, reason = failure.detail.as_str());
    Outcome::Failed(failure.detail.clone())
}

/// Finds the route of an item, by its model or by the path of a plain service.
fn route(batch: &Batch, job: &Job, line: &Line) -> Option<Route> {
    let config = batch.node.config.borrow();
    if job.endpoint.starts_with("/v1/") {
        let model = line.body["model"].as_str()?;
        return config.model_route(model).cloned();
    }
    config.service_route(&job.endpoint).cloned()
}

/// Returns `true` if an item may run more than once.
pub(crate) fn is_idempotent(batch: &Batch, job: &Job, line: &Line) -> bool {
    route(batch, job, line).is_none_or(|route| !route.non_idempotent)
}

/// Returns the request of one try; each try is a request of its own.
fn request_spec(job: &Job, id: RequestId, line: &Line, route: &Route) -> Option<RequestSpec> {
    let is_model = job.endpoint.starts_with("/v1/");
    let body = line.body.to_string();
    let model = line.body["model"].as_str().unwrap_or_default();
    let max_tokens = line.body["max_tokens"]
        .as_u64()
        .unwrap_or(DEFAULT_MAX_TOKENS);
    Some(RequestSpec {
        id,
        class: Class::Batch,
        customer: CustomerId::of(&job.customer),
        deployment: choose_backend(route, id)?.deployment.clone(),
        target: if is_model {
            EndpointKind::Engine
        } else {
            EndpointKind::Service
        },
        method: "POST".to_owned(),
        path: job.endpoint.clone(),
        headers: item_headers(is_model, line),
        prefix_hash: prefix_hash(&job.customer, model, prompt_text(&line.body).as_bytes()),
        body: Bytes::from(body),
        cost: max_tokens,
        idempotent: !route.non_idempotent,
        // Results and intents in the log prevent repeated runs here, as
        // idempotency keys do for callers.
        has_idempotency_key: false,
        api_key_hash: None,
        start_within_ms: START_WITHIN_MS,
        end_within_ms: END_WITHIN_MS,
        trace_context: TraceContext::new_trace(),
    })
}

fn item_headers(is_model: bool, line: &Line) -> Vec<(String, String)> {
    if is_model {
        return Vec::new();
    }
    vec![
        ("content-type".to_owned(), "application/json".to_owned()),
        ("x-call-id".to_owned(), line.custom_id.clone()),
    ]
}

/// Returns the text whose prefix selects the replica: the first message or the
/// prompt.
fn prompt_text(body: &Value) -> String {
    let first = body["messages"]
        .as_array()
        .and_then(|messages| messages.first());
    let chat = first.and_then(|message| message["content"].as_str());
    chat.or_else(|| body["prompt"].as_str())
        .unwrap_or_default()
        .to_owned()
}

/// Runs one try and returns the body of its complete response.
async fn run_try(batch: &Batch, spec: RequestSpec, job: &Job) -> Result<Vec<u8>, Failure> {
    let is_model = spec.target == EndpointKind::Engine;
    let id = spec.id;
    let mut run = RequestRun::new(Rc::clone(&batch.router), spec);
    let mut out = CollectedBody::new(&run);
    loop {
        match run.next().await? {
            ResponseEvent::Head(..) => {}
            ResponseEvent::Piece(piece) => {
                out.push(&mut run, &piece)?;
            }
            ResponseEvent::End {
                finish,
                prompt_tokens,
            } if is_model => {
                let tokens = out.pieces();
                let out = out.into_bytes();
                let text = String::from_utf8_lossy(&out);
                let body = completion_body(job, id, &text, &finish, prompt_tokens, tokens);
                return Ok(body.to_string().into_bytes());
            }
            ResponseEvent::End { .. } => return Ok(out.into_bytes()),
        }
    }
}

/// Returns a completion's body in the format of the inference protocol.
fn completion_body(
    job: &Job,
    id: RequestId,
    text: &str,
    finish: &str,
    prompt_tokens: u64,
    tokens: u64,
) -> Value {
    let is_chat = job.endpoint.ends_with("/chat/completions");
    let choice = if is_chat {
        json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        })
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    };
    json!({
        "id": format!("cmpl-{id}"),
        "object": if is_chat { "chat.completion" } else { "text_completion" },
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    })
}
