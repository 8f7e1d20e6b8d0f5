/*!
Attempts: sending one request to an endpoint and relaying its response.
*/

mod engine;
mod service;
mod sse;

use {
    crate::process::{Claim, Dispatcher, PendingRequest},
    awc::{
        Client, Connector,
        error::{ConnectError, SendRequestError},
    },
    cicadagate_node::{
        clock::unix_time_ms,
        connection::http_client::ExchangeError,
        event,
        trace::{Span, TraceContext},
    },
    cicadagate_policy::request::attempt::Progress,
    cicadagate_wire::peer::{EndpointKind, FromServer, RefusalReason},
    std::{rc::Rc, time::Duration},
};

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection to an engine is kept.
const ENGINE_KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Header by which an endpoint says in a response that it is leaving.
const LEAVING_HEADER: &str = "x-leaving";

/// Why a running attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The stream is needed for online work.
    Preempt,
    /// The response is no longer needed.
    Cancel,
}

/// HTTP client for engines, whose own end marker ends a response. Responses of
/// services have none, so these are read with
/// [`http_client`](cicadagate_node::connection::http_client).
pub(crate) struct Clients {
    engines: Client,
}

impl Clients {
    pub fn new() -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(ENGINE_KEEP_ALIVE)
            .limit(0);
        let engines = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { engines }
    }
}

/// How an attempt ended.
enum Outcome {
    /// Completed; holds the `End` message.
    Done(FromServer),
    /// Refused without having run.
    Refused(RefusalReason),
    /// Failed; see [`FromServer::Failed`].
    Failed {
        progress: Progress,
        permanent: bool,
        status: u16,
        detail: String,
    },
    /// Stopped by preemption or cancellation.
    Stopped,
}

/// An attempt at running a request at its endpoint.
pub(crate) struct Attempt {
    dispatcher: Rc<Dispatcher>,
    pending: Rc<PendingRequest>,
}

impl Attempt {
    pub const fn new(dispatcher: Rc<Dispatcher>, pending: Rc<PendingRequest>) -> Self {
        Self {
            dispatcher,
            pending,
        }
    }

    /// Runs the attempt and sends its final message, unless it was stopped.
    pub async fn run(self) {
        let start_ms = unix_time_ms();
        let outcome = tokio::select! {
            outcome = self.execute() => outcome,
            () = self.pending.stopped.notified() => Outcome::Stopped,
        };
        self.end_span(start_ms, &outcome);
        let submit = &self.pending.submit;
        let (id, attempt) = (submit.id, submit.attempt);
        let message = match outcome {
            Outcome::Done(message) => message,
            Outcome::Refused(reason) => {
                let load = self.dispatcher.load(self.pending.endpoint, submit.class);
                FromServer::Refused {
                    id,
                    attempt,
                    reason,
                    load,
                }
            }
            Outcome::Failed {
                progress,
                permanent,
                status,
                detail,
            } => {
                event!(ENDPOINT_FAILED, id: = id, status, detail = detail.as_str());
                FromServer::Failed {
                    id,
                    attempt,
                    progress,
                    permanent,
                    status,
                    detail,
                }
            }
            Outcome::Stopped => {
                if self.pending.stop_reason.get() == Some(StopReason::Preempt) {
                    self.dispatcher.requeue(&self.pending);
                }
                return;
            }
        };
        self.dispatcher.finish(&self.pending, Some(message));
    }

    async fn execute(&self) -> Outcome {
        let Some(endpoint) = self.dispatcher.endpoint(self.pending.endpoint) else {
            return Outcome::Refused(RefusalReason::UnknownEndpoint);
        };
        let submit = &self.pending.submit;
        // The API key may have been withdrawn while the request was queued.
        if self.dispatcher.is_key_withdrawn(submit) {
            return Outcome::Refused(RefusalReason::KeyWithdrawn);
        }
        if submit.keyed && !submit.idempotent {
            let node = &self.dispatcher.node;
            match self.dispatcher.intents.claim(node, submit.id).await {
                Claim::Granted => {}
                Claim::Unavailable => return Outcome::Refused(RefusalReason::LogUnavailable),
                Claim::MaybeRun => {
                    return Outcome::Failed {
                        progress: Progress::MaybeRun,
                        permanent: true,
                        status: 409,
                        detail: "it ran before, and its answer is not kept".to_owned(),
                    };
                }
            }
        }
        match submit.target {
            EndpointKind::Engine => self.run_engine(endpoint.addr).await,
            EndpointKind::Service => self.run_service(endpoint.addr).await,
        }
    }

    /// Sends a piece of the response to the process that sent the attempt, once that
    /// process reads fast enough.
    async fn send_piece(&self, body: bytes::Bytes) {
        self.pending.sender.ready().await;
        let submit = &self.pending.submit;
        let index = self.pending.pieces.get();
        if submit.keyed {
            self.pending.record(&body);
        }
        self.pending.pieces.set(index + 1);
        let piece = FromServer::Piece {
            id: submit.id,
            attempt: submit.attempt,
            index,
            body,
        };
        self.pending.sender.send(piece);
    }

    /// Returns the outcome of a complete response.
    fn end(&self, finish: String, prompt_tokens: u64) -> Outcome {
        let submit = &self.pending.submit;
        Outcome::Done(FromServer::End {
            id: submit.id,
            attempt: submit.attempt,
            pieces: self.pending.pieces.get(),
            finish,
            prompt_tokens,
            load: self.dispatcher.load(self.pending.endpoint, submit.class),
        })
    }

    /// Records the span of this attempt.
    fn end_span(&self, start_ms: u64, outcome: &Outcome) {
        let submit = &self.pending.submit;
        let Some(parent) = TraceContext::parse(&submit.traceparent) else {
            return;
        };
        let outcome = match outcome {
            Outcome::Done(_) => "answered".to_owned(),
            Outcome::Refused(reason) => format!("refused: {reason:?}"),
            Outcome::Failed { detail, .. } => format!("failed: {detail}"),
            Outcome::Stopped => format!("stopped: {:?}", self.pending.stop_reason.get()),
        };
        self.dispatcher.node.spans.push(Span {
            name: "endpoint",
            context: parent.child(),
            parent: Some(parent.span),
            start_ms,
            end_ms: unix_time_ms(),
            attributes: vec![
                ("request", submit.id.to_string()),
                (
                    "queued_ms",
                    start_ms
                        .saturating_sub(self.pending.queued_at_ms)
                        .to_string(),
                ),
                ("outcome", outcome),
            ],
        });
    }
}

/// Converts an error of the HTTP client into an outcome.
///
/// Only a failure to connect proves that nothing was sent.
/// [`ConnectError::Disconnected`] does not: although it is a connect error, it
/// is also returned for a connection that ended after the request was sent.
fn send_error(err: &SendRequestError) -> Outcome {
    let is_unsent = matches!(
        err,
        SendRequestError::Connect(
            ConnectError::Timeout
                | ConnectError::Io(_)
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
        )
    );
    if is_unsent {
        return Outcome::Refused(RefusalReason::Unreachable);
    }
    failed_maybe_run(&err.to_string())
}

/// Converts an error of an exchange with a service into an outcome.
fn exchange_error(err: &ExchangeError) -> Outcome {
    if err.may_have_run() {
        failed_maybe_run(&err.to_string())
    } else {
        Outcome::Refused(RefusalReason::Unreachable)
    }
}

/// Returns the outcome of an attempt that failed after it may have run.
fn failed_maybe_run(detail: &str) -> Outcome {
    Outcome::Failed {
        progress: Progress::MaybeRun,
        permanent: false,
        status: 0,
        detail: detail.to_owned(),
    }
}

/// Returns the final message for a request that may have run and is given up.
pub(crate) fn failed_message(pending: &PendingRequest, detail: &str) -> FromServer {
    FromServer::Failed {
        id: pending.submit.id,
        attempt: pending.submit.attempt,
        progress: Progress::MaybeRun,
        permanent: false,
        status: 0,
        detail: detail.to_owned(),
    }
}
