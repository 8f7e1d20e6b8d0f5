/*!
The set of replicas that a process may send to, and the choice among them.

# Problem

Replicas register themselves in the platform's store. Entries arrive late,
lapse while the store is unreachable, and may be written by other software.
Replicas crash without notice, become slow, or fail some of their requests
while their entry reports them as ready.

# Choice

An entry that can't be decoded names no replica and does not affect others. A
replica that reports itself as draining, or whose entry is removed, gets no
new requests from then on. So does one that says in a response that it is leaving:
that incarnation, and any earlier one of the same id, stays out of use whatever
its entry says later, since entries may be older than the response. The exception is an entry that is removed while the
store is unreachable or has been so within [`LAPSED_RETENTION_MS`]: its replica
is kept until that time is over, since live replicas register again within it. An
outage counts only from [`MIN_OUTAGE_HEARTBEATS`] on: entries lapse after a longer
silence of their replicas. Nor does it count if the registrations were renewed all the
time: then the store was only out of reach here.

A member that was told so tells the owner of the replica's slots, and the owner each member
that asks for a slot there. The word of a member only ranks the replica last, and for a
limited time: a sound replica never becomes unusable by it.

Replicas in a data centre that the operators have evacuated get nothing new until the
evacuation ends; see [`evacuation`](super::evacuation).

A replica that failed is avoided for a time that doubles with each further
failure up to [`MAX_AVOID_MS`]; it is still used if no other is left. A
success ends the avoidance. A replica that takes no connections is avoided
until a probe, which only connects to it, succeeds: no request is spent on
finding out.
Replicas that other members suspect, or that refused a request for lack of
capacity, are likewise used only if no better one is left.

Among the remaining replicas one is drawn at random, with a weight that rises
with its free slots, as counted by this process and reported by others. The
reports lag behind by some requests: if every process picked the replica with
the most free slots, all would pick the same one. The older the reports can
be, the less their online requests count, and not at all once the reporting
period is as long as a request takes. Otherwise the replicas that were free
before a peak would get all of it in a large fleet. If no replica has a free
slot, the one with the lowest share of used slots is chosen.
*/

use {
    super::{
        evacuation::{EvacuationChange, Evacuations},
        reachability::{REACHED_MS, Reach},
        reports::InFlight,
        version_record::VersionRecord,
    },
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{EndpointId, SoftwareVersion, mix64},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
};

/// How long entries that lapsed while the store was unreachable are kept after
/// it is reachable again, in milliseconds.
pub const LAPSED_RETENTION_MS: u64 = 2_300;
/// Time between two renewals of a registration for which the store must have been
/// unreachable for its outage to have made entries lapse: an entry lapses after three, of
/// which a part may be over when the outage begins.
pub const MIN_OUTAGE_HEARTBEATS: u64 = 2;
/// Share of the renewals that are due since the last successful read from which on the store
/// counts as not having been away, in percent. After an outage each replica renews its
/// registration once at its end, and from then on as usual.
pub const RENEWED_PERCENT: u64 = 75;
/// How long a replica is avoided after its first failure, in milliseconds.
pub const MIN_AVOID_MS: u64 = 250;
/// Maximum time that a replica is avoided after a failure, in milliseconds.
pub const MAX_AVOID_MS: u64 = 4_000;

/// Most replicas that are remembered as leaving.
pub const MAX_LEAVING: usize = 4_096;
/// How long a member believes another one that a replica is leaving, in milliseconds.
/// Meanwhile its own responses and the registration tell.
pub const TOLD_LEAVING_MS: u64 = 10_000;

/// From what a member knows that a replica is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// A response to one of its own requests.
    Response,
    /// The replica's registration.
    Registration,
    /// Another member.
    Member,
}

/// An incarnation of a replica that is leaving, as told to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingReplica {
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// How long the other member may believe it, in milliseconds.
    pub left_ms: u64,
}

/// A replica's registration, as written by the replica itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Id of the replica, the key of its entry.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Name of the version of its software; empty if the registration names none.
    pub software_version: String,
    /// Whether it takes no new requests and will exit.
    pub is_draining: bool,
    /// Start time in milliseconds since the Unix epoch; distinguishes
    /// incarnations with the same id.
    pub started_ms: u64,
}

impl Registration {
    /// Returns the id of the version of the replica's software.
    #[must_use]
    pub fn version(&self) -> SoftwareVersion {
        SoftwareVersion::of_service(&self.service, &self.software_version)
    }
}

/// The replicas among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Replicas that are not chosen.
    pub excluded: &'a [EndpointId],
    /// Version of the software that the replica must run, any if `None`.
    pub version: Option<SoftwareVersion>,
    /// Recorded versions. Replicas of others are chosen only if all those of recorded
    /// versions are avoided; `None` if it does not matter.
    pub recorded: Option<&'a VersionRecord>,
    /// What is asked of the proof that the replica runs the version of its registration.
    pub proof: VersionProof,
}

/// What is asked of the proof that a replica runs the version of its registration. After
/// contact with a replica was lost it may have restarted under its id with other software,
/// until a registration that it wrote later is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionProof {
    /// The version does not matter.
    #[default]
    None,
    /// Other replicas are preferred to those with which contact was lost.
    Preferred,
    /// Likewise, and those that refused connections are not chosen.
    Required,
}

/// Contact with a replica was lost, so that it may have restarted.
#[derive(Clone, Copy, Debug)]
struct LostContact {
    /// Complete reads of the registrations before.
    reads: u64,
    /// Whether the replica refused a connection, as while it restarts.
    is_refused: bool,
}

impl<'a> Wanted<'a> {
    /// All replicas of a service.
    #[must_use]
    pub const fn of(service: &'a str) -> Self {
        Self {
            service,
            excluded: &[],
            version: None,
            recorded: None,
            proof: VersionProof::None,
        }
    }

    /// Returns the record if it has a version of replicas that are not avoided.
    fn usable_record<'r>(
        &self,
        now: Time,
        mut replicas: impl Iterator<Item = &'r Replica>,
    ) -> Option<&'a VersionRecord> {
        self.recorded.filter(|recorded| {
            replicas
                .any(|replica| !replica.is_avoided(now) && recorded.is_recorded(replica.version))
        })
    }

    fn allows(&self, replica: &Replica) -> bool {
        let has_version = self.version.is_none_or(|wanted| replica.version == wanted);
        !self.excluded.contains(&replica.endpoint)
            && (has_version || is_injected(Fault::IgnoreSoftwareVersion))
    }
}

/// A replica and its state as seen by this process.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The replica's registration.
    pub registration: Rc<Registration>,
    /// Hash of the registration's id, for maps and reports.
    pub endpoint: EndpointId,
    /// Version of the software that it runs.
    pub version: SoftwareVersion,
    lapsed: bool,
    failures: u32,
    avoid_until: Time,
    full_until: Time,
    /// Time of the last response or connection.
    last_reached: Option<Time>,
    /// Time of the next probe; `None` unless the replica is unreachable.
    next_probe_at: Option<Time>,
    /// Set until a registration that was written later is read.
    lost_contact: Option<LostContact>,
}

impl Replica {
    /// Returns how doubtful it is that the replica runs the version of its registration:
    /// 0 if there is no doubt, 1 if a connection was lost, 2 if it refused one.
    fn doubt(&self) -> u8 {
        let lost = self
            .lost_contact
            .filter(|_| !is_injected(Fault::TrustLostReplicas));
        lost.map_or(0, |lost| 1 + u8::from(lost.is_refused))
    }

    /// Returns whether the replica is avoided at `now`, after a failure or
    /// because it is unreachable.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        self.next_probe_at.is_some() || now < self.avoid_until
    }

    /// Returns whether the replica was reached within `reached_ms`.
    fn is_reached(&self, now: Time, reached_ms: u64) -> bool {
        let is_recent = |at| now.since(at) < reached_ms;
        self.next_probe_at.is_none() && self.last_reached.is_some_and(is_recent)
    }
}

/// How long a replica counts as full after it refused a request for lack of
/// capacity, in milliseconds: about the time until another of its requests
/// ends.
pub const FULL_REPLICA_MS: u64 = 120;

/// Time between two probes of an unreachable replica, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 400;

/// Factor on the weight of a replica to which an idle connection is kept.
///
/// Weights are squares of free slots, so the replica counts as if it had eight
/// times as many. A new connection costs the replica time and may occupy one
/// of its slots.
pub const CONNECTED_WEIGHT: u64 = 64;

/// A change of the set of replicas, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// No change in which replicas may be used.
    None,
    /// The replica may be used from now on.
    Added,
    /// The replica reports that it is draining and gets no new requests.
    Draining,
    /// The replica's entry was removed and it gets no new requests.
    Removed,
    /// The replica's entry was removed, but the store is or was unreachable;
    /// the replica is kept for now.
    Lapsed,
}

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSet {
    replicas: BTreeMap<EndpointId, Replica>,
    by_service: HashMap<String, Vec<EndpointId>>,
    /// Replicas that said in a response that they are leaving, with the start
    /// time of the latest incarnation that did.
    leaving: HashMap<EndpointId, u64>,
    /// Replicas of which another member says that they are leaving: start time of the
    /// incarnation, and until when that is believed.
    told_leaving: HashMap<EndpointId, (u64, Time)>,
    store_unreachable_since: Option<Time>,
    /// When the store was last known to be reachable.
    store_reached_at: Time,
    /// Shortest outage of the store that makes entries lapse, in milliseconds.
    min_outage_ms: u64,
    store_recovered_at: Option<Time>,
    evacuations: Evacuations,
    /// Reads of the registrations that reached their end.
    complete_reads: u64,
}

impl ReplicaSet {
    /// Sets the time between two renewals of a registration, in milliseconds. Until it is
    /// set, each outage of the store counts.
    pub const fn set_heartbeat(&mut self, heartbeat_ms: u64) {
        self.min_outage_ms = MIN_OUTAGE_HEARTBEATS * heartbeat_ms;
    }

    /// Records whether the store is reachable.
    pub fn set_store_reachable(&mut self, now: Time, is_reachable: bool) {
        if is_reachable {
            if self.is_long_outage(now) {
                self.store_recovered_at = Some(now);
            }
            self.store_unreachable_since = None;
            self.store_reached_at = now;
        } else {
            self.store_unreachable_since.get_or_insert(now);
        }
    }

    /// Records what the first read after failed ones has brought: `records` renewals of
    /// `replicas` registrations. If these were renewed all the time, the store was not away but
    /// only out of reach here, and no entries have lapsed.
    pub fn note_renewals(&mut self, now: Time, records: usize, replicas: usize) {
        let heartbeat_ms = self.min_outage_ms / MIN_OUTAGE_HEARTBEATS;
        let gap_ms = now.since(self.store_reached_at);
        let renewed_ms = (records as u64).saturating_mul(heartbeat_ms);
        let needed_ms = (replicas as u64).saturating_mul(gap_ms) / 100 * RENEWED_PERCENT;
        if replicas > 0 && heartbeat_ms > 0 && renewed_ms >= needed_ms {
            self.store_reached_at = now;
        }
    }

    /// Returns whether the store is unreachable, and may have been for so long that entries
    /// have lapsed.
    fn is_long_outage(&self, now: Time) -> bool {
        // It may have begun right after the last success.
        self.store_unreachable_since.is_some()
            && now.since(self.store_reached_at) >= self.min_outage_ms
    }

    /// Returns whether the store is reachable, as far as known.
    #[must_use]
    pub const fn is_store_reachable(&self) -> bool {
        self.store_unreachable_since.is_none()
    }

    fn keeps_lapsed(&self, now: Time) -> bool {
        self.is_long_outage(now)
            || self
                .store_recovered_at
                .is_some_and(|recovered| now.since(recovered) < LAPSED_RETENTION_MS)
    }

    /// Adds or updates a replica by its registration.
    pub fn register(&mut self, registration: Registration) -> ReplicaChange {
        let endpoint = EndpointId::of(&registration.id);
        if is_injected(Fault::ForgetLeavingOnRegistration) {
            self.leaving.remove(&endpoint);
        }
        let old = self.replicas.get(&endpoint);
        if old.is_some_and(|old| !old.lapsed && *old.registration == registration) {
            return ReplicaChange::None;
        }
        let is_draining = !self.takes_requests(&registration);
        let was_usable = old.is_some_and(|old| {
            self.takes_requests(&old.registration)
                && old.registration.started_ms == registration.started_ms
                && old.registration.addr == registration.addr
        });
        let (failures, avoid_until, last_reached) = match old {
            Some(old) if was_usable => (old.failures, old.avoid_until, old.last_reached),
            _ => (0, Time::default(), None),
        };
        // A later incarnation wrote its own version.
        let lost_contact = old
            .filter(|old| old.registration.started_ms >= registration.started_ms)
            .and_then(|old| old.lost_contact);
        let replica = Replica {
            version: registration.version(),
            registration: Rc::new(registration),
            endpoint,
            lapsed: false,
            failures,
            avoid_until,
            full_until: Time::default(),
            last_reached,
            next_probe_at: None,
            lost_contact,
        };
        self.replicas.insert(endpoint, replica);
        self.rebuild_index();
        match (was_usable, is_draining) {
            (true, true) => ReplicaChange::Draining,
            (true, false) | (false, true) => ReplicaChange::None,
            (false, false) => ReplicaChange::Added,
        }
    }

    /// Records that an incarnation of a replica said in a response that it is
    /// leaving.
    pub fn note_leaving(&mut self, registration: &Registration) -> ReplicaChange {
        let endpoint = EndpointId::of(&registration.id);
        let was_usable = self.is_usable(endpoint);
        if self.leaving.len() >= MAX_LEAVING && !self.leaving.contains_key(&endpoint) {
            let replicas = &self.replicas;
            self.leaving.retain(|known, _| replicas.contains_key(known));
        }
        let started_ms = self.leaving.entry(endpoint).or_default();
        *started_ms = (*started_ms).max(registration.started_ms);
        if !was_usable || self.is_usable(endpoint) {
            return ReplicaChange::None;
        }
        self.rebuild_index();
        ReplicaChange::Draining
    }

    /// Records that another member says of a replica that it is leaving; returns whether
    /// that was not known here. The replica is used only if no other is left.
    pub fn note_told_leaving(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        told: LeavingReplica,
    ) -> bool {
        let is_known = self.leaving_source(now, endpoint).is_some();
        self.told_leaving.retain(|_, (_, until)| now < *until);
        if self.told_leaving.len() < MAX_LEAVING {
            let until = now.plus(told.left_ms.min(TOLD_LEAVING_MS));
            self.told_leaving.insert(endpoint, (told.started_ms, until));
        }
        !is_known && self.leaving_source(now, endpoint).is_some()
    }

    /// Returns from what it is known that a replica is leaving, if it is.
    #[must_use]
    pub fn leaving_source(&self, now: Time, endpoint: EndpointId) -> Option<LeavingSource> {
        let registration = &self.replicas.get(&endpoint)?.registration;
        let said = self.leaving.get(&endpoint);
        if said.is_some_and(|started_ms| registration.started_ms <= *started_ms) {
            Some(LeavingSource::Response)
        } else if registration.is_draining {
            Some(LeavingSource::Registration)
        } else {
            self.is_told_leaving(now, registration, endpoint)
                .then_some(LeavingSource::Member)
        }
    }

    fn is_told_leaving(
        &self,
        now: Time,
        registration: &Registration,
        endpoint: EndpointId,
    ) -> bool {
        let told = self.told_leaving.get(&endpoint);
        told.is_some_and(|(started_ms, until)| {
            registration.started_ms <= *started_ms && now < *until
        })
    }

    /// Returns what to tell another member of a replica that is leaving.
    #[must_use]
    pub fn leaving_replica(&self, now: Time, endpoint: EndpointId) -> Option<LeavingReplica> {
        let source = self.leaving_source(now, endpoint)?;
        let left_ms = match source {
            LeavingSource::Response | LeavingSource::Registration => TOLD_LEAVING_MS,
            // Members that tell each other must not prolong it.
            LeavingSource::Member => self.told_leaving.get(&endpoint)?.1.since(now),
        };
        let started_ms = self.replicas.get(&endpoint)?.registration.started_ms;
        Some(LeavingReplica {
            started_ms,
            left_ms,
        })
    }

    /// Returns whether a replica may be sent new requests.
    #[must_use]
    pub fn is_usable(&self, endpoint: EndpointId) -> bool {
        self.replicas.get(&endpoint).is_some_and(|replica| {
            self.takes_requests(&replica.registration)
                && !self.is_in_evacuated(&replica.registration)
        })
    }

    /// Begins or ends the evacuation of a data centre.
    pub fn set_evacuated(&mut self, data_centre: &str, is_in_force: bool) -> EvacuationChange {
        let change = self.evacuations.set(data_centre, is_in_force);
        if matches!(change, EvacuationChange::Begun | EvacuationChange::Ended) {
            self.rebuild_index();
        }
        change
    }

    /// Returns the data centres that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns an iterator over all known replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Returns the replicas of a data centre.
    pub fn replicas_in(&self, data_centre: &str) -> impl Iterator<Item = &Replica> {
        self.replicas
            .values()
            .filter(move |replica| replica.registration.data_centre == data_centre)
    }

    /// Returns whether a replica is in an evacuated data centre.
    #[must_use]
    pub fn is_evacuated(&self, endpoint: EndpointId) -> bool {
        let replica = self.replicas.get(&endpoint);
        replica.is_some_and(|replica| self.is_in_evacuated(&replica.registration))
    }

    /// Returns whether a service has replicas that would take requests, all of them in
    /// evacuated data centres.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        !self.evacuations.is_empty()
            && !self.by_service.contains_key(service)
            && self.replicas.values().any(|replica| {
                replica.registration.service == service
                    && self.takes_requests(&replica.registration)
            })
    }

    fn is_in_evacuated(&self, registration: &Registration) -> bool {
        self.evacuations.contains(&registration.data_centre)
            && !is_injected(Fault::IgnoreEvacuation)
    }

    fn takes_requests(&self, registration: &Registration) -> bool {
        let leaving = self.leaving.get(&EndpointId::of(&registration.id));
        let is_leaving = leaving.is_some_and(|started_ms| registration.started_ms <= *started_ms);
        !registration.is_draining && !is_leaving
    }

    /// Handles the removal of a replica's entry.
    pub fn remove(&mut self, now: Time, id: &str) -> ReplicaChange {
        let keeps_lapsed = self.keeps_lapsed(now);
        let endpoint = EndpointId::of(id);
        match self.replicas.get_mut(&endpoint) {
            None => ReplicaChange::None,
            Some(replica) if keeps_lapsed && !replica.registration.is_draining => {
                replica.lapsed = true;
                ReplicaChange::Lapsed
            }
            Some(_) => {
                self.replicas.remove(&endpoint);
                self.rebuild_index();
                ReplicaChange::Removed
            }
        }
    }

    /// Removes and returns the replicas that lapsed and did not register again,
    /// once the store has been reachable for [`LAPSED_RETENTION_MS`].
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<Rc<Registration>> {
        if self.keeps_lapsed(now) {
            return Vec::new();
        }
        let lapsed: Vec<EndpointId> = self
            .replicas
            .values()
            .filter(|replica| replica.lapsed)
            .map(|replica| replica.endpoint)
            .collect();
        let removed = lapsed
            .iter()
            .filter_map(|endpoint| self.replicas.remove(endpoint))
            .map(|replica| replica.registration)
            .collect::<Vec<_>>();
        if !removed.is_empty() {
            self.rebuild_index();
        }
        removed
    }

    /// Returns the ids of all known replicas.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.replicas
            .values()
            .map(|replica| replica.registration.id.clone())
            .collect()
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        for replica in self.replicas.values() {
            let registration = &replica.registration;
            if self.takes_requests(registration) && !self.is_in_evacuated(registration) {
                self.by_service
                    .entry(replica.registration.service.clone())
                    .or_default()
                    .push(replica.endpoint);
            }
        }
    }

    /// Returns a replica.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId) -> Option<&Replica> {
        self.replicas.get(&endpoint)
    }

    /// Returns an iterator over a service's replicas that are not draining and not in an
    /// evacuated data centre.
    pub fn replicas_of(&self, service: &str) -> impl Iterator<Item = &Replica> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|endpoint| self.replicas.get(endpoint))
    }

    /// Returns how many replicas of a service that are not draining this process reaches.
    #[must_use]
    pub fn reach(&self, now: Time, service: &str) -> Reach {
        let mut reach = Reach::default();
        for replica in self.replicas_of(service) {
            reach.total += 1;
            reach.unreachable += usize::from(replica.next_probe_at.is_some());
            reach.reached += usize::from(replica.is_reached(now, REACHED_MS));
        }
        reach
    }

    /// Returns up to `count` replicas of a service that are not known to be unreachable, and
    /// were not reached within `reached_ms`.
    #[must_use]
    pub fn untested(
        &self,
        now: Time,
        service: &str,
        reached_ms: u64,
        count: usize,
    ) -> Vec<(EndpointId, SocketAddr)> {
        let untested = self.replicas_of(service).filter(|replica| {
            replica.next_probe_at.is_none() && !replica.is_reached(now, reached_ms)
        });
        let untested = untested.map(|replica| (replica.endpoint, replica.registration.addr));
        untested.take(count).collect()
    }

    /// Returns the services that have replicas which are not draining and not in an
    /// evacuated data centre.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// Returns the number of known replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Records a response of a replica, which ends its avoidance.
    pub fn note_success(&mut self, now: Time, endpoint: EndpointId) {
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.last_reached = Some(now);
            replica.failures = 0;
            replica.avoid_until = Time::default();
            replica.next_probe_at = None;
        }
    }

    /// Records a failed request; returns the number of consecutive failures.
    pub fn note_failure(&mut self, now: Time, endpoint: EndpointId) -> u32 {
        let Some(replica) = self.replicas.get_mut(&endpoint) else {
            return 0;
        };
        let doublings = replica.failures.min(8);
        replica.failures = replica.failures.saturating_add(1);
        let avoid_ms = (MIN_AVOID_MS << doublings).min(MAX_AVOID_MS);
        replica.avoid_until = now.plus(avoid_ms);
        replica.failures
    }

    /// Records that a replica takes no connections or does not respond.
    pub fn note_unreachable(&mut self, now: Time, endpoint: EndpointId) {
        self.note_failure(now, endpoint);
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.next_probe_at = Some(now.plus(PROBE_INTERVAL_MS));
        }
    }

    /// Records that a read of the registrations reached their end.
    pub const fn note_complete_read(&mut self) {
        self.complete_reads += 1;
    }

    /// Records that a connection to a replica was lost or refused; returns whether that is
    /// news since the last registration.
    pub fn note_lost_contact(&mut self, endpoint: EndpointId, is_refused: bool) -> bool {
        let reads = self.complete_reads;
        let Some(replica) = self.replicas.get_mut(&endpoint) else {
            return false;
        };
        let before = replica.doubt();
        let was_refused = replica.lost_contact.is_some_and(|lost| lost.is_refused);
        replica.lost_contact = Some(LostContact {
            reads,
            is_refused: is_refused || was_refused,
        });
        replica.doubt() > before
    }

    /// Records that a record of a replica's registration was read, in a read that follows
    /// the previous one without a gap.
    pub fn note_renewed(&mut self, endpoint: EndpointId) {
        let reads = self.complete_reads;
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            // The read under way when contact was lost, and the one after it, may bring
            // records that were written before.
            let is_later = |lost: &LostContact| reads >= lost.reads + 2;
            if replica.lost_contact.as_ref().is_some_and(is_later) {
                replica.lost_contact = None;
            }
        }
    }

    /// Records that all registrations are known up to now, and that none has changed
    /// unless it was applied.
    pub fn note_all_renewed(&mut self) {
        self.note_complete_read();
        let endpoints: Vec<EndpointId> = self.replicas.keys().copied().collect();
        for endpoint in endpoints {
            self.note_renewed(endpoint);
        }
    }

    /// Returns the unreachable replicas that are due for a probe.
    pub fn due_probes(&mut self, now: Time) -> Vec<(EndpointId, SocketAddr)> {
        let due = self.replicas.values_mut().filter_map(|replica| {
            let next = replica.next_probe_at.as_mut()?;
            if now < *next {
                return None;
            }
            *next = now.plus(PROBE_INTERVAL_MS);
            Some((replica.endpoint, replica.registration.addr))
        });
        due.collect()
    }

    /// Records that a replica takes connections; returns whether it was
    /// unreachable before.
    pub fn note_reachable(&mut self, now: Time, endpoint: EndpointId) -> bool {
        let Some(replica) = self.replicas.get_mut(&endpoint) else {
            return false;
        };
        replica.last_reached = Some(now);
        replica.next_probe_at.take().is_some()
    }

    /// Records that a replica refused a request for lack of capacity.
    pub fn note_full(&mut self, now: Time, endpoint: EndpointId) {
        self.note_full_for(now, endpoint, FULL_REPLICA_MS);
    }

    /// Records that a replica accepts no request for some time.
    pub fn note_full_for(&mut self, now: Time, endpoint: EndpointId, ms: u64) {
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.full_until = now.plus(ms);
        }
    }

    /// Returns the total slots of a service's replicas that are not avoided. Less than a
    /// slot counts as one: an idle service takes a request, however few it sustains.
    ///
    /// `usable_milli` returns how many thousandths of a slot of a replica can be
    /// used.
    #[must_use]
    pub fn usable_slots(
        &self,
        now: Time,
        service: &str,
        usable_milli: impl Fn(&Replica) -> u64,
    ) -> u32 {
        let usable = self
            .replicas_of(service)
            .filter(|replica| !replica.is_avoided(now));
        let total_milli: u64 = usable.map(usable_milli).sum();
        u32::try_from(total_milli.div_ceil(1_000)).unwrap_or(u32::MAX)
    }

    /// Returns the replicas of a service whose slots count: those that are not avoided. If
    /// all are, those that can be reached, which [`choose`](Self::choose) still uses.
    #[must_use]
    pub fn counted(&self, now: Time, service: &str) -> Vec<&Replica> {
        let reachable = |replica: &&Replica| replica.next_probe_at.is_none();
        let (avoided, usable): (Vec<&Replica>, Vec<&Replica>) = self
            .replicas_of(service)
            .filter(reachable)
            .partition(|replica| replica.is_avoided(now));
        if usable.is_empty() { avoided } else { usable }
    }

    /// Returns the replicas to suspect: those that are unreachable, or avoided after more
    /// than one failure. Replicas of services from which this process is cut off are not
    /// suspected, since the fault is on its side.
    #[must_use]
    pub fn suspects(&self, now: Time) -> Vec<EndpointId> {
        let cut_off: Vec<&str> = self
            .services()
            .filter(|service| self.reach(now, service).is_cut_off())
            .collect();
        let is_avoided = |replica: &&Replica| {
            replica.next_probe_at.is_some() || (replica.is_avoided(now) && replica.failures > 1)
        };
        self.replicas
            .values()
            .filter(is_avoided)
            .filter(|replica| !cut_off.contains(&replica.registration.service.as_str()))
            .map(|replica| replica.endpoint)
            .collect()
    }

    /// Returns whether a service has a replica of a software version that is not
    /// draining.
    #[must_use]
    pub fn serves_version(&self, service: &str, version: SoftwareVersion) -> bool {
        self.replicas_of(service)
            .any(|replica| replica.version == version)
    }

    /// Returns whether a service has a replica of a software version of which nobody says
    /// that it is leaving.
    #[must_use]
    pub fn keeps_version(&self, now: Time, service: &str, version: SoftwareVersion) -> bool {
        let mut replicas = self.replicas_of(service);
        replicas.any(|replica| {
            replica.version == version
                && !self.is_told_leaving(now, &replica.registration, replica.endpoint)
        })
    }

    /// Returns the software versions of a service's replicas, draining ones included.
    pub fn versions_of(&self, service: &str) -> impl Iterator<Item = SoftwareVersion> {
        self.replicas
            .values()
            .filter(move |replica| replica.registration.service == service)
            .map(|replica| replica.version)
    }

    /// Returns the names of the software versions of a service's replicas, draining ones
    /// included.
    pub fn version_names_of(&self, service: &str) -> impl Iterator<Item = &str> {
        self.replicas
            .values()
            .map(|replica| &replica.registration)
            .filter(move |registration| registration.service == service)
            .map(|registration| registration.software_version.as_str())
    }

    /// Chooses one of the wanted replicas.
    ///
    /// `replica_load` returns the load and state of a replica. `seed` is a
    /// random number.
    pub fn choose(
        &self,
        now: Time,
        wanted: &Wanted<'_>,
        seed: u64,
        replica_load: impl Fn(EndpointId) -> ReplicaLoad,
    ) -> Option<&Replica> {
        let recorded = wanted.usable_record(now, self.replicas_of(wanted.service));
        let allowed = self
            .replicas_of(wanted.service)
            .filter(|replica| wanted.allows(replica))
            .filter(|replica| {
                wanted.version.is_some()
                    || recorded.is_none_or(|recorded| recorded.is_recorded(replica.version))
            });
        let allowed: Vec<&Replica> = allowed.collect();
        let is_told = |it: &&Replica| self.is_told_leaving(now, &it.registration, it.endpoint);
        // The owner of one that is told to leave grants no slot: a proof is no use there.
        let staying = allowed.iter().filter(|it| !is_told(it));
        let least_doubt = staying.map(|it| it.doubt()).min();
        let least_doubt = least_doubt.or_else(|| allowed.iter().map(|it| it.doubt()).min())?;
        let max_doubt = match wanted.proof {
            VersionProof::None => u8::MAX,
            VersionProof::Preferred => least_doubt,
            VersionProof::Required => least_doubt.min(1),
        };
        let candidates: Vec<Candidate<'_>> = allowed
            .into_iter()
            .filter(|replica| replica.doubt() <= max_doubt)
            .map(|replica| {
                let ReplicaLoad {
                    in_flight,
                    is_suspect,
                    is_connected,
                    usable_slots,
                } = replica_load(replica.endpoint);
                Candidate {
                    replica,
                    usable_slots,
                    in_flight,
                    is_connected,
                    penalty: u8::from(self.is_told_leaving(
                        now,
                        &replica.registration,
                        replica.endpoint,
                    )) * 8
                        + u8::from(replica.is_avoided(now)) * 4
                        + u8::from(is_suspect) * 2
                        + u8::from(now < replica.full_until),
                }
            })
            .collect();
        let least_penalty = candidates.iter().map(|candidate| candidate.penalty).min()?;
        let preferred: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.penalty == least_penalty)
            .collect();
        let weight = |candidate: &&Candidate<'_>| candidate.weight();
        let total = preferred.iter().map(weight).fold(0, u64::saturating_add);
        if total == 0 {
            let least_used = preferred.into_iter().min_by_key(|candidate| {
                (
                    candidate.used_milli(),
                    mix64(seed, candidate.replica.endpoint.raw()),
                )
            });
            return least_used.map(|candidate| candidate.replica);
        }
        let mut offset = seed % total;
        let chosen = preferred.into_iter().find(|candidate| {
            let is_hit = offset < weight(candidate);
            offset = offset.saturating_sub(weight(candidate));
            is_hit
        });
        chosen.map(|candidate| candidate.replica)
    }
}

/// Load and state of a replica, as seen by this process and reported by
/// others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Estimated requests in flight there, of all members.
    pub in_flight: u32,
    /// Whether other members suspect it.
    pub is_suspect: bool,
    /// Whether an idle connection to it is kept.
    pub is_connected: bool,
    /// Slots that can be used at the rate of a cold replica; `None` if all.
    pub usable_slots: Option<u32>,
}

impl ReplicaLoad {
    /// Estimates the load of a replica for an online request, by the requests
    /// that this process and others have in flight there.
    ///
    /// `remaining_percent` is the share of the others' online requests that
    /// counts, in percent; see
    /// [`remaining_percent`](super::reports::remaining_percent).
    #[must_use]
    pub fn for_online(own: InFlight, others: InFlight, remaining_percent: u64) -> Self {
        let still_running = u64::from(others.online) * remaining_percent / 100;
        let online = own.online + u32::try_from(still_running).unwrap_or(others.online);
        let batch = own.batch + others.batch;
        Self {
            // A batch item is paused for an online request, at some cost, so
            // it counts as half a request.
            in_flight: online + batch / 2,
            ..Self::default()
        }
    }

    /// Estimates the load of a replica for an item of a batch job.
    #[must_use]
    pub fn for_batch(own: InFlight, others: InFlight) -> Self {
        Self {
            in_flight: own.total() + others.total(),
            ..Self::default()
        }
    }
}

struct Candidate<'a> {
    replica: &'a Replica,
    usable_slots: Option<u32>,
    in_flight: u32,
    is_connected: bool,
    /// Sum of the reasons against this replica: 8 if another member says that it is
    /// leaving, 4 if it is avoided, 2 if other members suspect it, 1 if it is full.
    penalty: u8,
}

impl Candidate<'_> {
    fn slots(&self) -> u32 {
        let slots = self.replica.registration.slots;
        self.usable_slots
            .map_or(slots, |usable| usable.min(slots))
            .max(1)
    }

    fn free_slots(&self) -> u32 {
        self.slots().saturating_sub(self.in_flight)
    }

    /// Returns the relative probability of being drawn.
    fn weight(&self) -> u64 {
        let weight = u64::from(self.free_slots()).pow(2);
        if self.is_connected {
            weight.saturating_mul(CONNECTED_WEIGHT)
        } else {
            weight
        }
    }

    /// Returns the share of the slots that is in use, in thousandths.
    fn used_milli(&self) -> u64 {
        u64::from(self.in_flight) * 1_000 / u64::from(self.slots())
    }
}
