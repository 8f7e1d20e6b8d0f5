//! The oracle: one token bucket for each customer in true time, and the history
//! of each configuration object.

use {
    cicadagate_policy::{
        ids::{Offset, RequestId},
        version::config::{Change, Customer, Object, ObjectKey, Record, State, object_key},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A token bucket in true time; its units are billionths of a request.
pub struct ReferenceBucket {
    rate_milli: u128,
    capacity: u128,
    units: u128,
    refilled_us: u64,
}

/// Bucket units of one request.
const UNITS_PER_REQUEST: u128 = 1_000_000_000;

impl ReferenceBucket {
    pub fn new(customer: &Customer, now_us: u64) -> Self {
        let capacity = u128::from(customer.burst) * UNITS_PER_REQUEST;
        let rate_milli = u128::from(customer.rate_milli);
        Self {
            rate_milli,
            capacity,
            units: capacity,
            refilled_us: now_us,
        }
    }

    pub fn take(&mut self, now_us: u64) -> bool {
        let elapsed = u128::from(now_us - self.refilled_us);
        self.units = (self.units + elapsed * self.rate_milli).min(self.capacity);
        self.refilled_us = now_us;
        let has = self.units >= UNITS_PER_REQUEST;
        if has {
            self.units -= UNITS_PER_REQUEST;
        }
        has
    }
}

/// Accepted changes of one object: offset, and whether it is a withdrawal.
type History = Vec<(Offset, bool)>;

/// The verdicts that every reader must reach, by a direct rule.
#[derive(Default)]
pub struct ReferenceConfig {
    ids: BTreeSet<RequestId>,
    changes: BTreeMap<ObjectKey, History>,
    settled: BTreeSet<Offset>,
}

impl ReferenceConfig {
    /// Returns the current version of an object.
    pub fn version(&self, key: &ObjectKey) -> Offset {
        let changes = self.changes.get(key);
        changes
            .and_then(|changes| changes.last())
            .map_or(Offset::NONE, |(offset, _)| *offset)
    }

    /// Applies a record; returns whether it is accepted.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> bool {
        let Some(key) = object_key(&record.change) else {
            return false;
        };
        if !self.ids.insert(record.id) {
            return false;
        }
        let current = self.version(&key);
        if record.based_on != current {
            return false;
        }
        let withdrawn = self
            .changes
            .get(&key)
            .is_some_and(|all| all.iter().any(|(_, is_withdrawal)| *is_withdrawal));
        match &record.change {
            Change::PutKey(_) if withdrawn => return false,
            Change::WithdrawKey(_) if current == Offset::NONE => return false,
            Change::PutRoster(_) if current != Offset::NONE && !self.settled.contains(&current) => {
                return false;
            }
            Change::SettleRoster => return self.settled.insert(current),
            _ => {}
        }
        let is_withdrawal = matches!(record.change, Change::WithdrawKey(_));
        self.changes
            .entry(key)
            .or_default()
            .push((offset, is_withdrawal));
        true
    }

    /// Compares a node's state with the expected one at its version.
    pub fn compare(&self, state: &State) -> Result<(), String> {
        for (key, changes) in &self.changes {
            let latest = changes
                .iter()
                .rev()
                .find(|(offset, _)| *offset <= state.version());
            let (expected, must_be_withdrawn) = latest.copied().unwrap_or((Offset::NONE, false));
            let actual = state.object_version(key);
            if actual != expected {
                return Err(format!(
                    "{key:?} is at {actual} in version {}, must be at {expected}",
                    state.version()
                ));
            }
            let object = state.objects().find(|(other, _)| *other == key);
            let is_withdrawn =
                object.is_some_and(|(_, object)| matches!(object.value, Object::WithdrawnKey(_)));
            if must_be_withdrawn != is_withdrawn {
                return Err(format!(
                    "{key:?} withdrawn: {is_withdrawn}, must be {must_be_withdrawn}"
                ));
            }
        }
        Ok(())
    }
}
