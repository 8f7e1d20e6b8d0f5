/*!
A caller's request while it is sent to replicas.
*/

use {
    super::{
        admission::{Destination, RequestContext, header_text},
        headers::{MEMBER_HOP, forwarded_headers, set_replica_headers},
        quarantine::Trial,
    },
    crate::process::{Gateway, memory::HeldBytes},
    actix_http::{
        HttpMessage as _, Method, Request,
        header::{self, HeaderMap, HeaderValue},
    },
    bytes::Bytes,
    cicadagate_node::connection::http_client::ReplicaRequest,
    cicadagate_policy::{
        ids::{EndpointId, RequestPart, SoftwareVersion, StreamId, hash64},
        process::replicas::Registration,
        request::attempt::Attempts,
        time::Time,
        version::serving::{Customer, Route, RouteKind},
    },
    std::{rc::Rc, time::Duration},
};

/// A request that is sent to replicas, and the state of its attempts.
pub(super) struct PendingRequest {
    pub(super) id: String,
    pub(super) route: Rc<Route>,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) arrival: Time,
    pub(super) deadline: Time,
    pub(super) attempts: Attempts,
    pub(super) last_event: Option<u64>,
    /// Id of the request that began the stream that the caller resumes, empty if the
    /// caller names none.
    pub(super) resumed_request: String,
    /// The stream that the caller resumes.
    pub(super) resumed_stream: Option<StreamId>,
    /// The stream that the request itself begins.
    pub(super) stream: StreamId,
    /// Software version at which the stream goes on, once it has begun.
    pub(super) version: Option<SoftwareVersion>,
    pub(super) service: String,
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    /// The caller's API key, which replicas don't get.
    pub(super) authorization: Option<HeaderValue>,
    pub(super) body: Bytes,
    /// Whether another gateway sent the request on.
    pub(super) is_from_member: bool,
    /// Attempts that failed since a replica could not be reached.
    pub(super) unreachable: usize,
    /// Whether an event of the stream was passed on.
    pub(super) has_begun: bool,
    /// What other requests may have in common with this one: parts of the prompt, and
    /// all of it.
    pub(super) parts: Vec<RequestPart>,
    pub(super) trial: Trial,
    pub(super) tried: Vec<EndpointId>,
    pub(super) refusals: usize,
    /// Time after which a replica's request rate allows the request, if it could
    /// not wait for that.
    pub(super) allowed_after: Option<Duration>,
    /// The memory reserved for the body, until the request ends.
    pub(super) held_bytes: Option<HeldBytes>,
}

impl PendingRequest {
    #[allow(clippy::too_many_arguments)] // Separate results of the admission.
    pub(super) fn new(
        gateway: &Gateway,
        req: &Request,
        id: String,
        context: &RequestContext,
        destination: Destination,
        body: Bytes,
        arrival: Time,
        deadline: Time,
    ) -> Self {
        let Destination {
            route,
            service,
            prompt_parts: mut parts,
        } = destination;
        let names = gateway.codec.headers();
        let max_attempts = route.max_attempts.max(1);
        // What may have run before the request was sent on counts, too.
        let attempts_left = header_text(req, &MEMBER_HOP)
            .parse()
            .unwrap_or(max_attempts);
        let attempts = Attempts::new(route.is_repeatable(), deadline)
            .with_max_run_attempts(attempts_left.clamp(1, max_attempts));
        let last_event = header_text(req, &names.last_event_id).parse().ok();
        let resumed_request = header_text(req, &names.resumed_request);
        let customer_id = context.customer.as_ref().map(|customer| customer.id);
        let is_resumption = last_event.is_some() && route.kind == RouteKind::Streaming;
        let resumed_stream =
            is_resumption.then(|| StreamId::of_request(customer_id, &resumed_request));
        let target = req
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let customer_name = context
            .customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str());
        let fingerprint = hash64(&[
            req.method().as_str().as_bytes(),
            target.as_bytes(),
            customer_name.as_bytes(),
            &body,
        ]);
        parts.push(RequestPart::whole_request(&service, fingerprint));
        Self {
            service,
            parts,
            trial: Trial::default(),
            stream: StreamId::of_request(customer_id, &id),
            resumed_stream,
            version: None,
            method: req.method().clone(),
            target: target.to_owned(),
            headers: forwarded_headers(gateway, req),
            authorization: req.headers().get(header::AUTHORIZATION).cloned(),
            is_from_member: req.headers().contains_key(&MEMBER_HOP),
            unreachable: 0,
            has_begun: false,
            customer: context.customer.clone(),
            id,
            route,
            arrival,
            deadline,
            attempts,
            last_event,
            resumed_request,
            body,
            tried: Vec::new(),
            refusals: 0,
            allowed_after: None,
            held_bytes: None,
        }
    }

    /// Returns whether the caller may resume the response.
    pub(super) fn may_be_resumed(&self) -> bool {
        self.route.is_resumable && self.route.kind == RouteKind::Streaming
    }

    /// Lets the request go on only at a software version of a service.
    pub(super) fn bind(&mut self, service: String, version: SoftwareVersion) {
        self.service = service;
        self.version = Some(version);
    }

    /// Records that an event of a stream which may be resumed is passed on, the first one
    /// of this response: from now on the stream stays at the replica's software version.
    pub(super) fn note_stream_began(&mut self, gateway: &Gateway, replica: &Registration) {
        self.has_begun = true;
        let version = *self.version.get_or_insert_with(|| replica.version());
        gateway.note_stream_began(self.stream, version);
        // Members that knew it may have ended since.
        let is_named = !self.resumed_request.is_empty();
        if let Some(resumed) = self.resumed_stream.filter(|_| is_named) {
            gateway.note_stream_began(resumed, version);
        }
    }

    pub(super) fn build_request(
        &self,
        gateway: &Gateway,
        replica: &Registration,
        now: Time,
    ) -> ReplicaRequest {
        let names = gateway.codec.headers();
        let mut headers = self.headers.clone();
        let customer = self
            .customer
            .as_ref()
            .map(|customer| customer.name.as_str());
        set_replica_headers(gateway, &mut headers, replica, customer);
        let left_ms = self.deadline.since(now);
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        if let Some(last) = self.last_event {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        ReplicaRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers,
            body: self.body.clone(),
            id: Some((names.request_id.clone(), self.id.clone())),
        }
    }

    /// Records how long the request occupied its replica's slot.
    pub(super) fn record_hold_time(&self, gateway: &Gateway, since: Time) {
        let held_ms = gateway.now().since(since);
        let mut hold_times = gateway.hold_times.borrow_mut();
        hold_times
            .entry(self.service.clone())
            .or_default()
            .note(held_ms);
    }
}
