/*!
Follows the replicas' registrations in the store.

Every replica renews its registration about once a second, and each of those
records would complete a read that waits for new records. Reads therefore do not
wait but are made at fixed intervals, so that their number does not grow with
the number of replicas.
*/

use {
    super::{Gateway, fleet_store::StoreReachability, rates, slots},
    crate::platform::{KeyedRecord, StoreError},
    actix_http::ResponseHead,
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::replicas::{LeavingReplica, LeavingSource, Registration, ReplicaChange},
        time::Time,
    },
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Number of reads of the registrations within the platform's drain time, so
/// that there is time left after a failed read.
const READS_PER_DRAIN: u32 = 5;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most bytes of one read.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Reads the registrations periodically until the process ends.
pub(super) async fn follow(gateway: Rc<Gateway>) {
    let mut next: Option<u64> = None;
    let mut reachability = StoreReachability::new("replicas");
    loop {
        let outcome = match next {
            None => read_latest(&gateway).await,
            Some(from) => read_next(&gateway, from).await,
        };
        let now = gateway.now();
        let is_reachable = reachability.note(outcome.as_ref().err());
        gateway
            .replicas
            .borrow_mut()
            .set_store_reachable(now, is_reachable);
        let lapsed = gateway.replicas.borrow_mut().remove_lapsed(now);
        for replica in lapsed {
            event!(
                REPLICA_REMOVED,
                replica = replica.id.as_str(),
                reason = "no new registration after a store outage"
            );
        }
        match outcome {
            Ok(offset) => {
                next = Some(offset);
                gateway.registrations_loaded.set(true);
                sleep(gateway.bounds().drain / READS_PER_DRAIN).await;
            }
            Err(StoreError::Expired { .. }) => next = None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads all registrations, and removes replicas that are not among them.
async fn read_latest(gateway: &Rc<Gateway>) -> Result<u64, StoreError> {
    let topic = gateway.codec.replica_topic();
    let mut listed = HashSet::new();
    let mut after: Option<String> = None;
    let mut end = None;
    loop {
        let page = gateway.store.latest(topic, after.as_deref()).await?;
        // The pages are not one snapshot: records appended after the first page
        // was read are read again from this offset.
        end = end.or(Some(page.end));
        after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            listed.insert(item.key.clone());
            apply_record(gateway, &item);
        }
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let known = gateway.replicas.borrow().ids();
    for key in known.into_iter().filter(|id| !listed.contains(id)) {
        apply_record(gateway, &KeyedRecord { key, value: None });
    }
    Ok(end.unwrap_or_default())
}

async fn read_next(gateway: &Rc<Gateway>, from: u64) -> Result<u64, StoreError> {
    let topic = gateway.codec.replica_topic();
    let read = gateway
        .store
        .read(topic, 0, from, MAX_READ_BYTES, Duration::ZERO);
    let page = read.await?;
    for record in &page.records {
        if let Some(item) = gateway.store.decode_keyed(record) {
            apply_record(gateway, &item);
            let endpoint = EndpointId::of(&item.key);
            gateway.replicas.borrow_mut().note_renewed(endpoint);
        } else {
            event!(RECORD_SKIPPED, key = topic, reason = "record has no key");
        }
    }
    let next = page.from + page.records.len() as u64;
    if next >= page.end {
        gateway.replicas.borrow_mut().note_complete_read();
    }
    Ok(next)
}

fn apply_record(gateway: &Rc<Gateway>, item: &KeyedRecord) {
    let now = gateway.now();
    let id = item.key.as_str();
    let Some(value) = &item.value else {
        let change = gateway.replicas.borrow_mut().remove(now, id);
        handle_change(gateway, id, change);
        return;
    };
    match gateway.codec.registration(id, value) {
        Ok(registration) => {
            let version = registration.version();
            let mut history = gateway.version_history.borrow_mut();
            history.note(now, &registration.service, version);
            drop(history);
            let change = gateway.replicas.borrow_mut().register(registration);
            handle_change(gateway, id, change);
        }
        Err(reason) => {
            let change = gateway.replicas.borrow_mut().remove(now, id);
            if change != ReplicaChange::None {
                event!(RECORD_SKIPPED, key = id, reason);
            }
            handle_change(gateway, id, change);
        }
    }
}

impl Gateway {
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
    /// Records what responses that were discarded say of their replicas. They were to
    /// requests that were sent at an unknown time.
    pub fn note_discarded_heads(&self) {
        for (endpoint, head) in self.pool.take_discarded_heads() {
            let replica = {
                let replicas = self.replicas.borrow();
                replicas
                    .get(endpoint)
                    .map(|replica| Rc::clone(&replica.registration))
            };
            if let Some(replica) = replica {
                self.note_head("", &replica, &head, Time::default());
            }
        }
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
