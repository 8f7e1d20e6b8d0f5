/*!
Placement by rendezvous hashing.

Each key, such as a replica or a customer, is placed on the members with the
highest hash of key and member. Every process computes the placement from its
own view of the live members. If two views differ, only the keys of the members
in which they differ are placed differently, until the views agree again. The
loss of a member moves only its own keys, evenly to all others.
*/

use crate::ids::{MemberId, hash64, mix64};

/// A member that keys may be placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacementCandidate {
    /// Id of the member.
    pub member: MemberId,
    /// Hash of its data centre's name.
    pub data_centre: u64,
}

/// Returns the hash of a data centre's name.
#[must_use]
pub fn data_centre_hash(name: &str) -> u64 {
    hash64(&[b"data centre", name.as_bytes()])
}

fn score(key: u64, member: MemberId) -> u64 {
    mix64(key, member.raw())
}

/// Returns the member that a key is placed on: one in `data_centre` if there is
/// any, otherwise one of all members.
#[must_use]
pub fn preferred_member(
    key: u64,
    data_centre: u64,
    candidates: &[PlacementCandidate],
) -> Option<MemberId> {
    let local = candidates
        .iter()
        .filter(|candidate| candidate.data_centre == data_centre);
    let by_score = |candidate: &&PlacementCandidate| score(key, candidate.member);
    local
        .max_by_key(by_score)
        .or_else(|| candidates.iter().max_by_key(by_score))
        .map(|candidate| candidate.member)
}

/// Returns up to `count` members for a key, spread over data centres.
///
/// The member with the highest score in each data centre comes first, in order
/// of score, followed by the remaining members in order of score.
#[must_use]
pub fn spread_over_data_centres(
    key: u64,
    count: usize,
    candidates: &[PlacementCandidate],
) -> Vec<MemberId> {
    let mut ranked: Vec<(u64, PlacementCandidate)> = candidates
        .iter()
        .map(|candidate| (score(key, candidate.member), *candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut seen_data_centres = Vec::new();
    let (mut chosen, mut rest) = (Vec::new(), Vec::new());
    for (_, candidate) in ranked {
        if seen_data_centres.contains(&candidate.data_centre) {
            rest.push(candidate.member);
        } else {
            seen_data_centres.push(candidate.data_centre);
            chosen.push(candidate.member);
        }
    }
    chosen.extend(rest);
    chosen.truncate(count);
    chosen
}
