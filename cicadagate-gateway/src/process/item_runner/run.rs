/*!
Runs a batch item, with retries, until it has a result.
*/

use {
    super::{
        ItemContent, ItemName, ItemRun, MAX_CLOCK_SKEW_MS, PartialOutput,
        open_jobs::UsableServices,
        results::{abandon, finish},
    },
    crate::{
        process::{
            Gateway, InFlightGuard, contents,
            freshness::Refreshed,
            lost_contact,
            slots::{SlotOutcome, acquire},
        },
        request::{event_id_text, is_event_stream, is_hop_by_hop, set_replica_headers},
    },
    actix_http::{
        Method, StatusCode,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    actix_rt::time::{sleep, timeout},
    cicadagate_node::{
        clock::unix_time_ms,
        connection::http_client::{ExchangeError, ReplicaRequest, ReplicaResponse, Reuse},
        event,
    },
    cicadagate_policy::{
        ids::{EndpointId, ItemRunId, RequestPart, SoftwareVersion},
        process::{
            last_replica::last_replica,
            replicas::{Registration, Wanted},
            reports::InFlight,
            slot_ledger::Purpose,
        },
        request::sse::{EventParser, EventSequencer, SequenceCheck},
        time::Time,
        version::{
            job_index::{ItemRef, ItemState, Progress, Record},
            serving::Route,
        },
    },
    std::{rc::Rc, time::Duration},
};

/// Delay after a run that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of refused slot requests after which the wait is logged again: about
/// a second.
const REFUSALS_PER_LOG: u32 = 20;
/// Delay before a slot is requested again.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a response or data after which a run is ended and retried,
/// maybe at another replica. An engine sends several events a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest such time of an item. It doubles with each run that is ended for it, since a sound
/// engine may need longer for a long prompt; from the second such run on, other items get
/// the slot for as long.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24);

/// Delay after a run whose output exceeded its part of the memory: others must end first.
const OVER_MEMORY_DELAY: Duration = Duration::from_secs(1);

/// Most bytes of a run, and of an output that several runs wrote: many times the longest
/// output.
const MAX_RUN_BYTES: usize = 4 * 1024 * 1024;

/// Everything needed to run an item.
pub(super) struct Task {
    pub(super) item: ItemRef,
    pub(super) id: String,
    host: String,
    customer: String,
    route: Rc<Route>,
    /// Service at which the item runs.
    service: String,
    content: ItemContent,
    tokens: u32,
    due_ms: u64,
    give_up_ms: u64,
}

impl Task {
    /// Returns the time until the result is due, in milliseconds; negative if
    /// it is late.
    pub(super) fn due_in_ms(&self) -> i64 {
        self.due_ms.cast_signed() - unix_time_ms().cast_signed()
    }
}

impl Task {
    /// Returns the number of failed runs after which the item is abandoned.
    fn max_failures(&self) -> u32 {
        self.route.max_attempts.max(1)
    }

    /// Returns the parts of the item's prompt that other requests may share.
    fn prompt_parts(&self, gateway: &Gateway, service: &str) -> Vec<RequestPart> {
        let name = gateway.codec.headers().prompt_parts.as_str();
        let mut headers = self.content.headers.iter();
        let header = headers.find(|(found, _)| found.eq_ignore_ascii_case(name));
        header.map_or(Vec::new(), |(_, value)| {
            gateway.prompt_parts(service, value)
        })
    }
}

/// How a run ended.
enum RunOutcome {
    Done,
    /// The replica reports that the item can never be processed.
    Rejected(FailedRun),
    /// The replica ran the item and failed.
    Failed(FailedRun),
    /// The replica has no free slot; this is its load.
    NoSlot(InFlight),
    /// What is known is too old to start the item by it, for this reason.
    Unknown(&'static str),
    /// The item has a result, its job was cancelled, or its route has changed.
    Closed,
    /// The run was interrupted or refused, which is no failure of the item.
    Interrupted(String),
    /// The replica wrote nothing for the time allowed.
    Silent,
    /// What is held of the output exceeds its part of the memory, and was dropped. The item
    /// goes on later, after what was saved of it.
    OverMemory,
}

/// A response with which a replica fails or rejects an item.
struct FailedRun {
    id: ItemRunId,
    replica: Rc<Registration>,
    status: StatusCode,
    /// The replica's signature; empty if the response has none.
    signature: String,
    echoes_id: bool,
    /// Requests that the connection had carried before.
    earlier_requests: u32,
    /// Time from the start of the run to the head of its response, in milliseconds.
    ran_ms: u64,
}

impl FailedRun {
    fn new(
        gateway: &Gateway,
        id: ItemRunId,
        replica: Rc<Registration>,
        response: &ReplicaResponse,
        since: Time,
    ) -> Self {
        let signature = response
            .head
            .headers
            .get(&gateway.codec.headers().signature);
        let signature = signature.map_or_else(String::new, |value| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        });
        Self {
            id,
            replica,
            status: response.head.status,
            signature,
            echoes_id: response.echoes_id,
            earlier_requests: response.earlier_requests,
            ran_ms: gateway.now().since(since),
        }
    }
}

/// Failed runs of an item that this process knows of.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureCount {
    /// Those that this process has seen.
    pub(super) own: usize,
    /// Those that the index has records of.
    pub(super) recorded: u32,
    /// All of them; one that is both counts once.
    pub(super) total: u32,
}

pub(super) async fn run_item(gateway: &Rc<Gateway>, item: ItemRef, run: &ItemRun) {
    let task = match load_task(gateway, item).await {
        Ok(task) => task,
        Err(reason) => {
            event!(ITEM_RETRIED, item: = ItemName(item), reason);
            sleep(RETRY_DELAY).await;
            return;
        }
    };
    let mut refusals = 0_u32;
    let mut idle_timeout = IDLE_TIMEOUT;
    while !run.is_stopping.get() && unix_time_ms() < task.give_up_ms + MAX_CLOCK_SKEW_MS {
        // A run that failed may have ended at a process, or in a pause, that left the decision.
        if known_failures(gateway, item).total >= task.max_failures() {
            run.is_settled.set(true);
            return abandon(gateway, item, "all attempts failed").await;
        }
        run.id.set(ItemRunId::default());
        let outcome = run_once(gateway, &task, run, idle_timeout).await;
        run.endpoint.set(None);
        match outcome {
            RunOutcome::Done => {
                run.is_settled.set(true);
                return finish(gateway, &task).await;
            }
            RunOutcome::Rejected(failed) => {
                run.is_settled.set(true);
                log_failed_run(&task, &failed, known_failures(gateway, item));
                return abandon(gateway, item, "replica rejected the item").await;
            }
            RunOutcome::Failed(failed) => {
                let count = count_failure(gateway, item, failed.id).await;
                log_failed_run(&task, &failed, count);
                if count.total >= task.max_failures() {
                    continue;
                }
            }
            RunOutcome::NoSlot(load) => {
                refusals += 1;
                if refusals.is_multiple_of(REFUSALS_PER_LOG) {
                    event!(
                        ITEM_WAITING,
                        item: = ItemName(item),
                        id = task.id.as_str(),
                        refusals,
                        online = load.online,
                        batch = load.batch
                    );
                }
                sleep(SLOT_RETRY_DELAY).await;
                continue;
            }
            RunOutcome::Unknown(reason) => {
                refusals += 1;
                if refusals.is_multiple_of(REFUSALS_PER_LOG) {
                    event!(
                        ITEM_WAITING,
                        item: = ItemName(item),
                        id = task.id.as_str(),
                        refusals,
                        index_age_ms = gateway.index_freshness().age_ms(gateway.now()),
                        reason
                    );
                }
            }
            RunOutcome::Closed => return,
            RunOutcome::OverMemory => {
                log_retried(&task, run, "output exceeds its part of the memory");
                sleep(OVER_MEMORY_DELAY).await;
                return;
            }
            RunOutcome::Silent => {
                let reason = format!("no output for {} ms", idle_timeout.as_millis());
                log_retried(&task, run, &reason);
                if idle_timeout > IDLE_TIMEOUT {
                    sleep(idle_timeout).await;
                }
                idle_timeout = (idle_timeout * 2).min(MAX_IDLE_TIMEOUT);
            }
            RunOutcome::Interrupted(reason) => {
                log_retried(&task, run, &reason);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

fn log_retried(task: &Task, run: &ItemRun, reason: &str) {
    event!(
        ITEM_RETRIED,
        item: = ItemName(task.item),
        id = task.id.as_str(),
        run: = run.id.get(),
        reason
    );
}

/// Records a failed run, also in the index for instances that run the item
/// later; returns the failed runs.
async fn count_failure(gateway: &Rc<Gateway>, item: ItemRef, run: ItemRunId) -> FailureCount {
    {
        let mut failures = gateway.item_runner.failures.borrow_mut();
        failures.entry(item).or_default().push(run);
    }
    // A pause of the item must not end the append.
    let recorded = actix_rt::spawn(record_failure(Rc::clone(gateway), item, run));
    if let Err(err) = recorded.await {
        event!(APPEND_FAILED, item: = ItemName(item), run: = run, reason: = err);
    }
    known_failures(gateway, item)
}

async fn record_failure(gateway: Rc<Gateway>, item: ItemRef, run: ItemRunId) {
    let record = Record::FailedRun { item, run };
    if let Err(err) = gateway.jobs.append(&gateway, &record).await {
        event!(APPEND_FAILED, item: = ItemName(item), run: = run, reason: = err);
    }
}

/// Returns the failed runs of an item that this process knows of.
pub(super) fn known_failures(gateway: &Gateway, item: ItemRef) -> FailureCount {
    let failures = gateway.item_runner.failures.borrow();
    let own = failures.get(&item).map_or(&[][..], Vec::as_slice);
    let index = gateway.jobs.index.borrow();
    let job = index.job(item.job);
    FailureCount {
        own: own.len(),
        recorded: job.map_or(0, |job| job.failures(item.index)),
        total: job.map_or(0, |job| job.failures_with(item.index, own)),
    }
}

fn log_failed_run(task: &Task, failed: &FailedRun, count: FailureCount) {
    event!(
        ITEM_RUN_FAILED,
        item: = ItemName(task.item),
        id = task.id.as_str(),
        run: = failed.id,
        replica = failed.replica.id.as_str(),
        status = failed.status.as_u16(),
        signature = failed.signature.as_str(),
        echoes_id = failed.echoes_id,
        earlier_requests = failed.earlier_requests,
        ran_ms = failed.ran_ms,
        own_failures = count.own,
        recorded_failures = count.recorded,
        failures = count.total,
        max_failures = task.max_failures()
    );
}

/// Reads an item's request, and its saved output if that is further than the
/// one in memory.
async fn load_task(gateway: &Rc<Gateway>, item: ItemRef) -> Result<Task, String> {
    let (entry, route, progress, host, customer, due_ms, give_up_ms) = {
        let index = gateway.jobs.index.borrow();
        let job = index.job(item.job).ok_or("job is no longer in the index")?;
        let entry = job.item(item.index).ok_or("item is not in the job")?;
        let Some(ItemState::Open(progress)) = job.state(item.index) else {
            return Err("item already has a result".to_owned());
        };
        let submission = &job.submission;
        let route =
            route_of(gateway, &submission.route).ok_or("route is not in the configuration")?;
        (
            entry.clone(),
            route,
            progress,
            submission.host.clone(),
            submission.customer_name.clone(),
            submission.due_ms,
            submission.give_up_ms,
        )
    };
    let content = contents::read(gateway, entry.content)
        .await
        .map_err(|err| err.to_string())?;
    let content = ItemContent::decode(&content)?;
    let usable = UsableServices::new(gateway);
    let service = usable.service_of_id(&route, &entry.id);
    let service = service.ok_or("route has no service")?;
    let service = service.to_owned();
    drop_output_of_gone_version(gateway, item, &entry.id, &service);
    let last_kept = gateway
        .item_runner
        .outputs
        .borrow()
        .get(&item)
        .and_then(|output| output.sequencer.last());
    let is_of_use = |progress: &Progress| {
        let replicas = gateway.replicas.borrow();
        let is_kept = |version| replicas.keeps_version(gateway.now(), &service, version);
        progress.version.is_some_and(is_kept)
            && last_kept.is_none_or(|last_kept| last_kept < progress.last_event)
    };
    let progress = progress.filter(is_of_use);
    if let Some(progress) = progress {
        let data = contents::read(gateway, progress.output)
            .await
            .map_err(|err| err.to_string())?;
        let mut output = PartialOutput {
            data: data.to_vec(),
            sequencer: EventSequencer::resume_after(Some(progress.last_event)),
            version: progress.version,
            events: progress.last_event + 1,
            saved_events: progress.last_event + 1,
            is_whole: false,
            ..PartialOutput::new(gateway)
        };
        if !output.resize_held(&entry.id, 0) {
            return Err("saved output exceeds its part of the memory".to_owned());
        }
        gateway
            .item_runner
            .outputs
            .borrow_mut()
            .insert(item, output);
    }
    Ok(Task {
        item,
        id: entry.id,
        host,
        customer,
        route,
        service,
        content,
        tokens: entry.tokens,
        due_ms,
        give_up_ms,
    })
}

fn route_of(gateway: &Gateway, name: &str) -> Option<Rc<Route>> {
    let config = gateway.current_config()?;
    config.route_by_name(name).cloned()
}

/// Drops the partial output of an item if no replica of the software version that wrote
/// it is left, but for those that are leaving: they take no items.
fn drop_output_of_gone_version(gateway: &Gateway, item: ItemRef, id: &str, service: &str) {
    let mut outputs = gateway.item_runner.outputs.borrow_mut();
    let kept = outputs.get(&item);
    let Some(version) = kept.and_then(|output| output.version) else {
        return;
    };
    let now = gateway.now();
    if gateway
        .replicas
        .borrow()
        .keeps_version(now, service, version)
    {
        return;
    }
    if let Some(output) = outputs.remove(&item) {
        event!(
            ITEM_STARTED_OVER,
            item: = ItemName(item),
            id,
            version: = version,
            events = output.events
        );
    }
}

fn choose_replica(
    gateway: &Gateway,
    task: &Task,
    now: Time,
) -> Option<(EndpointId, Rc<Registration>)> {
    let service = task.service.as_str();
    drop_output_of_gone_version(gateway, task.item, &task.id, service);
    let outputs = gateway.item_runner.outputs.borrow();
    let version = outputs.get(&task.item).and_then(|output| output.version);
    let wanted = Wanted {
        version,
        proof: gateway.version_proof(service, version.is_some()),
        ..Wanted::of(service)
    };
    let replicas = gateway.replicas.borrow();
    let reports = gateway.reports.borrow();
    // Asked once for each start, so that it does not keep the item from other replicas.
    let last = gateway
        .item_runner
        .last_replicas
        .borrow_mut()
        .remove(&task.item);
    let last = last.filter(|_| gateway.item_runner.swings(gateway, service));
    let last = last.and_then(|last| {
        let load = gateway.batch_load_estimate(&reports, last);
        last_replica(now, &replicas, &wanted, last, load)
    });
    if let Some(replica) = last {
        return Some((replica.endpoint, Rc::clone(&replica.registration)));
    }
    let replica = replicas.choose(now, &wanted, gateway.next_random(), |id| {
        gateway.batch_load_estimate(&reports, id)
    })?;
    Some((replica.endpoint, Rc::clone(&replica.registration)))
}

/// Returns whether an item still goes to the service of its task, by the configuration and the
/// replicas that are known now.
fn is_target_current(gateway: &Gateway, task: &Task) -> bool {
    let current = route_of(gateway, &task.route.name);
    let usable = UsableServices::new(gateway);
    current.is_some_and(|route| usable.service_of_id(&route, &task.id) == Some(&task.service))
}

/// Waits until what is known permits to start an item; returns why it does not.
async fn refresh(gateway: &Rc<Gateway>, task: &Task) -> Option<RunOutcome> {
    if gateway.refresh_config().await == Refreshed::Late {
        return Some(RunOutcome::Unknown("the configuration can't be read"));
    }
    if !is_target_current(gateway, task) {
        return Some(RunOutcome::Closed);
    }
    let item = task.item;
    if gateway.jobs.refresh(gateway).await.is_err() {
        return Some(RunOutcome::Unknown("the index of jobs can't be read"));
    }
    if !gateway.jobs.index.borrow().is_item_open(item) {
        return Some(RunOutcome::Closed);
    }
    let refreshed = gateway.refresh_registrations(IDLE_TIMEOUT).await;
    (refreshed != Refreshed::Recent)
        .then_some(RunOutcome::Unknown("the registrations can't be read"))
}

/// Requests a slot of a replica; returns the replica's load if it grants none.
async fn take_slot(
    gateway: &Rc<Gateway>,
    endpoint: EndpointId,
    service: &str,
    now: Time,
) -> Result<InFlightGuard, InFlight> {
    let reserve = gateway.item_runner.reserve(now, service);
    match acquire(gateway, endpoint, Purpose::Batch { reserve }, 0).await {
        SlotOutcome::Granted(guard) | SlotOutcome::OwnerTimedOut(guard) => Ok(guard),
        SlotOutcome::Full(load) => {
            gateway.replicas.borrow_mut().note_full(now, endpoint);
            Err(load)
        }
        SlotOutcome::Leaving => Err(gateway.fleet_load(endpoint)),
        SlotOutcome::Limited(wait_ms) => {
            gateway.note_limited(endpoint, wait_ms);
            Err(gateway.fleet_load(endpoint))
        }
    }
}

async fn run_once(
    gateway: &Rc<Gateway>,
    task: &Task,
    run: &ItemRun,
    idle_timeout: Duration,
) -> RunOutcome {
    if let Some(outcome) = refresh(gateway, task).await {
        return outcome;
    }
    let now = gateway.now();
    let Some((endpoint, registration)) = choose_replica(gateway, task, now) else {
        return RunOutcome::Interrupted("no replica available".to_owned());
    };
    let _slot = match take_slot(gateway, endpoint, &registration.service, now).await {
        Ok(guard) => guard,
        Err(load) => return RunOutcome::NoSlot(load),
    };
    if !gateway.replicas.borrow().is_usable(endpoint) {
        return RunOutcome::Interrupted("replica is leaving".to_owned());
    }
    let id = ItemRunId::from_raw(gateway.next_random());
    run.id.set(id);
    run.endpoint.set(Some(endpoint));
    run.since.set(gateway.now());
    let after = last_event(gateway, task.item);
    let request = build_request(gateway, task, &registration, after);
    let sent_at = gateway.now();
    event!(
        ITEM_STARTED,
        item: = ItemName(task.item),
        id = task.id.as_str(),
        run: = id,
        replica = registration.id.as_str(),
        version = registration.software_version.as_str(),
        after_event = event_id_text(after),
        due_in_ms = task.due_in_ms(),
        index_age_ms = gateway.index_freshness().age_ms(sent_at),
        registrations_age_ms = gateway.registrations_freshness().age_ms(sent_at),
        registrations_from = gateway.registrations_known_from().as_str(),
        load = gateway.fleet_load(endpoint).total(),
        max_rate = gateway.named_rate(endpoint)
    );
    let may_send = || {
        gateway.may_send(endpoint)
            && gateway.registrations_freshness().permits(gateway.now())
            && gateway.index_freshness().permits(gateway.now())
            && gateway.jobs.index.borrow().is_item_open(task.item)
    };
    let addr = registration.addr;
    let send = gateway
        .pool
        .send_if(now, endpoint, addr, Reuse::Any, &request, may_send);
    let received = timeout(idle_timeout, send).await;
    gateway.note_discarded_heads();
    let response = match received {
        Ok(Ok(response)) => response,
        Ok(Err(ExchangeError::Withheld)) => {
            return RunOutcome::Unknown("the state changed or grew old before it was sent");
        }
        Ok(Err(err)) => {
            gateway.note_failed(endpoint, &err);
            return RunOutcome::Interrupted(err.to_string());
        }
        Err(_) => {
            gateway.replicas.borrow_mut().note_failure(now, endpoint);
            return RunOutcome::Silent;
        }
    };
    gateway.note_head(&task.id, &registration, &response.head, run.since.get());
    let status = response.head.status;
    if status != StatusCode::OK {
        let since = run.since.get();
        let outcome = classify_response(gateway, id, registration, &response, since);
        if matches!(outcome, RunOutcome::Interrupted(_)) {
            gateway.replicas.borrow_mut().note_full(now, endpoint);
        }
        return outcome;
    }
    if !is_event_stream(&response.head, after.is_some()) {
        gateway.replicas.borrow_mut().note_failure(now, endpoint);
        return RunOutcome::Interrupted("response is no stream of events".to_owned());
    }
    let run_time = RunTime {
        gateway,
        item: task.item,
        since: run.since.get(),
    };
    let version = registration.version();
    let outcome = read_events(gateway, task, version, response, idle_timeout).await;
    drop(run_time);
    note_outcome(gateway, task, endpoint, &registration.service, &outcome);
    outcome
}

/// Records what the end of a run's stream says of its replica.
fn note_outcome(
    gateway: &Rc<Gateway>,
    task: &Task,
    endpoint: EndpointId,
    service: &str,
    outcome: &RunOutcome,
) {
    match outcome {
        RunOutcome::Done => {
            gateway.note_completed(&task.prompt_parts(gateway, service));
            note_run_rate(gateway, task, service);
        }
        RunOutcome::OverMemory | RunOutcome::Interrupted(_) | RunOutcome::Silent => {
            let now = gateway.now();
            gateway.replicas.borrow_mut().note_failure(now, endpoint);
            if !matches!(outcome, RunOutcome::OverMemory) {
                lost_contact::note(gateway, endpoint, false);
            }
        }
        _ => {}
    }
}

/// Returns the last event of an item's output.
fn last_event(gateway: &Gateway, item: ItemRef) -> Option<u64> {
    let outputs = gateway.item_runner.outputs.borrow();
    outputs.get(&item)?.sequencer.last()
}

/// Adds the time of a run to the item's output when it is dropped, also if the
/// run is stopped.
struct RunTime<'a> {
    gateway: &'a Rc<Gateway>,
    item: ItemRef,
    since: Time,
}

impl Drop for RunTime<'_> {
    fn drop(&mut self) {
        let took_ms = self.gateway.now().since(self.since);
        let mut outputs = self.gateway.item_runner.outputs.borrow_mut();
        if let Some(output) = outputs.get_mut(&self.item) {
            output.ran_ms += took_ms;
        }
    }
}

/// Adds the time of a complete item to the average, if all of it ran for this
/// process.
fn note_run_rate(gateway: &Gateway, task: &Task, service: &str) {
    let outputs = gateway.item_runner.outputs.borrow();
    if let Some(output) = outputs.get(&task.item).filter(|output| output.is_whole) {
        let mut rates = gateway.item_runner.run_rates.borrow_mut();
        let rate = rates.entry(service.to_owned()).or_default();
        rate.note(task.tokens, output.ran_ms);
    }
}

fn build_request(
    gateway: &Gateway,
    task: &Task,
    registration: &Registration,
    after: Option<u64>,
) -> ReplicaRequest {
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
    set_replica_headers(gateway, &mut headers, registration, Some(&task.customer));
    ReplicaRequest {
        method: Method::POST,
        target: task.content.path.clone(),
        headers,
        body: task.content.body.clone(),
        id: Some((names.request_id.clone(), task.id.clone())),
    }
}

fn classify_response(
    gateway: &Gateway,
    run: ItemRunId,
    replica: Rc<Registration>,
    response: &ReplicaResponse,
    since: Time,
) -> RunOutcome {
    let status = response.head.status;
    let is_refusal = response
        .head
        .headers
        .contains_key(&gateway.codec.headers().not_run);
    match status {
        _ if is_refusal => {
            RunOutcome::Interrupted(format!("refused with status {}", status.as_u16()))
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            RunOutcome::Rejected(FailedRun::new(gateway, run, replica, response, since))
        }
        StatusCode::INTERNAL_SERVER_ERROR => {
            RunOutcome::Failed(FailedRun::new(gateway, run, replica, response, since))
        }
        _ => RunOutcome::Interrupted(format!("status {}", status.as_u16())),
    }
}

/// Reads the events of a run and appends them to the item's output.
async fn read_events(
    gateway: &Rc<Gateway>,
    task: &Task,
    version: SoftwareVersion,
    response: ReplicaResponse,
    idle_timeout: Duration,
) -> RunOutcome {
    let item = task.item;
    let mut body = response.body;
    let mut parser = EventParser::default();
    let mut received = 0;
    loop {
        let chunk = match timeout(idle_timeout, body.chunk()).await {
            Ok(None) => {
                let end = parser.end(body.framing().marks_end());
                let name = match &end {
                    Ok(_) => body.framing().as_str(),
                    Err(reason) => reason.as_str(),
                };
                gateway.count_body_end(name);
                return match end {
                    Ok(_) => RunOutcome::Done,
                    Err(reason) => RunOutcome::Interrupted(reason.as_str().to_owned()),
                };
            }
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(err))) => {
                gateway.count_body_end("failed");
                return RunOutcome::Interrupted(err.to_string());
            }
            Err(_) => {
                gateway.count_body_end("failed");
                return RunOutcome::Silent;
            }
        };
        received += chunk.len();
        if received > MAX_RUN_BYTES {
            gateway.count_body_end("failed");
            // What such a run has added is no output.
            gateway.item_runner.outputs.borrow_mut().remove(&item);
            return RunOutcome::Interrupted("run exceeds the maximum size".to_owned());
        }
        if parser.feed(&chunk).is_err() {
            return RunOutcome::Interrupted("event exceeds the maximum size".to_owned());
        }
        let mut outputs = gateway.item_runner.outputs.borrow_mut();
        let new_output = || PartialOutput::new(gateway);
        let output = outputs.entry(item).or_insert_with(new_output);
        while let Some(event) = parser.next_event() {
            if !event.is_event() {
                return RunOutcome::Interrupted("bytes that are no event".to_owned());
            }
            match output.sequencer.accept(event.id) {
                SequenceCheck::Drop => continue,
                SequenceCheck::Gap => {
                    return RunOutcome::Interrupted("gap in the event ids".to_owned());
                }
                SequenceCheck::Pass => {}
            }
            output.version.get_or_insert(version);
            if let Some(data) = event.data() {
                if output.events > 0 {
                    output.data.push(b'\n');
                }
                output.data.extend_from_slice(&data);
                output.events += 1;
            }
        }
        let is_too_long = output.data.len() > MAX_RUN_BYTES;
        if is_too_long || !output.resize_held(&task.id, parser.partial_len()) {
            gateway.count_body_end("failed");
            outputs.remove(&item);
            return RunOutcome::OverMemory;
        }
    }
}
