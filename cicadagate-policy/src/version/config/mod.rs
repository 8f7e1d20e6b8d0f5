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

mod record;
mod validate;

pub use {
    record::{
        Backend, Change, Customer, Epoch, Key, MAX_BURST, MAX_NAME_BYTES, MAX_RATE_MILLI,
        MAX_ROSTER, MAX_WITNESSES, ModelVersion, Object, ObjectKey, REMEMBERED_IDS, Record,
        Rejection, Roster, Route, RouteKind, Seat, Verdict, Versioned,
    },
    validate::object_key,
};

use {
    crate::{
        ids::{CustomerId, EndpointId, Offset, RequestId, hash64},
        planted::{Fault, is_planted},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
    validate::{has_prefix, invalid, validate},
};

/// The state after folding the stream up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
