/*!
Attempts of a request at replicas.

[`Attempts`](cicadagate_policy::request::attempt::Attempts) decides whether a
failed attempt is retried; this module carries it out. A replica's response is
passed on unchanged except for connection headers and the header that marks a
refusal. It is not passed on if the replica refused the request without running
it, except with status 400, or if it is a server error and the request is
retried.
*/

use {
    super::{
        RequestError, Response,
        admission::{Destination, refuse},
        buffer::{self, BufferedBody, MAX_BUFFERED_BYTES},
        event_id_text,
        headers::{
            MEMBER_CUT_OFF, MEMBER_HOP, content_length, is_event_stream, response_from_replica,
        },
        pending::PendingRequest,
        placement::AttemptTarget,
        quarantine::{self, PartList, Trial},
        relay::{self, DisconnectLogger, Relay},
        resumption, through_member,
    },
    crate::process::{Gateway, RequestGuard, freshness::Refreshed, reachability::pick_member},
    actix_http::{
        StatusCode,
        body::{BodyStream, BoxBody, MessageBody as _, SizedStream},
        header::HeaderValue,
    },
    actix_rt::time::timeout,
    cicadagate_node::{
        connection::http_client::{ExchangeError, ReplicaResponse, Reuse},
        event,
    },
    cicadagate_policy::{
        request::{
            attempt::{Progress, RetryDecision},
            overload::admit,
        },
        version::serving::{Customer, RouteKind},
    },
    std::{rc::Rc, time::Duration},
};

/// Replicas that may refuse a request before the caller is told to retry later.
const MAX_REFUSALS: usize = 3;
/// Replicas that can't be reached before a request is sent through another gateway.
const MAX_UNREACHABLE: usize = 2;
/// `Retry-After` if no replica can accept a request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Outcome of sending a request, after its last attempt.
pub(super) enum SendOutcome {
    /// A replica's response, to be passed on.
    Response(Box<ReplicaResponse>, AttemptTarget),
    /// There is no response to pass on.
    Failed(RequestError),
}

/// Refuses a request that would wait too long for a slot.
pub(super) fn check_load(
    gateway: &Gateway,
    id: &str,
    destination: &Destination,
    customer: Option<&Customer>,
) -> Result<(), Duration> {
    let Destination { route, service, .. } = destination;
    let service_load = gateway.service_load(service);
    let burst_left = customer.map_or(100, |customer| {
        gateway.limiter.borrow().burst_left(customer.id)
    });
    let jitter = gateway.next_random();
    let rank = gateway
        .current_config()
        .map_or(0, |config| config.relative_priority(route, customer));
    admit(service_load, route.objective_ms, rank, burst_left, jitter).map_err(|over| {
        event!(
            OVERLOADED,
            request = id,
            service = service.as_str(),
            online = service_load.online,
            slots = service_load.slots,
            unreachable = gateway.reach(service).unreachable,
            hold_ms = service_load.slot_hold_ms,
            wait_ms = over.wait_ms,
            burst_left
        );
        Duration::from_millis(over.retry_after_ms)
    })
}

impl PendingRequest {
    /// Sends the request, with retries, until a replica responds or no further
    /// attempt is allowed.
    pub(super) async fn send(&mut self, gateway: &Rc<Gateway>) -> SendOutcome {
        loop {
            let now = gateway.now();
            if now >= self.deadline {
                return SendOutcome::Failed(self.resolve_error(RequestError::TimedOut));
            }
            if !self.passes_quarantine(gateway) {
                return SendOutcome::Failed(self.resolve_error(RequestError::Quarantined));
            }
            let is_cut_off = self.unreachable > 0 && gateway.is_cut_off(&self.service);
            if (is_cut_off && self.is_from_member) || self.may_go_through_member(gateway) {
                return SendOutcome::Failed(self.resolve_error(RequestError::NoReplica));
            }
            let left = Duration::from_millis(self.deadline.since(now));
            let refreshed = gateway.refresh_registrations(left).await;
            if refreshed == Refreshed::Late {
                return SendOutcome::Failed(self.resolve_error(RequestError::NoReplica));
            }
            let slot_requested_at = gateway.now();
            let Some(target) = self.take_slot(gateway).await else {
                return SendOutcome::Failed(self.resolve_error(RequestError::NoReplica));
            };
            // Both may have become known while the slot was requested.
            if !self.may_be_sent(gateway).await {
                return SendOutcome::Failed(self.resolve_error(RequestError::Quarantined));
            }
            if !gateway.replicas.borrow().is_usable(target.endpoint) {
                self.tried.push(target.endpoint);
                continue;
            }
            let now = gateway.now();
            self.tried.push(target.endpoint);
            let number = self.attempts.begin();
            let replica_request = self.build_request(gateway, &target.registration, now);
            let reuse = if self.attempts.is_idempotent() {
                Reuse::Any
            } else {
                Reuse::RecentOrGuaranteed
            };
            let addr = target.registration.addr;
            let left = Duration::from_millis(self.deadline.since(now));
            event!(
                REQUEST_SENT,
                request = self.id.as_str(),
                attempt = number,
                replica = target.registration.id.as_str(),
                slot = target.slot,
                max_rate = gateway.named_rate(target.endpoint),
                asked_ms = now.since(slot_requested_at),
                load = gateway.fleet_load(target.endpoint).total(),
                slots = target.registration.slots,
                left_ms = self.deadline.since(now),
                registrations_age_ms = gateway.registrations_freshness().age_ms(now),
                registrations_from = gateway.registrations_known_from().as_str(),
                version = target.registration.software_version.as_str(),
                resumes = self.resumed_request.as_str(),
                after_event = event_id_text(self.last_event)
            );
            self.attempts.mark_sent();
            let may_send = || gateway.may_send(target.endpoint);
            let send = gateway.pool.send_if(
                now,
                target.endpoint,
                addr,
                reuse,
                &replica_request,
                may_send,
            );
            let received = timeout(left, send).await;
            gateway.note_discarded_heads();
            let is_sent = !matches!(&received, Ok(Err(err)) if !err.may_have_run());
            if is_sent && self.trial == Trial::Granted {
                self.trial = Trial::Used;
            }
            let outcome = match received {
                Ok(Err(err @ ExchangeError::Withheld)) => {
                    self.attempts.mark_failed(Progress::NotSent);
                    // It may be chosen again.
                    self.tried.pop();
                    self.log_failure(gateway, &target, &err);
                    None
                }
                Err(_) => return SendOutcome::Failed(self.resolve_error(RequestError::TimedOut)),
                Ok(Ok(response)) => self.handle_response(gateway, response, target),
                Ok(Err(err)) => {
                    self.unreachable += usize::from(err.is_unreachable());
                    let progress = if err.may_have_run() {
                        Progress::MaybeRun
                    } else {
                        Progress::NotSent
                    };
                    self.note_exchange_failed(gateway, &target, &err);
                    self.log_failure(gateway, &target, &err);
                    self.after_failure(gateway, progress, RequestError::NoAnswer)
                }
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    /// Decides what to do with a response; `None` stands for another attempt.
    fn handle_response(
        &mut self,
        gateway: &Rc<Gateway>,
        response: ReplicaResponse,
        target: AttemptTarget,
    ) -> Option<SendOutcome> {
        gateway.note_head(&self.id, &target.registration, &response.head, target.since);
        let names = gateway.codec.headers();
        let status = response.head.status;
        let is_refusal = response.head.headers.contains_key(&names.not_run)
            || status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            event!(
                ATTEMPT_FAILED,
                request = self.id.as_str(),
                replica = target.registration.id.as_str(),
                status = status.as_u16(),
                reason = "replica refused the request without running it"
            );
            self.refusals += 1;
            let now = gateway.now();
            if status == StatusCode::MISDIRECTED_REQUEST {
                gateway
                    .replicas
                    .borrow_mut()
                    .note_failure(now, target.endpoint);
            } else {
                gateway
                    .replicas
                    .borrow_mut()
                    .note_full(now, target.endpoint);
            }
            if status == StatusCode::BAD_REQUEST {
                return Some(SendOutcome::Response(Box::new(response), target));
            }
            return self.after_failure(gateway, Progress::NotSent, RequestError::NoReplica);
        }
        if status.is_server_error() && self.attempts.is_idempotent() {
            self.attempts.mark_failed(Progress::MaybeRun);
            self.record_attempt_failure(gateway, &target, &status);
            if self.may_retry(gateway) {
                return None;
            }
        } else if !status.is_server_error() {
            let now = gateway.now();
            gateway
                .replicas
                .borrow_mut()
                .note_success(now, target.endpoint);
        }
        Some(SendOutcome::Response(Box::new(response), target))
    }

    /// Returns whether another gateway is better placed to send the request, since
    /// replicas can't be reached from here.
    fn may_go_through_member(&self, gateway: &Gateway) -> bool {
        let may_repeat =
            self.attempts.furthest() == Progress::NotSent || self.attempts.is_idempotent();
        !self.is_from_member
            && !self.has_begun
            && may_repeat
            && self.attempts.runs_left() > 0
            && (self.unreachable >= MAX_UNREACHABLE
                || (self.unreachable > 0 && gateway.is_cut_off(&self.service)))
            && pick_member(gateway, &self.service, &[]).is_some()
    }

    /// Records that an exchange failed, and whether the replica ended it.
    pub(super) fn note_exchange_failed(
        &self,
        gateway: &Rc<Gateway>,
        target: &AttemptTarget,
        err: &ExchangeError,
    ) {
        gateway.note_failed(target.endpoint, err);
        if err.is_closed_by_peer() {
            self.note_crash(gateway, target);
        }
    }

    /// Records that a replica ended while it had the request.
    pub(super) fn note_crash(&self, gateway: &Gateway, target: &AttemptTarget) {
        gateway.note_crash(&target.registration, &self.parts);
    }

    pub(super) fn record_attempt_failure(
        &self,
        gateway: &Gateway,
        target: &AttemptTarget,
        reason: &dyn std::fmt::Display,
    ) {
        let now = gateway.now();
        gateway
            .replicas
            .borrow_mut()
            .note_failure(now, target.endpoint);
        self.log_failure(gateway, target, reason);
    }

    /// Counts a failed attempt in the metrics and logs it.
    fn log_failure(
        &self,
        gateway: &Gateway,
        target: &AttemptTarget,
        reason: &dyn std::fmt::Display,
    ) {
        gateway
            .metrics
            .attempts
            .with_label_values(&["failed"])
            .inc();
        event!(
            ATTEMPT_FAILED,
            request = self.id.as_str(),
            replica = target.registration.id.as_str(),
            parts: = PartList(&self.parts),
            after_ms = gateway.now().since(target.since),
            reason: = reason
        );
    }

    fn may_retry(&self, gateway: &Gateway) -> bool {
        let now = gateway.now();
        let mut budget = gateway.retry_budget.borrow_mut();
        self.refusals < MAX_REFUSALS
            && self.attempts.decide(now, &mut budget) == RetryDecision::Retry
    }

    fn after_failure(
        &mut self,
        gateway: &Gateway,
        progress: Progress,
        request_error: RequestError,
    ) -> Option<SendOutcome> {
        self.attempts.mark_failed(progress);
        if self.may_retry(gateway) {
            return None;
        }
        Some(SendOutcome::Failed(self.resolve_error(request_error)))
    }

    /// Replaces an error that contradicts whether the request may have run:
    /// `NoReplica` and `Quarantined` mean that it has not.
    pub(super) fn resolve_error(&self, request_error: RequestError) -> RequestError {
        let may_have_run = self.attempts.furthest() != Progress::NotSent;
        match request_error {
            RequestError::NoReplica | RequestError::Quarantined if may_have_run => {
                RequestError::NoAnswer
            }
            RequestError::TimedOut | RequestError::NoAnswer if !may_have_run => {
                RequestError::NoReplica
            }
            request_error => request_error,
        }
    }

    /// Records that the relayed stream was cut short after an event; returns
    /// whether another attempt may resume it there.
    pub(super) fn record_interruption(
        &mut self,
        gateway: &Gateway,
        last_event: Option<u64>,
    ) -> bool {
        self.attempts.mark_failed(Progress::MaybeRun);
        self.last_event = last_event;
        self.may_retry(gateway)
    }
}

/// Sends a request to replicas and returns the response for the caller.
pub(super) async fn serve(
    gateway: &Rc<Gateway>,
    mut request: PendingRequest,
    guard: RequestGuard,
) -> Response {
    let disconnect_logger = DisconnectLogger::new(gateway, &request);
    if let Err(request_error) = resumption::bind_to_origin(gateway, &mut request).await {
        disconnect_logger.note_response();
        let route = request.route.name.clone();
        return refuse(gateway, &request.id, request_error, &route, None);
    }
    let res = forward_request(gateway, request, guard).await;
    disconnect_logger.note_response();
    res
}

/// Sends a request through another gateway, since this one is cut off from its service.
pub(super) async fn serve_through_member(
    gateway: &Rc<Gateway>,
    mut request: PendingRequest,
    guard: RequestGuard,
) -> Response {
    let disconnect_logger = DisconnectLogger::new(gateway, &request);
    let res = through_member::serve(gateway, &mut request, guard).await;
    disconnect_logger.note_response();
    res.unwrap_or_else(|request_error| respond_failed(gateway, &request, request_error))
}

async fn forward_request(
    gateway: &Rc<Gateway>,
    mut request: PendingRequest,
    guard: RequestGuard,
) -> Response {
    gateway.retry_budget.borrow_mut().note_request();
    loop {
        let (response, target) = match request.send(gateway).await {
            SendOutcome::Response(response, target) => (response, target),
            SendOutcome::Failed(RequestError::NoReplica | RequestError::NoAnswer)
                if request.may_go_through_member(gateway) =>
            {
                let sent = through_member::serve(gateway, &mut request, guard).await;
                return sent.unwrap_or_else(|err| respond_failed(gateway, &request, err));
            }
            SendOutcome::Failed(request_error) => {
                return respond_failed(gateway, &request, request_error);
            }
        };
        let head = response_from_replica(gateway, &response);
        let is_stream = is_event_stream(&response.head, false);
        if request.route.kind == RouteKind::Streaming && is_stream {
            let relay = Relay::new(gateway, request, response.body, target, guard).with_events();
            return head.set_body(BoxBody::new(BodyStream::new(relay.into_stream())));
        }
        let length = content_length(&response);
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            let relay = Relay::new(gateway, request, response.body, target, guard).into_stream();
            return match length {
                Some(length) => head.set_body(BoxBody::new(SizedStream::new(length, relay))),
                None => head.set_body(BoxBody::new(BodyStream::new(relay))),
            };
        }
        let framing = response.body.framing();
        match buffer::read(gateway, &request.id, request.deadline, response.body).await {
            BufferedBody::Complete(body) => {
                let done = relay::CompletedResponse {
                    status: head.status().as_u16(),
                    bytes: body.len(),
                    first_ms: gateway.now().since(request.arrival),
                    framing,
                };
                relay::record_done(gateway, &request, &target, done);
                return head.set_body(body.boxed());
            }
            BufferedBody::TooLong(start, body) => {
                let relay = Relay::new(gateway, request, *body, target, guard).with_prefix(start);
                return head.set_body(BoxBody::new(BodyStream::new(relay.into_stream())));
            }
            BufferedBody::Failed { reason, is_closed } => {
                gateway.count_body_end("failed");
                if is_closed {
                    request.note_crash(gateway, &target);
                }
                request.record_attempt_failure(gateway, &target, &reason);
                if let Some(SendOutcome::Failed(request_error)) =
                    request.after_failure(gateway, Progress::MaybeRun, RequestError::NoAnswer)
                {
                    return respond_failed(gateway, &request, request_error);
                }
            }
        }
    }
}

fn respond_failed(
    gateway: &Rc<Gateway>,
    request: &PendingRequest,
    request_error: RequestError,
) -> Response {
    let now = gateway.now();
    // The evacuation may have begun after the request was admitted.
    let evacuated = gateway
        .retry_after_evacuation(&request.service)
        .filter(|_| request_error == RequestError::NoReplica);
    let request_error = evacuated.map_or(request_error, |_| RequestError::AllEvacuated);
    let retry_after = match request_error {
        RequestError::AllEvacuated => evacuated,
        RequestError::NoReplica => Some(request.allowed_after.unwrap_or(RETRY_AFTER)),
        RequestError::Quarantined => {
            quarantine::retry_after(gateway, &request.parts).or(Some(RETRY_AFTER))
        }
        _ => None,
    };
    if retry_after.is_some() {
        let route = &request.route.name;
        let mut res = refuse(gateway, &request.id, request_error, route, retry_after);
        if request.is_from_member && gateway.is_cut_off(&request.service) {
            let value = HeaderValue::from_static(MEMBER_CUT_OFF);
            res.headers_mut().insert(MEMBER_HOP, value);
        }
        return res;
    }
    let (status, code, _) = request_error.describe();
    event!(
        REQUEST_BROKEN,
        request = request.id.as_str(),
        status,
        code,
        route = request.route.name.as_str(),
        attempts = request.attempts.number(),
        took_ms = now.since(request.arrival)
    );
    request_error.respond(gateway, None)
}
