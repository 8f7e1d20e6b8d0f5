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

A request that finds the records too old to be judged by them has them read at once, and
waits. While they can't be read, the last known ones stay in force.

The latest records are applied together once all of them are read, evacuations
first. A process serves only with a configuration, so one that starts serves
nothing before it knows the evacuations.
*/

use {
    super::{Gateway, evacuation, fleet_store::StoreReachability, freshness::millis},
    crate::platform::{KeyedRecord, OperatorRecord, StoreError},
    actix_rt::time::{sleep, timeout},
    cicadagate_node::event,
    cicadagate_policy::{ids::Offset, version::serving::ServingConfig},
    std::{collections::BTreeSet, rc::Rc, time::Duration},
};

/// Fraction (1/2) of the time within which a record must be in force for which
/// a long-polling read waits, so that a dead connection does not use up all of
/// that time.
const WAIT_DIVISOR: u32 = 2;
/// Delay after a failed read, in milliseconds; a random part of at most the
/// same length is added.
const RETRY_DELAY_MS: u64 = 100;
/// Longest wait for records that are recent enough: callers leave if a request is not read
/// within a second.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(800);
/// Most bytes of one read; a configuration is far smaller, and so are all evacuations.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Follows the operators' records until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let topic = gateway.codec.operator_topic();
    let mut next: Option<u64> = None;
    let mut reachability = StoreReachability::new("config");
    loop {
        let outcome = match next {
            None => read_latest(&gateway, topic).await,
            Some(from) => read_next(&gateway, topic, from).await,
        };
        reachability.note(outcome.as_ref().err());
        gateway.is_config_unread.set(outcome.is_err());
        gateway.config_checked.notify_waiters();
        match outcome {
            Ok(offset) => next = Some(offset),
            Err(StoreError::Expired { .. }) => next = None,
            Err(_) => {
                let delay = RETRY_DELAY_MS + gateway.next_random() % RETRY_DELAY_MS;
                sleep(Duration::from_millis(delay)).await;
            }
        }
    }
}

async fn read_latest(gateway: &Rc<Gateway>, topic: &str) -> Result<u64, StoreError> {
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    let mut end = None;
    let started = gateway.now();
    loop {
        let page = gateway.store.latest(topic, after.as_deref()).await?;
        // The pages are not one snapshot: records appended after the first page
        // was read are read again from this offset.
        end = end.or(Some(page.end));
        after = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if !page.has_more || after.is_none() {
            break;
        }
    }
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
    Ok(end.unwrap_or_default())
}

async fn read_next(gateway: &Rc<Gateway>, topic: &str, from: u64) -> Result<u64, StoreError> {
    let bounds = gateway.bounds();
    let mut wait = bounds.config_in_force.min(bounds.evacuation) / WAIT_DIVISOR;
    let mut sent = gateway.now();
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
    for record in &page.records {
        let Some(item) = gateway.store.decode_keyed(record) else {
            event!(RECORD_SKIPPED, key = topic, reason = "record has no key");
            continue;
        };
        match decode(gateway, &item) {
            Some(OperatorRecord::Config(config)) => put_in_force(gateway, *config),
            Some(OperatorRecord::Evacuation {
                data_centre,
                is_in_force,
            }) => evacuation::apply(gateway, &data_centre, is_in_force),
            None => {}
        }
    }
    // Nothing was appended while the store kept the read waiting.
    let waited = page.records.is_empty() && gateway.now().since(sent) >= millis(wait);
    let as_of = if waited {
        sent.plus(millis(wait))
    } else {
        sent
    };
    let next = page.from + page.records.len() as u64;
    if next >= page.end {
        gateway.config_as_of.set(Some(as_of));
    }
    Ok(next)
}

impl Gateway {
    /// Waits until the operators' records are recent enough to judge a request by them, and
    /// has them read if needed. While they can't be read, directly or through another gateway,
    /// there is no wait.
    pub async fn refresh_config(&self) {
        let until = self.now().plus(millis(MAX_REFRESH_WAIT));
        while self.config_as_of.get().is_some() && !self.is_config_unread.get() {
            let checked = self.config_checked.notified();
            let now = self.now();
            if self.config_freshness().permits(now) || now >= until {
                return;
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
