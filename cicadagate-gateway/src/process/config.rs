/*!
Follows the operators' records in the store: the configuration, and the data centres
that are evacuated.

A long-polling read waits for the next version, so that a new version is in
force within a few milliseconds of its acknowledgement. When another gateway
reports a newer version, the records are read at once, since the connection of
the waiting read may be dead. So they are when another gateway knows of an evacuation
that this one doesn't. A failed read is retried after a delay with
jitter. When the requested records have expired, the latest record of each key is read
instead. A version that is not newer than the one in force is ignored.

A configuration that takes the store long to send to all gateways is read as
[`large_reads`](cicadagate_policy::process::large_reads) decides: the end of the topic is
checked at intervals, and new records are read after a random delay, only the latest of each key
if there are several.

A request that finds the records too old to be judged by them has them read at once, and
waits. If they can't be read in time, it is judged by the last known ones, which deny nothing:
a request that they don't allow is refused until it can be known.

The latest records are applied together once all of them are read, evacuations
first. A process serves only with a configuration, so one that starts serves
nothing before it knows the evacuations.
*/

use {
    super::{
        Gateway, evacuation,
        fleet_store::StoreReachability,
        freshness::{Refreshed, millis},
    },
    crate::platform::{KeyedRecord, OperatorRecord, RecordPage, StoreError},
    actix_rt::time::{sleep, timeout},
    cicadagate_node::event,
    cicadagate_policy::{
        ids::Offset,
        process::large_reads::{FleetReads, LargeReads},
        time::Time,
        version::serving::ServingConfig,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
};

/// Fraction (1/2) of the time within which a record must be in force for which
/// a long-polling read waits, so that a dead connection does not use up all of
/// that time.
const WAIT_DIVISOR: u32 = 2;
/// Longest wait for records that are recent enough: callers leave if a request is not read
/// within a second.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(800);
/// Most bytes of one read; a configuration is far smaller, and so are all evacuations.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Position in the topic of the operators' records.
struct Position {
    /// Offset of the next record.
    next: u64,
    /// Last key in the order of the store; `None` if there was none.
    last_key: Option<String>,
}

/// Follows the operators' records until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let topic = gateway.codec.operator_topic();
    let mut position: Option<Position> = None;
    let mut reads = LargeReads::default();
    let mut reachability = StoreReachability::new("config");
    let mut waited = true;
    loop {
        let waits = reads.may_wait_at_store(fleet_reads(&gateway));
        if std::mem::replace(&mut waited, waits) != waits {
            log_reads_changed(&gateway, &reads, waits);
        }
        let outcome = match &mut position {
            None => {
                let read = read_latest(&gateway, topic, &mut reads).await;
                read.map(|latest| position = Some(latest))
            }
            Some(position) if waits => wait_for_next(&gateway, topic, position, &mut reads).await,
            Some(position) => check(&gateway, topic, position, &mut reads).await,
        };
        reachability.note(outcome.as_ref().err());
        gateway.is_config_unread.set(outcome.is_err());
        gateway.config_checked.notify_waiters();
        match outcome {
            Ok(()) => reads.note_success(),
            Err(StoreError::Expired { .. }) => position = None,
            Err(_) => {
                let delay_ms = reads.next_backoff_ms(gateway.next_random());
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

fn log_reads_changed(gateway: &Gateway, reads: &LargeReads, waits: bool) {
    let (fleet, bytes) = (fleet_reads(gateway), reads.expected_bytes());
    event!(
        CONFIG_READS_CHANGED,
        waits,
        bytes,
        members = fleet.members,
        transfer_ms = fleet.transfer_ms(bytes)
    );
}

fn fleet_reads(gateway: &Gateway) -> FleetReads {
    let bounds = gateway.bounds();
    FleetReads {
        members: gateway.member_count(),
        bytes_per_s: bounds.store_read_bytes_per_s,
        in_force_ms: millis(bounds.config_in_force.min(bounds.evacuation)),
    }
}

/// Returns the time that the store may take to send a record of `bytes` to all gateways.
fn transfer_time(gateway: &Gateway, bytes: u64) -> Duration {
    Duration::from_millis(fleet_reads(gateway).transfer_ms(bytes))
}

/// Reads the latest record of each key.
async fn read_latest(
    gateway: &Rc<Gateway>,
    topic: &str,
    reads: &mut LargeReads,
) -> Result<Position, StoreError> {
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    let mut end = None;
    let started = gateway.now();
    let transfer = transfer_time(gateway, reads.expected_bytes());
    loop {
        let page = gateway
            .store
            .latest_large(topic, after.as_deref(), transfer);
        let page = page.await?;
        // The pages are not one snapshot: records appended after the first page
        // was read are read again from this offset.
        end = end.or(Some(page.end));
        after = page.items.last().map(|item| item.key.clone()).or(after);
        items.extend(page.items);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let (total, largest) = sizes(&items);
    reads.note_size(largest);
    reads.note_read(started, total, fleet_reads(gateway));
    let (mut config, mut evacuated) = (None, BTreeSet::new());
    for record in items.iter().filter_map(|item| decode(gateway, item)) {
        match record {
            OperatorRecord::Config(latest) => config = Some(latest),
            OperatorRecord::Evacuation {
                data_centre,
                is_in_force: true,
            } => {
                evacuated.insert(data_centre);
            }
            OperatorRecord::Evacuation { .. } => {}
        }
    }
    evacuation::apply_all(gateway, &evacuated);
    if let Some(config) = config {
        put_in_force(gateway, *config);
    }
    gateway.config_as_of.set(Some(started));
    Ok(Position {
        next: end.unwrap_or_default(),
        last_key: after,
    })
}

/// Waits at the store for the next records, and applies them.
async fn wait_for_next(
    gateway: &Rc<Gateway>,
    topic: &str,
    position: &mut Position,
    reads: &mut LargeReads,
) -> Result<(), StoreError> {
    let bounds = gateway.bounds();
    let mut wait = bounds.config_in_force.min(bounds.evacuation) / WAIT_DIVISOR;
    let mut sent = gateway.now();
    let from = position.next;
    let read = gateway.store.read(topic, 0, from, MAX_READ_BYTES, wait);
    let page = tokio::select! {
        page = read => page?,
        () = gateway.newer_operator_record.notified() => {
            sent = gateway.now();
            wait = Duration::ZERO;
            let read = gateway
                .store
                .read(topic, 0, from, MAX_READ_BYTES, wait);
            read.await?
        }
    };
    // Nothing was appended while the store kept the read waiting.
    let waited = page.records.is_empty() && gateway.now().since(sent) >= millis(wait);
    let as_of = if waited {
        sent.plus(millis(wait))
    } else {
        sent
    };
    apply(gateway, position, reads, &page, as_of);
    Ok(())
}

/// Checks at intervals whether there are new records, and reads them when it is this
/// gateway's turn.
async fn check(
    gateway: &Rc<Gateway>,
    topic: &str,
    position: &mut Position,
    reads: &mut LargeReads,
) -> Result<(), StoreError> {
    let fleet = fleet_reads(gateway);
    let interval = Duration::from_millis(fleet.check_interval_ms());
    tokio::select! {
        () = sleep(interval) => {}
        () = gateway.newer_operator_record.notified() => {}
    }
    let sent = gateway.now();
    let end = read_end(gateway, topic, position).await?;
    if end <= position.next {
        gateway.config_as_of.set(Some(sent));
        return Ok(());
    }
    let now = gateway.now();
    let planned = reads.note_available(now, fleet, gateway.next_random());
    sleep(Duration::from_millis(planned.since(now))).await;
    // More records may have been appended meanwhile.
    let as_of = gateway.now();
    let end = read_end(gateway, topic, position).await?;
    if end > position.next + 1 {
        *position = read_latest(gateway, topic, reads).await?;
        return Ok(());
    }
    let transfer = transfer_time(gateway, reads.expected_bytes());
    // Only the next record, however large it is.
    let read = gateway
        .store
        .read_large(topic, 0, position.next, 1, Duration::ZERO, transfer);
    let page = read.await?;
    let page = RecordPage { end, ..page };
    apply(gateway, position, reads, &page, as_of);
    Ok(())
}

/// Reads the end of the topic only: there are no records after the last key.
async fn read_end(gateway: &Gateway, topic: &str, position: &Position) -> Result<u64, StoreError> {
    let last_key = position.last_key.as_deref();
    Ok(gateway.store.latest(topic, last_key).await?.end)
}

/// Applies the records of a page that was read when they were known as of `as_of`.
fn apply(
    gateway: &Rc<Gateway>,
    position: &mut Position,
    reads: &mut LargeReads,
    page: &RecordPage,
    as_of: Time,
) {
    let mut items = Vec::with_capacity(page.records.len());
    for record in &page.records {
        let Some(item) = gateway.store.decode_keyed(record) else {
            let key = gateway.codec.operator_topic();
            event!(RECORD_SKIPPED, key, reason = "record has no key");
            continue;
        };
        items.push(item);
    }
    let (total, largest) = sizes(&items);
    // An evacuation says nothing about the size of the configuration.
    reads.note_size(largest.max(reads.size()));
    reads.note_read(as_of, total, fleet_reads(gateway));
    for item in &items {
        match decode(gateway, item) {
            Some(OperatorRecord::Config(config)) => put_in_force(gateway, *config),
            Some(OperatorRecord::Evacuation {
                data_centre,
                is_in_force,
            }) => evacuation::apply(gateway, &data_centre, is_in_force),
            None => {}
        }
    }
    if let Some(item) = items.last().filter(|_| position.last_key.is_none()) {
        position.last_key = Some(item.key.clone());
    }
    position.next = page.from + page.records.len() as u64;
    if position.next >= page.end {
        gateway.config_as_of.set(Some(as_of));
    }
}

/// Returns the size of all records and that of the largest one, in bytes.
fn sizes(items: &[KeyedRecord]) -> (u64, u64) {
    let sizes = items.iter().filter_map(|item| item.value.as_ref());
    let sizes = sizes.map(|value| value.len() as u64);
    (sizes.clone().sum(), sizes.max().unwrap_or_default())
}

impl Gateway {
    /// Waits until the operators' records are recent enough to judge a request by them, and
    /// has them read if needed. There is no wait after a read that failed, directly and through
    /// another gateway, until one succeeds.
    pub async fn refresh_config(&self) -> Refreshed {
        // A process without records refuses requests anyway.
        if self.config_as_of.get().is_none() {
            return Refreshed::Late;
        }
        let until = self.now().plus(millis(MAX_REFRESH_WAIT));
        loop {
            let checked = self.config_checked.notified();
            let now = self.now();
            if self.config_freshness().permits(now) {
                return Refreshed::Recent;
            }
            if self.is_config_unread.get() || now >= until {
                return Refreshed::Late;
            }
            self.newer_operator_record.notify_one();
            let left = Duration::from_millis(until.since(now));
            // The age is checked again, in time or not.
            let _ = timeout(left, checked).await;
        }
    }
}

fn decode(gateway: &Gateway, item: &KeyedRecord) -> Option<OperatorRecord> {
    let record = gateway.codec.operator_record(item);
    let log_skipped = |reason: &String| {
        event!(
            RECORD_SKIPPED,
            key = item.key.as_str(),
            reason = reason.as_str()
        );
    };
    record.inspect_err(log_skipped).ok()
}

fn put_in_force(gateway: &Rc<Gateway>, config: ServingConfig) {
    let version = config.version();
    let before = gateway.config.borrow().version().unwrap_or_default();
    if !gateway.config.borrow_mut().replace_if_newer(config) {
        event!(CONFIG_OLDER_IGNORED, version, in_force = before);
        return;
    }
    event!(CONFIG_IN_FORCE, version, before);
    gateway
        .members
        .borrow_mut()
        .set_own_state(Offset(version), !gateway.phase().is_advertised());
}
