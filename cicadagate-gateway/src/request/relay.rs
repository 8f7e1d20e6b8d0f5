/*!
Streams a response body to the client.

Of a stream that may be resumed only whole events are passed on, so that the
stream can be resumed at another replica within the same response. Other bodies
are passed on chunk by chunk. A response that can't be completed is cut short,
which the client detects by HTTP's framing.

Dropping the body, as the server does when the client disconnects, closes the
connection to the replica, which ends the work there.
*/

use {
    super::forward::{Call, Reached, Target},
    crate::{
        connection::Body,
        process::{Gateway, RequestGuard},
    },
    actix_rt::time::timeout,
    bytes::{Bytes, BytesMut},
    cicadagate_node::event,
    cicadagate_policy::request::events::{Join, Joiner, Splitter},
    futures_util::stream::{Stream, unfold},
    snafu::Snafu,
    std::{pin::Pin, rc::Rc, time::Duration},
};

/// Time without data in the middle of a stream after which it is resumed at
/// another replica, in milliseconds: several times the pause between events.
const SILENCE_MS: u64 = 1_000;

/// A response was cut short.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("response cut short: {reason}"))]
pub(super) struct BrokenOff {
    reason: String,
}

type Bodies = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>;

struct Events {
    splitter: Splitter,
    joiner: Joiner,
}

/// Streams a response body, resuming it at another replica if necessary.
pub(super) struct Relay {
    gateway: Rc<Gateway>,
    call: Call,
    body: Option<Body>,
    target: Target,
    start: Option<Bytes>,
    events: Option<Events>,
    /// Why the current replica's stream can't be used any further.
    broken: Option<&'static str>,
    sent_bytes: usize,
    first_ms: u64,
    is_ended: bool,
    _guard: RequestGuard,
}

impl Relay {
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        call: Call,
        body: Body,
        target: Target,
        guard: RequestGuard,
    ) -> Self {
        let events = call.route.is_resumable.then(|| Events {
            splitter: Splitter::default(),
            joiner: Joiner::after(call.last_event),
        });
        Self {
            gateway: Rc::clone(gateway),
            call,
            body: Some(body),
            target,
            start: None,
            events,
            broken: None,
            sent_bytes: 0,
            first_ms: 0,
            is_ended: false,
            _guard: guard,
        }
    }

    /// Adds bytes that have already been read, to be passed on first.
    pub(super) fn starting_with(mut self, start: Bytes) -> Self {
        self.start = Some(start);
        self
    }

    pub(super) fn into_stream(self) -> Bodies {
        Box::pin(unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.is_ended {
            return None;
        }
        if let Some(start) = self.start.take() {
            return Some(Ok(self.count(start)));
        }
        loop {
            if let Some(reason) = self.broken.take()
                && let Err(err) = self.resume(reason).await
            {
                return Some(Err(err));
            }
            let left_ms = self.call.deadline.since(self.gateway.now());
            let may_move = self.events.is_some() && self.sent_bytes > 0;
            let patience_ms = if may_move {
                SILENCE_MS.min(left_ms)
            } else {
                left_ms
            };
            let chunk = match &mut self.body {
                None => None,
                Some(body) => match timeout(Duration::from_millis(patience_ms), body.chunk()).await
                {
                    Ok(Some(Err(err))) => {
                        self.gateway.note_failed(self.target.endpoint, &err);
                        Some(Err(err.to_string()))
                    }
                    Ok(chunk) => chunk.map(|chunk| chunk.map_err(|err| err.to_string())),
                    Err(_) if patience_ms < left_ms => Some(Err("idle timeout".to_owned())),
                    Err(_) => return Some(Err(self.break_off("deadline exceeded"))),
                },
            };
            match chunk {
                Some(Ok(chunk)) => {
                    let bytes = self.take(chunk);
                    if !bytes.is_empty() {
                        return Some(Ok(self.count(bytes)));
                    }
                }
                None if self.is_inside_event() => self.broken = Some("stream ended mid-event"),
                None => {
                    self.is_ended = true;
                    let done = Done {
                        status: 200,
                        bytes: self.sent_bytes,
                        first_ms: self.first_ms,
                    };
                    note_done(&self.gateway, &self.call, &self.target, done);
                    return None;
                }
                Some(Err(reason)) => {
                    if let Err(err) = self.resume(&reason).await {
                        return Some(Err(err));
                    }
                }
            }
        }
    }

    fn count(&mut self, bytes: Bytes) -> Bytes {
        if self.sent_bytes == 0 {
            self.first_ms = self.gateway.now().since(self.call.arrival);
            let seconds = Duration::from_millis(self.first_ms).as_secs_f64();
            self.gateway.metrics.first_piece_seconds.observe(seconds);
        }
        self.sent_bytes += bytes.len();
        bytes
    }

    fn is_inside_event(&self) -> bool {
        self.events
            .as_ref()
            .is_some_and(|events| events.splitter.is_inside_event())
    }

    /// Returns the bytes that may be passed on after a chunk was received.
    fn take(&mut self, chunk: Bytes) -> Bytes {
        let Some(events) = &mut self.events else {
            return chunk;
        };
        let mut out = BytesMut::new();
        if events.splitter.feed(&chunk).is_err() {
            self.broken = Some("event exceeds the maximum size");
            return out.freeze();
        }
        while let Some(event) = events.splitter.next_event() {
            match events.joiner.take(event.id) {
                Join::Pass => out.extend_from_slice(&event.raw),
                Join::Drop => {}
                Join::Gap => {
                    self.broken = Some("gap in the event ids");
                    break;
                }
            }
        }
        out.freeze()
    }

    /// Resumes the stream at another replica after the last event passed on.
    async fn resume(&mut self, reason: &str) -> Result<(), BrokenOff> {
        self.body = None;
        let now = self.gateway.now();
        self.gateway
            .replicas
            .borrow_mut()
            .note_failure(now, self.target.endpoint);
        event!(
            ATTEMPT_FAILED,
            request = self.call.id.as_str(),
            replica = self.target.registration.id.as_str(),
            reason
        );
        let Some(events) = &mut self.events else {
            return Err(self.break_off(reason));
        };
        events.splitter = Splitter::default();
        let last = events.joiner.last();
        if !self.call.broke_off(&self.gateway, last) {
            return Err(self.break_off(reason));
        }
        match self.call.send(&self.gateway).await {
            Reached::Answer(answer, target) if answer.head.status.is_success() => {
                event!(
                    REQUEST_RESUMED,
                    request = self.call.id.as_str(),
                    replica = target.registration.id.as_str(),
                    after_event = last.unwrap_or_default()
                );
                self.body = Some(answer.body);
                self.target = target;
                Ok(())
            }
            Reached::Answer(answer, _) => {
                let reason = format!(
                    "status {} on resuming the stream",
                    answer.head.status.as_u16()
                );
                Err(self.break_off(&reason))
            }
            Reached::Failed(problem) => Err(self.break_off(problem.describe().1)),
        }
    }

    fn break_off(&mut self, reason: &str) -> BrokenOff {
        self.is_ended = true;
        self.body = None;
        event!(
            REQUEST_BROKEN,
            request = self.call.id.as_str(),
            route = self.call.route.name.as_str(),
            replica = self.target.registration.id.as_str(),
            attempts = self.call.attempts.number(),
            sent_bytes = self.sent_bytes,
            took_ms = self.gateway.now().since(self.call.arrival),
            reason
        );
        BrokenOff {
            reason: reason.to_owned(),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_ended {
            event!(
                CALLER_LEFT,
                request = self.call.id.as_str(),
                replica = self.target.registration.id.as_str(),
                sent_bytes = self.sent_bytes,
                took_ms = self.gateway.now().since(self.call.arrival)
            );
        }
    }
}

/// A response that was passed on completely.
#[derive(Clone, Copy, Debug)]
pub(super) struct Done {
    pub(super) status: u16,
    pub(super) bytes: usize,
    /// Time from the request's arrival to the first bytes of the response, in
    /// milliseconds.
    pub(super) first_ms: u64,
}

/// Records and logs a response that was passed on completely.
pub(super) fn note_done(gateway: &Gateway, call: &Call, target: &Target, done: Done) {
    call.note_held(gateway, target.since);
    let took_ms = gateway.now().since(call.arrival);
    let seconds = Duration::from_millis(took_ms).as_secs_f64();
    gateway.metrics.request_seconds.observe(seconds);
    gateway.metrics.requests.with_label_values(&["done"]).inc();
    event!(
        REQUEST_DONE,
        request = call.id.as_str(),
        route = call.route.name.as_str(),
        customer = call
            .customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str()),
        replica = target.registration.id.as_str(),
        status = done.status,
        attempts = call.attempts.number(),
        bytes = done.bytes,
        first_ms = done.first_ms,
        took_ms
    );
}
