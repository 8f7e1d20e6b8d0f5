/*!
The instance list, with an optional delay.
*/

use {
    super::TimedChange,
    cicadagate_policy::time::Time,
    serde_json::Value,
    std::{cell::RefCell, collections::BTreeMap},
};

/// All changes of each instance, by its id; a null value marks its removal.
#[derive(Default)]
pub(super) struct InstanceList {
    changes: RefCell<BTreeMap<String, Vec<TimedChange>>>,
}

impl InstanceList {
    pub(super) fn put(&self, now: Time, instance: Value) {
        let id = instance["id"].as_str().unwrap_or_default().to_owned();
        self.changes
            .borrow_mut()
            .entry(id)
            .or_default()
            .push((now, instance));
    }

    pub(super) fn remove(&self, now: Time, id: &str) {
        self.changes
            .borrow_mut()
            .entry(id.to_owned())
            .or_default()
            .push((now, Value::Null));
    }

    /// Returns the instances as they were `lag_ms` milliseconds ago.
    pub(super) fn as_of(&self, now: Time, lag_ms: u64) -> Value {
        let changes = self.changes.borrow();
        let is_visible = |change: &&TimedChange| now.since(change.0) >= lag_ms;
        let latest = changes
            .values()
            .filter_map(|changes| changes.iter().rev().find(is_visible));
        latest
            .map(|(_, value)| value.clone())
            .filter(|value| !value.is_null())
            .collect()
    }
}
