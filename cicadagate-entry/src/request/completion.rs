/*!
Completions, sent as one JSON body or as server-sent events.
*/

use {
    super::{
        RequestInfo, admit,
        error::{ApiError, Result},
        read_json_body,
        relay::{Encoder, await_first_step, response_body},
    },
    actix_http::{
        Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
    },
    bytes::Bytes,
    cicadagate_node::{
        clock::unix_time_secs,
        connection::http::respond_json,
        request::{CollectedBody, Failure, RequestRun, RequestSpec, ResponseEvent},
    },
    cicadagate_policy::{
        ids::{CustomerId, hash64},
        process::replica_queue::Class,
        request::replica_selection::prefix_hash,
        version::config::choose_backend,
    },
    cicadagate_wire::peer::EndpointKind,
    serde_json::{Value, json},
    std::rc::Rc,
};

/// Output tokens that the cost estimate assumes if a request sets no
/// `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Maximum `max_tokens` of a request.
const MAX_TOKENS: u64 = 32_768;
/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// The two completion endpoints of the inference protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Kind {
    const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A parsed completion request.
struct CompletionRequest {
    kind: Kind,
    model: String,
    prompt: String,
    max_tokens: u64,
    is_stream: bool,
    body: Value,
}

pub(super) async fn handle(
    info: RequestInfo,
    mut req: Request,
    kind: Kind,
) -> Result<Response<BoxBody>> {
    let body = read_json_body(&mut req, info.entry.settings.max_body_bytes).await?;
    let completion = parse(kind, body)?;
    let deployment = deployment(&info, &completion.model)?;
    admit(&info).await?;
    let spec = request_spec(&info, &completion, deployment);
    let run = RequestRun::new(Rc::clone(&info.entry.router), spec);
    let encoder = CompletionEncoder::new(&info, &completion);
    if completion.is_stream {
        let guard = info.entry.node.track_running();
        let started = await_first_step(run).await?;
        let stream = BodyStream::new(Box::pin(response_body(started, encoder, guard)));
        return Ok(Response::build(StatusCode::OK)
            .insert_header(("content-type", "text/event-stream"))
            .insert_header(("cache-control", "no-cache"))
            .body(stream)
            .map_into_boxed_body());
    }
    collect(run, &encoder).await
}

/// Waits for the complete response and returns it as one body.
async fn collect(mut run: RequestRun, encoder: &CompletionEncoder) -> Result<Response<BoxBody>> {
    let mut body = CollectedBody::new(&run);
    loop {
        match run
            .next()
            .await
            .map_err(|failure| ApiError::from_failure(&failure))?
        {
            ResponseEvent::Head(..) => {}
            ResponseEvent::Piece(piece) => {
                body.push(&mut run, &piece)
                    .map_err(|failure| ApiError::from_failure(&failure))?;
            }
            ResponseEvent::End {
                finish,
                prompt_tokens,
            } => {
                let tokens = body.pieces();
                let text = body.into_bytes();
                let text = String::from_utf8_lossy(&text);
                let body = encoder.complete(&text, &finish, prompt_tokens, tokens);
                return Ok(respond_json(200, &body));
            }
        }
    }
}

fn parse(kind: Kind, body: Value) -> Result<CompletionRequest> {
    let invalid = |message: &str| ApiError::invalid(400, "invalid_request", message);
    let model = body["model"].as_str().filter(|model| !model.is_empty());
    let model = model
        .ok_or_else(|| invalid("'model' must be a name"))?
        .to_owned();
    let prompt = match kind {
        Kind::Chat => chat_prompt(&body)?,
        Kind::Text => body["prompt"]
            .as_str()
            .ok_or_else(|| invalid("'prompt' must be a string"))?
            .to_owned(),
    };
    let max_tokens = match &body["max_tokens"] {
        Value::Null => DEFAULT_MAX_TOKENS,
        value => value
            .as_u64()
            .filter(|tokens| (1..=MAX_TOKENS).contains(tokens))
            .ok_or_else(|| invalid("'max_tokens' must be from 1 to 32768"))?,
    };
    let is_stream = match &body["stream"] {
        Value::Null => false,
        value => value
            .as_bool()
            .ok_or_else(|| invalid("'stream' must be true or false"))?,
    };
    Ok(CompletionRequest {
        kind,
        model,
        prompt,
        max_tokens,
        is_stream,
        body,
    })
}

/// Returns the texts of all messages, one a line.
fn chat_prompt(body: &Value) -> Result<String> {
    let invalid = |message: &str| ApiError::invalid(400, "invalid_request", message);
    let messages = body["messages"]
        .as_array()
        .filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| invalid("'messages' must be a list of messages"))?;
    let mut prompt = String::new();
    for message in messages {
        message["role"]
            .as_str()
            .ok_or_else(|| invalid("each message needs a 'role'"))?;
        match &message["content"] {
            Value::String(text) => prompt.push_str(text),
            Value::Array(parts) => {
                parts
                    .iter()
                    .filter_map(|part| part["text"].as_str())
                    .for_each(|t| prompt.push_str(t));
            }
            Value::Null => {}
            _ => return Err(invalid("a message's 'content' must be a string or a list")),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the deployment that serves a model for this request.
fn deployment(info: &RequestInfo, model: &str) -> Result<String> {
    let config = info.entry.node.config.borrow();
    let route = config.model_route(model).ok_or_else(|| {
        ApiError::invalid(
            404,
            "model_not_found",
            &format!("there is no model '{model}'"),
        )
    })?;
    let backend = choose_backend(route, info.id).ok_or_else(|| {
        ApiError::not_run(503, "no_replica", "the model's route leads nowhere", 1_000)
    })?;
    Ok(backend.deployment.clone())
}

fn request_spec(
    info: &RequestInfo,
    completion: &CompletionRequest,
    deployment: String,
) -> RequestSpec {
    let prompt_tokens = completion.prompt.len() as u64 / BYTES_PER_TOKEN;
    let settings = &info.entry.settings;
    RequestSpec {
        id: info.id,
        class: Class::Online,
        customer: CustomerId::of(&info.customer.name),
        deployment,
        target: EndpointKind::Engine,
        method: "POST".to_owned(),
        path: completion.kind.path().to_owned(),
        headers: Vec::new(),
        body: Bytes::from(completion.body.to_string()),
        cost: completion.max_tokens + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN,
        prefix_hash: prefix(info, completion),
        idempotent: true,
        has_idempotency_key: info.idempotency_key.is_some(),
        api_key_hash: info.key_hash,
        start_within_ms: settings.start_within_ms,
        end_within_ms: settings.end_within_ms,
        trace_context: info.context,
    }
}

/// Returns the prefix hash that selects the replica.
///
/// A request with an idempotency key uses the hash of its id, so that a resend
/// reaches the same owner.
fn prefix(info: &RequestInfo, completion: &CompletionRequest) -> u64 {
    match info.idempotency_key {
        Some(_) => hash64(&[&info.id.0]),
        None => prefix_hash(
            &info.customer.name,
            &completion.model,
            completion.prompt.as_bytes(),
        ),
    }
}

/// Encodes a response in the format of the inference protocol.
struct CompletionEncoder {
    kind: Kind,
    id: String,
    model: String,
    created: u64,
    /// Number of pieces so far; each counts as one output token.
    tokens: u64,
}

impl CompletionEncoder {
    fn new(info: &RequestInfo, completion: &CompletionRequest) -> Self {
        let prefix = if completion.kind == Kind::Chat {
            "chatcmpl"
        } else {
            "cmpl"
        };
        Self {
            kind: completion.kind,
            id: format!("{prefix}-{}", info.id),
            model: completion.model.clone(),
            created: unix_time_secs(),
            tokens: 0,
        }
    }

    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.kind, is_chunk) {
            (Kind::Chat, true) => "chat.completion.chunk",
            (Kind::Chat, false) => "chat.completion",
            (Kind::Text, _) => "text_completion",
        }
    }

    /// Returns the fields around a choice, which all bodies and events have.
    fn envelope(&self, is_chunk: bool, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": self.object(is_chunk),
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn complete(&self, text: &str, finish: &str, prompt_tokens: u64, tokens: u64) -> Value {
        let choice = match self.kind {
            Kind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Kind::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let mut body = self.envelope(false, &choice);
        body["usage"] = usage(prompt_tokens, tokens);
        body
    }

    fn chunk(&self, text: Option<&str>, finish: Option<&str>) -> Value {
        let choice = match (self.kind, text) {
            (Kind::Chat, Some(text)) => json!({"content": text}),
            (Kind::Chat, None) => json!({}),
            (Kind::Text, _) => Value::Null,
        };
        let choice = match self.kind {
            Kind::Chat => json!({"index": 0, "delta": choice, "finish_reason": finish}),
            Kind::Text => {
                json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
            }
        };
        self.envelope(true, &choice)
    }
}

fn usage(prompt_tokens: u64, tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    })
}

/// Returns a server-sent event.
fn sse_event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

impl Encoder for CompletionEncoder {
    fn start(&mut self) -> Bytes {
        if self.kind == Kind::Text {
            return Bytes::new();
        }
        let delta = json!({"role": "assistant", "content": ""});
        sse_event(&self.envelope(
            true,
            &json!({"index": 0, "delta": delta, "finish_reason": null}),
        ))
    }

    fn piece(&mut self, piece: &Bytes) -> Bytes {
        self.tokens += 1;
        sse_event(&self.chunk(Some(&String::from_utf8_lossy(piece)), None))
    }

    fn end(&mut self, finish: &str, prompt_tokens: u64) -> Bytes {
        let finish = if finish.is_empty() { "stop" } else { finish };
        let mut last = self.chunk(None, Some(finish));
        last["usage"] = usage(prompt_tokens, self.tokens);
        let mut out = sse_event(&last).to_vec();
        out.extend_from_slice(b"data: [DONE]\n\n");
        out.into()
    }

    fn failure(&mut self, failure: &Failure) -> Bytes {
        sse_event(&ApiError::from_failure(failure).body())
    }
}
