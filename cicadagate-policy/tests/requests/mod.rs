//! The simulation of the request tests: callers on one side, homes with their
//! queues and engines on the other, and frames in transit between them.

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

/// Number of homes, each with one replica.
pub const HOMES: usize = 2;
/// Number of customers.
pub const CUSTOMERS: usize = 3;
/// Number of pieces of a complete answer.
const PIECES: u64 = 4;
/// Maximum number of consecutive actions of a home.
const MAX_ACTIONS: u32 = 10_000;
/// Time within which an online request must start, in milliseconds.
const START_WITHIN_MS: u64 = 500;
/// Deadline of a request after its submission, in milliseconds.
const END_WITHIN_MS: u64 = 8_000;

/// A request on the caller's side.
struct Caller {
    request: Request,
    idempotent: bool,
    attempts: Attempts,
    home: usize,
    /// Pieces of the answer that were passed on.
    received: Vec<u64>,
    result: Option<RetryDecision>,
    answered: bool,
}

/// An attempt that is queued or runs at a home.
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
    /// Index and value of a piece of the answer.
    Piece(u64, u64),
    /// End mark, with the number of pieces.
    End(u64),
    /// The attempt was refused and has not run.
    Refused,
    /// The attempt failed and may have run.
    Failed,
}

/// A home: the process that queues the requests of one replica.
struct Home {
    queue: ReplicaQueue,
    pending: BTreeMap<RequestId, PendingAttempt>,
    leaving: bool,
    phase: Phase,
    exited: bool,
}

/// Callers, homes and frames in transit.
pub struct RequestSimulation {
    now: Time,
    homes: Vec<Home>,
    callers: BTreeMap<RequestId, Caller>,
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

/// Returns piece `index` of the correct answer to a request.
fn expected_piece(request: RequestId, index: u64) -> u64 {
    u64::from(request.0[0]) * 1000 + index
}

fn new_home() -> Home {
    let cfg = Config {
        max_running: 2,
        reserve: 0,
        tokens_per_sec: 20,
        priorities: true,
    };
    Home {
        queue: ReplicaQueue::new(cfg),
        pending: BTreeMap::new(),
        leaving: false,
        phase: Phase::default(),
        exited: false,
    }
}

impl Simulation for RequestSimulation {
    type Op = Op;

    fn new() -> Self {
        Self {
            now: Time(10_000),
            homes: (0..HOMES).map(|_| new_home()).collect(),
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
                for home in 0..HOMES {
                    self.run_actions(home)?;
                }
            }
            Op::Submit {
                customer,
                class,
                idempotent,
            } => {
                self.submit(customer, class, idempotent)?;
            }
            Op::GenerateTokens(home) => self.generate_tokens(home)?,
            Op::BreakStream(home) => self.break_stream(home)?,
            Op::Deliver(index) => self.deliver(index, false)?,
            Op::DeliverCopy(index) => self.deliver(index, true)?,
            Op::LoseConnection(index) => self.lose_connection(index),
            Op::Misdeliver(index) => self.misdeliver(index)?,
            Op::CrashHome(home) => self.crash_home(home)?,
            Op::StartLeaving(home) => self.start_leaving(home)?,
            Op::StopLeaving(home) => {
                self.homes[home].leaving = false;
                self.homes[home].queue.set_leaving(false);
            }
            Op::StopHome(home) => self.stop_home(home),
            Op::RestartHome(home) => {
                if self.homes[home].exited {
                    self.homes[home] = new_home();
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
        };
        let deadline = self.now.plus(END_WITHIN_MS);
        let home = usize::from(id.0[0]) % HOMES;
        let caller = Caller {
            request,
            idempotent,
            attempts: Attempts::new(idempotent, deadline),
            home,
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
        caller.home = (caller.home + 1) % HOMES;
        let (home, request, from) = (caller.home, caller.request, caller.attempts.relayed());
        if self.homes[home].exited {
            caller.attempts.mark_failed(Progress::NotSent);
            return self.decide(id);
        }
        caller.attempts.mark_sent();
        let refuse = !self.homes[home].phase.is_advertised();
        let result = if refuse {
            Err(Rejection::Leaving)
        } else {
            self.homes[home].queue.submit(self.now, request)
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
        self.homes[home].pending.insert(id, pending);
        self.run_actions(home)
    }

    fn run_actions(&mut self, home: usize) -> Result<(), String> {
        let mut left = MAX_ACTIONS;
        while let Some(action) = self.homes[home].queue.next_action(self.now) {
            left -= 1;
            if left == 0 {
                return Err(format!("home {home} produces actions without end"));
            }
            match action {
                Action::Start(request) => self.start(home, request)?,
                Action::Preempt(id) => {
                    self.count("preempted");
                    if let Some(pending) = self.homes[home].pending.get_mut(&id) {
                        pending.running = false;
                        pending.resumed = true;
                    }
                    self.homes[home].queue.requeue_preempted(id);
                }
                Action::Expire(request) => {
                    self.count("expired in queue");
                    self.refuse(home, request.id);
                }
            }
        }
        Ok(())
    }

    /// Refuses a queued request, or fails it if it has run in part.
    fn refuse(&mut self, home: usize, id: RequestId) {
        if let Some(pending) = self.homes[home].pending.remove(&id) {
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

    fn start(&mut self, home: usize, request: Request) -> Result<(), String> {
        let Some(pending) = self.homes[home].pending.get_mut(&request.id) else {
            self.homes[home].queue.remove(request.id);
            return Ok(());
        };
        pending.running = true;
        let (id, resumed) = (pending.request, pending.resumed);
        if self.homes[home].leaving {
            return Err(format!("home {home} started work for a leaving endpoint"));
        }
        let submitted = &self.callers[&id].request;
        if submitted.customer != request.customer {
            return Err("a request ran for another customer".to_owned());
        }
        if request.class == Class::Batch && self.has_waiting_online(home) {
            return Err("batch work started while online work waited".to_owned());
        }
        self.count(if request.class == Class::Online {
            "started online"
        } else {
            "started batch"
        });
        if resumed {
            self.count("resumed batch");
            return Ok(());
        }
        let runs = self.runs.entry(id).or_insert(0);
        *runs += 1;
        if *runs > 1 && !self.callers[&id].idempotent {
            return Err("a request that is not idempotent ran twice".to_owned());
        }
        Ok(())
    }

    fn has_waiting_online(&self, home: usize) -> bool {
        self.homes[home].pending.values().any(|pending| {
            !pending.running && self.callers[&pending.request].request.class == Class::Online
        })
    }

    /// Generates one token for each running stream.
    fn generate_tokens(&mut self, home: usize) -> Result<(), String> {
        let running: Vec<PendingAttempt> = self.homes[home]
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
                self.homes[home].pending.remove(&id);
                self.homes[home].queue.remove(id);
            } else if let Some(pending) = self.homes[home].pending.get_mut(&id) {
                pending.next = next;
            }
            self.homes[home].queue.observe_step(10_000);
        }
        self.run_actions(home)
    }

    fn break_stream(&mut self, home: usize) -> Result<(), String> {
        let running = self.homes[home]
            .pending
            .values()
            .find(|pending| pending.running)
            .copied();
        if let Some(pending) = running {
            self.count("stream broken");
            self.homes[home].pending.remove(&pending.request);
            self.homes[home].queue.remove(pending.request);
            let frame = Frame {
                request: pending.request,
                number: pending.number,
                body: FrameBody::Failed,
            };
            self.frames.push(frame);
        }
        self.run_actions(home)
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

    /// Delivers a copy of a frame to the caller of another request, as a frame of
    /// that request's previous attempt.
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
                    return self.finish_answer(frame.request);
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
                    return self.finish_answer(frame.request);
                }
                self.fail(frame.request, Progress::MaybeRun)
            }
            FrameBody::Refused | FrameBody::Failed => Ok(()),
        }
    }

    fn finish_answer(&mut self, id: RequestId) -> Result<(), String> {
        let Some(caller) = self.callers.get_mut(&id) else {
            return Ok(());
        };
        caller.answered = true;
        let expected: Vec<u64> = (0..PIECES).map(|index| expected_piece(id, index)).collect();
        if caller.received != expected {
            return Err(format!(
                "an answer is {:?}, expected {expected:?}",
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
        // The attempt is cancelled at its home if it is still queued or running.
        for home in 0..HOMES {
            if self.homes[home].pending.remove(&id).is_some() {
                self.homes[home].queue.remove(id);
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

    fn crash_home(&mut self, home: usize) -> Result<(), String> {
        self.count("home crashed");
        let lost: Vec<RequestId> = self.homes[home].pending.keys().copied().collect();
        self.homes[home] = new_home();
        // Frames in transit are lost with the connections.
        self.frames.retain(|frame| !lost.contains(&frame.request));
        for id in lost {
            self.fail(id, Progress::MaybeRun)?;
        }
        Ok(())
    }

    fn start_leaving(&mut self, home: usize) -> Result<(), String> {
        self.count("leaving");
        self.homes[home].leaving = true;
        for request in self.homes[home].queue.set_leaving(true) {
            self.refuse(home, request.id);
        }
        self.run_actions(home)
    }

    fn stop_home(&mut self, home: usize) {
        self.count("stopping");
        self.homes[home].phase = self.homes[home].phase.stop(self.now);
    }

    fn exit_stopped(&mut self) -> Result<(), String> {
        for home in 0..HOMES {
            let running = self.homes[home].pending.len();
            let state = &mut self.homes[home];
            if !state.exited && state.phase.may_exit(self.now, ADDRESS_TTL_MS, running) {
                if running > 0 {
                    return Err(format!(
                        "home {home} exited with {running} unfinished requests"
                    ));
                }
                state.exited = true;
                self.count("exited");
            }
        }
        Ok(())
    }
}
