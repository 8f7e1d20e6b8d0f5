//! Rosters, which any node may propose and settle.

use {
    super::{FleetSimulation, NODES},
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        process::roster::may_settle,
        version::config::{Change, ObjectKey, Record, RosterMember},
    },
    std::collections::BTreeSet,
};

impl FleetSimulation {
    pub(super) fn propose_roster(&mut self, node: usize, members: u8) {
        if !self.can_reach_log(node) || self.nodes[node].caught_up.is_none() {
            return;
        }
        let chosen: Vec<usize> = (0..NODES)
            .filter(|index| members & (1 << index) != 0 && self.nodes[*index].alive)
            .collect();
        if chosen.is_empty() {
            return;
        }
        let based_on = self.nodes[node].state.object_version(&ObjectKey::Roster);
        let stale = based_on != self.reference.version(&ObjectKey::Roster);
        let roster = self.roster(&chosen);
        self.append(based_on, Change::PutRoster(roster));
        if stale {
            self.count("stale proposal rejected");
        }
    }

    pub(super) fn settle_roster(&mut self, node: usize) {
        if !self.can_reach_log(node) || self.nodes[node].caught_up.is_none() {
            return;
        }
        let Some((version, epoch)) = self.nodes[node].state.epoch() else {
            return;
        };
        let epoch = epoch.clone();
        if epoch.settled.is_some() {
            return;
        }
        let unable: BTreeSet<MemberId> = epoch
            .previous
            .iter()
            .filter(|roster_member| self.cannot_confirm_previous(node, roster_member, version))
            .map(|roster_member| roster_member.member)
            .collect();
        if may_settle(&epoch, &unable) {
            let id = RequestId::of(&format!("settle {version}"));
            self.append_record(Record {
                id,
                based_on: version,
                change: Change::SettleRoster,
            });
            self.count("roster settled");
        }
    }

    /// Returns whether a previous witness can no longer confirm the roster
    /// before `version`: it has read the new one, or a later incarnation has
    /// replaced it.
    pub(super) fn cannot_confirm_previous(
        &self,
        requester: usize,
        roster_member: &RosterMember,
        version: Offset,
    ) -> bool {
        let Some(other) = self
            .nodes
            .iter()
            .position(|node| node.roster_member().process == roster_member.process)
        else {
            return false;
        };
        let node = &self.nodes[other];
        if !self.is_up(other) || !self.can_reach(requester, other) {
            return false;
        }
        node.id != roster_member.member
            || node
                .confirmable_epoch()
                .is_some_and(|epoch| epoch >= version)
    }
}
