/*!
One request and its response, over several attempts.

[`RequestRun::next`] yields the response step by step. Dropping a `RequestRun` cancels
the running attempt, so a disconnected caller needs no special handling.
*/

use {
    super::router::Router,
    crate::{
        connection::{
            peer_client::AttemptHandle,
            response_queue::{AttemptEvent, HeldBytes},
        },
        event,
        trace::{Span, TraceContext},
    },
    bytes::Bytes,
    cicadagate_policy::{
        ids::{CustomerId, EndpointId, RequestId},
        process::replica_queue::Class,
        request::{
            attempt::{Attempts, FrameAction, Progress, RetryDecision},
            replica_selection::attempt_seed,
        },
        time::Time,
    },
    cicadagate_wire::peer::{EndpointKind, FromServer, RefusalReason, Submit},
    std::{rc::Rc, time::Duration},
};

/// Refusals of replicas at their load bound after which the next attempt is
/// forced, so that its replica takes the request whatever its load.
const MAX_OVER_BOUND_REFUSALS: usize = 2;
/// Refusals for a full queue or a long wait after which the request fails.
const MAX_BUSY_REFUSALS: usize = 3;
/// Time within which a stream that has already sent pieces to the caller must
/// resume, in milliseconds. Failing the stream costs more than a late piece.
const RESUME_WITHIN_MS: u64 = 10_000;
/// Longest body that [`CollectedBody`] takes, in bytes.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;
/// Retry-after if no replica gave an expected wait, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// A request to run.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Id of the request.
    pub id: RequestId,
    /// Class, online or batch.
    pub class: Class,
    /// Customer that it runs for.
    pub customer: CustomerId,
    /// Deployment that it goes to.
    pub deployment: String,
    /// Kind of endpoint.
    pub target: EndpointKind,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, without the caller's API key in any form.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Estimated work, in tokens.
    pub cost: u64,
    /// Hash by which replicas are ranked: of the prompt's prefix, or of the
    /// request's id for plain services and with an idempotency key.
    pub prefix_hash: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it has an idempotency key, so that a retry by the caller with
    /// the same id must get the response of the first run.
    pub has_idempotency_key: bool,
    /// Hash of the API key that it came with, if any.
    pub api_key_hash: Option<[u8; 32]>,
    /// Time within which it must start, in milliseconds.
    pub start_within_ms: u64,
    /// Time within which it must end, in milliseconds.
    pub end_within_ms: u64,
    /// Span that it belongs to.
    pub trace_context: TraceContext,
}

/// A step of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// Status and headers of a plain service's response.
    Head(u16, Vec<(String, String)>),
    /// A piece of the response's body.
    Piece(Bytes),
    /// End of the response, which is complete.
    End {
        /// Why an engine ended the response, empty for a plain service.
        finish: String,
        /// Number of tokens in the prompt.
        prompt_tokens: u64,
    },
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No replica could start it in time, or the same request is still
    /// running.
    Busy,
    /// No replica, or no process that owns it, is available.
    Unavailable,
    /// The endpoint, or the process that owns it, rejected it permanently; a
    /// retry would not help.
    Permanent,
    /// Its attempts failed.
    Failed,
    /// Its deadline has passed.
    Deadline,
    /// Its API key was withdrawn while it waited.
    KeyWithdrawn,
    /// The log, which records whether it ran before, does not respond.
    LogUnavailable,
}

/// The failure of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Whether it has certainly not run.
    pub not_run: bool,
    /// Whether an endpoint failed at least one attempt.
    pub failed_by_endpoint: bool,
    /// Retry-after in milliseconds; `None` if a retry can't succeed.
    pub retry_after_ms: Option<u64>,
    /// HTTP status of the endpoint or of the process that owns it, 0 if there
    /// is none.
    pub status: u16,
    /// Description of the failure.
    pub detail: String,
}

/// The pieces of a response that is passed on as a whole, as one body.
pub struct CollectedBody {
    bytes: Vec<u8>,
    pieces: u64,
    held: HeldBytes,
}

impl CollectedBody {
    /// Creates an empty body for the response to `run`.
    #[must_use]
    pub fn new(run: &RequestRun) -> Self {
        Self {
            bytes: Vec::new(),
            pieces: 0,
            held: run.router.node().peers.hold(),
        }
    }

    /// Appends a piece of the response to `run`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the request if the body would be longer than
    /// `MAX_COLLECTED_BYTES` or there is no memory to hold it.
    pub fn push(&mut self, run: &mut RequestRun, piece: &Bytes) -> Result<(), Failure> {
        if self.bytes.len() + piece.len() > MAX_COLLECTED_BYTES {
            run.attempts.mark_failed_by_endpoint(Progress::MaybeRun);
            return Err(run.fail(FailureKind::Failed, "the response is too long"));
        }
        if !self.held.reserve(piece.len()) {
            return Err(run.fail_without_memory());
        }
        self.bytes.extend_from_slice(piece);
        self.pieces += 1;
        Ok(())
    }

    /// Returns the number of pieces.
    #[must_use]
    pub const fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Returns the body.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

struct RunningAttempt {
    handle: AttemptHandle,
    endpoint: EndpointId,
    /// Version of the endpoint's software.
    software_version: String,
    number: u32,
    span: TraceContext,
    start_ms: u64,
}

/// A running request.
pub struct RequestRun {
    router: Rc<Router>,
    spec: RequestSpec,
    attempts: Attempts,
    deadline: Time,
    start_by: Time,
    current: Option<RunningAttempt>,
    /// Refusals of replicas at their load bound.
    over_bound_refusals: usize,
    /// Refusals for a full queue or a long wait.
    busy_refusals: usize,
    /// Shortest wait that a refusal gave, in milliseconds.
    min_wait_ms: Option<u64>,
    /// Version of the software that returned the first piece; the response goes on
    /// there only.
    software_version: Option<String>,
    /// Whether the head of a plain service's response has been returned.
    has_head: bool,
    /// Why the last attempt failed.
    last_error: String,
    /// Replicas that refused the request or whose owner could not be reached;
    /// they are tried again only if there is no other, or if the next attempt
    /// is forced.
    deprioritized: Vec<EndpointId>,
}

impl RequestRun {
    /// Creates a request that has not been sent yet.
    #[must_use]
    pub fn new(router: Rc<Router>, spec: RequestSpec) -> Self {
        let now = router.node().now();
        let deadline = now.plus(spec.end_within_ms);
        router.note_request(&spec.deployment);
        Self {
            attempts: Attempts::new(spec.idempotent, deadline),
            start_by: now.plus(spec.start_within_ms),
            deadline,
            router,
            spec,
            current: None,
            over_bound_refusals: 0,
            busy_refusals: 0,
            min_wait_ms: None,
            software_version: None,
            has_head: false,
            last_error: String::new(),
            deprioritized: Vec::new(),
        }
    }

    /// Returns the next step of the response, and starts attempts as needed.
    ///
    /// # Errors
    ///
    /// Returns the final failure; there are no steps after it.
    pub async fn next(&mut self) -> Result<ResponseEvent, Failure> {
        loop {
            let now = self.router.node().now();
            if now >= self.deadline {
                return Err(self.fail(FailureKind::Deadline, "deadline has passed"));
            }
            if self.current.is_none() {
                self.start_attempt(now).await?;
                continue;
            }
            let left = Duration::from_millis(self.deadline.since(now));
            let Some(current) = &self.current else {
                continue;
            };
            let event = actix_rt::time::timeout(left, current.handle.next()).await;
            let Ok(event) = event else {
                continue;
            };
            if let Some(step) = self.handle_event(event)? {
                return Ok(step);
            }
        }
    }

    async fn start_attempt(&mut self, now: Time) -> Result<(), Failure> {
        let number = self.attempts.begin();
        let seed = attempt_seed(&self.spec.id.0, number);
        let candidates = self.router.candidates(
            &self.spec.deployment,
            self.software_version.as_deref(),
            self.spec.prefix_hash,
            seed,
            self.spec.has_idempotency_key,
        );
        let preferred = candidates
            .endpoints
            .iter()
            .find(|id| !self.deprioritized.contains(id));
        let Some(endpoint) = preferred.or(candidates.endpoints.first()).copied() else {
            let reason = if self.software_version.is_some() {
                "no replica of the software version that began the response"
            } else {
                "no replica is there"
            };
            return Err(self.fail(FailureKind::Unavailable, reason));
        };
        let Some(owner) = self.router.owner_address(endpoint) else {
            return Err(self.fail(FailureKind::Unavailable, "no home is there"));
        };
        let span = self.spec.trace_context.child();
        let submit = self.build_submit(now, number, endpoint, candidates.bound, span);
        let node = Rc::clone(self.router.node());
        match node.peers.submit(owner, submit).await {
            Ok(handle) => {
                self.attempts.mark_sent();
                self.router.selector.borrow_mut().note_sent(now, endpoint);
                let start_ms = crate::clock::unix_time_ms();
                self.current = Some(RunningAttempt {
                    handle,
                    endpoint,
                    software_version: self.router.software_version(endpoint),
                    number,
                    span,
                    start_ms,
                });
                Ok(())
            }
            Err(err) => {
                "home can't be reached".clone_into(&mut self.last_error);
                event!(REQUEST_RETRIED, id: = self.spec.id, reason: = err);
                self.attempts.mark_failed(Progress::NotSent);
                self.deprioritized.push(endpoint);
                self.retry_or_fail()
            }
        }
    }

    fn build_submit(
        &self,
        now: Time,
        number: u32,
        endpoint: EndpointId,
        bound: u64,
        span: TraceContext,
    ) -> Submit {
        let spec = &self.spec;
        Submit {
            id: spec.id,
            attempt: number,
            class: spec.class,
            customer: spec.customer,
            endpoint,
            target: spec.target,
            method: spec.method.clone(),
            path: spec.path.clone(),
            headers: spec.headers.clone(),
            body: spec.body.clone(),
            cost: spec.cost,
            start_within_ms: self.start_within_ms(now),
            resume_from: self.attempts.relayed(),
            force: self.over_bound_refusals >= MAX_OVER_BOUND_REFUSALS,
            load_bound: bound,
            key: spec.api_key_hash,
            keyed: spec.has_idempotency_key,
            idempotent: spec.idempotent,
            traceparent: span.to_traceparent(),
        }
    }

    /// Returns the time within which the next attempt must start, in
    /// milliseconds.
    fn start_within_ms(&self, now: Time) -> u64 {
        if self.attempts.relayed() == 0 {
            return self.start_by.since(now);
        }
        RESUME_WITHIN_MS.min(self.deadline.since(now))
    }

    fn handle_event(&mut self, event: AttemptEvent) -> Result<Option<ResponseEvent>, Failure> {
        let Some(current) = &self.current else {
            return Ok(None);
        };
        let (endpoint, number) = (current.endpoint, current.number);
        let message = match event {
            AttemptEvent::Message(message) => message,
            AttemptEvent::Lost => {
                return self.end_attempt(Progress::MaybeRun, "connection to the home ended");
            }
            AttemptEvent::Overflow => return Err(self.fail_without_memory()),
        };
        match message {
            FromServer::Head {
                status, headers, ..
            } => {
                self.has_head = true;
                Ok(Some(ResponseEvent::Head(status, headers)))
            }
            FromServer::Piece {
                attempt,
                index,
                body,
                ..
            } => match self.attempts.accept_piece(attempt, index) {
                FrameAction::Pass => {
                    if let Some(current) = &self.current {
                        let began_at = &mut self.software_version;
                        began_at.get_or_insert_with(|| current.software_version.clone());
                    }
                    Ok(Some(ResponseEvent::Piece(body)))
                }
                FrameAction::Drop => Ok(None),
                FrameAction::Gap => self.end_attempt(Progress::MaybeRun, "a piece is missing"),
            },
            FromServer::End {
                attempt,
                pieces,
                finish,
                prompt_tokens,
                load,
                ..
            } => {
                self.note_load(endpoint, load);
                if self.attempts.accept_end(attempt, pieces) {
                    self.end_span("answered");
                    self.current = None;
                    return Ok(Some(ResponseEvent::End {
                        finish,
                        prompt_tokens,
                    }));
                }
                self.end_attempt(Progress::MaybeRun, "answer is not whole")
            }
            FromServer::Refused { reason, load, .. } => {
                self.note_load(endpoint, load);
                self.handle_refusal(endpoint, reason)
            }
            FromServer::Failed {
                progress,
                permanent,
                status,
                detail,
                ..
            } => {
                self.attempts.mark_failed_by_endpoint(progress);
                if permanent {
                    let failure = self.fail(FailureKind::Permanent, &detail);
                    return Err(Failure {
                        status,
                        retry_after_ms: None,
                        ..failure
                    });
                }
                event!(REQUEST_RETRIED, id: = self.spec.id, attempt = number, reason = detail.as_str());
                self.end_attempt(progress, &detail)
            }
            _ => Ok(None),
        }
    }

    fn handle_refusal(
        &mut self,
        endpoint: EndpointId,
        reason: RefusalReason,
    ) -> Result<Option<ResponseEvent>, Failure> {
        self.deprioritized.push(endpoint);
        match reason {
            RefusalReason::OverBound => {
                self.over_bound_refusals += 1;
                if self.over_bound_refusals >= MAX_OVER_BOUND_REFUSALS {
                    // The next attempt is forced. It may go to a replica that
                    // refused, ranked by the load that it reported.
                    self.deprioritized.clear();
                }
            }
            RefusalReason::WouldWait(ms) | RefusalReason::Full(ms) => {
                self.busy_refusals += 1;
                self.min_wait_ms = Some(self.min_wait_ms.map_or(ms, |least| least.min(ms)));
                if self.busy_refusals >= MAX_BUSY_REFUSALS {
                    self.attempts.mark_failed(Progress::NotSent);
                    return Err(self.fail(FailureKind::Busy, "every replica would take too long"));
                }
            }
            RefusalReason::KeyWithdrawn => {
                self.attempts.mark_failed(Progress::NotSent);
                let failure = self.fail(FailureKind::KeyWithdrawn, "the key was withdrawn");
                return Err(Failure {
                    retry_after_ms: None,
                    ..failure
                });
            }
            RefusalReason::LogUnavailable => {
                self.attempts.mark_failed(Progress::NotSent);
                let detail = "the log can't tell whether it ran before";
                return Err(self.fail(FailureKind::LogUnavailable, detail));
            }
            RefusalReason::Duplicate if self.spec.has_idempotency_key => {
                // The first run is still running. A later retry by the caller
                // will get its response.
                self.attempts.mark_failed(Progress::NotSent);
                return Err(self.fail(FailureKind::Busy, "the same request is running"));
            }
            RefusalReason::Expired => {
                self.attempts.mark_failed(Progress::NotSent);
                return Err(self.fail(FailureKind::Busy, "waited too long in the queue"));
            }
            _ => {}
        }
        let avoid = matches!(reason, RefusalReason::Unreachable | RefusalReason::Leaving);
        if avoid {
            let now = self.router.node().now();
            self.router
                .selector
                .borrow_mut()
                .note_failure(now, endpoint);
        }
        let detail = format!("refused: {reason:?}");
        self.end_attempt(Progress::NotSent, &detail)
    }

    fn note_load(&self, endpoint: EndpointId, load: u64) {
        let now = self.router.node().now();
        self.router
            .selector
            .borrow_mut()
            .note_load(now, endpoint, load);
    }

    fn end_attempt(
        &mut self,
        progress: Progress,
        detail: &str,
    ) -> Result<Option<ResponseEvent>, Failure> {
        self.end_span(detail);
        if let Some(current) = self.current.take()
            && progress != Progress::NotSent
        {
            let now = self.router.node().now();
            self.router
                .selector
                .borrow_mut()
                .note_failure(now, current.endpoint);
        }
        self.attempts.mark_failed(progress);
        detail.clone_into(&mut self.last_error);
        self.retry_or_fail().map(|()| None)
    }

    /// Returns `Ok` if another attempt is to follow, else the final failure.
    fn retry_or_fail(&mut self) -> Result<(), Failure> {
        let now = self.router.node().now();
        let attempts = &self.attempts;
        let decision = self
            .router
            .with_budget(&self.spec.deployment, |budget| attempts.decide(now, budget));
        let label = if decision == RetryDecision::Retry {
            "retried"
        } else {
            "given up"
        };
        self.router
            .node()
            .metrics
            .attempts
            .with_label_values(&[label])
            .inc();
        // A plain service's response can't be resumed by another attempt.
        if decision == RetryDecision::Retry && !self.has_head {
            return Ok(());
        }
        let detail = self.last_error.clone();
        let kind = if self.busy_refusals > 0 {
            FailureKind::Busy
        } else {
            FailureKind::Failed
        };
        Err(self.fail(kind, &detail))
    }

    /// Fails the request without a retry, which would need the memory again.
    fn fail_without_memory(&mut self) -> Failure {
        self.attempts.mark_failed(Progress::MaybeRun);
        self.fail(
            FailureKind::Failed,
            "there is no memory to hold the response",
        )
    }

    fn fail(&mut self, kind: FailureKind, detail: &str) -> Failure {
        self.end_span(detail);
        self.current = None;
        let not_run = self.attempts.furthest() == Progress::NotSent;
        let retry_ms = self.min_wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS).max(1);
        let failure = Failure {
            kind,
            not_run,
            failed_by_endpoint: self.attempts.is_failed_by_endpoint(),
            retry_after_ms: Some(retry_ms),
            status: 0,
            detail: detail.to_owned(),
        };
        event!(REQUEST_FAILED, id: = self.spec.id, not_run, reason = detail);
        failure
    }

    fn end_span(&self, outcome: &str) {
        let Some(current) = &self.current else {
            return;
        };
        let node = self.router.node();
        let name = node
            .listed_instances
            .borrow()
            .endpoints
            .get(&current.endpoint)
            .map(|e| e.name.clone());
        node.spans.push(Span {
            name: "attempt",
            context: current.span,
            parent: Some(self.spec.trace_context.span),
            start_ms: current.start_ms,
            end_ms: crate::clock::unix_time_ms(),
            attributes: vec![
                ("request", self.spec.id.to_string()),
                ("attempt", current.number.to_string()),
                ("endpoint", name.unwrap_or_default()),
                ("outcome", outcome.to_owned()),
            ],
        });
    }
}
