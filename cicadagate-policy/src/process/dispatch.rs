/*!
The queue of one replica at its home.

# Problem

Engines admit requests as they come and know no priority. So priority must
exist before them, in the one place that sends to the replica: its home.

# Choice

* Online work goes strictly before batch work.
* Inside each class, customers share by start-time fair queueing on estimated
  tokens: a request's start tag is the later of the queue's virtual time and
  its customer's last finish tag.
* An online request is refused at once when it would wait longer than it may,
  judged by the work before it in fair order, not by the queue's length.
* Batch work runs only in headroom. The home learns the engine's step time as
  a line over the number of running streams and lets in only so many batch
  streams that the predicted step stays within [`HARM_PERCENT`] of the step
  without batch and within the target between tokens.
* When online work arrives, the batch streams above that number are preempted
  at once. They go back to the head of their customer's queue with what they
  have received, to be resumed.

# Cost

An engine with few running online streams keeps some room unused that batch
could take at a small harm. [`HARM_PERCENT`] is that trade.
*/

use {
    crate::{
        ids::{CustomerId, RequestId},
        planted::{Fault, is_planted},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// How much batch work may lengthen the step of online work, in percent.
pub const HARM_PERCENT: u64 = 5;
/// Target time between tokens, in microseconds.
pub const TOKEN_GAP_TARGET_US: u64 = 49_000;
/// How long after an online request streams are kept free for the next, in
/// milliseconds.
pub const RESERVE_MS: u64 = 5_000;
/// Most requests in one queue, whatever they would wait.
pub const MAX_QUEUED: usize = 4_096;
/// Retry-after when the queue is full, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Class {
    /// A caller waits.
    Online,
    /// Due much later.
    Batch,
}

/// A request as the queue sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id.
    pub id: RequestId,
    /// Customer that it runs for.
    pub customer: CustomerId,
    /// Class.
    pub class: Class,
    /// Estimated work, in tokens.
    pub cost: u64,
    /// Time by which it must have started.
    pub start_by: Time,
}

/// Why a request was not queued. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It would start too late; come back after so many milliseconds.
    WouldWait(u64),
    /// The queue is full; come back after so many milliseconds.
    Full(u64),
    /// The endpoint gets no new work.
    Leaving,
    /// The same request is queued or running.
    Duplicate,
}

/// What the home should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the replica.
    Start(Request),
    /// Cancel the stream at the replica and keep what was received.
    Preempt(RequestId),
    /// Give the queued request up; it has not run.
    Expire(Request),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Queued {
    request: Request,
    start_tag: u64,
    order: u64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    preempted: bool,
}

/// Line of the engine's step time over the number of running streams.
#[derive(Clone, Copy, Debug)]
pub struct StepModel {
    weight: f64,
    mean_streams: f64,
    mean_us: f64,
    var_streams: f64,
    covariance: f64,
}

/// Weight that an observation keeps after the next one.
const STEP_DECAY: f64 = 0.995;

impl StepModel {
    /// Makes a model that has observed nothing.
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

    /// Takes one observed step: streams running and microseconds.
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

    /// Predicts the step in microseconds with so many streams.
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

    /// Tells whether anything was observed.
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
    /// Most streams at the replica at once. Default: 16.
    pub max_running: usize,
    /// Streams that batch work leaves free where online work came lately.
    /// Default: 1. An online request that finds no free stream waits until
    /// the engine has noticed a cancelled one, which may take a step more.
    pub reserve: usize,
    /// Estimated tokens that the replica generates a second. Default: 400.
    pub tokens_per_sec: u64,
    /// Strict priority, headroom and preemption. Default: true. Without it
    /// the queue is first come, first served, the baseline of experiments.
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

/// The queue of one replica and what runs there.
#[derive(Clone, Debug)]
pub struct Queue {
    cfg: Config,
    queued: BTreeMap<RequestId, Queued>,
    running: BTreeMap<RequestId, Running>,
    finish_tags: BTreeMap<(Class, CustomerId), u64>,
    virtual_time: [u64; 2],
    order: u64,
    steps: StepModel,
    last_online: Option<Time>,
    leaving: bool,
}

impl Queue {
    /// Makes an empty queue.
    #[must_use]
    pub const fn new(cfg: Config) -> Self {
        Self {
            cfg,
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            virtual_time: [0; 2],
            order: 0,
            steps: StepModel::new(),
            last_online: None,
            leaving: false,
        }
    }

    /// Sets whether the endpoint is leaving: what runs goes on, no new work.
    ///
    /// Returns the requests that were queued; none of them has run.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<Request> {
        self.leaving = leaving && !is_planted(Fault::IgnoreLeaving);
        if !self.leaving {
            return Vec::new();
        }
        std::mem::take(&mut self.queued)
            .into_values()
            .map(|queued| queued.request)
            .collect()
    }

    /// Queues a request or says why not.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal; the request has not run then.
    pub fn submit(&mut self, now: Time, request: Request) -> Result<(), Refused> {
        if self.leaving {
            return Err(Refused::Leaving);
        }
        if self.queued.contains_key(&request.id) || self.running.contains_key(&request.id) {
            return Err(Refused::Duplicate);
        }
        if self.queued.len() >= MAX_QUEUED {
            return Err(Refused::Full(FULL_RETRY_MS));
        }
        let start_tag = self.start_tag(&request);
        let wait_ms = self.wait_ms(&request, start_tag);
        let allowed = request.start_by.since(now);
        if request.class == Class::Online && wait_ms > allowed {
            return Err(Refused::WouldWait(wait_ms - allowed));
        }
        if request.class == Class::Online {
            self.last_online = Some(now);
        }
        self.insert(request, start_tag);
        Ok(())
    }

    fn insert(&mut self, request: Request, start_tag: u64) {
        self.order += 1;
        let finish = start_tag + request.cost.max(1);
        self.finish_tags
            .insert((request.class, request.customer), finish);
        let queued = Queued {
            request,
            start_tag,
            order: self.order,
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

    /// Estimated wait of a request with this start tag, in milliseconds.
    #[must_use]
    fn wait_ms(&self, request: &Request, start_tag: u64) -> u64 {
        let online = self.running_of(Class::Online);
        let before: Vec<&Queued> = self
            .queued
            .values()
            .filter(|other| other.request.class == request.class && other.start_tag <= start_tag)
            .collect();
        if online + before.len() < self.cfg.max_running {
            return 0;
        }
        let work: u64 = before.iter().map(|other| other.request.cost).sum();
        // Until one stream ends, about the mean work of a stream over the
        // streams that run beside each other.
        let head = request.cost / self.cfg.max_running.max(1) as u64;
        (work + head) * 1000 / self.cfg.tokens_per_sec.max(1)
    }

    /// Returns what to do now. Call it after each event and each time an
    /// action was carried out, until it returns nothing.
    pub fn next(&mut self, now: Time) -> Option<Action> {
        if let Some(expired) = self.expired(now) {
            return Some(Action::Expire(expired));
        }
        if let Some(id) = self.overrunning_batch(now) {
            return Some(Action::Preempt(id));
        }
        let chosen = self.choose(now)?;
        self.queued.remove(&chosen.request.id);
        if is_planted(Fault::CrossCustomers)
            && let Some(other) = self.queued.values().next()
        {
            let crossed = Request {
                customer: other.request.customer,
                ..chosen.request
            };
            return Some(Action::Start(crossed));
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

    fn expired(&mut self, now: Time) -> Option<Request> {
        let late = |queued: &&Queued| queued.request.start_by < now;
        let request = self.queued.values().find(late)?.request;
        self.queued.remove(&request.id);
        Some(request)
    }

    fn overrunning_batch(&mut self, now: Time) -> Option<RequestId> {
        if !self.cfg.priorities {
            return None;
        }
        let allowed = self.batch_allowance(now);
        let mut batch = self
            .running
            .values_mut()
            .filter(|running| running.request.class == Class::Batch && !running.preempted);
        let last = batch.next_back()?;
        let count = 1 + batch.count();
        if count <= allowed {
            return None;
        }
        let id = last.request.id;
        self.running.get_mut(&id)?.preempted = true;
        Some(id)
    }

    fn choose(&self, now: Time) -> Option<Queued> {
        // What is preempted frees its stream by the time that a new request
        // has reached the engine.
        let running = self
            .running
            .values()
            .filter(|running| !running.preempted)
            .count();
        if running >= self.cfg.max_running {
            return None;
        }
        let fair = |queued: &&Queued| (queued.start_tag, queued.order);
        if !self.cfg.priorities {
            return self
                .queued
                .values()
                .min_by_key(|queued| queued.order)
                .copied();
        }
        let of = |class| {
            self.queued
                .values()
                .filter(move |queued| queued.request.class == class)
        };
        if is_planted(Fault::BatchFirst) {
            let batch = of(Class::Batch).min_by_key(fair);
            return batch
                .or_else(|| of(Class::Online).min_by_key(fair))
                .copied();
        }
        let online = of(Class::Online).min_by_key(fair);
        if online.is_some() {
            return online.copied();
        }
        let room = self.running_of(Class::Batch) < self.batch_allowance(now);
        of(Class::Batch).min_by_key(fair).filter(|_| room).copied()
    }

    /// Number of batch streams that may run beside the present online work.
    #[must_use]
    pub fn batch_allowance(&self, now: Time) -> usize {
        let waiting = self
            .queued
            .values()
            .filter(|queued| queued.request.class == Class::Online)
            .count();
        let online = self.running_of(Class::Online) + waiting;
        if !self.cfg.priorities {
            return self.cfg.max_running;
        }
        let is_busy = self
            .last_online
            .is_some_and(|last| now.since(last) < RESERVE_MS);
        let reserve = if is_busy { self.cfg.reserve } else { 0 };
        let room = self.cfg.max_running.saturating_sub(online + reserve);
        if online == 0 {
            return room;
        }
        if !self.steps.is_known() {
            return 0;
        }
        #[expect(clippy::cast_precision_loss, reason = "small constants")]
        let (harm, target) = (
            (100 + HARM_PERCENT) as f64 / 100.0,
            TOKEN_GAP_TARGET_US as f64,
        );
        let limit = (self.steps.predict(online) * harm).min(target);
        (0..=room)
            .rev()
            .find(|batch| self.steps.predict(online + batch) <= limit)
            .unwrap_or(0)
    }

    /// Takes a request that was preempted back, to be resumed.
    pub fn requeue(&mut self, id: RequestId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let request = running.request;
        self.order += 1;
        // At the head of its customer's queue: it has waited for its turn.
        let start_tag = self.virtual_time[class_index(request.class)];
        self.queued.insert(
            id,
            Queued {
                request,
                start_tag,
                order: self.order,
            },
        );
    }

    /// Notes that a request ended or was cancelled, queued or running.
    pub fn finished(&mut self, id: RequestId) {
        self.running.remove(&id);
        self.queued.remove(&id);
        if self.queued.is_empty() {
            self.forget_idle();
        }
    }

    /// Drops finish tags that no longer matter, so that the state stays small.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish_tags
            .retain(|(class, _), finish| *finish > virtual_time[class_index(*class)]);
    }

    /// Notes a step of the engine: microseconds between two tokens.
    pub fn observe_step(&mut self, step_us: u64) {
        let streams = self.running.len();
        self.steps.observe(streams, step_us);
    }

    /// Returns the number of running requests of a class.
    #[must_use]
    pub fn running_of(&self, class: Class) -> usize {
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

    /// Returns running and queued online requests, as a measure of load.
    #[must_use]
    pub fn online_load(&self) -> usize {
        let queued = self
            .queued
            .values()
            .filter(|queued| queued.request.class == Class::Online)
            .count();
        queued + self.running_of(Class::Online)
    }

    /// Returns all running and queued requests, as a measure of load.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Returns the most streams at the replica at once.
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
