/*!
Replicas that are cold, and the rates that this allows.
*/

use {
    super::Gateway,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::EndpointId,
        process::{
            cold_replicas::{ColdLimit, ColdStart, ColdTolerance, may_grant},
            replica_rates::{RateDecision, RequestRate, usable_slots_milli},
            replicas::{Registration, Replica},
            slot_ledger::Purpose,
        },
    },
};

/// Delay after which a slot at a cold replica is requested again if its owner has lost
/// contact with most members, in milliseconds.
const NO_CONTACT_RETRY_MS: u64 = 500;

impl Gateway {
    /// Returns what a service's replicas sustain while they are cold.
    pub(crate) fn cold_start(&self, service: &str) -> Option<ColdStart> {
        self.current_config()?.service(service)?.cold_start
    }

    /// Returns what an owner may grant at a replica of a service if the replica is cold.
    fn cold_limit_of(
        &self,
        endpoint: EndpointId,
        cold_start: Option<ColdStart>,
    ) -> Option<ColdLimit> {
        let cold_start = cold_start?;
        let cold = self.cold_replicas.borrow();
        if cold.left_ms(self.now(), endpoint, cold_start) == 0 {
            return None;
        }
        ColdLimit::new(cold_start, self.cold_tolerance())
    }

    fn cold_tolerance(&self) -> ColdTolerance {
        let bounds = self.bounds();
        ColdTolerance {
            excess: bounds.cold_excess,
            slack: bounds.cold_slack,
        }
    }

    /// Returns what an owner may grant at a replica if the replica is cold.
    pub(crate) fn cold_limit(&self, endpoint: EndpointId) -> Option<ColdLimit> {
        let cold_start = {
            let replicas = self.replicas.borrow();
            self.cold_start(&replicas.get(endpoint)?.registration.service)
        };
        self.cold_limit_of(endpoint, cold_start)
    }

    /// Returns the requests per second that a replica accepts: the lower one of the rate
    /// `named` and that of a cold replica. `cold_start` is that of its service.
    pub(crate) fn usable_rate(
        &self,
        replica: &Replica,
        named: Option<RequestRate>,
        cold_start: Option<ColdStart>,
    ) -> Option<RequestRate> {
        let cold = self.cold_limit_of(replica.endpoint, cold_start);
        named.into_iter().chain(cold.map(ColdLimit::rate)).min()
    }

    /// Returns the slots of a replica that can be used at the rate of a cold replica; `None` if
    /// it is not cold.
    pub(crate) fn usable_cold_slots(&self, endpoint: EndpointId) -> Option<u32> {
        let replicas = self.replicas.borrow();
        let registration = &replicas.get(endpoint)?.registration;
        let cold_start = self.cold_start(&registration.service);
        let limit = self.cold_limit_of(endpoint, cold_start)?;
        let hold_times = self.hold_times.borrow();
        let hold_ms = hold_times
            .get(&registration.service)
            .map_or(0, |held| held.ms());
        let milli = usable_slots_milli(registration.slots, Some(limit.rate()), hold_ms);
        u32::try_from(milli.div_ceil(1_000)).ok()
    }
}

/// Decides, as the owner of a replica, whether a request may be sent there if it is cold.
pub(super) fn check(
    gateway: &Gateway,
    endpoint: EndpointId,
    purpose: Purpose,
    max_wait_ms: u64,
) -> RateDecision {
    let Some(limit) = gateway.cold_limit(endpoint) else {
        return RateDecision::Unlimited;
    };
    let members = gateway.members.borrow();
    if !may_grant(members.own_info(), members.members()) {
        return RateDecision::Denied(NO_CONTACT_RETRY_MS);
    }
    let mut cold = gateway.cold_replicas.borrow_mut();
    cold.check(gateway.now(), endpoint, purpose, max_wait_ms, limit)
}

/// Records a registration that was read; `left_ms` is how long it says that the replica is
/// cold.
pub(super) fn note_registration(gateway: &Gateway, registration: &Registration, left_ms: u64) {
    let endpoint = EndpointId::of(&registration.id);
    let mut cold = gateway.cold_replicas.borrow_mut();
    cold.note_registration(gateway.now(), endpoint, registration.started_ms, left_ms);
}

/// Lets the replicas of a data centre count as cold, since its evacuation has ended.
pub(super) fn presume(gateway: &Gateway, endpoints: &[EndpointId]) {
    let now = gateway.now();
    let mut cold = gateway.cold_replicas.borrow_mut();
    for endpoint in endpoints {
        cold.presume(now, *endpoint);
    }
}

/// Logs which replicas became cold or warm, and forgets replicas that no longer exist.
pub(super) fn tick(gateway: &Gateway) {
    let replicas = gateway.replicas.borrow();
    let mut cold = gateway.cold_replicas.borrow_mut();
    cold.retain(|endpoint| replicas.get(endpoint).is_some());
    let now = gateway.now();
    let mut count = 0;
    for replica in replicas.iter() {
        let registration = &replica.registration;
        let cold_start = gateway.cold_start(&registration.service);
        let left_ms = cold_start.map_or(0, |cold_start| {
            cold.left_ms(now, replica.endpoint, cold_start)
        });
        count += usize::from(left_ms > 0);
        let id = registration.id.as_str();
        match cold.note_change(now, replica.endpoint, cold_start) {
            Some(true) => event!(REPLICA_COLD, replica = id, left_ms),
            Some(false) => event!(REPLICA_WARM, replica = id),
            None => {}
        }
    }
    gateway.metrics.set_state("cold_replicas", count);
}
