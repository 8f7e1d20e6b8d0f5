/*!
Completions: whole, or as server-sent events.
*/

use {
    super::{
        Call, admit,
        error::{ApiError, Result},
        json_body,
        relay::{Render, begin, body as relayed_body},
    },
    actix_http::{
        Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
    },
    bytes::Bytes,
    cicadagate_node::{
        clock::epoch_secs,
        connection::http::respond_json,
        request::{Answer, Failure, Plan, Step},
    },
    cicadagate_policy::{
        ids::{CustomerId, hash64},
        process::dispatch::Class,
        request::choice::prefix_hash,
        version::config::choose_backend,
    },
    cicadagate_wire::peer::Target,
    serde_json::{Value, json},
    std::rc::Rc,
};

/// Tokens that an answer is taken to have if the request does not say.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Most tokens that a request may ask for.
const MAX_TOKENS: u64 = 32_768;
/// Characters of a prompt that are taken as one token.
const CHARS_PER_TOKEN: u64 = 4;
/// Prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_COST: u64 = 16;

/// Which of the two completion calls.
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

/// What a completion request asks for.
struct Asked {
    kind: Kind,
    model: String,
    prompt: String,
    max_tokens: u64,
    is_stream: bool,
    body: Value,
}

pub(super) async fn answer(call: Call, mut req: Request, kind: Kind) -> Result<Response<BoxBody>> {
    let body = json_body(&mut req, call.entry.settings.max_body_bytes).await?;
    let asked = parse(kind, body)?;
    let deployment = deployment(&call, &asked.model)?;
    admit(&call).await?;
    let plan = plan(&call, &asked, deployment);
    let answer = Answer::new(Rc::clone(&call.entry.router), plan);
    let writer = Writer::new(&call, &asked);
    if asked.is_stream {
        let guard = call.entry.node.count_running();
        let begun = begin(answer).await?;
        let stream = BodyStream::new(Box::pin(relayed_body(begun, writer, guard)));
        return Ok(Response::build(StatusCode::OK)
            .insert_header(("content-type", "text/event-stream"))
            .insert_header(("cache-control", "no-cache"))
            .body(stream)
            .map_into_boxed_body());
    }
    whole(answer, &writer).await
}

async fn whole(mut answer: Answer, writer: &Writer) -> Result<Response<BoxBody>> {
    let (mut text, mut tokens) = (String::new(), 0);
    loop {
        match answer
            .next()
            .await
            .map_err(|failure| ApiError::from_failure(&failure))?
        {
            Step::Head(..) => {}
            Step::Piece(piece) => {
                text.push_str(&String::from_utf8_lossy(&piece));
                tokens += 1;
            }
            Step::End {
                finish,
                prompt_tokens,
            } => {
                let body = writer.whole(&text, &finish, prompt_tokens, tokens);
                return Ok(respond_json(200, &body));
            }
        }
    }
}

fn parse(kind: Kind, body: Value) -> Result<Asked> {
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
    Ok(Asked {
        kind,
        model,
        prompt,
        max_tokens,
        is_stream,
        body,
    })
}

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

fn deployment(call: &Call, model: &str) -> Result<String> {
    let config = call.entry.node.config.borrow();
    let route = config.model_route(model).ok_or_else(|| {
        ApiError::invalid(
            404,
            "model_not_found",
            &format!("there is no model '{model}'"),
        )
    })?;
    let backend = choose_backend(route, call.id).ok_or_else(|| {
        ApiError::not_run(503, "no_replica", "the model's route leads nowhere", 1_000)
    })?;
    Ok(backend.deployment.clone())
}

fn plan(call: &Call, asked: &Asked, deployment: String) -> Plan {
    let prompt_tokens = asked.prompt.len() as u64 / CHARS_PER_TOKEN;
    let settings = &call.entry.settings;
    Plan {
        id: call.id,
        class: Class::Online,
        customer: CustomerId::of(&call.customer.name),
        deployment,
        target: Target::Engine,
        method: "POST".to_owned(),
        path: asked.kind.path().to_owned(),
        headers: Vec::new(),
        body: Bytes::from(asked.body.to_string()),
        cost: asked.max_tokens + prompt_tokens / PROMPT_TOKENS_PER_COST,
        prefix: prefix(call, asked),
        idempotent: true,
        keyed: call.idempotency_key.is_some(),
        key: call.key,
        start_within_ms: settings.start_within_ms,
        end_within_ms: settings.end_within_ms,
        context: call.context,
    }
}

/// A resend must come to the same home, so there the key decides.
fn prefix(call: &Call, asked: &Asked) -> u64 {
    match call.idempotency_key {
        Some(_) => hash64(&[&call.id.0]),
        None => prefix_hash(&call.customer.name, &asked.model, asked.prompt.as_bytes()),
    }
}

/// Writes an answer in the shape of the inference protocol.
struct Writer {
    kind: Kind,
    id: String,
    model: String,
    created: u64,
    tokens: u64,
}

impl Writer {
    fn new(call: &Call, asked: &Asked) -> Self {
        let prefix = if asked.kind == Kind::Chat {
            "chatcmpl"
        } else {
            "cmpl"
        };
        Self {
            kind: asked.kind,
            id: format!("{prefix}-{}", call.id),
            model: asked.model.clone(),
            created: epoch_secs(),
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

    fn envelope(&self, is_chunk: bool, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": self.object(is_chunk),
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn whole(&self, text: &str, finish: &str, prompt_tokens: u64, tokens: u64) -> Value {
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

fn event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

impl Render for Writer {
    fn begin(&mut self) -> Bytes {
        if self.kind == Kind::Text {
            return Bytes::new();
        }
        let delta = json!({"role": "assistant", "content": ""});
        event(&self.envelope(
            true,
            &json!({"index": 0, "delta": delta, "finish_reason": null}),
        ))
    }

    fn piece(&mut self, piece: &Bytes) -> Bytes {
        self.tokens += 1;
        event(&self.chunk(Some(&String::from_utf8_lossy(piece)), None))
    }

    fn end(&mut self, finish: &str, prompt_tokens: u64) -> Bytes {
        let finish = if finish.is_empty() { "stop" } else { finish };
        let mut last = self.chunk(None, Some(finish));
        last["usage"] = usage(prompt_tokens, self.tokens);
        let mut out = event(&last).to_vec();
        out.extend_from_slice(b"data: [DONE]\n\n");
        out.into()
    }

    fn failure(&mut self, failure: &Failure) -> Bytes {
        event(&ApiError::from_failure(failure).body())
    }
}
