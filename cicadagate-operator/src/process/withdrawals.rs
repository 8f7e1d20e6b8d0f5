/*!
Withdrawals that the log has not taken yet.

A withdrawal must work within seconds, an outage of the log or not. So it is
spread to peers first and counts once a majority of the roster's witnesses has
it; this process appends its record as soon as the log takes it.
*/

use {
    super::Operators,
    actix_rt::time::sleep,
    cicadagate_node::{
        platform::log::encode,
        process::{CONFIG_STREAM, Node},
    },
    cicadagate_policy::{
        ids::RequestId,
        version::config::{Change, ObjectKey, Record},
    },
    std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration},
};

/// Pause between two tries to append.
const RETRY_EVERY: Duration = Duration::from_millis(500);

/// Ids of keys whose withdrawal is not in the log yet.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    pending: RefCell<BTreeSet<String>>,
}

impl Withdrawals {
    /// Has a withdrawal appended as soon as the log takes it.
    pub fn add(&self, id: &str) {
        self.pending.borrow_mut().insert(id.to_owned());
    }
}

/// Tells a majority of the witnesses of all withdrawals that are known here.
pub(crate) async fn tell_witnesses(node: &Node) -> bool {
    let witnesses: Vec<_> = {
        let config = node.config.borrow();
        let epoch = config
            .epoch()
            .map(|(_, epoch)| epoch.roster.witnesses.clone());
        epoch
            .unwrap_or_default()
            .iter()
            .map(|seat| seat.member)
            .collect()
    };
    let asked = witnesses.iter().map(|witness| node.ask_witness(*witness));
    let answers = futures_util::future::join_all(asked).await;
    let told = answers.iter().flatten().count();
    !witnesses.is_empty() && told > witnesses.len() / 2
}

/// Appends pending withdrawals for as long as the process lives.
pub(super) async fn run(operators: Rc<Operators>) {
    let node = &operators.node;
    loop {
        sleep(RETRY_EVERY).await;
        let pending: Vec<String> = operators
            .withdrawals
            .pending
            .borrow()
            .iter()
            .cloned()
            .collect();
        for id in pending {
            if append(node, &id).await {
                operators.withdrawals.pending.borrow_mut().remove(&id);
            }
        }
    }
}

/// Appends a withdrawal unless the fold shows it; returns whether it does.
async fn append(node: &Node, id: &str) -> bool {
    let key = ObjectKey::Key(id.to_owned());
    let based_on = {
        let config = node.config.borrow();
        let object = config.objects().find(|(other, _)| **other == key);
        let Some((_, object)) = object else {
            return true;
        };
        if matches!(
            object.value,
            cicadagate_policy::version::config::Object::WithdrawnKey(_)
        ) {
            return true;
        }
        object.version
    };
    let change = Change::WithdrawKey(id.to_owned());
    let record = Record {
        id: RequestId::of(&format!("withdraw {id} {based_on}")),
        based_on,
        change,
    };
    if let Ok(body) = encode(&record) {
        // The fold tells whether it arrived.
        let _ = node.log.append(CONFIG_STREAM.to_owned(), body).await;
    }
    false
}
