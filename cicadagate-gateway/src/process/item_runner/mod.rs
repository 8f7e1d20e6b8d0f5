/*!
Items of batch jobs that run on this instance.

A planner checks the index and the load many times a second, and starts and
pauses items as [`batch_share`](cicadagate_policy::process::batch_share)
decides. The output of an item is kept in memory while the item runs or is
paused, and saved to the store periodically, so that another instance can resume
from there. A complete output is written to the store before the index refers to
it.

* `held`: tells why open items wait although a slot is free.
* `open_jobs`: the open jobs of each service.
* `run`: runs an item, with retries, until it has a result.
* `results`: writes results and outputs to the store.
*/

mod held;
mod open_jobs;
mod results;
mod run;

use {
    self::open_jobs::{JobUse, OpenJobs, UsableServices, job_use},
    super::{Gateway, memory::HeldResponse, reachability::pick_member},
    actix_rt::time::{sleep, timeout},
    bytes::Bytes,
    cicadagate_node::{clock::unix_time_ms, event},
    cicadagate_policy::{
        ids::{EndpointId, ItemRunId, MemberId, ServiceId, SoftwareVersion},
        process::{
            batch_share::{
                Plan, Slots, deadline_in_ms, fill_percent, plan, plan_interval_ms, runner,
            },
            demand_swing::{
                DemandSwing, ItemLimits, MAX_FRESH_PERIOD_MS, Running, free_slot_queries,
                plan_by_limits,
            },
            item_order::{self, OpenItem, RunRate},
            item_scan::{ServiceItems, scan},
            membership::Health,
            reports::{InFlight, period_ms},
            stalled_items::FrontItems,
        },
        request::sse::EventSequencer,
        time::Time,
        version::job_index::{ItemRef, ItemState, Job, JobIndex},
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap, HashSet},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Shortest delay before a preempted item is started again, in milliseconds: a
/// load peak lasts longer, and each start makes the engine process the prompt
/// again.
const RESTART_DELAY_MS: u64 = 150;
/// Time between two samples of the services' online load, in milliseconds: several in
/// each bucket of [`DemandSwing`].
const LOAD_SAMPLE_INTERVAL_MS: u64 = 200;
/// Time after a preemption during which new runs leave a slot free, in
/// milliseconds.
const RESERVE_AFTER_PREEMPTION_MS: u64 = 1000;
/// Clock skew between instances that is allowed for, in milliseconds: an
/// instance whose clock is ahead must not abandon an item early.
const MAX_CLOCK_SKEW_MS: u64 = 5_000;
/// Most items that are abandoned by one plan, beside those that run here. The others are
/// left to the next plans.
const MAX_ABANDONED_PER_PLAN: usize = 500;
/// Least delay between the start and the first plan, in milliseconds: before
/// the other members are known, each process would assign all items to itself.
const MIN_STARTUP_DELAY_MS: u64 = 700;
/// Time between two checks whether the other members have been read from the store.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for saving outputs at shutdown.
const HAND_OFF_TIMEOUT: Duration = Duration::from_secs(2);

/// Request of a batch item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemContent {
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl ItemContent {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns what is invalid.
    pub fn decode(content: &[u8]) -> Result<Self, String> {
        postcard::from_bytes(content).map_err(|err| err.to_string())
    }
}

/// Partial output of an item.
struct PartialOutput {
    data: Vec<u8>,
    /// The memory reserved for the output.
    held: HeldResponse,
    sequencer: EventSequencer,
    /// Version of the replicas' software that wrote it, once there is an event.
    version: Option<SoftwareVersion>,
    events: u64,
    saved_events: u64,
    /// Time for which replicas have run the item for this process, in
    /// milliseconds.
    ran_ms: u64,
    /// Whether all of it was received by this process.
    is_whole: bool,
}

impl PartialOutput {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            data: Vec::new(),
            held: HeldResponse::new(gateway),
            sequencer: EventSequencer::default(),
            version: None,
            events: 0,
            saved_events: 0,
            ran_ms: 0,
            is_whole: true,
        }
    }

    /// Updates the account of memory for the output and `partial` bytes of an event; returns
    /// whether they may be held.
    fn resize_held(&mut self, id: &str, partial: usize) -> bool {
        self.held.resize(id, self.data.len() + partial)
    }
}

struct ItemRun {
    stop: Rc<Notify>,
    is_stopping: Cell<bool>,
    /// Whether the item has its result, which is being written. Another run would only
    /// repeat it.
    is_settled: Cell<bool>,
    /// Run that is or was in progress last; the default id if none was sent.
    id: Cell<ItemRunId>,
    /// Replica that runs the item, if any.
    endpoint: Cell<Option<EndpointId>>,
    /// Time since which the replica runs the item.
    since: Cell<Time>,
}

/// Batch items that run or are paused on this instance.
#[derive(Default)]
pub struct ItemRunner {
    runs: RefCell<HashMap<ItemRef, Rc<ItemRun>>>,
    outputs: RefCell<HashMap<ItemRef, PartialOutput>>,
    /// Runs of each item that this process has seen fail.
    failures: RefCell<HashMap<ItemRef, Vec<ItemRunId>>>,
    /// Replica at which each item was preempted last.
    last_replicas: RefCell<HashMap<ItemRef, EndpointId>>,
    /// Time before which a preempted item must not be started again.
    restart_after: RefCell<HashMap<ItemRef, Time>>,
    /// Time of runs, by service.
    run_rates: RefCell<HashMap<String, RunRate>>,
    /// Time of the last preemption, by service.
    last_preemptions: RefCell<HashMap<String, Time>>,
    is_handing_off: Cell<bool>,
    /// Recent online load, by service.
    swings: RefCell<HashMap<String, DemandSwing>>,
    /// Services with more open items than the troughs of their online load leave slots for.
    backlogs: RefCell<HashSet<String>>,
    /// Replicas that an online request of a service asks for a free slot only.
    free_slot_queries: RefCell<HashMap<String, usize>>,
    /// Time of the last sample of the online load.
    load_sampled: Cell<Option<Time>>,
    /// Items at the front of the order, by service.
    front: RefCell<HashMap<String, FrontItems>>,
    /// Items that wait beside a free slot.
    held: held::HeldItems,
}

impl ItemRunner {
    /// Returns the items that run on this instance.
    #[must_use]
    pub fn running(&self) -> Vec<ItemRef> {
        self.runs.borrow().keys().copied().collect()
    }

    fn run_rate(&self, service: &str) -> RunRate {
        let rates = self.run_rates.borrow();
        rates.get(service).copied().unwrap_or_default()
    }

    fn stop(&self, item: ItemRef) {
        if let Some(run) = self.runs.borrow().get(&item) {
            run.is_stopping.set(true);
            run.stop.notify_one();
        }
    }

    /// Stops an item that is to run later, unless it has its result.
    fn pause(&self, item: ItemRef) {
        let is_settled = {
            let runs = self.runs.borrow();
            runs.get(&item).is_some_and(|run| run.is_settled.get())
        };
        if !is_settled {
            self.stop(item);
        }
    }

    /// Returns the limits on a service's items; `None` if its load does not vary enough
    /// or the reports are fresh.
    fn limits(&self, gateway: &Gateway, service: &str, slots: Slots) -> Option<ItemLimits> {
        let swings = self.swings.borrow();
        let period_ms = period_ms(gateway.member_count());
        swings.get(service)?.limits(gateway.now(), slots, period_ms)
    }

    /// Returns the number of events that an item's output has grown by since it was saved.
    fn unsaved_events(&self, item: ItemRef) -> u64 {
        let outputs = self.outputs.borrow();
        outputs.get(&item).map_or(0, |output| {
            output.events.saturating_sub(output.saved_events)
        })
    }

    /// Returns the items of this process that wait for a slot.
    fn waiting(&self) -> HashSet<ItemRef> {
        let runs = self.runs.borrow();
        let waiting = runs.iter().filter(|(_, run)| run.endpoint.get().is_none());
        waiting.map(|(item, _)| *item).collect()
    }

    /// Pauses an item at a replica: the cheapest one where online load swings, otherwise
    /// the one that comes last in the order.
    pub fn preempt_item(&self, gateway: &Gateway, endpoint: EndpointId) {
        let service = {
            let replicas = gateway.replicas.borrow();
            let replica = replicas.get(endpoint);
            replica.map(|replica| replica.registration.service.clone())
        };
        let swings = service
            .as_deref()
            .is_some_and(|service| self.swings(gateway, service));
        let has_backlog = service
            .as_deref()
            .is_some_and(|service| self.backlogs.borrow().contains(service));
        let item = {
            let now_ms = unix_time_ms();
            let runs = self.runs.borrow();
            let at_replica = runs
                .iter()
                .filter(|(_, run)| run.endpoint.get() == Some(endpoint) && !run.is_stopping.get())
                .map(|(item, _)| *item);
            let rate = service
                .as_deref()
                .map_or_else(RunRate::default, |service| self.run_rate(service));
            let index = gateway.jobs.index.borrow();
            let elsewhere = HashSet::new();
            let open =
                |item: ItemRef| open_item(gateway, index.job(item.job)?, item, rate, &elsewhere);
            let items = at_replica.filter_map(open);
            let chosen = if swings {
                items
                    .min_by_key(|open| open.preemption_rank(self.unsaved_events(open.item), now_ms))
            } else {
                items.max_by_key(|open| open.rank(now_ms))
            };
            chosen.map(|open| open.item)
        };
        if let Some(item) = item {
            event!(ITEM_PAUSED, item: = ItemName(item), endpoint: = endpoint);
            let now = gateway.now();
            if let Some(service) = service {
                self.last_preemptions.borrow_mut().insert(service, now);
            }
            // Until the reports of all members show a peak, the item would be preempted
            // again. With a backlog, throughput decides.
            let delay_ms = if swings && !has_backlog {
                RESTART_DELAY_MS.max(period_ms(gateway.member_count()))
            } else {
                RESTART_DELAY_MS
            };
            self.restart_after
                .borrow_mut()
                .insert(item, now.plus(delay_ms));
            self.last_replicas.borrow_mut().insert(item, endpoint);
            self.stop(item);
        }
    }

    /// Returns whether the online load of a service swings and the reports are too old to
    /// follow it.
    fn swings(&self, gateway: &Gateway, service: &str) -> bool {
        let swings = self.swings.borrow();
        let estimate = swings.get(service).and_then(DemandSwing::estimate);
        estimate.is_some_and(|swing| {
            let period_ms = period_ms(gateway.member_count());
            swing.applies(gateway.total_slots(service), period_ms)
        })
    }

    /// Returns how many replicas an online request of a service asks for a free slot only,
    /// before it may preempt an item.
    #[must_use]
    pub fn free_slot_queries(&self, service: &str) -> usize {
        let queries = self.free_slot_queries.borrow();
        queries.get(service).copied().unwrap_or_default()
    }

    /// Returns the number of slots of a replica that a new run must leave free, so that an
    /// item is not started where the next online request of its service would preempt it.
    fn reserve(&self, now: Time, service: &str) -> u32 {
        let is_recent = |at: &Time| now.since(*at) < RESERVE_AFTER_PREEMPTION_MS;
        let last_preemptions = self.last_preemptions.borrow();
        u32::from(last_preemptions.get(service).is_some_and(is_recent))
    }

    /// Saves all outputs and, if that succeeded, stops the items, so that other
    /// instances resume them.
    pub(super) async fn hand_off(&self, gateway: &Rc<Gateway>) {
        self.is_handing_off.set(true);
        let saved = timeout(HAND_OFF_TIMEOUT, results::save_grown_outputs(gateway, 1)).await;
        if matches!(saved, Ok(true)) {
            for item in self.running() {
                self.pause(item);
            }
        }
    }
}

/// Plans items and saves outputs until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>) {
    actix_rt::spawn(results::save_periodically(Rc::clone(&gateway)));
    let started = gateway.now();
    sleep(Duration::from_millis(MIN_STARTUP_DELAY_MS)).await;
    while gateway.members_read_at.get().is_none() {
        sleep(MEMBERS_POLL_INTERVAL).await;
    }
    // Processes that start at the same moment read the store before all of them are listed
    // there; those that are listed later contact the others.
    let read_ms = gateway
        .members_read_at
        .get()
        .map_or(0, |read_at| read_at.since(started));
    let settled = started.plus(read_ms + read_ms.min(MIN_STARTUP_DELAY_MS));
    sleep(Duration::from_millis(settled.since(gateway.now()))).await;
    // Until all members have reported, their running items are not known.
    let reported_ms = period_ms(gateway.member_count()).saturating_sub(MIN_STARTUP_DELAY_MS);
    sleep(Duration::from_millis(reported_ms)).await;
    let mut took_ms = 0;
    loop {
        sleep(Duration::from_millis(plan_interval_ms(took_ms))).await;
        let started = gateway.now();
        stop_finished_items(&gateway);
        if gateway.is_ready() && !gateway.item_runner.is_handing_off.get() {
            plan_all(&gateway);
        }
        took_ms = gateway.now().since(started);
    }
}

/// Stops items that have a result, and drops the state kept for them.
fn stop_finished_items(gateway: &Rc<Gateway>) {
    let index = gateway.jobs.index.borrow();
    for item in gateway.item_runner.running() {
        if !index.is_item_open(item) {
            gateway.item_runner.stop(item);
        }
    }
    let mut outputs = gateway.item_runner.outputs.borrow_mut();
    outputs.retain(|item, _| index.is_item_open(*item));
    let mut last_replicas = gateway.item_runner.last_replicas.borrow_mut();
    last_replicas.retain(|item, _| index.is_item_open(*item));
    let mut restart_after = gateway.item_runner.restart_after.borrow_mut();
    restart_after.retain(|item, _| index.is_item_open(*item));
    let mut failures = gateway.item_runner.failures.borrow_mut();
    failures.retain(|item, _| index.is_item_open(*item));
}

fn plan_all(gateway: &Rc<Gateway>) {
    let Some(config) = gateway.current_config() else {
        return;
    };
    let now = gateway.now();
    sample_load(gateway, now);
    let here: HashSet<ItemRef> = gateway.item_runner.running().into_iter().collect();
    let waiting = gateway.item_runner.waiting();
    let elsewhere = gateway.reports.borrow().items_running_elsewhere(now);
    let now_ms = unix_time_ms();
    let index = gateway.jobs.index.borrow();
    let known_set = known_items(gateway, &index, &here, &elsewhere);
    let mut routes = HashMap::new();
    let usable = UsableServices::new(gateway);
    let mut by_service: BTreeMap<&str, OpenJobs<'_>> = BTreeMap::new();
    let mut to_abandon = Vec::new();
    let mut open = 0;
    for job in index.open_jobs() {
        match job_use(&config, &mut routes, job, now_ms) {
            JobUse::Abandon => {
                let room = MAX_ABANDONED_PER_PLAN.saturating_sub(to_abandon.len());
                to_abandon.extend(job.open_items().take(room));
            }
            JobUse::Run(route) => {
                open += job.open_count();
                open_jobs::add(&mut by_service, &usable, job, route);
            }
            JobUse::Wait => {}
        }
    }
    for item in &known_set {
        let job = index.job(item.job).filter(|_| index.is_item_open(*item));
        let Some(job) = job else {
            continue;
        };
        match job_use(&config, &mut routes, job, now_ms) {
            JobUse::Abandon if here.contains(item) => to_abandon.push(*item),
            JobUse::Run(route) => {
                let service = usable.service_of(route, job, *item);
                let jobs = service.map(|service| by_service.entry(service).or_default());
                if let Some(jobs) = jobs {
                    jobs.known.push((job, *item));
                }
            }
            JobUse::Abandon | JobUse::Wait => {}
        }
    }
    gateway.metrics.set_state("items_open", open);
    gateway.metrics.set_state("items_here", here.len());
    gateway
        .metrics
        .set_state("items_elsewhere", elsewhere.len());
    let members = working_members(gateway);
    gateway.metrics.set_state("members_working", members.len());
    for item in to_abandon {
        stop_or_abandon(gateway, item, &members, &here);
    }
    let mut front = gateway.item_runner.front.borrow_mut();
    front.retain(|service, _| by_service.contains_key(service.as_str()));
    drop(front);
    let round = Round {
        now,
        now_ms,
        index: &index,
        here: &here,
        waiting: &waiting,
        elsewhere: &elsewhere,
        known_set: &known_set,
        usable: &usable,
    };
    let mut totals = Totals::default();
    for (service, jobs) in by_service {
        plan_service(gateway, &round, service, &jobs, &members, &mut totals);
    }
    let Totals {
        examined,
        stalled,
        backlogs,
        held_ms,
    } = totals;
    gateway.metrics.set_state("items_examined", examined);
    gateway.metrics.set_state("items_stalled", stalled);
    gateway.item_runner.backlogs.replace(backlogs);
    gateway.item_runner.held.finish(gateway, &held_ms);
}

/// What the plans of all services share.
struct Round<'a> {
    now: Time,
    /// Time since the Unix epoch, in milliseconds.
    now_ms: u64,
    index: &'a JobIndex,
    /// Items that run or wait here.
    here: &'a HashSet<ItemRef>,
    /// Items of `here` that wait for a slot.
    waiting: &'a HashSet<ItemRef>,
    /// Items that run or wait at other members.
    elsewhere: &'a HashSet<ItemRef>,
    /// Items that run or wait for a slot, or have output.
    known_set: &'a HashSet<ItemRef>,
    usable: &'a UsableServices,
}

/// Figures of the plans of all services.
#[derive(Default)]
struct Totals<'a> {
    examined: usize,
    stalled: usize,
    /// Services with more open items than the troughs of their load leave slots for.
    backlogs: HashSet<String>,
    /// For how long the items of each service have been held, in milliseconds.
    held_ms: Vec<(&'a str, u64)>,
}

/// Starts and pauses the items of a service. `members` are the members that accept work.
fn plan_service<'a>(
    gateway: &Rc<Gateway>,
    round: &Round<'_>,
    service: &'a str,
    jobs: &OpenJobs<'_>,
    members: &[MemberId],
    totals: &mut Totals<'a>,
) {
    let &Round {
        now,
        now_ms,
        here,
        waiting,
        elsewhere,
        ..
    } = round;
    let members = members_for(gateway, service, members);
    let deadline_in_ms = first_deadline_in_ms(&jobs.jobs, now_ms);
    let service_slots = slots(gateway, service, deadline_in_ms);
    let rate = gateway.item_runner.run_rate(service);
    let items = ServiceItems {
        jobs: &jobs.jobs,
        known: &jobs.known,
        known_set: round.known_set,
    };
    let scan = scan(
        &items,
        service_slots.total as usize,
        now_ms,
        |job, item| jobs.has_item(round.usable, service, job, item),
        |tokens| rate.estimate_ms(tokens),
        |job, item| open_item(gateway, job, item, rate, elsewhere),
    );
    totals.examined += scan.examined;
    let mut items = scan.items;
    item_order::sort(&mut items, now_ms);
    let for_batch = service_slots.for_batch();
    let stalled = note_front(gateway, round, service, for_batch, &items);
    totals.stalled += stalled;
    let slots = for_batch + stalled;
    gateway.metrics.set_state("batch_slots", slots);
    let view = held::View {
        service,
        slots: service_slots,
        for_batch: slots,
        items: &items,
        members: &members,
    };
    let held_ms = held::note(gateway, round, &view);
    totals.held_ms.push((service, held_ms));
    let limits = gateway.item_runner.limits(gateway, service, service_slots);
    let limits = limits.map(|limits| limits.with_further(stalled));
    let me = gateway.member_id;
    let plan = if let Some(limits) = limits {
        let running = Running {
            here,
            waiting,
            elsewhere,
        };
        let open_count = jobs.open_count(round.usable, service);
        if limits.has_backlog(open_count) {
            totals.backlogs.insert(service.to_owned());
        }
        plan_by_limits(limits, &items, open_count, now_ms, &running, me, &members)
    } else {
        let ordered = items.iter().map(|open| open.item);
        plan(slots, ordered, here, elsewhere, me, &members)
    };
    carry_out(gateway, plan, slots, now);
}

/// Notes the items at the front of a service's order; returns how many of them are stalled.
fn note_front(
    gateway: &Gateway,
    round: &Round<'_>,
    service: &str,
    slots: usize,
    items: &[OpenItem],
) -> usize {
    let outputs = gateway.item_runner.outputs.borrow();
    let known_events = |item: ItemRef| {
        let own = outputs.get(&item).map_or(0, |output| output.events);
        let job = round.index.job(item.job);
        let state = job.and_then(|job| job.state(item.index));
        let saved = match state {
            Some(ItemState::Open(Some(progress))) => progress.last_event + 1,
            _ => 0,
        };
        own.max(saved)
    };
    let mut front = gateway.item_runner.front.borrow_mut();
    let front = front.entry(service.to_owned()).or_default();
    let ordered = items
        .iter()
        .map(|open| (open.item, known_events(open.item)));
    front.note(round.now, slots, ordered)
}

/// Returns the items that run or wait for a slot, or have output.
fn known_items(
    gateway: &Gateway,
    index: &JobIndex,
    here: &HashSet<ItemRef>,
    elsewhere: &HashSet<ItemRef>,
) -> HashSet<ItemRef> {
    let outputs = gateway.item_runner.outputs.borrow();
    let known = here.iter().chain(elsewhere).chain(outputs.keys());
    known.copied().chain(index.saved_items()).collect()
}

/// Pauses and starts the items of a plan.
fn carry_out(gateway: &Rc<Gateway>, plan: Plan, slots: usize, now: Time) {
    for item in plan.pause {
        event!(ITEM_PAUSED, item: = ItemName(item), slots);
        gateway.item_runner.pause(item);
    }
    for item in plan.start {
        let restart_after = gateway
            .item_runner
            .restart_after
            .borrow()
            .get(&item)
            .copied();
        if restart_after.is_none_or(|until| until <= now) {
            start(gateway, item);
        }
    }
}

/// Adds a sample of the online load of each service, if members' reports are too old to
/// follow it.
fn sample_load(gateway: &Gateway, now: Time) {
    let runner = &gateway.item_runner;
    if period_ms(gateway.member_count()) <= MAX_FRESH_PERIOD_MS {
        runner.swings.borrow_mut().clear();
        runner.free_slot_queries.borrow_mut().clear();
        return;
    }
    let is_recent = |at| now.since(at) < LOAD_SAMPLE_INTERVAL_MS;
    if runner.load_sampled.get().is_some_and(is_recent) {
        return;
    }
    runner.load_sampled.set(Some(now));
    let services: Vec<String> = {
        let replicas = gateway.replicas.borrow();
        replicas.services().map(str::to_owned).collect()
    };
    runner
        .swings
        .borrow_mut()
        .retain(|service, _| services.contains(service));
    let mut free_slot_queries_by_service = HashMap::new();
    for service in services {
        let load = fleet_load_of(gateway, &service);
        {
            let mut swings = runner.swings.borrow_mut();
            let swing = swings.entry(service.clone()).or_default();
            swing.note(now, load.online);
        }
        if runner.swings(gateway, &service) {
            let queries = free_slot_queries(load.total(), gateway.total_slots(&service));
            free_slot_queries_by_service.insert(service, queries);
        }
    }
    runner
        .free_slot_queries
        .replace(free_slot_queries_by_service);
}

/// Returns the load of all replicas of a service that are not draining.
fn fleet_load_of(gateway: &Gateway, service: &str) -> InFlight {
    let replicas = gateway.replicas.borrow();
    let loads = replicas
        .replicas_of(service)
        .map(|replica| gateway.fleet_load(replica.endpoint));
    loads.fold(InFlight::default(), |sum, load| InFlight {
        online: sum.online + load.online,
        batch: sum.batch + load.batch,
    })
}

/// Returns what this process knows of an item of a job; `None` if the item has a
/// result. `rate` is the run rate of the item's service.
fn open_item(
    gateway: &Gateway,
    job: &Job,
    item: ItemRef,
    rate: RunRate,
    elsewhere: &HashSet<ItemRef>,
) -> Option<OpenItem> {
    let ItemState::Open(progress) = job.state(item.index)? else {
        return None;
    };
    let runner = &gateway.item_runner;
    let runs = runner.runs.borrow();
    let outputs = runner.outputs.borrow();
    let run = runs.get(&item).filter(|run| run.endpoint.get().is_some());
    let has_output = progress.is_some() || outputs.contains_key(&item);
    let is_elsewhere = elsewhere.contains(&item);
    let whole_run_ms = rate.estimate_ms(job.item(item.index)?.tokens);
    let own_ms = outputs.get(&item).map_or(0, |output| output.ran_ms)
        + run.map_or(0, |run| gateway.now().since(run.since.get()));
    // How much others have run it is not known.
    let others_ms = if progress.is_some() || is_elsewhere {
        whole_run_ms / 2
    } else {
        0
    };
    Some(OpenItem {
        item,
        due_ms: job.submission.due_ms,
        remaining_ms: whole_run_ms.saturating_sub(own_ms.max(others_ms)),
        is_started: run.is_some() || has_output || is_elsewhere,
    })
}

fn working_members(gateway: &Gateway) -> Vec<MemberId> {
    let now = gateway.now();
    let members = gateway.members.borrow();
    let reports = gateway.reports.borrow();
    let mut working: Vec<MemberId> = members
        .members()
        .filter(|(info, health)| *health <= Health::Suspect && reports.is_working(now, info))
        .map(|(info, _)| info.id)
        .collect();
    working.push(gateway.member_id);
    working
}

/// Returns the members that may run items of a service: those that are not cut off from
/// it, or all if all are.
fn members_for(gateway: &Gateway, service: &str, working: &[MemberId]) -> Vec<MemberId> {
    let now = gateway.now();
    let is_cut_off = gateway.is_cut_off(service);
    let cut_off = gateway.cut_off_members.borrow();
    let service = ServiceId::of(service);
    let reaches = |member: &MemberId| {
        if *member == gateway.member_id {
            !is_cut_off
        } else {
            !cut_off.is_cut_off(now, *member, service)
        }
    };
    let reaching: Vec<MemberId> = working.iter().copied().filter(reaches).collect();
    if reaching.is_empty() {
        working.to_vec()
    } else {
        reaching
    }
}

/// Saves the outputs of a service's items and stops the items, so that members which
/// reach the service run them.
pub(super) async fn leave_to_others(gateway: Rc<Gateway>, service: String) {
    let _ = timeout(HAND_OFF_TIMEOUT, results::save_grown_outputs(&gateway, 1)).await;
    let Some(config) = gateway.current_config() else {
        return;
    };
    if !gateway.is_cut_off(&service) || pick_member(&gateway, &service, &[]).is_none() {
        return;
    }
    let usable = UsableServices::new(&gateway);
    let index = gateway.jobs.index.borrow();
    for item in gateway.item_runner.running() {
        let job = index.job(item.job);
        let used = job.and_then(|job| {
            let route = config.route_by_name(&job.submission.route)?;
            usable.service_of(route, job, item)
        });
        if used == Some(service.as_str()) {
            event!(ITEM_PAUSED, item: = ItemName(item), reason = "replicas can't be reached");
            gateway.item_runner.pause(item);
        }
    }
}

/// Returns the time until the first deadline of a job, `u64::MAX` if there is none.
fn first_deadline_in_ms(jobs: &[&Job], now_ms: u64) -> u64 {
    let deadlines = jobs.iter().map(|job| {
        let submission = &job.submission;
        deadline_in_ms(submission.due_ms, submission.give_up_ms, now_ms)
    });
    deadlines.min().unwrap_or(u64::MAX)
}

/// Returns the slots that items of a service may use. Slots and online requests are those of
/// the same replicas: requests at one that this process can't use take no slots of others.
fn slots(gateway: &Gateway, service: &str, first_deadline_in_ms: u64) -> Slots {
    let replicas = gateway.replicas.borrow();
    let counted = replicas.counted(gateway.now(), service);
    let online = counted
        .iter()
        .map(|replica| gateway.fleet_load(replica.endpoint).online);
    // An item occupies a slot for longer than an online request, so that a rate that
    // bounds those leaves slots to items. Starts of items are bounded by the rate.
    let total = counted.iter().map(|replica| replica.registration.slots);
    Slots {
        total: total.fold(0, u32::saturating_add),
        online: online.fold(0, u32::saturating_add),
        fill_percent: fill_percent(first_deadline_in_ms),
    }
}

/// Handles an item whose route was removed or whose job's `give_up_ms` has
/// passed: stops it if it runs here, and otherwise abandons it if this member
/// would be assigned it.
fn stop_or_abandon(
    gateway: &Rc<Gateway>,
    item: ItemRef,
    members: &[MemberId],
    here: &HashSet<ItemRef>,
) {
    let is_assigned_here = runner(item, members) == Some(gateway.member_id);
    if here.contains(&item) {
        gateway.item_runner.stop(item);
    } else if is_assigned_here {
        let run = register_run(gateway, item);
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            results::abandon(&gateway, item, "route removed or time over").await;
            unregister_run(&gateway, item, &run);
        });
    }
}

fn register_run(gateway: &Rc<Gateway>, item: ItemRef) -> Rc<ItemRun> {
    let run = Rc::new(ItemRun {
        stop: Rc::new(Notify::new()),
        is_stopping: Cell::new(false),
        is_settled: Cell::new(false),
        id: Cell::default(),
        endpoint: Cell::new(None),
        since: Cell::default(),
    });
    gateway
        .item_runner
        .runs
        .borrow_mut()
        .insert(item, Rc::clone(&run));
    run
}

fn unregister_run(gateway: &Rc<Gateway>, item: ItemRef, run: &Rc<ItemRun>) {
    let mut runs = gateway.item_runner.runs.borrow_mut();
    if runs.get(&item).is_some_and(|known| Rc::ptr_eq(known, run)) {
        runs.remove(&item);
    }
}

fn start(gateway: &Rc<Gateway>, item: ItemRef) {
    event!(ITEM_ASSIGNED, item: = ItemName(item));
    let run = register_run(gateway, item);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let stop = Rc::clone(&run.stop);
        let running = run::run_item(&gateway, item, &run);
        tokio::select! {
            () = running => {}
            () = stop.notified() => {}
        }
        unregister_run(&gateway, item, &run);
    });
}

/// Display of an item in logs.
struct ItemName(ItemRef);

impl std::fmt::Display for ItemName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.0.job, self.0.index)
    }
}
