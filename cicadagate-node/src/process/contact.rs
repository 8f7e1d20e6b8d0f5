/*!
Keeps contact while the log is out of reach, by asking witnesses.
*/

use {
    super::Node,
    crate::event,
    actix_rt::time::sleep,
    cicadagate_policy::{ids::MemberId, time::Time},
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

async fn ask(node: Rc<Node>, witness: MemberId, sent: Time) {
    if witness == node.membership.borrow().me().id {
        let epoch = node.config.borrow().epoch().map(|(version, _)| version);
        if let Some(epoch) = epoch.filter(|_| node.has_folded()) {
            node.contact.borrow_mut().confirmed(witness, epoch, sent);
        }
        return;
    }
    let Some((epoch, withdrawn)) = node.ask_witness(witness).await else {
        return;
    };
    {
        let mut membership = node.membership.borrow_mut();
        for hash in withdrawn {
            membership.spread_withdrawn(hash);
        }
    }
    if let Some(epoch) = epoch {
        node.contact.borrow_mut().confirmed(witness, epoch, sent);
    }
}

impl Node {
    /// Asks a witness which roster it knows and which keys are withdrawn.
    ///
    /// The inner epoch is `None` if the witness may not confirm.
    pub async fn ask_witness(
        &self,
        witness: MemberId,
    ) -> Option<(Option<cicadagate_policy::ids::Offset>, Vec<[u8; 32]>)> {
        let addr = self.address_of(witness)?;
        let withdrawn: Vec<[u8; 32]> = self.membership.borrow().withdrawn().copied().collect();
        let call = self
            .links
            .call(addr, CONFIRM_TIMEOUT, |seq| ToServer::Confirm {
                seq,
                withdrawn,
            });
        match call.await {
            Ok(FromServer::Confirmed {
                epoch, withdrawn, ..
            }) => Some((epoch, withdrawn)),
            _ => None,
        }
    }
}
