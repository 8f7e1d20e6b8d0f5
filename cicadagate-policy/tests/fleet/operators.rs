//! Operator actions: changes of customers, keys and their withdrawal.

use {
    super::{FleetSimulation, LARGE_BURST, MAX_USE_AFTER_WITHDRAWAL_MS, customer, key, node::Node},
    cicadagate_policy::{
        ids::RequestId,
        version::config::{Change, Object, ObjectKey, Record},
    },
};

impl FleetSimulation {
    pub(super) fn put_customer(&mut self, node: usize, index: usize, large: bool, repeat: bool) {
        if !self.can_reach_log(node) {
            return;
        }
        let object = ObjectKey::Customer(customer(index).name);
        let based_on = self.nodes[node].state.object_version(&object);
        let mut customer = customer(index);
        if index == 2 && large {
            // The larger burst is split over more holders.
            customer.burst = LARGE_BURST;
            self.count("holders changed");
        }
        let change = Change::PutCustomer(customer);
        self.last_id += 1;
        let id = RequestId::of(&format!("op {}", self.last_id));
        let record = Record {
            id,
            based_on,
            change,
        };
        self.append_record(record.clone());
        if repeat {
            // The reply was lost, and the operator sends the same id again,
            // based on the version in force by now.
            let based_on = self.reference.version(&object);
            self.append_record(Record { based_on, ..record });
            self.count("repeated id");
        }
    }

    pub(super) fn put_key(&mut self, node: usize, index: usize) {
        if self.can_reach_log(node) {
            let based_on = self.nodes[node]
                .state
                .object_version(&ObjectKey::Key(key(index).id));
            self.append(based_on, Change::PutKey(key(index)));
        }
    }

    pub(super) fn withdraw_key(&mut self, node: usize, index: usize) {
        if !self.is_up(node) {
            return;
        }
        let object = ObjectKey::Key(key(index).id);
        let known = self.nodes[node].state.objects().any(|(other, versioned)| {
            *other == object && matches!(versioned.value, Object::Key(_))
        });
        if !known {
            return;
        }
        self.nodes[node].withdrawn.insert(key(index).hash);
        if self.can_reach_log(node) {
            let based_on = self.nodes[node].state.object_version(&object);
            self.append(based_on, Change::WithdrawKey(key(index).id));
            self.count("key withdrawn");
        }
        self.notify_witnesses(node, index);
    }

    pub(super) fn notify_witnesses(&mut self, node: usize, index: usize) {
        let Some((_, epoch)) = self.nodes[node].state.epoch() else {
            return;
        };
        // Witnesses of an outdated roster do not count: processes with the
        // current roster query other witnesses.
        let current = self.reference.version(&ObjectKey::Roster);
        if self.nodes[node].state.object_version(&ObjectKey::Roster) != current {
            return;
        }
        let witnesses = epoch.roster.witnesses.clone();
        let mut notified = 0;
        for roster_member in &witnesses {
            let other = self
                .nodes
                .iter()
                .position(|other| other.id == roster_member.member);
            let Some(other) = other.filter(|o| self.is_up(*o) && self.can_reach(node, *o)) else {
                continue;
            };
            self.nodes[other].withdrawn.insert(key(index).hash);
            notified += 1;
        }
        if notified > witnesses.len() / 2 {
            let is_down = self.log.down;
            let now_us = self.now_us;
            let withdrawal = self.withdrawals.entry(index).or_default();
            withdrawal.at_witnesses.get_or_insert(now_us);
            withdrawal.in_outage = is_down;
            if is_down {
                self.count("withdrawn in outage");
            }
        }
    }

    pub(super) fn use_key(&mut self, node: usize, index: usize) -> Result<(), String> {
        if !self.is_up(node) {
            return Ok(());
        }
        let now = self.clock(node);
        let state = &self.nodes[node];
        let served = state.contact.is_fresh(now)
            && !state.withdrawn.contains(&key(index).hash)
            && state.state.customer_of_key(&key(index).hash).is_some();
        let Some(withdrawal) = self.withdrawals.get(&index).filter(|_| served) else {
            return Ok(());
        };
        // A withdrawal is in force once the log has accepted it and a majority
        // of witnesses was notified; in an outage of the log, once the majority
        // was notified.
        let since = match (withdrawal.in_log, withdrawal.at_witnesses) {
            (Some(in_log), Some(at_witnesses)) => Some(in_log.max(at_witnesses)),
            (None, Some(at_witnesses)) if withdrawal.in_outage && self.log.down => {
                Some(at_witnesses)
            }
            _ => None,
        };
        let late =
            since.is_some_and(|since| self.now_us > since + MAX_USE_AFTER_WITHDRAWAL_MS * 1000);
        if late && self.all_know_current_roster() {
            return Err(format!(
                "key {index} is accepted too long after its withdrawal"
            ));
        }
        Ok(())
    }

    /// Returns whether every live node knows the roster in force. Otherwise a
    /// node may query the witnesses of another roster and learns of a
    /// withdrawal only from the log.
    pub(super) fn all_know_current_roster(&self) -> bool {
        let current = self.reference.version(&ObjectKey::Roster);
        let version = |node: &Node| node.state.object_version(&ObjectKey::Roster);
        self.nodes
            .iter()
            .all(|node| !node.alive || version(node) == current)
    }
}
