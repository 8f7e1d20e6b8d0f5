/*!
Items of jobs that run on this instance.

A planner looks at the index and the load every [`PLAN_EVERY`] and starts and
pauses items as [`batch_share`](cicadagate_policy::process::batch_share)
decides. An item's output is kept here while it runs or is paused, and saved
to the store now and then, so that another instance can go on from there. A
whole output is written to the store first and then named in the index.
*/

use {
    super::{
        Gateway, contents,
        slots::{Reply, ask},
    },
    crate::{
        connection::{Answer, Outgoing, Reuse},
        platform::StoreError,
        request::{endpoint_headers, is_hop_by_hop},
    },
    actix_http::{
        Method, StatusCode,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    actix_rt::time::{sleep, timeout},
    bytes::Bytes,
    cicadagate_node::{clock::epoch_ms, event},
    cicadagate_policy::{
        ids::{EndpointId, MemberId},
        process::{
            batch_share::{Slots, fill, plan},
            membership::Health,
            replicas::Replica,
            slot_ledger::Purpose,
        },
        request::events::{Join, Joiner, Splitter},
        version::{
            job_index::{ItemRef, ItemState, Job, Outcome, Place, Progress, Record},
            serving::Route,
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Time between two plans.
const PLAN_EVERY: Duration = Duration::from_millis(60);
/// Time after the start before items are run: until others have been heard,
/// each process would take all items for its own.
const SETTLE_MS: u64 = 700;
/// Time between two saves of outputs.
const SAVE_EVERY: Duration = Duration::from_millis(1_500);
/// Events that an output must have grown by to be saved.
const SAVE_EVENTS: u64 = 24;
/// Delay before another replica is asked for a slot.
const SLOT_DELAY: Duration = Duration::from_millis(50);
/// Delay after a run that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay between repeated appends.
const MAX_APPEND_DELAY: Duration = Duration::from_secs(1);
/// Silence after which a run is ended and continued elsewhere. An engine sends
/// several events a second.
const SILENCE: Duration = Duration::from_secs(3);
/// Time that saving may take when the process stops.
const HAND_OVER: Duration = Duration::from_secs(2);

/// What an item is run with.
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
    /// Decodes a content.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn decode(content: &[u8]) -> Result<Self, String> {
        postcard::from_bytes(content).map_err(|err| err.to_string())
    }
}

/// Output of an item so far.
#[derive(Clone, Debug, Default)]
struct Output {
    data: Vec<u8>,
    joiner: Joiner,
    events: u64,
    saved_events: u64,
}

struct Run {
    stop: Rc<Notify>,
    is_stopping: Cell<bool>,
    /// Replica that works on it.
    endpoint: Cell<Option<EndpointId>>,
}

/// Items that run or are paused on this instance.
#[derive(Default)]
pub struct Work {
    runs: RefCell<HashMap<ItemRef, Rc<Run>>>,
    outputs: RefCell<HashMap<ItemRef, Output>>,
    failures: RefCell<HashMap<ItemRef, u32>>,
    is_handing_over: Cell<bool>,
}

impl Work {
    /// Returns the items that run here.
    #[must_use]
    pub fn running(&self) -> Vec<ItemRef> {
        self.runs.borrow().keys().copied().collect()
    }

    fn stop(&self, item: ItemRef) {
        if let Some(run) = self.runs.borrow().get(&item) {
            run.is_stopping.set(true);
            run.stop.notify_one();
        }
    }

    /// Pauses the item at a replica that is due last.
    pub fn yield_slot(&self, gateway: &Gateway, endpoint: EndpointId) {
        let item = {
            let index = gateway.jobs.index.borrow();
            let runs = self.runs.borrow();
            let there = runs
                .iter()
                .filter(|(_, run)| run.endpoint.get() == Some(endpoint) && !run.is_stopping.get());
            let due = |item: &ItemRef| index.job(item.job).map(|job| job.due_ms);
            there.map(|(item, _)| *item).max_by_key(due)
        };
        if let Some(item) = item {
            event!(ITEM_PAUSED, item: = ItemName(item), endpoint: = endpoint);
            self.stop(item);
        }
    }

    /// Saves what runs and leaves it to others, since the process stops.
    pub(super) async fn hand_over(&self, gateway: &Rc<Gateway>) {
        self.is_handing_over.set(true);
        let saved = timeout(HAND_OVER, save(gateway, 1)).await;
        if matches!(saved, Ok(true)) {
            for item in self.running() {
                self.stop(item);
            }
        }
    }
}

/// Plans and saves for as long as the process lives.
pub(super) async fn run(gateway: Rc<Gateway>) {
    actix_rt::spawn(save_now_and_then(Rc::clone(&gateway)));
    sleep(Duration::from_millis(SETTLE_MS)).await;
    loop {
        sleep(PLAN_EVERY).await;
        stop_what_is_over(&gateway);
        if gateway.is_ready() && !gateway.work.is_handing_over.get() {
            plan_all(&gateway);
        }
    }
}

fn stop_what_is_over(gateway: &Rc<Gateway>) {
    let index = gateway.jobs.index.borrow();
    for item in gateway.work.running() {
        if !index.is_item_open(item) {
            gateway.work.stop(item);
        }
    }
    let mut outputs = gateway.work.outputs.borrow_mut();
    outputs.retain(|item, _| index.is_item_open(*item));
    let mut failures = gateway.work.failures.borrow_mut();
    failures.retain(|item, _| index.is_item_open(*item));
}

fn plan_all(gateway: &Rc<Gateway>) {
    let Some(config) = gateway.current() else {
        return;
    };
    let now = gateway.now();
    let here: HashSet<ItemRef> = gateway.work.running().into_iter().collect();
    let elsewhere = gateway.reports.borrow().running_elsewhere(now);
    let members = working_members(gateway);
    let mut by_service: HashMap<String, Vec<ItemRef>> = HashMap::new();
    let mut orphans = Vec::new();
    {
        let index = gateway.jobs.index.borrow();
        let now_ms = epoch_ms();
        for job in index.open_jobs() {
            let route = config.route_named(&job.route);
            let is_routeless = route.is_none() && config.version() >= job.config_version;
            let service = route.and_then(|route| route.targets.first());
            for item in index.open_items_of(job.id) {
                if is_routeless || now_ms >= job.give_up_ms {
                    orphans.push(item);
                } else if let Some(target) = service {
                    let items = by_service.entry(target.service.clone()).or_default();
                    items.push(item);
                }
            }
        }
    }
    for item in orphans {
        abandon_orphan(gateway, item, &members, &here);
    }
    for (service, items) in by_service {
        let due_in_ms = first_due_in_ms(gateway, &items);
        let slots = slots(gateway, &service, due_in_ms).for_batch();
        let plan = plan(
            slots,
            items.into_iter(),
            &here,
            &elsewhere,
            gateway.me,
            &members,
        );
        for item in plan.pause {
            event!(ITEM_PAUSED, item: = ItemName(item), slots);
            gateway.work.stop(item);
        }
        for item in plan.start {
            start(gateway, item);
        }
    }
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
    working.push(gateway.me);
    working
}

/// Returns the time until the first item is due that is not late already.
fn first_due_in_ms(gateway: &Gateway, items: &[ItemRef]) -> u64 {
    let now_ms = epoch_ms();
    let index = gateway.jobs.index.borrow();
    let due = items.iter().filter_map(|item| index.job(item.job));
    let ahead = due.map(|job| job.due_ms).find(|due_ms| *due_ms > now_ms);
    ahead.map_or(u64::MAX, |due_ms| due_ms - now_ms)
}

fn slots(gateway: &Gateway, service: &str, first_due_in_ms: u64) -> Slots {
    let pressure = gateway.pressure(service);
    Slots {
        total: pressure.slots,
        online: pressure.online,
        fill: fill(first_due_in_ms),
    }
}

/// An item whose route is gone, or whose time is over, is given up by the
/// member that would run it.
fn abandon_orphan(
    gateway: &Rc<Gateway>,
    item: ItemRef,
    members: &[MemberId],
    here: &HashSet<ItemRef>,
) {
    let is_mine =
        cicadagate_policy::process::batch_share::runner(item, members) == Some(gateway.me);
    if here.contains(&item) {
        gateway.work.stop(item);
    } else if is_mine {
        let run = track(gateway, item);
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            abandon(&gateway, item, "its route or its time is over").await;
            untrack(&gateway, item, &run);
        });
    }
}

fn track(gateway: &Rc<Gateway>, item: ItemRef) -> Rc<Run> {
    let run = Rc::new(Run {
        stop: Rc::new(Notify::new()),
        is_stopping: Cell::new(false),
        endpoint: Cell::new(None),
    });
    gateway.work.runs.borrow_mut().insert(item, Rc::clone(&run));
    run
}

fn untrack(gateway: &Rc<Gateway>, item: ItemRef, run: &Rc<Run>) {
    let mut runs = gateway.work.runs.borrow_mut();
    if runs.get(&item).is_some_and(|known| Rc::ptr_eq(known, run)) {
        runs.remove(&item);
    }
}

fn start(gateway: &Rc<Gateway>, item: ItemRef) {
    let run = track(gateway, item);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let stop = Rc::clone(&run.stop);
        let work = run_item(&gateway, item, &run);
        tokio::select! {
            () = work => {}
            () = stop.notified() => {}
        }
        untrack(&gateway, item, &run);
    });
}

/// An item in log lines.
struct ItemName(ItemRef);

impl std::fmt::Display for ItemName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.0.job, self.0.index)
    }
}

/// What is needed to run an item.
struct Task {
    item: ItemRef,
    id: String,
    host: String,
    customer: String,
    route: Rc<Route>,
    content: ItemContent,
    give_up_ms: u64,
}

/// How a run ended.
enum RunEnd {
    Done,
    /// The replica says that the item can never be done.
    Impossible,
    /// The replica ran it and failed.
    Failed(String),
    /// The replica has no slot left.
    NoSlot,
    /// The run broke off or was refused, which says nothing about the item.
    Interrupted(String),
}

async fn run_item(gateway: &Rc<Gateway>, item: ItemRef, run: &Run) {
    let task = match load(gateway, item).await {
        Ok(task) => task,
        Err(reason) => {
            event!(ITEM_RETRIED, item: = ItemName(item), reason);
            sleep(RETRY_DELAY).await;
            return;
        }
    };
    while !run.is_stopping.get() && epoch_ms() < task.give_up_ms {
        let end = run_once(gateway, &task, run).await;
        run.endpoint.set(None);
        match end {
            RunEnd::Done => return finish(gateway, &task).await,
            RunEnd::Impossible => return abandon(gateway, item, "the replica says never").await,
            RunEnd::Failed(reason) => {
                let failures = count_failure(gateway, item).await;
                event!(ITEM_RETRIED, item: = ItemName(item), id = task.id.as_str(), failures, reason);
                if failures >= task.route.max_attempts.max(1) {
                    return abandon(gateway, item, "every attempt failed").await;
                }
            }
            RunEnd::NoSlot => {
                sleep(SLOT_DELAY).await;
                continue;
            }
            RunEnd::Interrupted(reason) => {
                event!(ITEM_RETRIED, item: = ItemName(item), id = task.id.as_str(), reason);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Counts a failed run, also for those who may run the item later.
async fn count_failure(gateway: &Rc<Gateway>, item: ItemRef) -> u32 {
    if let Err(err) = gateway.jobs.append(gateway, &Record::Failed { item }).await {
        event!(APPEND_FAILED, item: = ItemName(item), reason: = err);
    }
    let own = {
        let mut failures = gateway.work.failures.borrow_mut();
        let count = failures.entry(item).or_default();
        *count += 1;
        *count
    };
    let index = gateway.jobs.index.borrow();
    let known = index
        .job(item.job)
        .map_or(0, |job| job.failures(item.index));
    own.max(known)
}

/// Reads what an item is run with, and the output that is known of it.
async fn load(gateway: &Rc<Gateway>, item: ItemRef) -> Result<Task, String> {
    let (place, id, host, customer, route, progress, give_up_ms) = {
        let index = gateway.jobs.index.borrow();
        let job = index.job(item.job).ok_or("job is gone")?;
        let entry = job.entry(item.index).ok_or("item is gone")?;
        let Some(ItemState::Open(progress)) = job.state(item.index) else {
            return Err("item has a result".to_owned());
        };
        let route = route_of(gateway, job).ok_or("route is not known")?;
        let (host, customer) = (job.host.clone(), job.customer_name.clone());
        let id = entry.id.clone();
        (
            entry.content,
            id,
            host,
            customer,
            route,
            progress,
            job.give_up_ms,
        )
    };
    let content = contents::read(gateway, place)
        .await
        .map_err(|err| err.to_string())?;
    let content = ItemContent::decode(&content)?;
    let kept = gateway
        .work
        .outputs
        .borrow()
        .get(&item)
        .and_then(|output| output.joiner.last());
    if let Some(progress) =
        progress.filter(|progress| kept.is_none_or(|kept| kept < progress.last_event))
    {
        let data = contents::read(gateway, progress.output)
            .await
            .map_err(|err| err.to_string())?;
        let output = Output {
            data: data.to_vec(),
            joiner: Joiner::after(Some(progress.last_event)),
            events: progress.last_event + 1,
            saved_events: progress.last_event + 1,
        };
        gateway.work.outputs.borrow_mut().insert(item, output);
    }
    Ok(Task {
        item,
        id,
        host,
        customer,
        route,
        content,
        give_up_ms,
    })
}

fn route_of(gateway: &Gateway, job: &Job) -> Option<Rc<Route>> {
    let config = gateway.current()?;
    config.route_named(&job.route).cloned()
}

async fn run_once(gateway: &Rc<Gateway>, task: &Task, run: &Run) -> RunEnd {
    let now = gateway.now();
    let service = task
        .route
        .target(&task.id)
        .map(|target| target.service.clone());
    let chosen = {
        let replicas = gateway.replicas.borrow();
        let reports = gateway.reports.borrow();
        let service = service.unwrap_or_default();
        let chosen = replicas.choose(now, &service, &[], gateway.roll(), |id| {
            gateway.outlook(&reports, id, true)
        });
        chosen.map(|replica: &Replica| (replica.endpoint, Rc::clone(&replica.registration)))
    };
    let Some((endpoint, registration)) = chosen else {
        return RunEnd::Interrupted("no replica".to_owned());
    };
    if let Reply::Full(_) = ask(gateway, endpoint, Purpose::Batch { reserve: 0 }).await {
        gateway.replicas.borrow_mut().note_full(now, endpoint);
        return RunEnd::NoSlot;
    }
    run.endpoint.set(Some(endpoint));
    let after = gateway
        .work
        .outputs
        .borrow()
        .get(&task.item)
        .and_then(|output| output.joiner.last());
    let outgoing = outgoing(gateway, task, &registration, after);
    let _guard = gateway.count_in_flight(endpoint, true);
    event!(
        ITEM_STARTED,
        item: = ItemName(task.item),
        id = task.id.as_str(),
        replica = registration.id.as_str(),
        after_event = after.unwrap_or_default(),
        load = gateway.fleet_load(endpoint).total()
    );
    let send = gateway
        .pool
        .send(now, endpoint, registration.addr, Reuse::Any, &outgoing);
    let answer = match timeout(SILENCE, send).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => {
            gateway.note_failed(endpoint, &err);
            return RunEnd::Interrupted(err.to_string());
        }
        Err(_) => {
            gateway.replicas.borrow_mut().note_failure(now, endpoint);
            return RunEnd::Interrupted("no answer".to_owned());
        }
    };
    let status = answer.head.status;
    if status != StatusCode::OK {
        let end = judge(gateway, &answer);
        if matches!(end, RunEnd::Interrupted(_)) {
            gateway.replicas.borrow_mut().note_full(now, endpoint);
        }
        return end;
    }
    let end = collect(gateway, task.item, answer).await;
    if matches!(end, RunEnd::Interrupted(_)) {
        let now = gateway.now();
        gateway.replicas.borrow_mut().note_failure(now, endpoint);
    }
    end
}

fn outgoing(
    gateway: &Gateway,
    task: &Task,
    registration: &cicadagate_policy::process::replicas::Registration,
    after: Option<u64>,
) -> Outgoing {
    let names = gateway.codec.headers();
    let mut headers = HeaderMap::new();
    for (name, value) in &task.content.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !is_hop_by_hop(&name)
            && name != header::AUTHORIZATION
        {
            headers.insert(name, value);
        }
    }
    for (name, value) in [(&header::HOST, &task.host), (&names.request_id, &task.id)] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    }
    if let Some(after) = after {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(after));
    }
    endpoint_headers(gateway, &mut headers, registration, Some(&task.customer));
    Outgoing {
        method: Method::POST,
        target: task.content.path.clone(),
        headers,
        body: task.content.body.clone(),
        id: (names.request_id.clone(), task.id.clone()),
    }
}

fn judge(gateway: &Gateway, answer: &Answer) -> RunEnd {
    let status = answer.head.status;
    let is_refusal = answer
        .head
        .headers
        .contains_key(&gateway.codec.headers().not_run);
    match status {
        _ if is_refusal => RunEnd::Interrupted(format!("refused with {}", status.as_u16())),
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed("answered 500".to_owned()),
        _ => RunEnd::Interrupted(format!("answered {}", status.as_u16())),
    }
}

/// Adds a run's events to the item's output.
async fn collect(gateway: &Rc<Gateway>, item: ItemRef, answer: Answer) -> RunEnd {
    let mut body = answer.body;
    let mut splitter = Splitter::default();
    loop {
        let chunk = match timeout(SILENCE, body.chunk()).await {
            Ok(None) if splitter.is_inside_event() => {
                return RunEnd::Interrupted("ended inside an event".to_owned());
            }
            Ok(None) => return RunEnd::Done,
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(err))) => return RunEnd::Interrupted(err.to_string()),
            Err(_) => return RunEnd::Interrupted("silent".to_owned()),
        };
        if splitter.feed(&chunk).is_err() {
            return RunEnd::Interrupted("event too long".to_owned());
        }
        let mut outputs = gateway.work.outputs.borrow_mut();
        let output = outputs.entry(item).or_default();
        while let Some(event) = splitter.next_event() {
            match output.joiner.take(event.id) {
                Join::Drop => continue,
                Join::Gap => return RunEnd::Interrupted("an event is missing".to_owned()),
                Join::Pass => {}
            }
            if let Some(data) = event.data() {
                if output.events > 0 {
                    output.data.push(b'\n');
                }
                output.data.extend_from_slice(&data);
                output.events += 1;
            }
        }
    }
}

async fn finish(gateway: &Rc<Gateway>, task: &Task) {
    let item = task.item;
    let output = gateway
        .work
        .outputs
        .borrow()
        .get(&item)
        .cloned()
        .unwrap_or_default();
    let events = output.events;
    let data = Bytes::from(output.data);
    let place = store_output(gateway, item, &data).await;
    conclude(gateway, item, Outcome::Done(place)).await;
    gateway.metrics.items.with_label_values(&["done"]).inc();
    event!(ITEM_DONE, item: = ItemName(item), id = task.id.as_str(), events, bytes = data.len());
}

/// Writes an output, again and again until the store takes it.
async fn store_output(gateway: &Rc<Gateway>, item: ItemRef, data: &Bytes) -> Place {
    let mut delay = RETRY_DELAY;
    loop {
        let written = contents::write(gateway, part_of(item), std::slice::from_ref(data)).await;
        match written.map(|places| places.first().copied()) {
            Ok(Some(place)) => return place,
            Ok(None) => event!(APPEND_FAILED, item: = ItemName(item), reason = "no place"),
            Err(err) => event!(APPEND_FAILED, item: = ItemName(item), reason: = err),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_APPEND_DELAY);
    }
}

fn part_of(item: ItemRef) -> u32 {
    u32::try_from(item.hash() >> 40).unwrap_or_default()
}

async fn abandon(gateway: &Rc<Gateway>, item: ItemRef, reason: &str) {
    conclude(gateway, item, Outcome::Abandoned).await;
    gateway
        .metrics
        .items
        .with_label_values(&["abandoned"])
        .inc();
    event!(ITEM_ABANDONED, item: = ItemName(item), reason);
}

/// Appends an item's result until it is acknowledged, or until another one is
/// known, and waits until the index has it.
async fn conclude(gateway: &Rc<Gateway>, item: ItemRef, outcome: Outcome) {
    let record = Record::Finished { item, outcome };
    let mut delay = RETRY_DELAY;
    while gateway.jobs.index.borrow().is_item_open(item) {
        match gateway.jobs.append(gateway, &record).await {
            Ok(()) => break,
            Err(err) => event!(APPEND_FAILED, item: = ItemName(item), reason: = err),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_APPEND_DELAY);
    }
    // Until the index has the result, the item must not be planned again.
    while gateway.jobs.index.borrow().is_item_open(item) {
        gateway.jobs.wait_for_change(MAX_APPEND_DELAY).await;
    }
}

async fn save_now_and_then(gateway: Rc<Gateway>) {
    loop {
        sleep(SAVE_EVERY).await;
        save(&gateway, SAVE_EVENTS).await;
    }
}

/// Saves outputs that have grown by some events; returns whether all are saved.
async fn save(gateway: &Rc<Gateway>, least_events: u64) -> bool {
    let grown: Vec<(ItemRef, u64, u64, Bytes)> = {
        let outputs = gateway.work.outputs.borrow();
        let grown = outputs.iter().filter_map(|(item, output)| {
            let last = output.joiner.last()?;
            let has_grown = output.events >= output.saved_events + least_events;
            has_grown.then(|| (*item, last, output.events, Bytes::from(output.data.clone())))
        });
        grown.collect()
    };
    if grown.is_empty() {
        return true;
    }
    match save_outputs(gateway, &grown).await {
        Ok(()) => true,
        Err(err) => {
            event!(APPEND_FAILED, items = grown.len(), reason: = err);
            false
        }
    }
}

async fn save_outputs(
    gateway: &Rc<Gateway>,
    grown: &[(ItemRef, u64, u64, Bytes)],
) -> Result<(), StoreError> {
    let contents: Vec<Bytes> = grown.iter().map(|(.., data)| data.clone()).collect();
    let part = grown.first().map_or(0, |(item, ..)| part_of(*item));
    let places = contents::write(gateway, part, &contents).await?;
    for ((item, last_event, events, _), output) in grown.iter().zip(places) {
        let progress = Progress {
            output,
            last_event: *last_event,
        };
        let record = Record::Saved {
            item: *item,
            progress,
        };
        gateway.jobs.append(gateway, &record).await?;
        if let Some(output) = gateway.work.outputs.borrow_mut().get_mut(item) {
            output.saved_events = output.saved_events.max(*events);
        }
    }
    Ok(())
}
