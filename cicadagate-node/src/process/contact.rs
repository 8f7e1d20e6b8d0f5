/*!
Renews contact, the lease on the configuration in force, by querying witnesses
while the log is unreachable.
*/

use {
    super::Node,
    crate::event,
    actix_rt::time::sleep,
    cicadagate_policy::{
        ids::{MemberId, Offset},
        time::Time,
    },
    cicadagate_wire::peer::{FromServer, ToServer},
    std::{rc::Rc, time::Duration},
};

/// Time between two checks whether witnesses must be queried.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a witness must respond.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Queries witnesses when needed, and logs when contact is lost or regained.
pub(super) async fn run(node: Rc<Node>) {
    let mut was_fresh = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let witnesses = node.contact.borrow_mut().witnesses_to_query(now);
        for witness in witnesses {
            actix_rt::spawn(renew_contact(Rc::clone(&node), witness, now));
        }
        let fresh = node.has_contact();
        if fresh != was_fresh {
            was_fresh = fresh;
            if fresh {
                event!(CONTACT_BACK);
            } else {
                event!(CONTACT_LOST);
            }
        }
    }
}

/// Response of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WitnessResponse {
    /// Epoch of the last roster that the witness has read, given by the offset
    /// of the roster's record; `None` if the witness may not confirm.
    pub epoch: Option<Offset>,
    /// Configuration version that the witness has.
    pub version: Offset,
}

async fn renew_contact(node: Rc<Node>, witness: MemberId, sent: Time) {
    let own_version = node.config.borrow().version();
    let Some(response) = node.query_witness(witness).await else {
        return;
    };
    if response.version > own_version {
        node.fetch_config_from(witness).await;
        return;
    }
    if let Some(epoch) = response.epoch {
        let mut contact = node.contact.borrow_mut();
        contact.note_confirmation(witness, epoch, response.version, own_version, sent);
    }
}

impl Node {
    /// Queries a witness for its configuration version, and exchanges withdrawn
    /// keys with it.
    ///
    /// Returns `None` if the witness does not respond.
    pub async fn query_witness(&self, witness: MemberId) -> Option<WitnessResponse> {
        if witness == self.membership.borrow().own_info().id {
            let config = self.config.borrow();
            let epoch = config
                .epoch()
                .map(|(epoch, _)| epoch)
                .filter(|_| self.has_caught_up());
            return Some(WitnessResponse {
                epoch,
                version: config.version(),
            });
        }
        let addr = self.address_of(witness)?;
        let withdrawn: Vec<[u8; 32]> = self.membership.borrow().withdrawn_keys().copied().collect();
        let make = |seq| ToServer::Confirm { seq, withdrawn };
        match self.peers.call(addr, CONFIRM_TIMEOUT, make).await {
            Ok(FromServer::Confirmed {
                epoch,
                version,
                withdrawn,
                ..
            }) => {
                let mut membership = self.membership.borrow_mut();
                for hash in withdrawn {
                    membership.gossip_withdrawn_key(hash);
                }
                Some(WitnessResponse { epoch, version })
            }
            _ => None,
        }
    }

    /// Queries all witnesses of the last roster, settled or not; returns the
    /// roster's epoch and the highest version that a majority of them has read.
    ///
    /// Returns `None` if there is no roster or no majority responds.
    pub async fn majority_version(&self) -> Option<(Offset, Offset)> {
        let (epoch, witnesses): (Offset, Vec<MemberId>) = {
            let config = self.config.borrow();
            let (epoch, state) = config.epoch()?;
            (
                epoch,
                state
                    .roster
                    .witnesses
                    .iter()
                    .map(|roster_member| roster_member.member)
                    .collect(),
            )
        };
        let queries = witnesses.iter().map(|witness| self.query_witness(*witness));
        let responses = futures_util::future::join_all(queries).await;
        let mut versions: Vec<Offset> = responses
            .iter()
            .flatten()
            .map(|response| response.version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions
            .get(witnesses.len() / 2)
            .map(|version| (epoch, *version))
    }
}
