/*!
Follows the operators' configuration in the store.

A long-polling read waits for the next version, so that a new version is in
force within a few milliseconds of its acknowledgement. When another gateway
reports a newer version, the records are read at once, since the connection of
the waiting read may be dead. A failed read is retried after a delay with
jitter. When the requested records have expired, the latest version is read
instead. A version that is not newer than the one in force is ignored.
*/

use {
    super::{Gateway, fleet_store::StoreReachability},
    crate::platform::{KeyedRecord, StoreError},
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{ids::Offset, version::serving::ServingConfig},
    std::{rc::Rc, time::Duration},
};

/// Fraction (1/2) of the time within which a version must be in force for which
/// a long-polling read waits, so that a dead connection does not use up all of
/// that time.
const WAIT_DIVISOR: u32 = 2;
/// Delay after a failed read, in milliseconds; a random part of at most the
/// same length is added.
const RETRY_DELAY_MS: u64 = 100;
/// Most bytes of one read; a configuration is far smaller.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Follows the configuration until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let (topic, _) = gateway.codec.config_topic_and_key();
    let mut next: Option<u64> = None;
    let mut reachability = StoreReachability::new("config");
    loop {
        let outcome = match next {
            None => read_latest(&gateway, topic).await,
            Some(from) => read_next(&gateway, topic, from).await,
        };
        reachability.note(outcome.as_ref().err());
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
    let page = gateway.store.latest(topic, None).await?;
    for item in page.items {
        apply_record(gateway, &item);
    }
    Ok(page.end)
}

async fn read_next(gateway: &Rc<Gateway>, topic: &str, from: u64) -> Result<u64, StoreError> {
    let wait = gateway.bounds().config_in_force / WAIT_DIVISOR;
    let read = gateway.store.read(topic, 0, from, MAX_READ_BYTES, wait);
    let page = tokio::select! {
        page = read => page?,
        () = gateway.newer_config_reported.notified() => {
            let read = gateway
                .store
                .read(topic, 0, from, MAX_READ_BYTES, Duration::ZERO);
            read.await?
        }
    };
    for record in &page.records {
        if let Some(item) = gateway.store.decode_keyed(record) {
            apply_record(gateway, &item);
        }
    }
    Ok(page.from + page.records.len() as u64)
}

fn apply_record(gateway: &Rc<Gateway>, item: &KeyedRecord) {
    let (_, key) = gateway.codec.config_topic_and_key();
    let Some(value) = item.value.as_ref().filter(|_| item.key == key) else {
        return;
    };
    match gateway.codec.config(value) {
        Ok(config) => put_in_force(gateway, config),
        Err(reason) => event!(RECORD_SKIPPED, key, reason),
    }
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
