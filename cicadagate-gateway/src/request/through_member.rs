/*!
Requests sent through another gateway.

A gateway that is cut off from a service sends its callers' requests to one that is not,
which serves them like those of its own callers: it checks the API key and the rate limit,
and chooses the replica. A header keeps it from sending them on again. What other gateways
say of a request counts together with the attempts before: it has not run only if none of
them may have run it, and it may run at no more replicas than its route allows. A gateway
that does not answer counts as one replica.
*/

use {
    super::{
        RequestError, Response,
        headers::{MEMBER_HOP, content_length, response_from_replica},
        pending::PendingRequest,
        relay::is_body_late,
    },
    crate::process::{Gateway, RequestGuard, reachability::pick_member},
    actix_http::{
        StatusCode,
        body::{BodyStream, BoxBody, SizedStream},
        header::{self, HeaderValue},
    },
    actix_rt::time::timeout,
    bytes::Bytes,
    cicadagate_node::{
        connection::http_client::{Body, BodyFraming, ReplicaRequest, ReplicaResponse, Reuse},
        event,
    },
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        request::attempt::Progress,
        time::Time,
    },
    futures_util::stream::unfold,
    std::{io, rc::Rc, time::Duration},
};

/// Gateways that are tried for one request.
const MAX_MEMBERS: usize = 3;

/// Returns whether requests of a service are better sent through another gateway.
pub(super) fn is_needed(gateway: &Gateway, service: &str) -> bool {
    gateway.is_cut_off(service) && pick_member(gateway, service, &[]).is_some()
}

/// Sends a request through another gateway and returns the response for the caller.
///
/// # Errors
///
/// Returns an error if no other gateway responds, or if one refuses a request that may have
/// run in an earlier attempt.
pub(super) async fn serve(
    gateway: &Rc<Gateway>,
    request: &mut PendingRequest,
    guard: RequestGuard,
) -> Result<Response, RequestError> {
    let mut tried: Vec<MemberId> = Vec::new();
    while tried.len() < MAX_MEMBERS && request.attempts.runs_left() > 0 {
        let now = gateway.now();
        if now >= request.deadline {
            break;
        }
        let Some((member, addr)) = pick_member(gateway, &request.service, &tried) else {
            break;
        };
        tried.push(member);
        let reach = gateway.reach(&request.service);
        let attempts = &gateway.metrics.attempts;
        attempts.with_label_values(&["through_member"]).inc();
        event!(
            SENT_THROUGH_MEMBER,
            request = request.id.as_str(),
            service = request.service.as_str(),
            member: = member,
            addr: = addr,
            unreachable = reach.unreachable,
            reached = reach.reached,
            left_ms = request.deadline.since(now)
        );
        let left = Duration::from_millis(request.deadline.since(now));
        let outgoing = build_request(gateway, request, now);
        // If a connection that is closed meanwhile is used, the request may have run.
        let reuse = if request.attempts.is_idempotent() {
            Reuse::Any
        } else {
            Reuse::RecentOrGuaranteed
        };
        let may_have_run = request.attempts.furthest() != Progress::NotSent;
        request.attempts.begin();
        request.attempts.mark_sent();
        let pool_key = EndpointId::from_raw(member.raw());
        let send = gateway
            .member_pool
            .send(now, pool_key, addr, reuse, &outgoing);
        let received = timeout(left, send).await;
        for discarded in gateway.member_pool.take_discarded() {
            gateway.log_discarded(&discarded);
        }
        match received {
            Ok(Ok(response)) if response.head.headers.contains_key(&MEMBER_HOP) => {
                request.attempts.mark_failed(Progress::NotSent);
                event!(
                    ATTEMPT_FAILED,
                    request = request.id.as_str(),
                    member: = member,
                    reason = "the other instance is cut off, too"
                );
            }
            Ok(Ok(response)) if may_have_run && is_promise(response.head.status) => {
                event!(
                    ATTEMPT_FAILED,
                    request = request.id.as_str(),
                    member: = member,
                    status = response.head.status.as_u16(),
                    reason = "refused after an attempt that may have run"
                );
                return Err(RequestError::NoAnswer);
            }
            Ok(Ok(response)) => return Ok(relay(gateway, request, response, guard)),
            Ok(Err(err)) => {
                event!(
                    ATTEMPT_FAILED,
                    request = request.id.as_str(),
                    member: = member,
                    reason: = err
                );
                if !err.may_have_run() {
                    request.attempts.mark_failed(Progress::NotSent);
                } else if !request.attempts.is_idempotent() {
                    return Err(RequestError::NoAnswer);
                }
            }
            Err(_) if request.attempts.is_idempotent() => return Err(RequestError::TimedOut),
            Err(_) => return Err(RequestError::NoAnswer),
        }
    }
    Err(request.resolve_error(RequestError::NoReplica))
}

/// Returns whether a status promises that a request has not run.
const fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn build_request(gateway: &Gateway, request: &PendingRequest, now: Time) -> ReplicaRequest {
    let names = gateway.codec.headers();
    let mut headers = request.headers.clone();
    if let Some(authorization) = &request.authorization {
        headers.insert(header::AUTHORIZATION, authorization.clone());
    }
    let left_ms = request.deadline.since(now);
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    let attempts_left = HeaderValue::from(request.attempts.runs_left());
    headers.insert(MEMBER_HOP, attempts_left);
    ReplicaRequest {
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        id: Some((names.request_id.clone(), request.id.clone())),
    }
}

fn relay(
    gateway: &Rc<Gateway>,
    request: &PendingRequest,
    response: ReplicaResponse,
    guard: RequestGuard,
) -> Response {
    let head = response_from_replica(gateway, &response);
    let (length, framing) = (content_length(&response), response.body.framing());
    let relayed = RelayedBody {
        gateway: Rc::clone(gateway),
        id: request.id.clone(),
        body: Some(response.body),
        deadline: request.deadline,
        status: head.status().as_u16(),
        bytes: 0,
        arrival: request.arrival,
        _guard: guard,
    };
    let stream = Box::pin(unfold(relayed, |mut relayed| async move {
        let next = relayed.next().await?;
        Some((next, relayed))
    }));
    match length {
        _ if framing == BodyFraming::None => head.set_body(BoxBody::new(())),
        Some(length) => head.set_body(BoxBody::new(SizedStream::new(length, stream))),
        None => head.set_body(BoxBody::new(BodyStream::new(stream))),
    }
}

/// Body of another gateway's response.
struct RelayedBody {
    gateway: Rc<Gateway>,
    id: String,
    /// `None` after the end.
    body: Option<Body>,
    deadline: Time,
    status: u16,
    bytes: usize,
    arrival: Time,
    _guard: RequestGuard,
}

impl RelayedBody {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let body = self.body.as_mut()?;
        let now = self.gateway.now();
        let left = Duration::from_millis(self.deadline.since(now));
        let reason = match timeout(left, body.chunk()).await {
            Ok(Some(Ok(chunk))) if !is_body_late(now, self.deadline) => {
                self.bytes += chunk.len();
                return Some(Ok(chunk));
            }
            Ok(None) => {
                self.body = None;
                self.log_done();
                return None;
            }
            Ok(Some(Err(err))) => err.to_string(),
            Ok(Some(Ok(_))) | Err(_) => "deadline exceeded".to_owned(),
        };
        self.body = None;
        event!(
            REQUEST_BROKEN,
            request = self.id.as_str(),
            sent_bytes = self.bytes,
            took_ms = self.gateway.now().since(self.arrival),
            reason = reason.as_str()
        );
        Some(Err(io::Error::other(reason)))
    }

    fn log_done(&self) {
        event!(
            REQUEST_DONE,
            request = self.id.as_str(),
            status = self.status,
            bytes = self.bytes,
            took_ms = self.gateway.now().since(self.arrival)
        );
    }
}
