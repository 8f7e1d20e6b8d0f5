/*!
Proposing and settling rosters when it is this member's turn.

See [`cicadagate_policy::process::roster`] for the protocol.
*/

use {
    actix_rt::time::sleep,
    cicadagate_node::{
        event,
        platform::log::encode,
        process::{CONFIG_STREAM, Node},
    },
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        process::{
            membership::Role,
            roster::{PROPOSER_STAGGER_MS, Proposer, may_settle, proposer_rank},
        },
        version::config::{Change, Epoch, ObjectKey, Record, RosterMember},
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
};

/// Interval between comparisons of the roster with the live members.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Proposes and settles rosters for as long as the process runs.
pub(super) async fn run(node: Rc<Node>) {
    let mut proposer = Proposer::default();
    let mut waiting_since = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !node.has_caught_up() || !node.has_contact() {
            continue;
        }
        propose(&node, &mut proposer).await;
        let unsettled = unsettled(&node);
        let Some((version, epoch)) = unsettled else {
            waiting_since = None;
            continue;
        };
        let now = node.now();
        let (waiting_for, since) = *waiting_since.get_or_insert((version, now));
        if waiting_for != version {
            waiting_since = Some((version, now));
            continue;
        }
        let rank = proposer_rank(
            node.own_info().id,
            version,
            &node.roster_candidates(Role::Dispatch),
        );
        if now.since(since) >= rank as u64 * PROPOSER_STAGGER_MS {
            settle(&node, version, &epoch).await;
        }
    }
}

/// Appends a roster proposal if the live members differ from the roster and it
/// is this member's turn.
async fn propose(node: &Node, proposer: &mut Proposer) {
    let live = node.roster_candidates(Role::Dispatch);
    let (version, epoch) = {
        let config = node.config.borrow();
        let epoch = config.epoch().map(|(_, epoch)| epoch.clone());
        (config.object_version(&ObjectKey::Roster), epoch)
    };
    let own_id = node.own_info().id;
    let Some(roster) = proposer.propose(node.now(), own_id, version, epoch.as_ref(), &live) else {
        return;
    };
    let members = roster.members.len();
    let id = RequestId::of(&format!("roster after {version} by {own_id}"));
    let record = Record {
        id,
        based_on: version,
        change: Change::PutRoster(roster),
    };
    if append(node, &record).await {
        event!(ROSTER_PROPOSED, based_on: = version, members);
    }
}

/// Returns the current epoch if its roster is not settled yet.
fn unsettled(node: &Node) -> Option<(Offset, Epoch)> {
    let config = node.config.borrow();
    let (version, epoch) = config.epoch()?;
    epoch.settled.is_none().then(|| (version, epoch.clone()))
}

/// Settles the roster if a majority of the previous witnesses can no longer
/// confirm the old one.
async fn settle(node: &Node, version: Offset, epoch: &Epoch) {
    let mut unable_to_confirm = BTreeSet::new();
    for roster_member in &epoch.previous {
        if is_replaced(node, roster_member) || has_read(node, roster_member.member, version).await {
            unable_to_confirm.insert(roster_member.member);
        }
    }
    if !may_settle(epoch, &unable_to_confirm) {
        return;
    }
    // Every member uses the same id, so that the record counts once.
    let id = RequestId::of(&format!("settle {version}"));
    let record = Record {
        id,
        based_on: version,
        change: Change::SettleRoster,
    };
    if append(node, &record).await {
        event!(ROSTER_SETTLED, epoch: = version);
    }
}

/// Returns whether another incarnation of the same process is live: it has
/// bound the address of the one before.
fn is_replaced(node: &Node, roster_member: &RosterMember) -> bool {
    let membership = node.membership.borrow();
    let mut live = membership
        .alive()
        .chain(std::iter::once(membership.own_info()));
    live.any(|info| info.process_hash() == roster_member.process && info.id != roster_member.member)
}

/// Returns whether a witness has read the configuration up to `version`.
async fn has_read(node: &Node, witness: MemberId, version: Offset) -> bool {
    node.query_witness(witness)
        .await
        .is_some_and(|response| response.version >= version)
}

/// Appends a record to the configuration stream; returns whether that
/// succeeded.
async fn append(node: &Node, record: &Record) -> bool {
    let Ok(body) = encode(record) else {
        return false;
    };
    match node.log.append(CONFIG_STREAM.to_owned(), body).await {
        Ok(_) => true,
        Err(err) => {
            event!(APPEND_FAILED, stream = CONFIG_STREAM, reason: = err);
            false
        }
    }
}
