/*!
The fold of the configuration stream.

# Problem

Operators race each other, their appends are answered late or never, and
instances read the stream at different speeds. Still an accepted change must
be in force everywhere within seconds and never revert.

# Choice

Every object carries the offset of the record that last changed it. A record
names the version that it was based on and a request id. Every reader rejects
alike a record that was based on another version than the one in force, and
counts a repeated id once. An operator whose append was not answered looks
the id up instead of guessing.

A removed object leaves a tombstone with its version, so that a delayed
record "create, based on nothing" can't bring it back. A withdrawn key stays
withdrawn whatever comes later.

# Cost

Tombstones and the last [`REMEMBERED_IDS`] request ids stay in the state.
At 430 changes a day that is a few kilobytes a day, which snapshots carry.
*/

use {
    crate::{
        ids::{CustomerId, EndpointId, MemberId, Offset, RequestId, hash64},
        planted::{Fault, is_planted},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// How many request ids are remembered to recognise a resend.
pub const REMEMBERED_IDS: usize = 4096;
/// Longest name of an object, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Most members in a roster.
pub const MAX_ROSTER: usize = 4096;
/// Most witnesses of a roster.
pub const MAX_WITNESSES: usize = 15;
/// Highest rate of a customer, in thousandths of a request a second.
pub const MAX_RATE_MILLI: u64 = 1_000_000_000;
/// Highest burst of a customer, in requests.
pub const MAX_BURST: u32 = 1_000_000;

/// A customer and its limits over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, unique.
    pub name: String,
    /// Thousandths of a request a second.
    pub rate_milli: u64,
    /// Requests that may come at once after idleness.
    pub burst: u32,
}

/// A caller's key, as a keyed hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public id of the key.
    pub id: String,
    /// The customer that it speaks for.
    pub customer: String,
    /// Keyed hash of the secret.
    pub hash: [u8; 32],
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// A model, by name.
    Model,
    /// A plain service, by path prefix.
    Service,
}

/// One of a route's deployments and its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Deployment whose endpoints serve the route.
    pub deployment: String,
    /// Share of the traffic, relative to the other weights.
    pub weight: u32,
}

/// A route from a model name or path prefix to deployments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Model name or path prefix, unique.
    pub name: String,
    /// What it leads to.
    pub kind: RouteKind,
    /// Where it leads.
    pub backends: Vec<Backend>,
    /// No key is asked for.
    pub open: bool,
    /// Calls may not be repeated.
    pub non_idempotent: bool,
}

/// A model version that a deployment should serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Deployment.
    pub deployment: String,
    /// Version of the model's weights.
    pub version: String,
}

/// A member's place in a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// Member; a restarted process is another one.
    pub member: MemberId,
    /// Hash of the process's name, which a restart keeps.
    pub process: u64,
    /// Hash of its data centre's name.
    pub data_centre: u64,
}

/// The members that hold shares of rate and burst, for one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Members that may hold shares, in ascending order.
    pub members: Vec<Seat>,
    /// Members whose majority confirms that no later roster is known.
    pub witnesses: Vec<Seat>,
}

/// A roster as folded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The roster.
    pub roster: Roster,
    /// Offset of the settling record.
    pub settled: Option<Offset>,
    /// Witnesses of the roster before.
    pub previous: Vec<Seat>,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer.
    RemoveCustomer(String),
    /// Creates a key.
    PutKey(Key),
    /// Withdraws a key, by id, for good.
    WithdrawKey(String),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(String),
    /// Sets the model version of a deployment.
    PutModelVersion(ModelVersion),
    /// Stops new work for an endpoint, by name.
    Drain(String),
    /// Lets an endpoint have new work again, by name.
    Undrain(String),
    /// Proposes the next roster.
    PutRoster(Roster),
    /// States that a majority of the previous witnesses knows the roster.
    SettleRoster,
    /// Carries the whole state, so that earlier records may expire.
    Snapshot(Box<State>),
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id of the change.
    pub id: RequestId,
    /// Version of the object that the change was based on.
    pub based_on: Offset,
    /// The change.
    pub change: Change,
}

/// Names an object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKey {
    /// A customer, by name.
    Customer(String),
    /// A key, by id.
    Key(String),
    /// A route, by name.
    Route(String),
    /// The model version of a deployment.
    ModelVersion(String),
    /// The drain of an endpoint.
    Drain(String),
    /// The roster.
    Roster,
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Object {
    /// A customer.
    Customer(Customer),
    /// A key in use.
    Key(Key),
    /// A key that was withdrawn.
    WithdrawnKey(Key),
    /// A route.
    Route(Route),
    /// A model version.
    ModelVersion(ModelVersion),
    /// A drained endpoint.
    Drained,
    /// A roster; `settled` once old holders can't be missing it.
    Roster(Epoch),
    /// A removed object.
    Removed,
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Offset of the record that last changed the object.
    pub version: Offset,
    /// Its value.
    pub value: Object,
}

/// Why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// Based on another version than the one in force.
    Conflict {
        /// Version in force.
        now_at: Offset,
    },
    /// The object does not exist.
    Missing,
    /// The change is not valid by itself.
    Invalid(String),
}

/// What a reader made of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// In force from this offset on.
    Accepted(Offset),
    /// The same request id was decided earlier.
    Repeated(Box<Verdict>),
    /// Without effect.
    Rejected(Rejection),
}

/// The state after folding the stream up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    version: Offset,
    objects: BTreeMap<ObjectKey, Versioned>,
    decided: VecDeque<(RequestId, Verdict)>,
    by_hash: BTreeMap<[u8; 32], String>,
}

impl State {
    /// Returns the offset of the last folded record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Folds the record at `offset`; one at or before the version is ignored.
    pub fn fold(&mut self, offset: Offset, record: &Record) -> Option<Verdict> {
        if offset <= self.version {
            return None;
        }
        if let Change::Snapshot(snapshot) = &record.change {
            let old = snapshot.version < self.version;
            if !old || is_planted(Fault::AdoptOldSnapshot) {
                // The snapshot covers what this state has folded and maybe
                // more, which is so only for a reader that starts late.
                *self = (**snapshot).clone();
            }
            self.version = self.version.max(offset_of_snapshot(offset, snapshot, old));
            return None;
        }
        self.version = offset;
        if !is_planted(Fault::SkipIdCheck)
            && let Some(verdict) = self.verdict(record.id)
        {
            return Some(Verdict::Repeated(Box::new(verdict.clone())));
        }
        let verdict = match self.check(record) {
            Ok(()) => {
                self.put(offset, &record.change);
                Verdict::Accepted(offset)
            }
            Err(rejection) => Verdict::Rejected(rejection),
        };
        self.remember(record.id, verdict.clone());
        Some(verdict)
    }

    /// Marks an offset as read that held no readable record.
    ///
    /// Every reader skips such a record alike, since it decodes alike.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    /// Looks up what was decided on a request id.
    #[must_use]
    pub fn verdict(&self, id: RequestId) -> Option<&Verdict> {
        self.decided
            .iter()
            .rev()
            .find(|(seen, _)| *seen == id)
            .map(|(_, verdict)| verdict)
    }

    /// Checks a record against the state without folding it.
    ///
    /// # Errors
    ///
    /// Returns why every reader would reject it.
    pub fn check(&self, record: &Record) -> Result<(), Rejection> {
        validate(&record.change)?;
        let Some(key) = object_key(&record.change) else {
            return Ok(());
        };
        let current = self.objects.get(&key);
        let now_at = current.map_or(Offset::NONE, |object| object.version);
        let based_on_other = record.based_on != now_at;
        if based_on_other && !is_planted(Fault::SkipCompareAndSet) {
            return Err(Rejection::Conflict { now_at });
        }
        let value = current.map(|object| &object.value);
        self.check_value(&record.change, value)
    }

    fn check_value(&self, change: &Change, value: Option<&Object>) -> Result<(), Rejection> {
        match change {
            Change::PutKey(key) => {
                if matches!(value, Some(Object::WithdrawnKey(_)))
                    && !is_planted(Fault::ForgetWithdrawal)
                {
                    return Err(invalid("the key was withdrawn"));
                }
                if self.customer(&key.customer).is_none() {
                    return Err(invalid("the key's customer does not exist"));
                }
                let owner = self.by_hash.get(&key.hash);
                if owner.is_some_and(|id| *id != key.id) {
                    return Err(invalid("another key has the same secret"));
                }
                Ok(())
            }
            Change::RemoveCustomer(_)
            | Change::WithdrawKey(_)
            | Change::RemoveRoute(_)
            | Change::Undrain(_) => match value {
                None | Some(Object::Removed) => Err(Rejection::Missing),
                Some(_) => Ok(()),
            },
            Change::PutRoster(_) => match value {
                Some(Object::Roster(Epoch { settled: None, .. })) => {
                    Err(invalid("the roster in force is not settled"))
                }
                _ => Ok(()),
            },
            Change::SettleRoster => match value {
                Some(Object::Roster(Epoch { settled: None, .. })) => Ok(()),
                _ => Err(invalid("no roster is waiting to be settled")),
            },
            _ => Ok(()),
        }
    }

    fn put(&mut self, offset: Offset, change: &Change) {
        let Some(key) = object_key(change) else {
            return;
        };
        let value = match change {
            Change::PutCustomer(customer) => Object::Customer(customer.clone()),
            Change::PutKey(key) => {
                self.by_hash.insert(key.hash, key.id.clone());
                Object::Key(key.clone())
            }
            Change::WithdrawKey(_) => match self.objects.get(&key).map(|object| &object.value) {
                Some(Object::Key(key) | Object::WithdrawnKey(key)) => {
                    Object::WithdrawnKey(key.clone())
                }
                _ => Object::Removed,
            },
            Change::PutRoute(route) => Object::Route(route.clone()),
            Change::PutModelVersion(version) => Object::ModelVersion(version.clone()),
            Change::Drain(_) => Object::Drained,
            Change::PutRoster(roster) => {
                let previous = self
                    .epoch()
                    .map_or_else(Vec::new, |(_, epoch)| epoch.roster.witnesses.clone());
                Object::Roster(Epoch {
                    roster: roster.clone(),
                    settled: None,
                    previous,
                })
            }
            Change::SettleRoster => {
                // The version stays: it names the epoch.
                if let Some(Versioned {
                    value: Object::Roster(epoch),
                    ..
                }) = self.objects.get_mut(&key)
                {
                    epoch.settled = Some(offset);
                }
                return;
            }
            Change::RemoveCustomer(_)
            | Change::RemoveRoute(_)
            | Change::Undrain(_)
            | Change::Snapshot(_) => Object::Removed,
        };
        self.objects.insert(
            key,
            Versioned {
                version: offset,
                value,
            },
        );
    }

    fn remember(&mut self, id: RequestId, verdict: Verdict) {
        if self.decided.len() == REMEMBERED_IDS {
            self.decided.pop_front();
        }
        self.decided.push_back((id, verdict));
    }

    /// Returns the version of an object, [`Offset::NONE`] if it never was.
    #[must_use]
    pub fn object_version(&self, key: &ObjectKey) -> Offset {
        self.objects
            .get(key)
            .map_or(Offset::NONE, |object| object.version)
    }

    /// Iterates over the objects in force, tombstones included.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectKey, &Versioned)> {
        self.objects.iter()
    }

    /// Finds a customer by name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        match self.value(&ObjectKey::Customer(name.to_owned()))? {
            Object::Customer(customer) => Some(customer),
            _ => None,
        }
    }

    /// Iterates over the customers.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.objects
            .values()
            .filter_map(|object| match &object.value {
                Object::Customer(customer) => Some(customer),
                _ => None,
            })
    }

    /// Finds a customer by id.
    #[must_use]
    pub fn customer_by_id(&self, id: CustomerId) -> Option<&Customer> {
        self.customers()
            .find(|customer| CustomerId::of(&customer.name) == id)
    }

    /// Finds the customer that a key's hash speaks for, if it may.
    #[must_use]
    pub fn customer_of_key(&self, hash: &[u8; 32]) -> Option<&Customer> {
        let id = self.by_hash.get(hash)?;
        match self.value(&ObjectKey::Key(id.clone()))? {
            Object::Key(key) if key.hash == *hash => self.customer(&key.customer),
            _ => None,
        }
    }

    /// Tells whether a key's hash belongs to a withdrawn key.
    #[must_use]
    pub fn is_withdrawn(&self, hash: &[u8; 32]) -> bool {
        let id = self.by_hash.get(hash);
        let value = id.and_then(|id| self.value(&ObjectKey::Key(id.clone())));
        matches!(value, Some(Object::WithdrawnKey(_)))
    }

    /// Finds the route of a model.
    #[must_use]
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes()
            .find(|route| route.kind == RouteKind::Model && route.name == model)
    }

    /// Finds the route with the longest prefix of a path.
    #[must_use]
    pub fn service_route(&self, path: &str) -> Option<&Route> {
        self.routes()
            .filter(|route| route.kind == RouteKind::Service && has_prefix(path, &route.name))
            .max_by_key(|route| route.name.len())
    }

    /// Iterates over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.objects
            .values()
            .filter_map(|object| match &object.value {
                Object::Route(route) => Some(route),
                _ => None,
            })
    }

    /// Returns the endpoints that an operator drains.
    #[must_use]
    pub fn drained(&self) -> BTreeSet<EndpointId> {
        let drained = |(key, object): (&ObjectKey, &Versioned)| match (key, &object.value) {
            (ObjectKey::Drain(name), Object::Drained) => Some(EndpointId::of(name)),
            _ => None,
        };
        self.objects.iter().filter_map(drained).collect()
    }

    /// Returns the roster in force and the offset that names its epoch.
    #[must_use]
    pub fn epoch(&self) -> Option<(Offset, &Epoch)> {
        let object = self.objects.get(&ObjectKey::Roster)?;
        match &object.value {
            Object::Roster(epoch) => Some((object.version, epoch)),
            _ => None,
        }
    }

    fn value(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key).map(|object| &object.value)
    }
}

/// Version after a snapshot record was met.
///
/// A reader that adopted the snapshot still has to fold the records between
/// the covered offset and the snapshot itself.
fn offset_of_snapshot(offset: Offset, snapshot: &State, old: bool) -> Offset {
    if old || snapshot.version.next() == offset {
        offset
    } else {
        snapshot.version
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

fn invalid(reason: &str) -> Rejection {
    Rejection::Invalid(reason.to_owned())
}

/// Names the object that a change is about.
#[must_use]
pub fn object_key(change: &Change) -> Option<ObjectKey> {
    Some(match change {
        Change::PutCustomer(customer) => ObjectKey::Customer(customer.name.clone()),
        Change::RemoveCustomer(name) => ObjectKey::Customer(name.clone()),
        Change::PutKey(key) => ObjectKey::Key(key.id.clone()),
        Change::WithdrawKey(id) => ObjectKey::Key(id.clone()),
        Change::PutRoute(route) => ObjectKey::Route(route.name.clone()),
        Change::RemoveRoute(name) => ObjectKey::Route(name.clone()),
        Change::PutModelVersion(version) => ObjectKey::ModelVersion(version.deployment.clone()),
        Change::Drain(name) | Change::Undrain(name) => ObjectKey::Drain(name.clone()),
        Change::PutRoster(_) | Change::SettleRoster => ObjectKey::Roster,
        Change::Snapshot(_) => return None,
    })
}

fn validate(change: &Change) -> Result<(), Rejection> {
    let name = match object_key(change) {
        Some(
            ObjectKey::Customer(name)
            | ObjectKey::Key(name)
            | ObjectKey::Route(name)
            | ObjectKey::ModelVersion(name)
            | ObjectKey::Drain(name),
        ) => name,
        Some(ObjectKey::Roster) | None => return validate_roster(change),
    };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(char::is_control) {
        return Err(invalid(
            "a name has 1 to 128 bytes and no control characters",
        ));
    }
    match change {
        Change::PutCustomer(customer) => validate_customer(customer),
        Change::PutRoute(route) => validate_route(route),
        _ => Ok(()),
    }
}

fn validate_customer(customer: &Customer) -> Result<(), Rejection> {
    if !(1..=MAX_RATE_MILLI).contains(&customer.rate_milli) {
        return Err(invalid("a rate is from 0.001 to 1000000 requests a second"));
    }
    if !(1..=MAX_BURST).contains(&customer.burst) {
        return Err(invalid("a burst is from 1 to 1000000 requests"));
    }
    Ok(())
}

fn validate_route(route: &Route) -> Result<(), Rejection> {
    if route.backends.iter().all(|backend| backend.weight == 0) {
        return Err(invalid("a route needs a deployment with a weight above 0"));
    }
    if route.backends.len() > 64 {
        return Err(invalid("a route has at most 64 deployments"));
    }
    if route.kind == RouteKind::Service && !route.name.starts_with('/') {
        return Err(invalid(
            "a service route's name is a path that starts with '/'",
        ));
    }
    if route.kind == RouteKind::Service && (route.name == "/" || has_prefix(&route.name, "/v1")) {
        return Err(invalid("'/' and '/v1' are taken by the system itself"));
    }
    Ok(())
}

fn validate_roster(change: &Change) -> Result<(), Rejection> {
    let Change::PutRoster(roster) = change else {
        return Ok(());
    };
    let too_many = roster.members.len() > MAX_ROSTER || roster.witnesses.len() > MAX_WITNESSES;
    if roster.members.is_empty() || roster.witnesses.is_empty() || too_many {
        return Err(invalid(
            "a roster has 1 to 4096 members and 1 to 15 witnesses",
        ));
    }
    Ok(())
}

/// Chooses a route's deployment for one request, by weight.
#[must_use]
pub fn choose_backend(route: &Route, request: RequestId) -> Option<&Backend> {
    let total: u64 = route
        .backends
        .iter()
        .map(|backend| u64::from(backend.weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut point = hash64(&[b"backend", &request.0]) % total;
    route.backends.iter().find(|backend| {
        let weight = u64::from(backend.weight);
        let hit = point < weight;
        point = point.saturating_sub(weight);
        hit
    })
}
