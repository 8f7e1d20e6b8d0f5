//! Contact: queries to witnesses, delayed replies, configurations fetched from
//! peers, and gossip of withdrawn keys.

use {
    super::{Confirmation, FleetSimulation},
    cicadagate_policy::ids::{MemberId, Offset},
    std::collections::BTreeSet,
};

impl FleetSimulation {
    pub(super) fn query_witnesses(&mut self, node: usize, is_slow: bool) {
        if !self.is_up(node) {
            return;
        }
        let now = self.clock(node);
        let witnesses = self.nodes[node].contact.witnesses_to_query(now);
        for witness in witnesses {
            let Some(other) = self.nodes.iter().position(|other| other.id == witness) else {
                continue;
            };
            if !self.is_up(other) || !self.can_reach(node, other) {
                continue;
            }
            let withdrawn = self.nodes[node].withdrawn.clone();
            self.nodes[other].withdrawn.extend(withdrawn);
            let confirm = Confirmation {
                requester: node,
                incarnation: self.nodes[node].incarnation,
                witness,
                epoch: self.nodes[other].confirmable_epoch(),
                version: self.nodes[other].state.version(),
                requester_version: self.nodes[node].state.version(),
                withdrawn: self.nodes[other].withdrawn.clone(),
                sent: now,
            };
            if is_slow {
                self.pending_confirmations.push(confirm);
            } else {
                self.handle_confirmation(confirm);
            }
        }
    }

    pub(super) fn handle_confirmation(&mut self, confirm: Confirmation) {
        let node = &mut self.nodes[confirm.requester];
        if node.incarnation != confirm.incarnation || !node.alive || node.paused {
            return;
        }
        node.withdrawn.extend(confirm.withdrawn);
        if let Some(epoch) = confirm.epoch {
            let (version, requester_version) = (confirm.version, confirm.requester_version);
            node.contact.note_confirmation(
                confirm.witness,
                epoch,
                version,
                requester_version,
                confirm.sent,
            );
        }
        let requester = confirm.requester;
        if confirm.version > self.nodes[requester].state.version() {
            self.fetch_config(requester, confirm.witness);
        }
    }

    pub(super) fn fetch_config(&mut self, node: usize, witness: MemberId) {
        let other = self.nodes.iter().position(|other| other.id == witness);
        let Some(other) = other.filter(|other| self.is_up(*other) && self.can_reach(node, *other))
        else {
            return;
        };
        let state = self.nodes[other].state.clone();
        let now = self.clock(node);
        self.nodes[node].adopt(now, state);
        self.count("configuration from witness");
    }

    /// Passes to a node the version that a majority of its roster's witnesses
    /// has read.
    pub(super) fn learn_majority_version(&mut self, node: usize) {
        if !self.is_up(node) {
            return;
        }
        let Some((epoch, state)) = self.nodes[node].state.epoch() else {
            return;
        };
        let witnesses = state.roster.witnesses.clone();
        let mut versions: Vec<Offset> = witnesses
            .iter()
            .filter_map(|roster_member| {
                self.nodes
                    .iter()
                    .position(|other| other.id == roster_member.member)
            })
            .filter(|other| self.is_up(*other) && self.can_reach(node, *other))
            .map(|other| self.nodes[other].state.version())
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(version) = versions.get(witnesses.len() / 2) {
            let now = self.clock(node);
            self.nodes[node].note_witnessed(now, epoch, *version);
        }
    }

    pub(super) fn gossip(&mut self, a: usize, b: usize) {
        if self.is_up(a) && self.is_up(b) && self.can_reach(a, b) {
            let union: BTreeSet<[u8; 32]> = self.nodes[a]
                .withdrawn
                .union(&self.nodes[b].withdrawn)
                .copied()
                .collect();
            self.nodes[a].withdrawn.clone_from(&union);
            self.nodes[b].withdrawn = union;
        }
    }
}
