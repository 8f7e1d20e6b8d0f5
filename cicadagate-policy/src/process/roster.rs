/*!
Proposing and settling rosters.

Any member may propose a roster; the order of the records in the log decides
which proposal is accepted. To limit appends to the log, members take turns:
they are ranked by a hash of member and epoch, the first one proposes without a
further delay and each next one [`PROPOSER_STAGGER_MS`] later. If a proposer is
lost, the roster changes some seconds later; of two proposals at the same time
one is rejected.

A roster may be settled once a majority of the previous witnesses can no longer
confirm the previous roster, because they have read the new one or have
terminated. A process is known to have terminated if a later incarnation runs
under its name, since that one has bound its address.
*/

use {
    super::placement::{PlacementCandidate, spread_over_data_centres},
    crate::{
        ids::{MemberId, Offset, mix64},
        time::Time,
        version::config::{Epoch, MAX_WITNESSES, Roster, RosterMember},
    },
    std::collections::BTreeSet,
};

/// How long the live members must differ from the roster, unchanged, before a
/// member proposes a new one, in milliseconds.
pub const MEMBERS_STABLE_MS: u64 = 2_000;
/// Delay between the turns of two consecutive proposers, in milliseconds.
pub const PROPOSER_STAGGER_MS: u64 = 1_000;
/// Maximum number of turns that a member waits.
const MAX_TURNS: usize = 5;

/// Decides when this member proposes a roster.
#[derive(Clone, Debug, Default)]
pub struct Proposer {
    /// Set of live members that differs from the roster, and since when.
    differing: Option<(Vec<RosterMember>, Time)>,
}

impl Proposer {
    /// Returns the roster to propose now, if it is this member's turn.
    ///
    /// `epoch` is the roster in force, `version` the offset of its record, and
    /// `live` the roster entries of the live members.
    pub fn propose(
        &mut self,
        now: Time,
        me: MemberId,
        version: Offset,
        epoch: Option<&Epoch>,
        live: &[RosterMember],
    ) -> Option<Roster> {
        let mut live = live.to_vec();
        live.sort_unstable();
        let is_unchanged = epoch.is_some_and(|epoch| epoch.roster.members == live);
        let is_unsettled = epoch.is_some_and(|epoch| epoch.settled.is_none());
        if is_unchanged || is_unsettled || live.is_empty() {
            self.differing = None;
            return None;
        }
        let since = match &self.differing {
            Some((members, since)) if *members == live => *since,
            _ => {
                self.differing = Some((live.clone(), now));
                now
            }
        };
        let wait_ms =
            MEMBERS_STABLE_MS + proposer_rank(me, version, &live) as u64 * PROPOSER_STAGGER_MS;
        (now.since(since) >= wait_ms).then(|| new_roster(version, live))
    }
}

/// Returns the position of a member in the order of proposers for an epoch,
/// limited to the maximum number of turns.
#[must_use]
pub fn proposer_rank(me: MemberId, version: Offset, live: &[RosterMember]) -> usize {
    let rank = |member: MemberId| mix64(version.0, member.raw());
    let mine = rank(me);
    live.iter()
        .filter(|roster_member| rank(roster_member.member) > mine)
        .count()
        .min(MAX_TURNS)
}

fn new_roster(version: Offset, members: Vec<RosterMember>) -> Roster {
    let candidates: Vec<PlacementCandidate> = members
        .iter()
        .map(|roster_member| PlacementCandidate {
            member: roster_member.member,
            data_centre: roster_member.data_centre,
        })
        .collect();
    let chosen = spread_over_data_centres(version.0, MAX_WITNESSES, &candidates);
    let witnesses = members
        .iter()
        .filter(|roster_member| chosen.contains(&roster_member.member))
        .copied()
        .collect();
    Roster { members, witnesses }
}

/// Returns whether a roster may be settled.
///
/// `unable` holds the previous witnesses that can no longer confirm the
/// previous roster: they have read the new one or have terminated.
#[must_use]
pub fn may_settle(epoch: &Epoch, unable: &BTreeSet<MemberId>) -> bool {
    let count = epoch
        .previous
        .iter()
        .filter(|roster_member| unable.contains(&roster_member.member))
        .count();
    epoch.previous.is_empty() || count > epoch.previous.len() / 2
}
