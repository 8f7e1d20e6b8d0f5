/*!
Streams a response body to the caller.

Of an event stream only complete events are passed on. A stream that ends within
an event was cut short, whatever its framing says: a replica that crashes may
close its connection in order, and a stream without a length or chunks ends like
that. If the route allows it, such a stream is resumed at another replica within
the same response. Other bodies are passed on chunk by chunk. A response that
can't be completed is cut short, which the caller detects by HTTP's framing.

Dropping the body, as the server does when the caller disconnects, closes the
connection to the replica, which ends the work there.
*/

use {
    super::{
        event_id_text, forward::SendOutcome, headers::is_event_stream, pending::PendingRequest,
        placement::AttemptTarget, quarantine::PartList,
    },
    crate::process::{Gateway, RequestGuard, memory::HeldResponse},
    actix_rt::time::timeout,
    bytes::{Bytes, BytesMut},
    cicadagate_node::{
        connection::http_client::{Body, BodyFraming},
        event,
    },
    cicadagate_policy::{
        request::sse::{EventParser, EventSequencer, SequenceCheck, StreamCutShort},
        time::Time,
    },
    futures_util::stream::{Stream, unfold},
    snafu::Snafu,
    std::{pin::Pin, rc::Rc, time::Duration},
};

/// Time without data in the middle of a stream after which it is resumed at
/// another replica, in milliseconds: a sound replica may pause for little more than a
/// second, and callers leave after two.
const IDLE_TIMEOUT_MS: u64 = 1_600;

/// A response was cut short.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("response cut short: {reason}"))]
pub(super) struct ResponseCutShort {
    reason: String,
}

/// Time after the deadline for which what has already arrived of a body is passed on.
const LATE_BODY_TIME: Duration = Duration::from_millis(50);

/// Most bytes that are passed on at once. The server holds what it is given until the caller
/// has read it, which is not in the account of memory.
const MAX_PASSED_ON_BYTES: usize = 16 * 1024;

/// Returns whether a body that is still not at its end is cut short: one that always has
/// more bytes never waits for any, so that no timeout ends it.
pub(super) fn is_body_late(now: Time, deadline: Time) -> bool {
    Duration::from_millis(now.since(deadline)) >= LATE_BODY_TIME
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, ResponseCutShort>>>>;

/// The events of a stream.
struct StreamEvents {
    parser: EventParser,
    /// Order of the events, if the stream may be resumed.
    sequencer: Option<EventSequencer>,
}

/// Streams a response body, resuming it at another replica if necessary.
pub(super) struct Relay {
    gateway: Rc<Gateway>,
    request: PendingRequest,
    body: Option<Body>,
    framing: BodyFraming,
    target: AttemptTarget,
    /// Bytes that are passed on next.
    ready: Bytes,
    events: Option<StreamEvents>,
    /// Bytes of the response that are held: those ready, and an event that is not complete.
    held: HeldResponse,
    /// Why the current replica's stream can't be used any further.
    failure: Option<&'static str>,
    sent_bytes: usize,
    first_ms: u64,
    is_ended: bool,
    _guard: RequestGuard,
}

impl Relay {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        request: PendingRequest,
        body: Body,
        target: AttemptTarget,
        guard: RequestGuard,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            request,
            framing: body.framing(),
            body: Some(body),
            target,
            ready: Bytes::new(),
            events: None,
            held: HeldResponse::new(gateway),
            failure: None,
            sent_bytes: 0,
            first_ms: 0,
            is_ended: false,
            _guard: guard,
        }
    }

    /// Treats the body as a stream of events.
    pub(super) fn with_events(mut self) -> Self {
        let request = &self.request;
        let sequencer =
            (request.route.is_resumable).then(|| EventSequencer::resume_after(request.last_event));
        self.events = Some(StreamEvents {
            parser: EventParser::default(),
            sequencer,
        });
        self
    }

    /// Adds bytes that have already been read, to be passed on first.
    pub(super) fn with_prefix(mut self, prefix: Bytes) -> Self {
        self.ready = prefix;
        self
    }

    pub(super) fn into_stream(self) -> ChunkStream {
        Box::pin(unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseCutShort>> {
        if self.is_ended {
            return None;
        }
        loop {
            if !self.ready.is_empty() {
                let len = self.ready.len().min(MAX_PASSED_ON_BYTES);
                let piece = self.ready.split_to(len);
                // Until then, the pieces share their memory.
                if self.ready.is_empty() {
                    self.held.release_to(self.partial_event_bytes());
                }
                return Some(Ok(self.record_sent(piece)));
            }
            if let Some(reason) = self.failure.take()
                && let Err(err) = self.resume(reason).await
            {
                return Some(Err(err));
            }
            let now = self.gateway.now();
            if is_body_late(now, self.request.deadline) {
                return Some(Err(self.cut_short("deadline exceeded")));
            }
            let left_ms = self.request.deadline.since(now);
            let may_resume = self.is_resumable() && self.sent_bytes > 0;
            let wait_ms = if may_resume {
                IDLE_TIMEOUT_MS.min(left_ms)
            } else {
                left_ms
            };
            let chunk = match &mut self.body {
                None => None,
                Some(body) => match timeout(Duration::from_millis(wait_ms), body.chunk()).await {
                    Ok(Some(Err(err))) => {
                        self.request
                            .note_exchange_failed(&self.gateway, &self.target, &err);
                        Some(Err(err.to_string()))
                    }
                    Ok(chunk) => chunk.map(|chunk| chunk.map_err(|err| err.to_string())),
                    Err(_) if wait_ms < left_ms => Some(Err("idle timeout".to_owned())),
                    Err(_) => return Some(Err(self.cut_short("deadline exceeded"))),
                },
            };
            match chunk {
                Some(Ok(chunk)) => {
                    self.receive(chunk);
                }
                None => {
                    match self.end_events() {
                        Ok(rest) if rest.is_empty() => {}
                        Ok(rest) => return Some(Ok(self.record_sent(rest))),
                        Err(reason) => {
                            self.gateway.count_body_end(reason.as_str());
                            self.request.note_crash(&self.gateway, &self.target);
                            self.failure = Some(reason.as_str());
                            continue;
                        }
                    }
                    self.is_ended = true;
                    let done = CompletedResponse {
                        status: 200,
                        bytes: self.sent_bytes,
                        first_ms: self.first_ms,
                        framing: self.framing,
                    };
                    record_done(&self.gateway, &self.request, &self.target, done);
                    return None;
                }
                Some(Err(reason)) => {
                    self.gateway.count_body_end("failed");
                    if let Err(err) = self.resume(&reason).await {
                        return Some(Err(err));
                    }
                }
            }
        }
    }

    fn record_sent(&mut self, bytes: Bytes) -> Bytes {
        if self.sent_bytes == 0 {
            self.first_ms = self.gateway.now().since(self.request.arrival);
            let seconds = Duration::from_millis(self.first_ms).as_secs_f64();
            self.gateway.metrics.first_piece_seconds.observe(seconds);
            if self.is_resumable() {
                let replica = &self.target.registration;
                self.request.note_stream_began(&self.gateway, replica);
            }
        }
        self.sent_bytes += bytes.len();
        bytes
    }

    /// Adds what may be passed on of a chunk, unless it may not be held: the stream then fails,
    /// and goes on before the chunk if it is resumed.
    fn receive(&mut self, chunk: Bytes) {
        let before = self.events.as_ref().and_then(|events| events.sequencer);
        self.ready = self.filter_chunk(chunk);
        let bytes = self.ready.len() + self.partial_event_bytes();
        if self.held.resize(&self.request.id, bytes) {
            return;
        }
        self.ready = Bytes::new();
        self.body = None;
        if let Some(events) = &mut self.events {
            events.parser = EventParser::default();
            events.sequencer = before;
        }
        self.failure = Some("response exceeds its part of the memory");
    }

    fn is_resumable(&self) -> bool {
        self.events
            .as_ref()
            .is_some_and(|events| events.sequencer.is_some())
    }

    /// Checks the end of a stream and returns what is left of it to pass on.
    fn end_events(&mut self) -> Result<Bytes, StreamCutShort> {
        let is_marked = self.framing.marks_end();
        self.events
            .as_mut()
            .map_or(Ok(Bytes::new()), |events| events.parser.end(is_marked))
    }

    /// Returns how much of an event has arrived that is not complete, in bytes.
    fn partial_event_bytes(&self) -> usize {
        self.events
            .as_ref()
            .map_or(0, |events| events.parser.partial_len())
    }

    /// Returns the bytes that may be passed on after a chunk was received.
    fn filter_chunk(&mut self, chunk: Bytes) -> Bytes {
        let Some(events) = &mut self.events else {
            return chunk;
        };
        let mut out = BytesMut::new();
        if events.parser.feed(&chunk).is_err() {
            self.failure = Some("event exceeds the maximum size");
            return out.freeze();
        }
        while let Some(event) = events.parser.next_event() {
            if !event.is_event() {
                self.failure = Some("bytes that are no event");
                break;
            }
            let check = match &mut events.sequencer {
                Some(sequencer) => sequencer.accept(event.id),
                None => SequenceCheck::Pass,
            };
            match check {
                SequenceCheck::Pass => out.extend_from_slice(&event.raw),
                SequenceCheck::Drop => {}
                SequenceCheck::Gap => {
                    self.failure = Some("gap in the event ids");
                    break;
                }
            }
        }
        out.freeze()
    }

    /// Resumes the stream at another replica after the last event passed on.
    async fn resume(&mut self, reason: &str) -> Result<(), ResponseCutShort> {
        self.body = None;
        self.held.release_to(0);
        let now = self.gateway.now();
        self.gateway
            .replicas
            .borrow_mut()
            .note_failure(now, self.target.endpoint);
        event!(
            ATTEMPT_FAILED,
            request = self.request.id.as_str(),
            replica = self.target.registration.id.as_str(),
            parts: = PartList(&self.request.parts),
            reason
        );
        let Some(StreamEvents {
            parser,
            sequencer: Some(sequencer),
        }) = &mut self.events
        else {
            return Err(self.cut_short(reason));
        };
        *parser = EventParser::default();
        let last = sequencer.last();
        let mut reason = reason.to_owned();
        while self.request.record_interruption(&self.gateway, last) {
            let (response, target) = match self.request.send(&self.gateway).await {
                SendOutcome::Response(response, target) => (response, target),
                SendOutcome::Failed(request_error) => {
                    return Err(self.cut_short(request_error.describe().1));
                }
            };
            let status = response.head.status;
            if is_event_stream(&response.head, true) {
                event!(
                    REQUEST_RESUMED,
                    request = self.request.id.as_str(),
                    replica = target.registration.id.as_str(),
                    version = target.registration.software_version.as_str(),
                    after_event = event_id_text(last)
                );
                self.framing = response.body.framing();
                self.body = Some(response.body);
                self.target = target;
                return Ok(());
            }
            reason = format!("status {} on resuming the stream", status.as_u16());
            if !status.is_success() {
                break;
            }
            reason.push_str(", but no stream of events");
            self.request
                .record_attempt_failure(&self.gateway, &target, &reason);
        }
        Err(self.cut_short(&reason))
    }

    fn cut_short(&mut self, reason: &str) -> ResponseCutShort {
        self.is_ended = true;
        self.body = None;
        self.held.release_to(0);
        event!(
            REQUEST_BROKEN,
            request = self.request.id.as_str(),
            route = self.request.route.name.as_str(),
            replica = self.target.registration.id.as_str(),
            attempts = self.request.attempts.number(),
            sent_bytes = self.sent_bytes,
            framing = self.framing.as_str(),
            partial_event_bytes = self.partial_event_bytes(),
            took_ms = self.gateway.now().since(self.request.arrival),
            reason
        );
        ResponseCutShort {
            reason: reason.to_owned(),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_ended {
            event!(
                CALLER_LEFT,
                request = self.request.id.as_str(),
                replica = self.target.registration.id.as_str(),
                sent_bytes = self.sent_bytes,
                took_ms = self.gateway.now().since(self.request.arrival)
            );
        }
    }
}

/// Logs, when dropped, that the caller left before its response began.
pub(super) struct DisconnectLogger {
    gateway: Rc<Gateway>,
    id: String,
    arrival: Time,
    has_response: bool,
}

impl DisconnectLogger {
    pub(super) fn new(gateway: &Rc<Gateway>, request: &PendingRequest) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            id: request.id.clone(),
            arrival: request.arrival,
            has_response: false,
        }
    }

    /// Records that the response begins: from then on [`Relay`] logs.
    pub(super) fn note_response(mut self) {
        self.has_response = true;
    }
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if !self.has_response {
            event!(
                CALLER_LEFT,
                request = self.id.as_str(),
                sent_bytes = 0,
                took_ms = self.gateway.now().since(self.arrival)
            );
        }
    }
}

/// A response that was received completely from a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedResponse {
    pub(super) status: u16,
    pub(super) bytes: usize,
    /// Time from the request's arrival until the first bytes of the response
    /// are passed on to the caller, in milliseconds.
    pub(super) first_ms: u64,
    /// What marked the end of the response.
    pub(super) framing: BodyFraming,
}

/// Records and logs a response that was passed on completely, or that is
/// buffered completely and passed on next.
pub(super) fn record_done(
    gateway: &Rc<Gateway>,
    request: &PendingRequest,
    target: &AttemptTarget,
    done: CompletedResponse,
) {
    if (200..300).contains(&done.status) {
        gateway.note_completed(&request.parts);
    }
    request.record_hold_time(gateway, target.since);
    let took_ms = gateway.now().since(request.arrival);
    let seconds = Duration::from_millis(took_ms).as_secs_f64();
    gateway.metrics.request_seconds.observe(seconds);
    gateway.metrics.requests.with_label_values(&["done"]).inc();
    gateway.count_body_end(done.framing.as_str());
    event!(
        REQUEST_DONE,
        request = request.id.as_str(),
        route = request.route.name.as_str(),
        customer = request
            .customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str()),
        replica = target.registration.id.as_str(),
        status = done.status,
        attempts = request.attempts.number(),
        bytes = done.bytes,
        framing = done.framing.as_str(),
        first_ms = done.first_ms,
        took_ms
    );
}
