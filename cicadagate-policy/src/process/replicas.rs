/*!
The replicas that a process may send to, and the choice among them.

# Problem

Replicas register themselves; entries come late, lapse while the platform's
store is away, and may be written by others. Replicas crash without a word,
turn slow, or fail a part of their requests while their entry says ready.

# Choice

An entry that can't be understood names no replica and harms no other. A
replica that says that it is draining, or whose entry is removed, gets nothing
new at once. The exception is an entry that is removed while the store was out
of reach: it is kept for [`RETURN_MS`] after the store is back, since live
replicas register again within that time.

Failures only slow: a replica that failed is avoided for a time that doubles
with each further failure, and is used meanwhile when no other is left. A
success ends that. A replica that takes no connections is avoided until a
connection that is made for this purpose succeeds, so that no request has to
find out. Among the others one is drawn with a weight that rises with
its free slots, by this process's own count and the reports of others. The
reports are some requests old, and if every process picked the one with most
free slots, all would pick the same. Where reports are older than a request
takes, what they say of online requests counts for nothing: in a large fleet
the replicas that were free before a peak would get all of it. Without a free
slot, the one with the smallest share of its slots taken is chosen.
*/

use {
    super::reports::InFlight,
    crate::{
        ids::{EndpointId, mix64},
        time::Time,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
};

/// How long entries are kept that lapsed while the store was away, counted
/// from its return, in milliseconds.
pub const RETURN_MS: u64 = 2_300;
/// Time that a replica is avoided after its first failure, in milliseconds.
pub const AVOID_MS: u64 = 250;
/// Longest time that a replica is avoided, in milliseconds.
pub const MAX_AVOID_MS: u64 = 4_000;

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Id of this incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Takes no new work and will exit.
    pub is_draining: bool,
    /// Start, in milliseconds since the epoch; tells incarnations with one id apart.
    pub born_ms: u64,
}

/// A replica as a process knows it.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What it says of itself.
    pub registration: Rc<Registration>,
    /// Id for maps and reports.
    pub endpoint: EndpointId,
    lapsed: bool,
    failures: u32,
    avoid_until: Time,
    full_until: Time,
    /// Does not take connections; time of the next try.
    unreachable: Option<Time>,
}

impl Replica {
    /// Tells whether it was avoided for failures at that time.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        self.unreachable.is_some() || now < self.avoid_until
    }
}

/// How long a replica that refused for want of room counts as full, in
/// milliseconds: about the time until another of its requests ends.
pub const FULL_MS: u64 = 120;

/// Time between two tries to connect to an unreachable replica, in milliseconds.
pub const PROBE_MS: u64 = 400;

/// How much likelier a replica is drawn to which an idle connection is kept: as
/// one with a free slot against one with eight. A new connection costs the
/// replica time and may hold one of its slots.
pub const CONNECTED_WEIGHT: u64 = 64;

/// A change of the set of replicas, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// May be used from now on.
    Added,
    /// Gets nothing new from now on, as it says so.
    Draining,
    /// Gets nothing new from now on, as its entry is gone.
    Removed,
    /// Its entry is gone, but the store was away; kept for now.
    Lapsed,
}

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSet {
    replicas: BTreeMap<EndpointId, Replica>,
    by_service: HashMap<String, Vec<EndpointId>>,
    store_lost_at: Option<Time>,
    store_back_at: Option<Time>,
}

impl ReplicaSet {
    /// Notes whether the store answered.
    pub fn note_store(&mut self, now: Time, is_reachable: bool) {
        if !is_reachable {
            self.store_lost_at.get_or_insert(now);
            self.store_back_at = None;
        } else if self.store_lost_at.take().is_some() {
            self.store_back_at = Some(now);
        }
    }

    fn is_settling(&self, now: Time) -> bool {
        self.store_lost_at.is_some()
            || self
                .store_back_at
                .is_some_and(|back| now.since(back) < RETURN_MS)
    }

    /// Takes what a replica says of itself.
    pub fn register(&mut self, registration: Registration) -> Change {
        let endpoint = EndpointId::of(&registration.id);
        let old = self.replicas.get(&endpoint);
        if old.is_some_and(|old| !old.lapsed && *old.registration == registration) {
            return Change::None;
        }
        let is_draining = registration.is_draining;
        let was_usable = old.is_some_and(|old| {
            !old.registration.is_draining
                && old.registration.born_ms == registration.born_ms
                && old.registration.addr == registration.addr
        });
        let (failures, avoid_until) = match old {
            Some(old) if was_usable => (old.failures, old.avoid_until),
            _ => (0, Time::default()),
        };
        let replica = Replica {
            registration: Rc::new(registration),
            endpoint,
            lapsed: false,
            failures,
            avoid_until,
            full_until: Time::default(),
            unreachable: None,
        };
        self.replicas.insert(endpoint, replica);
        self.index();
        match (was_usable, is_draining) {
            (true, true) => Change::Draining,
            (true, false) | (false, true) => Change::None,
            (false, false) => Change::Added,
        }
    }

    /// Takes the removal of a replica's entry.
    pub fn remove(&mut self, now: Time, id: &str) -> Change {
        let is_settling = self.is_settling(now);
        let endpoint = EndpointId::of(id);
        match self.replicas.get_mut(&endpoint) {
            None => Change::None,
            Some(replica) if is_settling && !replica.registration.is_draining => {
                replica.lapsed = true;
                Change::Lapsed
            }
            Some(_) => {
                self.replicas.remove(&endpoint);
                self.index();
                Change::Removed
            }
        }
    }

    /// Removes what lapsed and did not come back; returns the ids.
    pub fn settle(&mut self, now: Time) -> Vec<Rc<Registration>> {
        if self.is_settling(now) {
            return Vec::new();
        }
        let gone: Vec<EndpointId> = self
            .replicas
            .values()
            .filter(|replica| replica.lapsed)
            .map(|replica| replica.endpoint)
            .collect();
        let removed = gone
            .iter()
            .filter_map(|endpoint| self.replicas.remove(endpoint))
            .map(|replica| replica.registration)
            .collect::<Vec<_>>();
        if !removed.is_empty() {
            self.index();
        }
        removed
    }

    /// Returns the ids of all entries.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.replicas
            .values()
            .map(|replica| replica.registration.id.clone())
            .collect()
    }

    fn index(&mut self) {
        self.by_service.clear();
        for replica in self.replicas.values() {
            if !replica.registration.is_draining {
                self.by_service
                    .entry(replica.registration.service.clone())
                    .or_default()
                    .push(replica.endpoint);
            }
        }
    }

    /// Finds a replica.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId) -> Option<&Replica> {
        self.replicas.get(&endpoint)
    }

    /// Iterates over a service's replicas that take work.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Replica> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|endpoint| self.replicas.get(endpoint))
    }

    /// Returns the number of replicas known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Tells whether no replica is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Notes an answer of a replica.
    pub fn note_success(&mut self, endpoint: EndpointId) {
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.failures = 0;
            replica.avoid_until = Time::default();
            replica.unreachable = None;
        }
    }

    /// Notes that a replica failed a request; returns the failures in a row.
    pub fn note_failure(&mut self, now: Time, endpoint: EndpointId) -> u32 {
        let Some(replica) = self.replicas.get_mut(&endpoint) else {
            return 0;
        };
        let doublings = replica.failures.min(8);
        replica.failures = replica.failures.saturating_add(1);
        let avoid_ms = (AVOID_MS << doublings).min(MAX_AVOID_MS);
        replica.avoid_until = now.plus(avoid_ms);
        replica.failures
    }

    /// Notes that a replica does not take connections, or is silent.
    pub fn note_unreachable(&mut self, now: Time, endpoint: EndpointId) {
        self.note_failure(now, endpoint);
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.unreachable = Some(now.plus(PROBE_MS));
        }
    }

    /// Returns the unreachable replicas that are to be tried now.
    pub fn due_probes(&mut self, now: Time) -> Vec<(EndpointId, SocketAddr)> {
        let due = self.replicas.values_mut().filter_map(|replica| {
            let next = replica.unreachable.as_mut()?;
            if now < *next {
                return None;
            }
            *next = now.plus(PROBE_MS);
            Some((replica.endpoint, replica.registration.addr))
        });
        due.collect()
    }

    /// Notes that a replica takes connections again.
    pub fn note_reachable(&mut self, endpoint: EndpointId) -> bool {
        let replica = self.replicas.get_mut(&endpoint);
        replica.is_some_and(|replica| replica.unreachable.take().is_some())
    }

    /// Notes that a replica refused a request for want of room.
    pub fn note_full(&mut self, now: Time, endpoint: EndpointId) {
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.full_until = now.plus(FULL_MS);
        }
    }

    /// Returns the slots of a service's replicas that may be used.
    #[must_use]
    pub fn usable_slots(&self, now: Time, service: &str) -> u32 {
        self.of_service(service)
            .filter(|replica| !replica.is_avoided(now))
            .map(|replica| replica.registration.slots)
            .sum()
    }

    /// Returns the replicas that failed lately.
    #[must_use]
    pub fn avoided(&self, now: Time) -> Vec<EndpointId> {
        self.replicas
            .values()
            .filter(|replica| {
                replica.unreachable.is_some() || (replica.is_avoided(now) && replica.failures > 1)
            })
            .map(|replica| replica.endpoint)
            .collect()
    }

    /// Chooses a replica of a service.
    ///
    /// `outlook` returns what else is known of a replica. `seed` is a random number.
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        excluded: &[EndpointId],
        seed: u64,
        outlook: impl Fn(EndpointId) -> Outlook,
    ) -> Option<&Replica> {
        let candidates: Vec<Candidate<'_>> = self
            .of_service(service)
            .filter(|replica| !excluded.contains(&replica.endpoint))
            .map(|replica| {
                let Outlook {
                    in_flight,
                    is_suspect,
                    is_connected,
                } = outlook(replica.endpoint);
                Candidate {
                    replica,
                    in_flight,
                    is_connected,
                    doubt: u8::from(replica.is_avoided(now)) * 4
                        + u8::from(is_suspect) * 2
                        + u8::from(now < replica.full_until),
                }
            })
            .collect();
        let least_doubt = candidates.iter().map(|candidate| candidate.doubt).min()?;
        let trusted: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.doubt == least_doubt)
            .collect();
        let weight = |candidate: &&Candidate<'_>| candidate.weight();
        let total: u64 = trusted.iter().map(weight).sum();
        if total == 0 {
            let least = trusted.into_iter().min_by_key(|candidate| {
                (
                    candidate.taken(),
                    mix64(seed, candidate.replica.endpoint.raw()),
                )
            });
            return least.map(|candidate| candidate.replica);
        }
        let mut at = seed % total;
        let chosen = trusted.into_iter().find(|candidate| {
            let is_hit = at < weight(candidate);
            at = at.saturating_sub(weight(candidate));
            is_hit
        });
        chosen.map(|candidate| candidate.replica)
    }
}

/// What a process knows of a replica beyond its registration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Requests in flight there, over all members.
    pub in_flight: u32,
    /// Other members suspect it.
    pub is_suspect: bool,
    /// An idle connection to it is kept.
    pub is_connected: bool,
}

impl Outlook {
    /// Estimates what an online request finds at a replica where this process
    /// and others have requests in flight. `freshness` is the share of the
    /// others' online requests that still counts, in percent; see
    /// [`freshness`](super::reports::freshness).
    #[must_use]
    pub fn for_online(own: InFlight, others: InFlight, freshness: u64) -> Self {
        let still_there = u64::from(others.online) * freshness / 100;
        let online = own.online + u32::try_from(still_there).unwrap_or(others.online);
        let batch = own.batch + others.batch;
        Self {
            // Batch items give way to online requests, though not for nothing.
            in_flight: online + batch / 2,
            ..Self::default()
        }
    }

    /// Estimates what an item of a batch job finds at a replica.
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
    in_flight: u32,
    is_connected: bool,
    /// Reasons not to use it.
    doubt: u8,
}

impl Candidate<'_> {
    fn slots(&self) -> u32 {
        self.replica.registration.slots.max(1)
    }

    fn free_slots(&self) -> u32 {
        self.slots().saturating_sub(self.in_flight)
    }

    /// Relative chance to be drawn.
    fn weight(&self) -> u64 {
        let weight = u64::from(self.free_slots()).pow(2);
        if self.is_connected {
            weight * CONNECTED_WEIGHT
        } else {
            weight
        }
    }

    /// Share of the slots that is taken, in thousandths.
    fn taken(&self) -> u64 {
        u64::from(self.in_flight) * 1_000 / u64::from(self.slots())
    }
}
