/*!
Applies evacuations of data centres.
*/

use {
    super::{Gateway, cold},
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::evacuation::{EvacuationChange, MAX_EVACUATED},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Shortest time between two reads of the operators' records that are caused by other
/// members' knowledge of an evacuation, in milliseconds. Members that disagree for longer
/// must not read at each of their requests.
const MIN_WAKE_INTERVAL_MS: u64 = 500;
/// Shortest `Retry-After` if all replicas are in evacuated data centres, in milliseconds.
/// Callers wait for up to a third of their deadline, which is 5 s or less at present.
const MIN_RETRY_MS: u64 = 500;
/// Random part of the `Retry-After`, in milliseconds.
const RETRY_JITTER_MS: u64 = 500;

/// Begins or ends the evacuation of a data centre.
pub(super) fn apply(gateway: &Gateway, data_centre: &str, is_in_force: bool) {
    let mut replicas = gateway.replicas.borrow_mut();
    let change = replicas.set_evacuated(data_centre, is_in_force);
    let affected: Vec<EndpointId> = replicas
        .replicas_in(data_centre)
        .map(|replica| replica.endpoint)
        .collect();
    let evacuated = replicas.evacuations().len();
    drop(replicas);
    match change {
        EvacuationChange::None => return,
        EvacuationChange::Begun => {
            event!(EVACUATION_BEGUN, data_centre, replicas = affected.len());
            for endpoint in affected {
                gateway.pool.close_idle(endpoint);
            }
        }
        EvacuationChange::Ended => {
            event!(EVACUATION_ENDED, data_centre, replicas = affected.len());
            cold::presume(gateway, &affected);
        }
        EvacuationChange::TooMany => event!(
            RECORD_SKIPPED,
            key = data_centre,
            reason = "too many data centres are evacuated",
            limit = MAX_EVACUATED
        ),
    }
    let metrics = &gateway.metrics;
    metrics.set_state("evacuated_data_centres", evacuated);
}

/// Ends all evacuations but those of the given data centres, and begins these.
pub(super) fn apply_all(gateway: &Gateway, data_centres: &BTreeSet<String>) {
    let ended: Vec<String> = {
        let replicas = gateway.replicas.borrow();
        let before = replicas.evacuations().iter();
        before
            .filter(|data_centre| !data_centres.contains(*data_centre))
            .map(str::to_owned)
            .collect()
    };
    for data_centre in ended {
        apply(gateway, &data_centre, false);
    }
    for data_centre in data_centres {
        apply(gateway, data_centre, true);
    }
}

/// Reads the operators' records at once if the owner of a replica knows of an evacuation of
/// its data centre and this process does not.
pub(super) fn note_told(gateway: &Gateway, endpoint: EndpointId) {
    let now = gateway.now();
    let is_due = now.since(gateway.last_evacuation_wake.get()) >= MIN_WAKE_INTERVAL_MS;
    if is_due && !gateway.replicas.borrow().is_evacuated(endpoint) {
        gateway.last_evacuation_wake.set(now);
        gateway.newer_operator_record.notify_one();
    }
}

impl Gateway {
    /// Returns when to retry a request if all replicas of its service are in evacuated data
    /// centres.
    pub(crate) fn retry_after_evacuation(&self, service: &str) -> Option<Duration> {
        let is_evacuated = self.replicas.borrow().is_service_evacuated(service);
        is_evacuated
            .then(|| Duration::from_millis(MIN_RETRY_MS + self.next_random() % RETRY_JITTER_MS))
    }
}
