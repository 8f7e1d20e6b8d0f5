/*!
State of the configuration stream.

# Problem

Operators make concurrent changes, responses to their appends may be late or
lost, and instances read the stream at different speeds. An accepted change
still has to be in force everywhere within seconds and must never revert.

# Choice

Every object carries the offset of the record that last changed it. A record
names the version that it was based on and a request id. All readers reject a
record that was based on another version than the one in force, and apply a
repeated request id only once. An operator that got no response to an append
looks up the verdict on the id instead of guessing.

A removed object leaves a tombstone with its version, so that a delayed
record "create, based on nothing" can't restore it. A withdrawn key stays
withdrawn whatever records follow.

# Cost

Tombstones and the last [`MAX_DECIDED_IDS`] request ids stay in the state.
At 430 changes a day they add a few kilobytes a day, which snapshots include.
*/

mod record;
mod validate;

pub use {
    record::{
        Backend, Change, Customer, Epoch, Key, MAX_BURST, MAX_DECIDED_IDS, MAX_NAME_BYTES,
        MAX_RATE_MILLI_RPS, MAX_ROSTER_MEMBERS, MAX_WITNESSES, ModelVersion, Object, ObjectKey,
        Record, Rejection, Roster, RosterMember, Route, RouteKind, Verdict, Versioned,
    },
    validate::object_key,
};

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, EndpointId, Offset, RequestId, hash64},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
    validate::{has_prefix, invalid, validate},
};

/// The state after applying the stream up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    version: Offset,
    objects: BTreeMap<ObjectKey, Versioned>,
    /// Verdicts on the last request ids, oldest first.
    decided: VecDeque<(RequestId, Verdict)>,
    /// Ids of the API keys by the hashes of their secrets, including withdrawn
    /// keys.
    by_hash: BTreeMap<[u8; 32], String>,
}

impl State {
    /// Returns the offset of the last applied record.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Applies the record at `offset` and returns the verdict on it.
    ///
    /// Returns `None` for a record at or before the version, which is ignored,
    /// and for a snapshot.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Option<Verdict> {
        if offset <= self.version {
            return None;
        }
        if let Change::Snapshot(snapshot) = &record.change {
            let is_older = snapshot.version < self.version;
            if !is_older || is_injected(Fault::AdoptOldSnapshot) {
                // The snapshot covers all records applied so far. It covers
                // more than those only for a reader that starts late.
                *self = (**snapshot).clone();
            }
            self.version = self
                .version
                .max(version_after_snapshot(offset, snapshot, is_older));
            return None;
        }
        self.version = offset;
        if !is_injected(Fault::SkipIdCheck)
            && let Some(verdict) = self.verdict(record.id)
        {
            return Some(Verdict::Repeated(Box::new(verdict.clone())));
        }
        let verdict = match self.check(record) {
            Ok(()) => {
                self.apply_change(offset, &record.change);
                Verdict::Accepted(offset)
            }
            Err(rejection) => Verdict::Rejected(rejection),
        };
        self.note_verdict(record.id, verdict.clone());
        Some(verdict)
    }

    /// Advances the version past an offset whose record could not be decoded.
    ///
    /// All readers skip the same records, since all decode them alike.
    pub fn skip(&mut self, offset: Offset) {
        self.version = self.version.max(offset);
    }

    /// Returns the verdict on a request id, if it is among the last
    /// [`MAX_DECIDED_IDS`].
    #[must_use]
    pub fn verdict(&self, id: RequestId) -> Option<&Verdict> {
        self.decided
            .iter()
            .rev()
            .find(|(seen, _)| *seen == id)
            .map(|(_, verdict)| verdict)
    }

    /// Checks a record against the state without applying it.
    ///
    /// # Errors
    ///
    /// Returns the reason for which all readers would reject the record.
    pub fn check(&self, record: &Record) -> Result<(), Rejection> {
        validate(&record.change)?;
        let Some(key) = object_key(&record.change) else {
            return Ok(());
        };
        let current = self.objects.get(&key);
        let now_at = current.map_or(Offset::NONE, |object| object.version);
        let is_conflict = record.based_on != now_at;
        if is_conflict && !is_injected(Fault::SkipCompareAndSet) {
            return Err(Rejection::Conflict { now_at });
        }
        let value = current.map(|object| &object.value);
        self.check_preconditions(&record.change, value)
    }

    /// Checks the preconditions of a change against the object's current value.
    fn check_preconditions(
        &self,
        change: &Change,
        value: Option<&Object>,
    ) -> Result<(), Rejection> {
        match change {
            Change::PutKey(key) => {
                if matches!(value, Some(Object::WithdrawnKey(_)))
                    && !is_injected(Fault::AcceptWithdrawnKey)
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

    /// Carries out an accepted change.
    fn apply_change(&mut self, offset: Offset, change: &Change) {
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
                // The version is kept, since it identifies the epoch.
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

    fn note_verdict(&mut self, id: RequestId, verdict: Verdict) {
        if self.decided.len() == MAX_DECIDED_IDS {
            self.decided.pop_front();
        }
        self.decided.push_back((id, verdict));
    }

    /// Returns the version of an object, [`Offset::NONE`] if it never existed.
    #[must_use]
    pub fn object_version(&self, key: &ObjectKey) -> Offset {
        self.objects
            .get(key)
            .map_or(Offset::NONE, |object| object.version)
    }

    /// Returns an iterator over all objects, tombstones included.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectKey, &Versioned)> {
        self.objects.iter()
    }

    /// Returns the customer with the given name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        match self.value(&ObjectKey::Customer(name.to_owned()))? {
            Object::Customer(customer) => Some(customer),
            _ => None,
        }
    }

    /// Returns an iterator over the customers.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.objects
            .values()
            .filter_map(|object| match &object.value {
                Object::Customer(customer) => Some(customer),
                _ => None,
            })
    }

    /// Returns the customer with the given id.
    #[must_use]
    pub fn customer_by_id(&self, id: CustomerId) -> Option<&Customer> {
        self.customers()
            .find(|customer| CustomerId::of(&customer.name) == id)
    }

    /// Returns the customer of the API key with a secret's hash, unless the key
    /// was withdrawn or has another secret now.
    #[must_use]
    pub fn customer_of_key(&self, hash: &[u8; 32]) -> Option<&Customer> {
        let id = self.by_hash.get(hash)?;
        match self.value(&ObjectKey::Key(id.clone()))? {
            Object::Key(key) if key.hash == *hash => self.customer(&key.customer),
            _ => None,
        }
    }

    /// Returns `true` if a secret's hash belongs to a withdrawn API key.
    #[must_use]
    pub fn is_withdrawn(&self, hash: &[u8; 32]) -> bool {
        let id = self.by_hash.get(hash);
        let value = id.and_then(|id| self.value(&ObjectKey::Key(id.clone())));
        matches!(value, Some(Object::WithdrawnKey(_)))
    }

    /// Returns the route of a model.
    #[must_use]
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes()
            .find(|route| route.kind == RouteKind::Model && route.name == model)
    }

    /// Returns the service route whose prefix is the longest that matches a
    /// path.
    #[must_use]
    pub fn service_route(&self, path: &str) -> Option<&Route> {
        self.routes()
            .filter(|route| route.kind == RouteKind::Service && has_prefix(path, &route.name))
            .max_by_key(|route| route.name.len())
    }

    /// Returns an iterator over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.objects
            .values()
            .filter_map(|object| match &object.value {
                Object::Route(route) => Some(route),
                _ => None,
            })
    }

    /// Returns the endpoints that are drained by operators.
    #[must_use]
    pub fn drained(&self) -> BTreeSet<EndpointId> {
        let drained_endpoint = |(key, object): (&ObjectKey, &Versioned)| match (key, &object.value)
        {
            (ObjectKey::Drain(name), Object::Drained) => Some(EndpointId::of(name)),
            _ => None,
        };
        self.objects.iter().filter_map(drained_endpoint).collect()
    }

    /// Returns the last roster, settled or not, and the offset that identifies
    /// its epoch.
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

/// Returns the version after a snapshot record.
///
/// A reader that has adopted the snapshot still has to apply the records
/// between the covered offset and the snapshot itself.
fn version_after_snapshot(offset: Offset, snapshot: &State, is_older: bool) -> Offset {
    if is_older || snapshot.version.next() == offset {
        offset
    } else {
        snapshot.version
    }
}

/// Returns a route's deployment for a request, chosen by weight and the hash of
/// its id, or `None` if all weights are 0.
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
    let mut position = hash64(&[b"backend", &request.0]) % total;
    route.backends.iter().find(|backend| {
        let weight = u64::from(backend.weight);
        let is_selected = position < weight;
        position = position.saturating_sub(weight);
        is_selected
    })
}
