/*!
Attempts at a model engine.

Each request tells the engine to stream its response, starting with the first
piece that the caller lacks. Each token event becomes one piece. Only the
engine's own end marker completes a response; the end of the connection does
not.
*/

use {
    super::{Attempt, LEAVING_HEADER, Outcome, failed_maybe_run, send_error, sse::EventParser},
    bytes::Bytes,
    cicadagate_policy::{process::replica_queue::Class, request::attempt::Progress},
    cicadagate_wire::peer::RefusalReason,
    futures_util::StreamExt,
    serde::Deserialize,
    serde_json::Value,
    std::{net::SocketAddr, time::Instant},
};

/// Data of the event that ends a stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Maximum length of an engine's error body that is passed on, in bytes. A
/// longer body is dropped.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Data of a server-sent event of a chat completion or text completion.
#[derive(Deserialize)]
struct CompletionEvent {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Delta>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
}

impl Attempt {
    /// Sends the request to an engine and relays its events.
    pub(super) async fn run_engine(&self, addr: SocketAddr) -> Outcome {
        let submit = &self.pending.submit;
        let Some(body) = engine_body(&submit.body, self.pending.pieces.get()) else {
            return Outcome::Failed {
                progress: Progress::NotSent,
                permanent: true,
                status: 400,
                detail: "body is not a JSON object".to_owned(),
            };
        };
        let class = if submit.class == Class::Batch {
            "batch"
        } else {
            "online"
        };
        let url = format!("http://{addr}{}", submit.path);
        let request = self
            .dispatcher
            .clients
            .engines
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", submit.id.to_string()))
            .insert_header(("x-class", class))
            .insert_header(("traceparent", submit.traceparent.as_str()));
        let mut res = match request.send_body(body).await {
            Ok(res) => res,
            Err(err) => return send_error(&err),
        };
        let status = res.status().as_u16();
        if res.headers().contains_key(LEAVING_HEADER) {
            self.dispatcher.mark_draining(self.pending.endpoint);
        }
        match status {
            200 => {}
            // The engine is draining.
            503 => {
                self.dispatcher.mark_draining(self.pending.endpoint);
                return Outcome::Refused(RefusalReason::Leaving);
            }
            // The engine takes no more requests for now. The refusal always
            // says to retry after 1000 ms.
            429 => return Outcome::Refused(RefusalReason::Full(1_000)),
            _ => {
                let detail = res.body().limit(MAX_ERROR_BYTES).await.unwrap_or_default();
                return Outcome::Failed {
                    progress: Progress::MaybeRun,
                    permanent: (400..500).contains(&status),
                    status,
                    detail: String::from_utf8_lossy(&detail).into_owned(),
                };
            }
        }
        self.relay_events(&mut res).await
    }

    /// Relays the engine's events until its end marker.
    async fn relay_events<S, E>(&self, stream: &mut S) -> Outcome
    where
        S: futures_util::Stream<Item = Result<Bytes, E>> + Unpin,
    {
        let mut parser = EventParser::default();
        let mut last: Option<Instant> = None;
        let (mut finish, mut prompt_tokens) = (String::new(), 0);
        while let Some(chunk) = stream.next().await {
            let Ok(chunk) = chunk else {
                return failed_maybe_run("engine broke off its answer");
            };
            if !parser.feed(&chunk) {
                return failed_maybe_run("engine sent an event that is too long");
            }
            while let Some(data) = parser.next_data() {
                if data.as_ref() == END_MARKER {
                    return self.end(finish, prompt_tokens);
                }
                let Ok(event) = serde_json::from_slice::<CompletionEvent>(&data) else {
                    return failed_maybe_run("engine sent a malformed event");
                };
                prompt_tokens = event
                    .usage
                    .map_or(prompt_tokens, |usage| usage.prompt_tokens);
                for choice in event.choices {
                    if let Some(reason) = choice.finish_reason {
                        finish = reason;
                    }
                    let text = choice.delta.and_then(|delta| delta.content).or(choice.text);
                    if let Some(text) = text.filter(|text| !text.is_empty()) {
                        self.observe_step(&mut last);
                        self.send_piece(Bytes::from(text)).await;
                    }
                }
            }
        }
        failed_maybe_run("engine ended its answer without an end mark")
    }

    /// Records the time since the last token.
    fn observe_step(&self, last: &mut Option<Instant>) {
        let now = Instant::now();
        if let Some(last) = last.replace(now) {
            let step_us = u64::try_from((now - last).as_micros()).unwrap_or(u64::MAX);
            self.dispatcher.observe_step(self.pending.endpoint, step_us);
        }
    }
}

/// Returns the request body for the engine: always with streaming on, and
/// resumed at the first missing piece.
fn engine_body(body: &[u8], resume_from: u64) -> Option<String> {
    let mut body: Value = serde_json::from_slice(body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("stream".to_owned(), Value::Bool(true));
    if resume_from > 0 {
        fields.insert("resume_from".to_owned(), resume_from.into());
    }
    Some(body.to_string())
}
