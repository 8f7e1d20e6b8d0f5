/*!
The request queue of one replica.

# Problem

Engines admit requests in order of arrival and have no priorities. Priorities
must be applied before a request reaches the engine, in the one process that
sends requests to the replica.

# Choice

* Online work has strict priority over batch work.
* Within each class, customers share by start-time fair queueing on estimated
  tokens: a request's start tag is the later of the queue's virtual time and
  its customer's last finish tag.
* An online request is refused at once if its estimated wait is longer than it
  allows. The estimate counts the work ahead of it in fair order, not the
  length of the queue.
* Batch work uses only headroom. The queue fits the engine's step time as a
  linear function of the number of running streams. While online work is
  present, it admits only as many batch streams as keep the predicted step
  at most [`MAX_STEP_SLOWDOWN_PERCENT`] percent longer than the step without
  batch work and within [`TOKEN_GAP_TARGET_US`].
* When online work arrives, the batch streams above that number are preempted
  at once. They return to the head of their customer's queue and resume later
  with the output that they have received.

# Cost

An engine with few online streams leaves some capacity idle that batch work
could use at a small cost to online latency. [`MAX_STEP_SLOWDOWN_PERCENT`] sets
that trade-off.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, RequestId},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// How much batch work may lengthen an engine step of online work, in percent.
pub const MAX_STEP_SLOWDOWN_PERCENT: u64 = 5;
/// Target time between two tokens of a stream, in microseconds.
pub const TOKEN_GAP_TARGET_US: u64 = 49_000;
/// How long after an online request [`Config::reserve`] streams are kept free
/// for the next one, in milliseconds.
pub const ONLINE_RESERVE_MS: u64 = 5_000;
/// Maximum number of requests in one queue, whatever their estimated wait.
pub const MAX_QUEUED: usize = 4_096;
/// Retry-after delay when the queue is full, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Class {
    /// A caller waits for the response.
    Online,
    /// An item of a batch job, due much later.
    Batch,
}

/// The fields of a request that the queue needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Customer that the request runs for.
    pub customer: CustomerId,
    /// Priority class.
    pub class: Class,
    /// Estimated work, in tokens.
    pub cost: u64,
    /// Latest time at which it may start.
    pub start_by: Time,
    /// Whether it may be sent to the replica again. A request that may not is
    /// never preempted.
    pub may_repeat: bool,
}

/// Why a request was not queued. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It would start too late; retry after this many milliseconds.
    WouldWait(u64),
    /// The queue is full; retry after this many milliseconds.
    Full(u64),
    /// The endpoint is draining and takes no new work.
    Leaving,
    /// A request with the same id is queued or running.
    Duplicate,
}

/// An action that the owner of the queue must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the replica.
    Start(Request),
    /// Cancel the stream at the replica and keep the output received so far.
    Preempt(RequestId),
    /// Drop the queued request, whose latest start has passed; it has not run.
    Expire(Request),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Queued {
    request: Request,
    start_tag: u64,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    preempted: bool,
}

/// Linear regression of the engine's step time on the number of running
/// streams, with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub struct StepModel {
    weight: f64,
    mean_streams: f64,
    mean_us: f64,
    var_streams: f64,
    covariance: f64,
}

/// Factor by which each new observation reduces the weight of earlier ones.
const STEP_DECAY: f64 = 0.995;

impl StepModel {
    /// Creates a model without observations.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            weight: 0.0,
            mean_streams: 0.0,
            mean_us: 0.0,
            var_streams: 0.0,
            covariance: 0.0,
        }
    }

    /// Adds an observed step of `step_us` microseconds with `streams` running.
    pub fn observe(&mut self, streams: usize, step_us: u64) {
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let (x, y) = (streams as f64, step_us as f64);
        self.weight = self.weight * STEP_DECAY + 1.0;
        let gain = 1.0 / self.weight;
        let (dx, dy) = (x - self.mean_streams, y - self.mean_us);
        self.mean_streams += gain * dx;
        self.mean_us += gain * dy;
        self.var_streams = (1.0 - gain) * (self.var_streams + gain * dx * dx);
        self.covariance = (1.0 - gain) * (self.covariance + gain * dx * dy);
    }

    /// Returns the predicted step time with `streams` running, in
    /// microseconds.
    #[must_use]
    pub fn predict(&self, streams: usize) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let x = streams as f64;
        let slope = if self.var_streams < 0.01 {
            0.0
        } else {
            (self.covariance / self.var_streams).max(0.0)
        };
        (self.mean_us + slope * (x - self.mean_streams)).max(0.0)
    }

    /// Returns whether there are enough observations for a prediction: more
    /// than eight.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight > 8.0
    }
}

impl Default for StepModel {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits of one replica's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Maximum number of concurrent streams at the replica. Default: 16.
    pub max_running: usize,
    /// Streams that batch work leaves free for [`ONLINE_RESERVE_MS`] after an
    /// online request, but for the only stream of a replica. Default: 1. An online
    /// request that finds no free stream waits until the engine has noticed a
    /// cancellation, which may take one more step.
    pub reserve: usize,
    /// Estimated throughput of the replica, in tokens per second. Default: 400.
    pub tokens_per_sec: u64,
    /// Enables strict priority, headroom and preemption. Default: true.
    /// Otherwise the queue is first come, first served, the baseline of
    /// experiments.
    pub priorities: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_running: 16,
            reserve: 1,
            tokens_per_sec: 400,
            priorities: true,
        }
    }
}

/// The queued and running requests of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaQueue {
    cfg: Config,
    queued: BTreeMap<RequestId, Queued>,
    running: BTreeMap<RequestId, Running>,
    finish_tags: BTreeMap<(Class, CustomerId), u64>,
    virtual_time: [u64; 2],
    sequence: u64,
    step_model: StepModel,
    last_online_at: Option<Time>,
    draining: bool,
}

impl ReplicaQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            virtual_time: [0; 2],
            sequence: 0,
            step_model: StepModel::new(),
            last_online_at: None,
            draining: false,
        }
    }

    /// Sets whether the endpoint is draining. Requests that run there continue;
    /// new ones are refused.
    ///
    /// Removes and returns the queued requests if it is draining; none of them
    /// has run.
    pub fn set_leaving(&mut self, draining: bool) -> Vec<Request> {
        self.draining = draining && !is_injected(Fault::IgnoreLeaving);
        if !self.draining {
            return Vec::new();
        }
        std::mem::take(&mut self.queued)
            .into_values()
            .map(|queued| queued.request)
            .collect()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused; it has not run.
    pub fn submit(&mut self, now: Time, request: Request) -> Result<(), Rejection> {
        if self.draining {
            return Err(Rejection::Leaving);
        }
        if self.queued.contains_key(&request.id) || self.running.contains_key(&request.id) {
            return Err(Rejection::Duplicate);
        }
        if self.queued.len() >= MAX_QUEUED {
            return Err(Rejection::Full(FULL_RETRY_MS));
        }
        let start_tag = self.start_tag(&request);
        let wait_ms = self.estimated_wait_ms(&request, start_tag);
        let allowed = request.start_by.since(now);
        if request.class == Class::Online && wait_ms > allowed {
            return Err(Rejection::WouldWait(wait_ms - allowed));
        }
        if request.class == Class::Online {
            self.last_online_at = Some(now);
        }
        self.insert(request, start_tag);
        Ok(())
    }

    fn insert(&mut self, request: Request, start_tag: u64) {
        self.sequence += 1;
        let finish = start_tag + request.cost.max(1);
        self.finish_tags
            .insert((request.class, request.customer), finish);
        let queued = Queued {
            request,
            start_tag,
            sequence: self.sequence,
        };
        self.queued.insert(request.id, queued);
    }

    fn start_tag(&self, request: &Request) -> u64 {
        let last = self
            .finish_tags
            .get(&(request.class, request.customer))
            .copied();
        self.virtual_time[class_index(request.class)].max(last.unwrap_or(0))
    }

    /// Returns the estimated wait of a request with this start tag, in
    /// milliseconds.
    #[must_use]
    fn estimated_wait_ms(&self, request: &Request, start_tag: u64) -> u64 {
        let online = self.running_count(Class::Online);
        let before: Vec<&Queued> = self
            .queued
            .values()
            .filter(|other| other.request.class == request.class && other.start_tag <= start_tag)
            .collect();
        if online + before.len() < self.cfg.max_running {
            return 0;
        }
        let work: u64 = before.iter().map(|other| other.request.cost).sum();
        // The next stream ends after about the work of one request divided by
        // the number of concurrent streams.
        let first_end = request.cost / self.cfg.max_running.max(1) as u64;
        (work + first_end) * 1000 / self.cfg.tokens_per_sec.max(1)
    }

    /// Returns the next action. Call this after each event and after each
    /// action that was carried out, until it returns `None`.
    pub fn next_action(&mut self, now: Time) -> Option<Action> {
        if let Some(expired) = self.take_expired(now) {
            return Some(Action::Expire(expired));
        }
        if let Some(id) = self.batch_to_preempt(now) {
            return Some(Action::Preempt(id));
        }
        let chosen = self.select(now)?;
        self.queued.remove(&chosen.request.id);
        if is_injected(Fault::RunForWrongCustomer)
            && let Some(other) = self.queued.values().next()
        {
            let wrong_customer = Request {
                customer: other.request.customer,
                ..chosen.request
            };
            return Some(Action::Start(wrong_customer));
        }
        let index = class_index(chosen.request.class);
        self.virtual_time[index] = self.virtual_time[index].max(chosen.start_tag);
        let running = Running {
            request: chosen.request,
            preempted: false,
        };
        self.running.insert(chosen.request.id, running);
        Some(Action::Start(chosen.request))
    }

    fn take_expired(&mut self, now: Time) -> Option<Request> {
        let is_late = |queued: &&Queued| queued.request.start_by < now;
        let request = self.queued.values().find(is_late)?.request;
        self.queued.remove(&request.id);
        Some(request)
    }

    fn batch_to_preempt(&mut self, now: Time) -> Option<RequestId> {
        if !self.cfg.priorities {
            return None;
        }
        if self.running_count(Class::Batch) <= self.batch_allowance(now) {
            return None;
        }
        let last = self.running.values_mut().rev().find(|running| {
            let request = running.request;
            request.class == Class::Batch && request.may_repeat && !running.preempted
        })?;
        last.preempted = true;
        Some(last.request.id)
    }

    fn select(&self, now: Time) -> Option<Queued> {
        // A preempted request frees its stream before a new request reaches
        // the engine.
        let running = self
            .running
            .values()
            .filter(|running| !running.preempted)
            .count();
        if running >= self.cfg.max_running {
            return None;
        }
        let fair_order = |queued: &&Queued| (queued.start_tag, queued.sequence);
        if !self.cfg.priorities {
            return self
                .queued
                .values()
                .min_by_key(|queued| queued.sequence)
                .copied();
        }
        let of_class = |class| {
            self.queued
                .values()
                .filter(move |queued| queued.request.class == class)
        };
        if is_injected(Fault::BatchFirst) {
            let batch = of_class(Class::Batch).min_by_key(fair_order);
            return batch
                .or_else(|| of_class(Class::Online).min_by_key(fair_order))
                .copied();
        }
        let online = of_class(Class::Online).min_by_key(fair_order);
        if online.is_some() {
            return online.copied();
        }
        let room = self.running_count(Class::Batch) < self.batch_allowance(now);
        of_class(Class::Batch)
            .min_by_key(fair_order)
            .filter(|_| room)
            .copied()
    }

    /// Returns the number of batch streams that may run beside the current
    /// online work.
    #[must_use]
    pub fn batch_allowance(&self, now: Time) -> usize {
        let waiting = self
            .queued
            .values()
            .filter(|queued| queued.request.class == Class::Online)
            .count();
        let online = self.running_count(Class::Online) + waiting;
        if !self.cfg.priorities {
            return self.cfg.max_running;
        }
        let is_busy = self
            .last_online_at
            .is_some_and(|last| now.since(last) < ONLINE_RESERVE_MS);
        let most = self.cfg.max_running.saturating_sub(1);
        let reserve = if is_busy {
            self.cfg.reserve.min(most)
        } else {
            0
        };
        let room = self.cfg.max_running.saturating_sub(online + reserve);
        if online == 0 {
            return room;
        }
        if !self.step_model.is_known() {
            return 0;
        }
        #[expect(clippy::cast_precision_loss, reason = "small constants")]
        let (slowdown, target) = (
            (100 + MAX_STEP_SLOWDOWN_PERCENT) as f64 / 100.0,
            TOKEN_GAP_TARGET_US as f64,
        );
        let limit = (self.step_model.predict(online) * slowdown).min(target);
        (0..=room)
            .rev()
            .find(|batch| self.step_model.predict(online + batch) <= limit)
            .unwrap_or(0)
    }

    /// Queues a preempted request again, to be resumed.
    pub fn requeue_preempted(&mut self, id: RequestId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let request = running.request;
        self.sequence += 1;
        // It has waited for its turn already, so it goes to the head of its
        // customer's queue.
        let start_tag = self.virtual_time[class_index(request.class)];
        self.queued.insert(
            id,
            Queued {
                request,
                start_tag,
                sequence: self.sequence,
            },
        );
    }

    /// Removes a request that has ended or was cancelled, queued or running.
    pub fn remove(&mut self, id: RequestId) {
        self.running.remove(&id);
        self.queued.remove(&id);
        if self.queued.is_empty() {
            self.drop_passed_finish_tags();
        }
    }

    /// Drops finish tags that the virtual time has passed, to bound the state.
    fn drop_passed_finish_tags(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish_tags
            .retain(|(class, _), finish| *finish > virtual_time[class_index(*class)]);
    }

    /// Records an engine step: the time between two tokens, in microseconds.
    pub fn observe_step(&mut self, step_us: u64) {
        let streams = self.running.len();
        self.step_model.observe(streams, step_us);
    }

    /// Returns the number of running requests of a class, without preempted
    /// ones.
    #[must_use]
    pub fn running_count(&self, class: Class) -> usize {
        self.running
            .values()
            .filter(|running| running.request.class == class && !running.preempted)
            .count()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of running and queued online requests, as a measure
    /// of load.
    #[must_use]
    pub fn online_load(&self) -> usize {
        let queued = self
            .queued
            .values()
            .filter(|queued| queued.request.class == Class::Online)
            .count();
        queued + self.running_count(Class::Online)
    }

    /// Returns the number of all running and queued requests, as a measure of
    /// load.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Returns the maximum number of concurrent streams at the replica.
    #[must_use]
    pub const fn max_running(&self) -> usize {
        self.cfg.max_running
    }
}

const fn class_index(class: Class) -> usize {
    match class {
        Class::Online => 0,
        Class::Batch => 1,
    }
}
