//! The simulation of the request tests: callers on one side, owners of replicas
//! with their queues and engines on the other, and frames in transit between
//! them.

mod op;

pub use op::Op;

use {
    super::support::{Counts, Simulation},
    cicadagate_policy::{
        ids::{CustomerId, RequestId},
        process::{
            replica_queue::{Action, Class, Config, Rejection, ReplicaQueue, Request},
            shutdown::{ADDRESS_TTL_MS, Phase},
        },
        request::attempt::{Attempts, FrameAction, Progress, RetryBudget, RetryDecision},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Number of owners, each with one replica.
pub const OWNERS: usize = 2;
/// Number of customers.
pub const CUSTOMERS: usize = 3;
/// Number of pieces of a complete response.
const PIECES: u64 = 4;
/// Maximum number of consecutive actions of an owner.
const MAX_ACTIONS: u32 = 10_000;
/// Time within which an online request must start, in milliseconds.
const START_WITHIN_MS: u64 = 500;
/// Deadline of a request after its submission, in milliseconds.
const END_WITHIN_MS: u64 = 8_000;

/// The caller's side of a request.
struct CallerRequest {
    request: Request,
    idempotent: bool,
    attempts: Attempts,
    owner: usize,
    /// Pieces of the response that were passed on.
    received: Vec<u64>,
    result: Option<RetryDecision>,
    answered: bool,
}

/// An attempt that is queued or runs at an owner.
#[derive(Clone, Copy)]
struct PendingAttempt {
    request: RequestId,
    number: u32,
    /// Next piece to generate.
    next: u64,
    /// Whether the attempt was preempted before.
    resumed: bool,
    running: bool,
}

/// A frame in transit to the caller's side.
#[derive(Clone, Copy)]
struct Frame {
    request: RequestId,
    number: u32,
    body: FrameBody,
}

/// The content of a frame.
#[derive(Clone, Copy)]
enum FrameBody {
    /// Index and value of a piece of the response.
    Piece(u64, u64),
    /// End marker, with the number of pieces.
    End(u64),
    /// The attempt was refused and has not run.
    Refused,
    /// The attempt failed and may have run.
    Failed,
}

/// The process that queues the requests of one replica.
struct Owner {
    queue: ReplicaQueue,
    pending: BTreeMap<RequestId, PendingAttempt>,
    draining: bool,
    phase: Phase,
    exited: bool,
}

/// Requests of callers, owners and frames in transit.
pub struct RequestSimulation {
    now: Time,
    owners: Vec<Owner>,
    callers: BTreeMap<RequestId, CallerRequest>,
    frames: Vec<Frame>,
    /// Number of times that an engine started a request; resuming a preempted
    /// one does not count.
    runs: BTreeMap<RequestId, u64>,
    budget: RetryBudget,
    next_id: u64,
    counts: Counts,
}

fn request_id(number: u64) -> RequestId {
    RequestId::of(&format!("request {number}"))
}

/// Returns piece `index` of the correct response to a request.
fn expected_piece(request: RequestId, index: u64) -> u64 {
    u64::from(request.0[0]) * 1000 + index
}

fn new_owner() -> Owner {
    let cfg = Config {
        max_running: 2,
        reserve: 0,
        tokens_per_sec: 20,
        priorities: true,
    };
    Owner {
        queue: ReplicaQueue::new(cfg),
        pending: BTreeMap::new(),
        draining: false,
        phase: Phase::default(),
        exited: false,
    }
}

impl Simulation for RequestSimulation {
    type Op = Op;

    fn new() -> Self {
        Self {
            now: Time(10_000),
            owners: (0..OWNERS).map(|_| new_owner()).collect(),
            callers: BTreeMap::new(),
            frames: Vec::new(),
            runs: BTreeMap::new(),
            budget: RetryBudget::default(),
            next_id: 0,
            counts: Counts::new(),
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Advance(ms) => {
                self.now = self.now.plus(u64::from(ms));
                for owner in 0..OWNERS {
                    self.run_actions(owner)?;
                }
            }
            Op::Submit {
                customer,
                class,
                idempotent,
            } => {
                self.submit(customer, class, idempotent)?;
            }
            Op::GenerateTokens(owner) => self.generate_tokens(owner)?,
            Op::BreakStream(owner) => self.break_stream(owner)?,
            Op::Deliver(index) => self.deliver(index, false)?,
            Op::DeliverCopy(index) => self.deliver(index, true)?,
            Op::LoseConnection(index) => self.lose_connection(index),
            Op::Misdeliver(index) => self.misdeliver(index)?,
            Op::CrashOwner(owner) => self.crash_owner(owner)?,
            Op::StartDraining(owner) => self.start_draining(owner)?,
            Op::StopDraining(owner) => {
                self.owners[owner].draining = false;
                self.owners[owner].queue.set_leaving(false);
            }
            Op::StopOwner(owner) => self.stop_owner(owner),
            Op::RestartOwner(owner) => {
                if self.owners[owner].exited {
                    self.owners[owner] = new_owner();
                }
            }
        }
        self.exit_stopped()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl RequestSimulation {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn submit(&mut self, customer: usize, class: Class, idempotent: bool) -> Result<(), String> {
        self.next_id += 1;
        let id = request_id(self.next_id);
        let within = if class == Class::Online {
            START_WITHIN_MS
        } else {
            END_WITHIN_MS
        };
        let request = Request {
            id,
            customer: CustomerId::of(&format!("c{customer}")),
            class,
            cost: PIECES,
            start_by: self.now.plus(within),
            may_repeat: idempotent,
        };
        let deadline = self.now.plus(END_WITHIN_MS);
        let owner = usize::from(id.0[0]) % OWNERS;
        let caller = CallerRequest {
            request,
            idempotent,
            attempts: Attempts::new(idempotent, deadline),
            owner,
            received: Vec::new(),
            result: None,
            answered: false,
        };
        self.callers.insert(id, caller);
        self.budget.note_request();
        self.start_attempt(id)
    }

    fn start_attempt(&mut self, id: RequestId) -> Result<(), String> {
        let Some(caller) = self.callers.get_mut(&id) else {
            return Ok(());
        };
        let number = caller.attempts.begin();
        caller.owner = (caller.owner + 1) % OWNERS;
        let (owner, request, from) = (caller.owner, caller.request, caller.attempts.relayed());
        if self.owners[owner].exited {
            caller.attempts.mark_failed(Progress::NotSent);
            return self.decide(id);
        }
        caller.attempts.mark_sent();
        let refuse = !self.owners[owner].phase.is_advertised();
        let result = if refuse {
            Err(Rejection::Leaving)
        } else {
            self.owners[owner].queue.submit(self.now, request)
        };
        if result.is_err() {
            self.count("refused on arrival");
            self.frames.push(Frame {
                request: id,
                number,
                body: FrameBody::Refused,
            });
            return Ok(());
        }
        let pending = PendingAttempt {
            request: id,
            number,
            next: from,
            resumed: false,
            running: false,
        };
        self.owners[owner].pending.insert(id, pending);
        self.run_actions(owner)
    }

    fn run_actions(&mut self, owner: usize) -> Result<(), String> {
        let mut left = MAX_ACTIONS;
        while let Some(action) = self.owners[owner].queue.next_action(self.now) {
            left -= 1;
            if left == 0 {
                return Err(format!("owner {owner} produces actions without end"));
            }
            match action {
                Action::Start(request) => self.start(owner, request)?,
                Action::Preempt(id) => {
                    self.count("preempted");
                    if let Some(pending) = self.owners[owner].pending.get_mut(&id) {
                        pending.running = false;
                        pending.resumed = true;
                    }
                    self.owners[owner].queue.requeue_preempted(id);
                }
                Action::Expire(request) => {
                    self.count("expired in queue");
                    self.refuse(owner, request.id);
                }
            }
        }
        Ok(())
    }

    /// Refuses a queued request, or fails it if it has run in part.
    fn refuse(&mut self, owner: usize, id: RequestId) {
        if let Some(pending) = self.owners[owner].pending.remove(&id) {
            let body = if pending.resumed {
                FrameBody::Failed
            } else {
                FrameBody::Refused
            };
            self.frames.push(Frame {
                request: id,
                number: pending.number,
                body,
            });
        }
    }

    fn start(&mut self, owner: usize, request: Request) -> Result<(), String> {
        let Some(pending) = self.owners[owner].pending.get_mut(&request.id) else {
            self.owners[owner].queue.remove(request.id);
            return Ok(());
        };
        pending.running = true;
        let (id, resumed) = (pending.request, pending.resumed);
        if self.owners[owner].draining {
            return Err(format!(
                "owner {owner} started work for a draining endpoint"
            ));
        }
        let submitted = &self.callers[&id].request;
        if submitted.customer != request.customer {
            return Err("a request ran for another customer".to_owned());
        }
        if request.class == Class::Batch && self.has_waiting_online(owner) {
            return Err("batch work started while online work waited".to_owned());
        }
        self.count(if request.class == Class::Online {
            "started online"
        } else {
            "started batch"
        });
        if resumed {
            self.count("resumed batch");
            if !self.callers[&id].idempotent {
                return Err("a request that is not idempotent was sent again".to_owned());
            }
            return Ok(());
        }
        let runs = self.runs.entry(id).or_insert(0);
        *runs += 1;
        if *runs > 1 && !self.callers[&id].idempotent {
            return Err("a request that is not idempotent ran twice".to_owned());
        }
        Ok(())
    }

    fn has_waiting_online(&self, owner: usize) -> bool {
        self.owners[owner].pending.values().any(|pending| {
            !pending.running && self.callers[&pending.request].request.class == Class::Online
        })
    }

    /// Generates one token for each running stream.
    fn generate_tokens(&mut self, owner: usize) -> Result<(), String> {
        let running: Vec<PendingAttempt> = self.owners[owner]
            .pending
            .values()
            .filter(|pending| pending.running)
            .copied()
            .collect();
        for pending in running {
            let id = pending.request;
            let body = FrameBody::Piece(pending.next, expected_piece(id, pending.next));
            self.frames.push(Frame {
                request: id,
                number: pending.number,
                body,
            });
            let next = pending.next + 1;
            if next >= PIECES {
                let body = FrameBody::End(PIECES);
                self.frames.push(Frame {
                    request: id,
                    number: pending.number,
                    body,
                });
                self.owners[owner].pending.remove(&id);
                self.owners[owner].queue.remove(id);
            } else if let Some(pending) = self.owners[owner].pending.get_mut(&id) {
                pending.next = next;
            }
            self.owners[owner].queue.observe_step(10_000);
        }
        self.run_actions(owner)
    }

    fn break_stream(&mut self, owner: usize) -> Result<(), String> {
        let running = self.owners[owner]
            .pending
            .values()
            .find(|pending| pending.running)
            .copied();
        if let Some(pending) = running {
            self.count("stream broken");
            self.owners[owner].pending.remove(&pending.request);
            self.owners[owner].queue.remove(pending.request);
            let frame = Frame {
                request: pending.request,
                number: pending.number,
                body: FrameBody::Failed,
            };
            self.frames.push(frame);
        }
        self.run_actions(owner)
    }

    fn deliver(&mut self, index: usize, is_copy: bool) -> Result<(), String> {
        if self.frames.is_empty() {
            return Ok(());
        }
        let index = index % self.frames.len();
        let frame = if is_copy {
            self.count("frame duplicated");
            self.frames[index]
        } else {
            self.frames.remove(index)
        };
        self.receive(frame)
    }

    fn lose_connection(&mut self, index: usize) {
        if !self.frames.is_empty() {
            let index = index % self.frames.len();
            // A connection loses its end, never its middle: every frame of the
            // attempt that is still in transit is lost.
            let lost = self.frames[index];
            self.frames
                .retain(|frame| (frame.request, frame.number) != (lost.request, lost.number));
            self.frames.push(Frame {
                body: FrameBody::Failed,
                ..lost
            });
            self.count("connection lost");
        }
    }

    /// Delivers a copy of a frame to the caller of another request, as a frame
    /// of that request's previous attempt.
    fn misdeliver(&mut self, index: usize) -> Result<(), String> {
        if self.frames.is_empty() {
            return Ok(());
        }
        let frame = self.frames[index % self.frames.len()];
        let other = self.callers.iter().find(|(id, caller)| {
            **id != frame.request && caller.result.is_none() && !caller.answered
        });
        let Some((id, caller)) = other else {
            return Ok(());
        };
        // Frames name their request, so only a frame of an earlier attempt can
        // be mistaken for the current one.
        let number = caller.attempts.number().saturating_sub(1);
        let body = match frame.body {
            FrameBody::Piece(index, _) => FrameBody::Piece(index, 999_999),
            other => other,
        };
        self.receive(Frame {
            request: *id,
            number,
            body,
        })
    }

    fn receive(&mut self, frame: Frame) -> Result<(), String> {
        let Some(caller) = self.callers.get_mut(&frame.request) else {
            return Ok(());
        };
        if caller.result.is_some() || caller.answered {
            self.count("frame late");
            return Ok(());
        }
        let current = caller.attempts.number();
        match frame.body {
            FrameBody::Piece(index, value) => {
                match caller.attempts.accept_piece(frame.number, index) {
                    FrameAction::Pass => {
                        caller.received.push(value);
                        Ok(())
                    }
                    FrameAction::Drop => Ok(()),
                    FrameAction::Gap => self.fail(frame.request, Progress::MaybeRun),
                }
            }
            FrameBody::End(pieces) => {
                if caller.attempts.accept_end(frame.number, pieces) {
                    return self.finish_response(frame.request);
                }
                if frame.number == current {
                    return self.fail(frame.request, Progress::MaybeRun);
                }
                Ok(())
            }
            // The transport distinguishes attempts by number.
            FrameBody::Refused if frame.number == current => {
                self.fail(frame.request, Progress::NotSent)
            }
            FrameBody::Failed if frame.number == current => {
                if caller.attempts.is_complete_at_close() {
                    return self.finish_response(frame.request);
                }
                self.fail(frame.request, Progress::MaybeRun)
            }
            FrameBody::Refused | FrameBody::Failed => Ok(()),
        }
    }

    fn finish_response(&mut self, id: RequestId) -> Result<(), String> {
        let Some(caller) = self.callers.get_mut(&id) else {
            return Ok(());
        };
        caller.answered = true;
        let expected: Vec<u64> = (0..PIECES).map(|index| expected_piece(id, index)).collect();
        if caller.received != expected {
            return Err(format!(
                "a response is {:?}, expected {expected:?}",
                caller.received
            ));
        }
        let is_retried = caller.attempts.number() > 1;
        self.count("answered");
        if is_retried {
            self.count("answered over two attempts");
        }
        Ok(())
    }

    fn fail(&mut self, id: RequestId, progress: Progress) -> Result<(), String> {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.attempts.mark_failed(progress);
        }
        // The attempt is cancelled at its owner if it is still queued or
        // running.
        for owner in 0..OWNERS {
            if self.owners[owner].pending.remove(&id).is_some() {
                self.owners[owner].queue.remove(id);
            }
        }
        self.decide(id)
    }

    fn decide(&mut self, id: RequestId) -> Result<(), String> {
        let Some(caller) = self.callers.get_mut(&id) else {
            return Ok(());
        };
        let verdict = caller.attempts.decide(self.now, &mut self.budget);
        if verdict == RetryDecision::Retry {
            return self.start_attempt(id);
        }
        caller.result = Some(verdict);
        let runs = self.runs.get(&id).copied().unwrap_or(0);
        if verdict == RetryDecision::NotRun {
            self.count("reported not run");
            if runs > 0 {
                return Err("a request that ran is reported as not run".to_owned());
            }
        } else {
            self.count("reported maybe run");
        }
        Ok(())
    }

    fn crash_owner(&mut self, owner: usize) -> Result<(), String> {
        self.count("owner crashed");
        let lost: Vec<RequestId> = self.owners[owner].pending.keys().copied().collect();
        self.owners[owner] = new_owner();
        // Frames in transit are lost with the connections.
        self.frames.retain(|frame| !lost.contains(&frame.request));
        for id in lost {
            self.fail(id, Progress::MaybeRun)?;
        }
        Ok(())
    }

    fn start_draining(&mut self, owner: usize) -> Result<(), String> {
        self.count("draining");
        self.owners[owner].draining = true;
        for request in self.owners[owner].queue.set_leaving(true) {
            self.refuse(owner, request.id);
        }
        self.run_actions(owner)
    }

    fn stop_owner(&mut self, owner: usize) {
        self.count("stopping");
        self.owners[owner].phase = self.owners[owner].phase.stop(self.now);
    }

    fn exit_stopped(&mut self) -> Result<(), String> {
        for owner in 0..OWNERS {
            let running = self.owners[owner].pending.len();
            let state = &mut self.owners[owner];
            if !state.exited && state.phase.may_exit(self.now, ADDRESS_TTL_MS, running) {
                if running > 0 {
                    return Err(format!(
                        "owner {owner} exited with {running} unfinished requests"
                    ));
                }
                state.exited = true;
                self.count("exited");
            }
        }
        Ok(())
    }
}
