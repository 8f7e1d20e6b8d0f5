/*!
Follows the replicas' registrations in the store.

Every replica renews its registration about once a second, and each of those
records would complete a read that waits for new records. Reads therefore do not
wait but are made at fixed intervals, so that their number does not grow with
the number of replicas. In a large fleet few gateways read for all, see
`registration_news`; then this gateway reads only if it is one of
them, or if they don't tell it the latest state in time. A request that finds the registrations
too old to be sent by them has them read at once, and waits.
*/

use {
    super::{
        Gateway, cold,
        fleet_store::{FleetStore, StoreReachability},
        freshness::{MAX_CHECK_AGE_MS, Refreshed, millis},
        rates, registration_news, slots,
    },
    crate::platform::{KeyedRecord, StoreError},
    actix_http::ResponseHead,
    actix_rt::time::{sleep, timeout},
    bytes::Bytes,
    cicadagate_node::{connection::http_client::DiscardedResponse, event},
    cicadagate_policy::{
        ids::EndpointId,
        process::{
            freshness::ACT_PERCENT,
            registration_readers::Role,
            replicas::{LeavingReplica, LeavingSource, Registration, ReplicaChange},
            reports::{MIN_PERIOD_MS, period_ms},
        },
        time::Time,
    },
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Number of reads of the registrations within the platform's drain time, so
/// that there is time left after a failed read.
const READS_PER_DRAIN: u32 = 5;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Reporting periods of the fleet over which failed reads of the latest records are retried.
/// In a large fleet that starts as a whole these reads take the store seconds, and
/// immediate retries would make all of them time out again.
const LATEST_RETRY_PERIODS: u64 = 2;
/// Longest wait for registrations that are recent enough: an operation of the store and one
/// through another gateway.
const MAX_REFRESH_WAIT: Duration = Duration::from_secs(2);
/// Most bytes of one read.
pub(super) const MAX_READ_BYTES: usize = 1024 * 1024;

/// Follows the registrations until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let mut reachability = StoreReachability::new("replicas");
    let mut role = Role::default();
    let mut is_missing_news = false;
    let mut latest = LatestRead::default();
    let mut is_wanted = false;
    loop {
        let started = gateway.now();
        cold::tick(&gateway);
        role = registration_news::next_role(&gateway, role);
        let interval = gateway.bounds().drain / READS_PER_DRAIN;
        let until_read = time_until_read(&gateway, role);
        if let Some(wait) = until_read.filter(|_| !is_wanted) {
            note_outcome(&gateway, &mut reachability, None);
            // Renewals are not told, but a replica that restarted would have been.
            gateway.replicas.borrow_mut().note_all_renewed();
            if std::mem::take(&mut is_missing_news) {
                event!(REGISTRATION_NEWS_RESUMED);
            }
            is_wanted = sleep_until_wanted(&gateway, wait.min(interval)).await;
            continue;
        }
        is_wanted = false;
        if role == Role::Served && !std::mem::replace(&mut is_missing_news, true) {
            event!(REGISTRATION_NEWS_MISSING);
        }
        let next = gateway.registration_feed.borrow().next();
        let outcome = match next {
            None => read_latest(&gateway, &mut latest).await,
            Some(from) => tokio::select! {
                outcome = read_next(&gateway, from, role) => outcome,
                // The read is no longer needed, and others may wait for the store.
                () = gateway.registrations_current.notified(), if role == Role::Served => {
                    continue;
                }
            },
        };
        note_outcome(&gateway, &mut reachability, outcome.as_ref().err());
        let is_rejected = outcome.as_ref().is_err_and(StoreError::is_not_done);
        gateway.are_registrations_rejected.set(is_rejected);
        gateway.registrations_checked_at.set(gateway.now());
        gateway.registrations_checked.notify_waiters();
        match outcome {
            Ok(Position::End) if role == Role::Reader => {
                let elapsed = Duration::from_millis(gateway.now().since(started));
                sleep_until_wanted(&gateway, interval.saturating_sub(elapsed)).await;
            }
            Ok(Position::End) => {
                sleep_until_wanted(&gateway, interval).await;
            }
            Ok(Position::Behind) => {}
            Err(StoreError::Expired { .. }) => gateway.registration_feed.borrow_mut().expire(),
            Err(_) if next.is_none() => sleep(latest_retry_delay(&gateway)).await,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Sleeps until a request needs the registrations, at most for `max`; returns whether one does.
async fn sleep_until_wanted(gateway: &Gateway, max: Duration) -> bool {
    let slept = sleep(max);
    tokio::pin!(slept);
    loop {
        tokio::select! {
            () = &mut slept => return false,
            () = gateway.registrations_wanted.notified() => {}
        }
        // They may have become known since.
        if !gateway.registrations_freshness().permits(gateway.now()) {
            return true;
        }
    }
}

/// Returns the delay after a failed read of the latest records: in a large fleet a random
/// one that grows with the number of members, otherwise [`RETRY_DELAY`].
fn latest_retry_delay(gateway: &Gateway) -> Duration {
    if gateway.bounds().store_read_bytes_per_s.is_none() {
        return RETRY_DELAY;
    }
    let extra_ms = period_ms(gateway.member_count()) - MIN_PERIOD_MS;
    let spread_ms = LATEST_RETRY_PERIODS * extra_ms;
    RETRY_DELAY + Duration::from_millis(gateway.next_random() % (spread_ms + 1))
}

/// Returns the time until this gateway reads the registrations, if others read them for it.
fn time_until_read(gateway: &Gateway, role: Role) -> Option<Duration> {
    let feed = gateway.registration_feed.borrow();
    if role != Role::Served || feed.next().is_none() {
        return None;
    }
    let limits = registration_news::read_limits(gateway);
    let due = feed.read_due(gateway.member_id, &limits);
    let wait_ms = due.since(gateway.now());
    (wait_ms > 0).then(|| Duration::from_millis(wait_ms))
}

/// Records whether the registrations were renewed while reads failed here. To be called before
/// the records are applied.
fn note_renewals(gateway: &Gateway, records: &[Bytes]) {
    if gateway.replicas.borrow().is_store_reachable() {
        return;
    }
    let keys = records.iter().filter_map(|record| {
        let item = gateway.store.decode_keyed(record)?;
        item.value.is_some().then_some(item.key)
    });
    let keys: Vec<String> = keys.collect();
    let replicas: HashSet<&String> = keys.iter().collect();
    let mut known = gateway.replicas.borrow_mut();
    known.note_renewals(gateway.now(), keys.len(), replicas.len());
}

fn note_outcome(
    gateway: &Gateway,
    reachability: &mut StoreReachability,
    failure: Option<&StoreError>,
) {
    let now = gateway.now();
    let is_reachable = reachability.note(failure);
    let mut replicas = gateway.replicas.borrow_mut();
    replicas.set_heartbeat(millis(gateway.bounds().heartbeat));
    replicas.set_store_reachable(now, is_reachable);
    let lapsed = replicas.remove_lapsed(now);
    drop(replicas);
    for replica in lapsed {
        event!(
            REPLICA_REMOVED,
            replica = replica.id.as_str(),
            reason = "no new registration after a store outage"
        );
    }
}

/// Where a read has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// At the end of the topic, or reads are repeated at intervals.
    End,
    /// Before the end of the topic; the next read follows at once.
    Behind,
}

/// A read of the latest records in pages, which goes on after a failure.
#[derive(Debug, Default)]
struct LatestRead {
    /// Keys of the pages so far.
    listed: HashSet<String>,
    after: Option<String>,
    /// Ends of the topic at the first and at the last page.
    ends: Option<(u64, u64)>,
    /// When the first page was requested.
    started: Option<Time>,
}

/// Reads all registrations, and removes replicas that are not among them.
async fn read_latest(gateway: &Rc<Gateway>, read: &mut LatestRead) -> Result<Position, StoreError> {
    registration_news::count(gateway, "latest");
    let topic = gateway.codec.replica_topic();
    loop {
        let sent = gateway.now();
        let page = gateway.store.latest(topic, read.after.as_deref()).await?;
        read.started.get_or_insert(sent);
        // The pages are not one snapshot: records appended after the first page
        // was read are read again from this offset.
        let (first, _) = read.ends.unwrap_or((page.end, page.end));
        read.ends = Some((first, page.end));
        read.after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            read.listed.insert(item.key.clone());
            apply_record(gateway, &item);
        }
        if !page.has_more || read.after.is_none() {
            break;
        }
    }
    let LatestRead {
        listed,
        ends,
        started,
        ..
    } = std::mem::take(read);
    let known = gateway.replicas.borrow().ids();
    for key in known.into_iter().filter(|id| !listed.contains(id)) {
        apply_record(gateway, &KeyedRecord { key, value: None });
    }
    let (first, last) = ends.unwrap_or_default();
    let mut feed = gateway.registration_feed.borrow_mut();
    feed.restart(started.unwrap_or_default(), first, last);
    gateway.registrations_loaded.set(true);
    Ok(Position::End)
}

async fn read_next(gateway: &Rc<Gateway>, from: u64, role: Role) -> Result<Position, StoreError> {
    let kind = match role {
        Role::Independent => "independent",
        Role::Reader => "reader",
        Role::Served => "fallback",
    };
    registration_news::count(gateway, kind);
    let sent = gateway.now();
    let topic = gateway.codec.replica_topic();
    let read = gateway
        .store
        .read(topic, 0, from, MAX_READ_BYTES, Duration::ZERO);
    let page = read.await?;
    note_renewals(gateway, &page.records);
    // News may have arrived during the read.
    let known = gateway.registration_feed.borrow().known_records(page.from);
    for record in page.records.iter().skip(known.unwrap_or(usize::MAX)) {
        let is_change = apply_raw(gateway, record);
        let mut feed = gateway.registration_feed.borrow_mut();
        feed.note_read(record, is_change);
    }
    let mut feed = gateway.registration_feed.borrow_mut();
    feed.finish_read(sent, page.end);
    if feed.next() >= Some(page.end) {
        gateway.replicas.borrow_mut().note_complete_read();
    }
    if role == Role::Reader {
        drop(feed);
        registration_news::send(gateway, page.end);
    } else {
        feed.skip_news();
        drop(feed);
    }
    if role != Role::Independent && gateway.registration_feed.borrow().is_far_behind(page.end) {
        gateway.registration_feed.borrow_mut().expire();
        return Ok(Position::Behind);
    }
    let is_behind = role != Role::Independent
        && !page.records.is_empty()
        && gateway.registration_feed.borrow().next() < Some(page.end);
    Ok(if is_behind {
        Position::Behind
    } else {
        Position::End
    })
}

/// Applies a record; returns whether it changes a registration.
pub(super) fn apply_raw(gateway: &Rc<Gateway>, record: &Bytes) -> bool {
    if let Some(item) = gateway.store.decode_keyed(record) {
        let is_change = apply_record(gateway, &item);
        let endpoint = EndpointId::of(&item.key);
        gateway.replicas.borrow_mut().note_renewed(endpoint);
        is_change
    } else {
        let topic = gateway.codec.replica_topic();
        event!(RECORD_SKIPPED, key = topic, reason = "record has no key");
        false
    }
}

fn apply_record(gateway: &Rc<Gateway>, item: &KeyedRecord) -> bool {
    let now = gateway.now();
    let id = item.key.as_str();
    let endpoint = EndpointId::of(id);
    let mut feed = gateway.registration_feed.borrow_mut();
    let Some(value) = &item.value else {
        let is_change = feed.note(endpoint, None, 0);
        drop(feed);
        note_last_version(gateway, endpoint);
        gateway.cold_replicas.borrow_mut().note_removed(endpoint);
        let change = gateway.replicas.borrow_mut().remove(now, id);
        handle_change(gateway, id, change);
        return is_change;
    };
    match gateway.codec.registration(id, value) {
        Ok(registration) => {
            let cold_left = gateway.codec.cold_left(value).unwrap_or_else(|reason| {
                event!(RECORD_SKIPPED, key = id, reason);
                Duration::ZERO
            });
            let bytes = id.len() + value.len();
            let is_cold = !cold_left.is_zero();
            let is_change = feed.note(endpoint, Some((&registration, is_cold)), bytes);
            drop(feed);
            if is_change {
                note_last_version(gateway, endpoint);
            }
            let version = registration.version();
            let mut history = gateway.version_history.borrow_mut();
            history.note(now, &registration.service, version);
            drop(history);
            let left_ms = u64::try_from(cold_left.as_millis()).unwrap_or(u64::MAX);
            cold::note_registration(gateway, &registration, left_ms);
            let change = gateway.replicas.borrow_mut().register(registration);
            handle_change(gateway, id, change);
            is_change
        }
        Err(reason) => {
            let is_change = feed.note(endpoint, None, 0);
            drop(feed);
            note_last_version(gateway, endpoint);
            let change = gateway.replicas.borrow_mut().remove(now, id);
            if change != ReplicaChange::None {
                event!(RECORD_SKIPPED, key = id, reason);
            }
            handle_change(gateway, id, change);
            is_change
        }
    }
}

/// Records the version that a record registers, and changes nothing else.
pub(super) fn note_version(gateway: &Gateway, record: &Bytes) {
    let Some(item) = gateway.store.decode_keyed(record) else {
        return;
    };
    let Some(value) = &item.value else { return };
    // The reader of registrations logs records that can't be decoded.
    if let Ok(registration) = gateway.codec.registration(&item.key, value) {
        let mut history = gateway.version_history.borrow_mut();
        history.note(gateway.now(), &registration.service, registration.version());
    }
}

/// Records that the version of a replica whose registration ends or changes was registered
/// until now. Where others read the registrations, its renewals are not seen here.
fn note_last_version(gateway: &Gateway, endpoint: EndpointId) {
    if !gateway.registration_feed.borrow().is_shared() {
        return;
    }
    let replicas = gateway.replicas.borrow();
    if let Some(replica) = replicas.get(endpoint) {
        let service = &replica.registration.service;
        let mut history = gateway.version_history.borrow_mut();
        history.note(gateway.now(), service, replica.version);
    }
}

impl Gateway {
    /// Waits until the registrations are recent enough to send by them, and has them read if
    /// needed.
    ///
    /// They are too old if reads are slow or fail, or if this process was suspended.
    pub async fn refresh_registrations(&self, max_wait: Duration) -> Refreshed {
        // A process that has just started is not to be waited for.
        if !self.registrations_loaded.get() {
            return Refreshed::Late;
        }
        let until = self.now().plus(millis(max_wait.min(MAX_REFRESH_WAIT)));
        loop {
            let checked = self.registrations_checked.notified();
            let now = self.now();
            if self.registrations_freshness().permits(now) {
                return Refreshed::Recent;
            }
            if self.is_store_away(now) {
                return Refreshed::StoreAway;
            }
            if now >= until {
                return Refreshed::Late;
            }
            self.registrations_wanted.notify_one();
            let left = Duration::from_millis(until.since(now));
            // What has become known is checked again, in time or not.
            let _ = timeout(left, checked).await;
        }
    }

    /// Returns whether the store is away for all, as far as known: the last read failed, not
    /// long ago, and no other gateway says that it reaches the store. A store that answers other
    /// reads, but not this one, may be slow or busy rather than away.
    fn is_store_away(&self, now: Time) -> bool {
        let act_ms = millis(self.bounds().drain) * ACT_PERCENT / 100;
        !self.replicas.borrow().is_store_reachable()
            && now.since(self.registrations_checked_at.get()) < MAX_CHECK_AGE_MS
            && !FleetStore::is_reached_elsewhere(self)
            && (self.are_registrations_rejected.get()
                || !self.store.has_answered_within(now, act_ms))
    }

    /// Returns whether a request may be sent to a replica now.
    #[must_use]
    pub fn may_send(&self, endpoint: EndpointId) -> bool {
        let now = self.now();
        let is_known = self.registrations_freshness().permits(now) || self.is_store_away(now);
        is_known && self.replicas.borrow().is_usable(endpoint)
    }

    /// Records what the head of a replica's response says of the replica. The
    /// request was sent at `sent_at` or later.
    pub fn note_head(
        &self,
        request: &str,
        replica: &Registration,
        head: &ResponseHead,
        sent_at: Time,
    ) {
        rates::note_head(self, request, replica, head, sent_at);
        if !head.headers.contains_key(&self.codec.headers().leaving) {
            return;
        }
        let endpoint = EndpointId::of(&replica.id);
        let source = self.replicas.borrow().leaving_source(self.now(), endpoint);
        let known_from = source.map_or("nothing", source_name);
        let counter = &self.metrics.requests_to_leaving;
        counter.with_label_values(&[known_from]).inc();
        let change = self.replicas.borrow_mut().note_leaving(replica);
        if change == ReplicaChange::Draining {
            event!(
                REPLICA_DRAINING,
                replica = replica.id.as_str(),
                source = source_name(LeavingSource::Response),
                request
            );
            slots::tell_owner_leaving(self, endpoint);
        }
        self.pool.close_idle(endpoint);
    }
}

impl Gateway {
    /// Logs responses that were discarded, and records what they say of their replicas.
    /// They are to requests that were sent at an unknown time.
    pub fn note_discarded_heads(&self) {
        for discarded in self.pool.take_discarded() {
            let endpoint = discarded.endpoint;
            self.log_discarded(&discarded);
            let replica = {
                let replicas = self.replicas.borrow();
                replicas
                    .get(endpoint)
                    .map(|replica| Rc::clone(&replica.registration))
            };
            if let Some(replica) = replica {
                self.note_head("", &replica, &discarded.head, Time::default());
            }
        }
    }

    /// Logs and counts a response that was not attributed to a request.
    pub fn log_discarded(&self, discarded: &DiscardedResponse) {
        let (head, reason) = (&discarded.head, discarded.reason.as_str());
        let counter = &self.metrics.discarded_responses;
        counter.with_label_values(&[reason]).inc();
        event!(
            RESPONSE_DISCARDED,
            request = discarded.request.as_str(),
            endpoint: = discarded.endpoint,
            status = head.status.as_u16(),
            echoed:? = head.headers.get(&self.codec.headers().request_id),
            reason
        );
    }
}

/// Records that another gateway says of a replica that it is leaving.
pub(super) fn note_told_leaving(
    gateway: &Gateway,
    endpoint: EndpointId,
    leaving: LeavingReplica,
    from: SocketAddr,
) {
    let mut replicas = gateway.replicas.borrow_mut();
    let is_new = replicas.note_told_leaving(gateway.now(), endpoint, leaving);
    if let Some(replica) = replicas.get(endpoint).filter(|_| is_new) {
        event!(
            REPLICA_DRAINING,
            replica = replica.registration.id.as_str(),
            source = source_name(LeavingSource::Member),
            member: = from,
            believed_ms = leaving.left_ms
        );
    }
}

const fn source_name(source: LeavingSource) -> &'static str {
    match source {
        LeavingSource::Response => "response",
        LeavingSource::Registration => "registration",
        LeavingSource::Member => "member",
    }
}

fn handle_change(gateway: &Rc<Gateway>, id: &str, change: ReplicaChange) {
    match change {
        ReplicaChange::None => return,
        ReplicaChange::Added => {
            let replicas = gateway.replicas.borrow();
            let replica = replicas.get(EndpointId::of(id));
            let version = replica.map_or("", |it| it.registration.software_version.as_str());
            event!(REPLICA_ADDED, replica = id, version);
        }
        ReplicaChange::Draining => event!(REPLICA_DRAINING, replica = id, source = "registration"),
        ReplicaChange::Lapsed => event!(REPLICA_LAPSED, replica = id),
        ReplicaChange::Removed => event!(REPLICA_REMOVED, replica = id, reason = "entry is gone"),
    }
    if matches!(change, ReplicaChange::Draining | ReplicaChange::Removed) {
        gateway.pool.close_idle(EndpointId::of(id));
    }
    let known = gateway.replicas.borrow().len();
    gateway.metrics.set_state("replicas", known);
}
