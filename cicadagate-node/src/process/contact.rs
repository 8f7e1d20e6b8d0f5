/*!
Keeps contact while the log is out of reach, by asking witnesses.
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

/// How often it is looked whether witnesses must be asked.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time that a witness has to answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks witnesses for as long as the process lives.
pub(super) async fn run(node: Rc<Node>) {
    let mut was_fresh = false;
    loop {
        sleep(LOOK_EVERY).await;
        let now = node.now();
        let witnesses = node.contact.borrow_mut().to_ask(now);
        for witness in witnesses {
            actix_rt::spawn(ask(Rc::clone(&node), witness, now));
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

/// What a witness answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WitnessAnswer {
    /// Epoch that it knows; `None` if it may not confirm.
    pub epoch: Option<Offset>,
    /// Version of the configuration that it knows.
    pub version: Offset,
}

async fn ask(node: Rc<Node>, witness: MemberId, sent: Time) {
    let mine = node.config.borrow().version();
    let Some(answer) = node.ask_witness(witness).await else {
        return;
    };
    if answer.version > mine {
        node.fetch_config_from(witness).await;
        return;
    }
    if let Some(epoch) = answer.epoch {
        let mut contact = node.contact.borrow_mut();
        contact.confirmed(witness, epoch, answer.version, mine, sent);
    }
}

impl Node {
    /// Asks a witness what it knows, and exchanges withdrawn keys with it.
    pub async fn ask_witness(&self, witness: MemberId) -> Option<WitnessAnswer> {
        if witness == self.membership.borrow().me().id {
            let config = self.config.borrow();
            let epoch = config
                .epoch()
                .map(|(epoch, _)| epoch)
                .filter(|_| self.has_folded());
            return Some(WitnessAnswer {
                epoch,
                version: config.version(),
            });
        }
        let addr = self.address_of(witness)?;
        let withdrawn: Vec<[u8; 32]> = self.membership.borrow().withdrawn().copied().collect();
        let make = |seq| ToServer::Confirm { seq, withdrawn };
        match self.links.call(addr, CONFIRM_TIMEOUT, make).await {
            Ok(FromServer::Confirmed {
                epoch,
                version,
                withdrawn,
                ..
            }) => {
                let mut membership = self.membership.borrow_mut();
                for hash in withdrawn {
                    membership.spread_withdrawn(hash);
                }
                Some(WitnessAnswer { epoch, version })
            }
            _ => None,
        }
    }

    /// Asks all witnesses of the roster in force; returns the epoch and the
    /// highest version that a majority of them has read.
    pub async fn witnessed_version(&self) -> Option<(Offset, Offset)> {
        let (epoch, witnesses): (Offset, Vec<MemberId>) = {
            let config = self.config.borrow();
            let (epoch, state) = config.epoch()?;
            (
                epoch,
                state
                    .roster
                    .witnesses
                    .iter()
                    .map(|seat| seat.member)
                    .collect(),
            )
        };
        let asked = witnesses.iter().map(|witness| self.ask_witness(*witness));
        let answers = futures_util::future::join_all(asked).await;
        let mut versions: Vec<Offset> = answers
            .iter()
            .flatten()
            .map(|answer| answer.version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions
            .get(witnesses.len() / 2)
            .map(|version| (epoch, *version))
    }
}
