/*!
Replicas owned by this process, with their queued and running requests.
*/

mod intents;
mod orders;
mod response_cache;
mod roster;
mod shares;
mod snapshots;

pub(crate) use {
    intents::{Claim, Intents},
    response_cache::RecordedResponse,
};

use {
    crate::{
        DispatchSettings,
        request::{Attempt, StopReason},
    },
    actix_rt::time::sleep,
    bytes::Bytes,
    cicadagate_node::{
        clock::unix_time_ms,
        connection::{
            peer_server::{PeerHandler, PeerSender},
            response_queue::HeldBytes,
        },
        event,
        platform::instance_list::Endpoint,
        process::{Node, RunningGuard},
    },
    cicadagate_policy::{
        ids::{EndpointId, RequestId},
        process::replica_queue::{Action, Class, Config, Rejection, ReplicaQueue, Request},
    },
    cicadagate_wire::peer::{FromServer, RefusalReason, Submit, ToServer},
    response_cache::ResponseCache,
    shares::Shares,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Interval between checks of all queues for requests whose start deadline has
/// passed and for draining endpoints; other changes to a queue are handled at
/// once.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long an endpoint that responded that it is draining is treated as
/// draining, in milliseconds.
const DRAINING_RESPONSE_MS: u64 = 5_000;
/// Longest response that is recorded for retries, in bytes.
const MAX_RECORDED_BYTES: usize = 4 * 1024 * 1024;
/// Lower limit of the time within which a batch request must start, in
/// milliseconds: a shorter `start_within_ms` is raised to it.
const MIN_BATCH_START_WITHIN_MS: u64 = 600_000;

/// A request that is queued or running at a replica of this process.
pub(crate) struct PendingRequest {
    pub submit: Submit,
    pub sender: PeerSender,
    pub endpoint: EndpointId,
    /// Number of pieces received so far, including those of earlier attempts.
    pub pieces: Cell<u64>,
    /// Why the running attempt was stopped, if it was.
    pub stop_reason: Cell<Option<StopReason>>,
    /// Wakes the running attempt when it is stopped.
    pub stopped: Notify,
    /// Response so far; its pieces are recorded only if the request has an
    /// idempotency key.
    pub recorded: RefCell<RecordedResponse>,
    /// Memory of the recorded pieces.
    recorded_bytes: HeldBytes,
    /// Time of queueing, in milliseconds since the Unix epoch.
    pub queued_at_ms: u64,
    _guard: RunningGuard,
}

impl PendingRequest {
    /// Records a piece of the response. If there is no memory to hold it, the response is
    /// not recorded at all.
    pub fn record(&self, piece: &Bytes) {
        let mut recorded = self.recorded.borrow_mut();
        if recorded.is_incomplete {
            return;
        }
        let bytes = piece.len() + size_of::<Bytes>();
        let all = self.recorded_bytes.bytes() + bytes;
        if all <= MAX_RECORDED_BYTES && self.recorded_bytes.reserve(bytes) {
            recorded.pieces.push(piece.clone());
            return;
        }
        recorded.is_incomplete = true;
        recorded.pieces = Vec::new();
        self.recorded_bytes.release_all();
    }
}

struct Replica {
    queue: ReplicaQueue,
    /// When the endpoint last responded that it is draining.
    draining_since: Option<cicadagate_policy::time::Time>,
}

/// All replicas that this process owns.
pub(crate) struct Dispatcher {
    pub node: Rc<Node>,
    pub settings: DispatchSettings,
    pub clients: crate::request::Clients,
    pub intents: Intents,
    response_cache: RefCell<ResponseCache>,
    shares: Shares,
    replicas: RefCell<HashMap<EndpointId, Replica>>,
    pending: RefCell<HashMap<RequestId, Rc<PendingRequest>>>,
    weak_self: std::rc::Weak<Self>,
}

impl Dispatcher {
    /// Creates the dispatcher and starts its tasks.
    pub fn start(node: Rc<Node>, settings: DispatchSettings) -> Rc<Self> {
        let dispatcher = Rc::new_cyclic(|weak_self| Self {
            shares: Shares::start(&node),
            intents: Intents::start(&node),
            response_cache: RefCell::default(),
            clients: crate::request::Clients::new(),
            replicas: RefCell::default(),
            pending: RefCell::default(),
            weak_self: weak_self.clone(),
            settings,
            node,
        });
        actix_rt::spawn(poll_queues(Rc::clone(&dispatcher)));
        actix_rt::spawn(roster::run(Rc::clone(&dispatcher.node)));
        actix_rt::spawn(snapshots::run(
            Rc::clone(&dispatcher.node),
            settings.snapshot_every,
        ));
        actix_rt::spawn(orders::run(Rc::clone(&dispatcher.node)));
        dispatcher
    }

    /// Returns an endpoint's entry in the instance list.
    pub fn endpoint(&self, id: EndpointId) -> Option<Endpoint> {
        self.node
            .listed_instances
            .borrow()
            .endpoints
            .get(&id)
            .cloned()
    }

    fn new_replica(&self, endpoint: &Endpoint) -> Replica {
        let streams = match endpoint.max_streams {
            // So many that no request waits in the queue here.
            _ if self.settings.engine_queues_only => usize::from(u16::MAX),
            0 => self.settings.default_streams,
            streams => streams,
        };
        let cfg = Config {
            max_running: streams,
            reserve: self.settings.reserve_streams,
            tokens_per_sec: self.settings.tokens_per_sec,
            priorities: self.settings.priorities && !self.settings.engine_queues_only,
        };
        Replica {
            queue: ReplicaQueue::new(cfg),
            draining_since: None,
        }
    }

    fn with_replica<T>(&self, endpoint: &Endpoint, act: impl FnOnce(&mut Replica) -> T) -> T {
        let mut replicas = self.replicas.borrow_mut();
        act(replicas
            .entry(endpoint.id)
            .or_insert_with(|| self.new_replica(endpoint)))
    }

    fn submit(&self, sender: &PeerSender, submit: Submit) {
        let (id, attempt) = (submit.id, submit.attempt);
        let refuse = |reason, load| {
            let message = FromServer::Refused {
                id,
                attempt,
                reason,
                load,
            };
            sender.send(message);
        };
        if !self.node.phase().is_advertised() {
            return refuse(RefusalReason::Stopping, 0);
        }
        if submit.keyed
            && let Some(messages) = self
                .response_cache
                .borrow_mut()
                .replay(self.node.now(), &submit)
        {
            for message in messages {
                sender.send(message);
            }
            return;
        }
        let Some(endpoint) = self.endpoint(submit.endpoint) else {
            return refuse(RefusalReason::UnknownEndpoint, 0);
        };
        if self.is_draining(&endpoint) {
            return refuse(RefusalReason::Leaving, 0);
        }
        let queued = self.with_replica(&endpoint, |replica| self.enqueue(replica, &submit));
        match queued {
            Ok(()) => {
                let pending = PendingRequest {
                    pieces: Cell::new(submit.resume_from),
                    sender: sender.clone(),
                    endpoint: endpoint.id,
                    stop_reason: Cell::new(None),
                    stopped: Notify::new(),
                    recorded: RefCell::default(),
                    recorded_bytes: self.node.peers.hold(),
                    queued_at_ms: unix_time_ms(),
                    _guard: self.node.track_running(),
                    submit,
                };
                self.pending.borrow_mut().insert(id, Rc::new(pending));
                self.process_queue(endpoint.id);
            }
            Err((reason, load)) => {
                self.node
                    .metrics
                    .refusals
                    .with_label_values(&[refusal_label(reason)])
                    .inc();
                refuse(reason, load);
            }
        }
    }

    fn enqueue(&self, replica: &mut Replica, submit: &Submit) -> Result<(), (RefusalReason, u64)> {
        let now = self.node.now();
        let load = load_of(&replica.queue, submit.class);
        if !submit.force && load >= submit.load_bound {
            return Err((RefusalReason::OverBound, load));
        }
        let within = match submit.class {
            Class::Online => submit.start_within_ms,
            Class::Batch => submit.start_within_ms.max(MIN_BATCH_START_WITHIN_MS),
        };
        let request = Request {
            id: submit.id,
            customer: submit.customer,
            class: submit.class,
            cost: submit.cost,
            start_by: now.plus(within),
            may_repeat: submit.idempotent,
        };
        replica.queue.submit(now, request).map_err(|refused| {
            let reason = match refused {
                Rejection::WouldWait(ms) => RefusalReason::WouldWait(ms),
                Rejection::Full(ms) => RefusalReason::Full(ms),
                Rejection::Leaving => RefusalReason::Leaving,
                Rejection::Duplicate => RefusalReason::Duplicate,
            };
            (reason, load)
        })
    }

    /// Returns whether an endpoint takes no new work, according to the
    /// instance list, an operator's drain or the endpoint's own responses.
    fn is_draining(&self, endpoint: &Endpoint) -> bool {
        let drained = self.node.config.borrow().drained().contains(&endpoint.id);
        let now = self.node.now();
        let replicas = self.replicas.borrow();
        let reported = replicas
            .get(&endpoint.id)
            .and_then(|replica| replica.draining_since);
        let reported = reported.is_some_and(|since| now.since(since) < DRAINING_RESPONSE_MS);
        endpoint.leaving || drained || reported
    }

    /// Records that an endpoint said in a response that it is draining.
    pub fn mark_draining(&self, endpoint: EndpointId) {
        let now = self.node.now();
        let mut replicas = self.replicas.borrow_mut();
        let Some(replica) = replicas.get_mut(&endpoint) else {
            return;
        };
        let before = replica.draining_since.replace(now);
        if before.is_none_or(|before| now.since(before) >= DRAINING_RESPONSE_MS) {
            event!(ENDPOINT_LEAVING, endpoint: = endpoint);
        }
    }

    /// Carries out the actions that are due in a replica's queue.
    pub fn process_queue(&self, endpoint: EndpointId) {
        loop {
            let now = self.node.now();
            let mut replicas = self.replicas.borrow_mut();
            let Some(replica) = replicas.get_mut(&endpoint) else {
                return;
            };
            let Some(action) = replica.queue.next_action(now) else {
                return;
            };
            drop(replicas);
            match action {
                Action::Start(request) => self.start_attempt(request.id),
                Action::Preempt(id) => self.preempt(id),
                Action::Expire(request) => self.refuse_queued(request.id, RefusalReason::Expired),
            }
        }
    }

    fn start_attempt(&self, id: RequestId) {
        let pending = self.pending.borrow().get(&id).cloned();
        let (Some(pending), Some(dispatcher)) = (pending, self.weak_self.upgrade()) else {
            return;
        };
        actix_rt::spawn(Attempt::new(dispatcher, pending).run());
    }

    fn preempt(&self, id: RequestId) {
        if let Some(pending) = self.pending.borrow().get(&id) {
            event!(BATCH_PREEMPTED, id: = id);
            pending.stop_reason.set(Some(StopReason::Preempt));
            pending.stopped.notify_one();
        }
    }

    fn refuse_queued(&self, id: RequestId, reason: RefusalReason) {
        let Some(pending) = self.pending.borrow_mut().remove(&id) else {
            return;
        };
        let attempt = pending.submit.attempt;
        let load = self.load(pending.endpoint, pending.submit.class);
        // Pieces beyond `resume_from` mean that the request ran in part before
        // it was preempted.
        let message = if pending.pieces.get() > pending.submit.resume_from {
            crate::request::failed_message(&pending, "given up after it was preempted")
        } else {
            FromServer::Refused {
                id,
                attempt,
                reason,
                load,
            }
        };
        pending.sender.send(message);
    }

    /// Puts a preempted request back into its queue.
    pub fn requeue(&self, pending: &PendingRequest) {
        self.node
            .metrics
            .preemptions
            .with_label_values(&["all"])
            .inc();
        pending.stop_reason.set(None);
        if let Some(replica) = self.replicas.borrow_mut().get_mut(&pending.endpoint) {
            replica.queue.requeue_preempted(pending.submit.id);
        }
        self.process_queue(pending.endpoint);
    }

    /// Removes a request that was completed, failed, refused or cancelled, and
    /// sends its final message if there is one.
    pub fn finish(&self, pending: &PendingRequest, message: Option<FromServer>) {
        self.pending.borrow_mut().remove(&pending.submit.id);
        if let Some(replica) = self.replicas.borrow_mut().get_mut(&pending.endpoint) {
            replica.queue.remove(pending.submit.id);
        }
        if let Some(message) = message {
            self.cache_response(pending, &message);
            pending.sender.send(message);
        }
        self.process_queue(pending.endpoint);
    }

    /// Caches a complete response to a request with an idempotency key.
    fn cache_response(&self, pending: &PendingRequest, message: &FromServer) {
        let FromServer::End {
            finish,
            prompt_tokens,
            ..
        } = message
        else {
            return;
        };
        // A resumed response is incomplete here: its start was relayed by an
        // earlier attempt.
        if !pending.submit.keyed || pending.submit.resume_from > 0 {
            return;
        }
        let mut recorded = pending.recorded.take();
        if recorded.is_incomplete {
            return;
        }
        recorded.finish.clone_from(finish);
        recorded.prompt_tokens = *prompt_tokens;
        self.response_cache
            .borrow_mut()
            .insert(self.node.now(), pending.submit.id, recorded);
    }

    /// Returns whether the API key that a request was sent with has been
    /// withdrawn.
    pub fn is_key_withdrawn(&self, submit: &Submit) -> bool {
        let Some(hash) = &submit.key else {
            return false;
        };
        let is_withdrawn_by_gossip = self.node.membership.borrow().is_withdrawn(hash);
        is_withdrawn_by_gossip || self.node.config.borrow().is_withdrawn(hash)
    }

    /// Returns a replica's load as it counts for a priority class.
    pub fn load(&self, endpoint: EndpointId, class: Class) -> u64 {
        let replicas = self.replicas.borrow();
        replicas
            .get(&endpoint)
            .map_or(0, |replica| load_of(&replica.queue, class))
    }

    /// Records the time between two tokens of a stream at a replica.
    pub fn observe_step(&self, endpoint: EndpointId, step_us: u64) {
        if let Some(replica) = self.replicas.borrow_mut().get_mut(&endpoint) {
            replica.queue.observe_step(step_us);
        }
    }

    fn cancel(&self, id: RequestId, attempt: Option<u32>) {
        let pending = self.pending.borrow().get(&id).cloned();
        let Some(pending) = pending else {
            return;
        };
        if attempt.is_some_and(|attempt| attempt != pending.submit.attempt) {
            return;
        }
        pending.stop_reason.set(Some(StopReason::Cancel));
        pending.stopped.notify_one();
        self.finish(&pending, None);
    }

    /// Refuses the queued requests of endpoints that are draining or no longer
    /// listed.
    fn refuse_queued_on_draining(&self) {
        let endpoints: Vec<EndpointId> = self.replicas.borrow().keys().copied().collect();
        for id in endpoints {
            let is_draining = self
                .endpoint(id)
                .is_none_or(|endpoint| self.is_draining(&endpoint));
            let queued = match self.replicas.borrow_mut().get_mut(&id) {
                Some(replica) => replica.queue.set_leaving(is_draining),
                None => Vec::new(),
            };
            for request in queued {
                self.refuse_queued(request.id, RefusalReason::Leaving);
            }
            self.process_queue(id);
        }
    }
}

/// Checks all queues periodically for requests whose start deadline has passed
/// and for endpoints that are draining, and updates the state metrics.
async fn poll_queues(dispatcher: Rc<Dispatcher>) {
    loop {
        sleep(QUEUE_POLL_INTERVAL).await;
        dispatcher.refuse_queued_on_draining();
        let pending = dispatcher.pending.borrow().len();
        dispatcher.node.metrics.set_state("requests", pending);
        dispatcher
            .node
            .metrics
            .set_state("replicas", dispatcher.replicas.borrow().len());
    }
}

fn load_of(queue: &ReplicaQueue, class: Class) -> u64 {
    match class {
        Class::Online => queue.online_load() as u64,
        Class::Batch => queue.load() as u64,
    }
}

const fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::WouldWait(_) => "would_wait",
        RefusalReason::Full(_) => "full",
        RefusalReason::OverBound => "over_bound",
        RefusalReason::Leaving => "leaving",
        RefusalReason::UnknownEndpoint => "unknown_endpoint",
        RefusalReason::Duplicate => "duplicate",
        RefusalReason::Unreachable => "unreachable",
        RefusalReason::Expired => "expired",
        RefusalReason::Stopping => "stopping",
        RefusalReason::KeyWithdrawn => "key_withdrawn",
        RefusalReason::LogUnavailable => "log_unavailable",
    }
}

impl PeerHandler for Dispatcher {
    fn handle(&self, sender: &PeerSender, message: ToServer) {
        match message {
            ToServer::Submit(submit) => self.submit(sender, *submit),
            ToServer::Cancel { id, attempt } => self.cancel(id, Some(attempt)),
            ToServer::Draw {
                seq,
                customer,
                want,
            } => {
                let draw = self.shares.grant_tokens(&self.node, customer, want);
                sender.send(FromServer::Drawn { seq, draw });
            }
            // Messages for other roles are ignored; the sender's call times
            // out.
            _ => {}
        }
    }

    fn closed(&self, _sender: &PeerSender) {
        let gone: Vec<RequestId> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, pending)| pending.sender.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.cancel(id, None);
        }
    }
}
