/*!
Key withdrawals that are not in the log yet.

A withdrawal must take effect within seconds, even while the log is
unreachable. It is therefore gossiped to peers before it is appended. If the
append fails, the withdrawal still succeeds once a majority of the roster's
witnesses has it, and this process retries the append until the record is in
the log. Pending withdrawals are kept in memory only.
*/

use {
    super::OperatorApi,
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

/// Pause between attempts to append the pending withdrawals.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The ids of keys whose withdrawal is not in the log yet.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    pending: RefCell<BTreeSet<String>>,
}

impl Withdrawals {
    /// Queues a withdrawal to be appended once the log is reachable.
    pub fn add(&self, id: &str) {
        self.pending.borrow_mut().insert(id.to_owned());
    }
}

/// Sends all withdrawals known here to the witnesses; returns whether a
/// majority of them responded.
pub(crate) async fn replicate_to_witnesses(node: &Node) -> bool {
    let witnesses: Vec<_> = {
        let config = node.config.borrow();
        let epoch = config
            .epoch()
            .map(|(_, epoch)| epoch.roster.witnesses.clone());
        epoch
            .unwrap_or_default()
            .iter()
            .map(|witness| witness.member)
            .collect()
    };
    let queries = witnesses.iter().map(|witness| node.query_witness(*witness));
    let responses = futures_util::future::join_all(queries).await;
    let confirmed = responses.iter().flatten().count();
    !witnesses.is_empty() && confirmed > witnesses.len() / 2
}

/// Appends pending withdrawals for as long as the process runs.
pub(super) async fn run(api: Rc<OperatorApi>) {
    let node = &api.node;
    loop {
        sleep(APPEND_RETRY_INTERVAL).await;
        let pending: Vec<String> = api.withdrawals.pending.borrow().iter().cloned().collect();
        for id in pending {
            if ensure_appended(node, &id).await {
                api.withdrawals.pending.borrow_mut().remove(&id);
            }
        }
    }
}

/// Appends the record of a withdrawal, unless the configuration already shows
/// it or has no such key; returns `true` in these two cases.
async fn ensure_appended(node: &Node, id: &str) -> bool {
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
        // The next attempt finds the record in the configuration if it was
        // appended, so the result of the append is not needed.
        let _ = node.log.append(CONFIG_STREAM.to_owned(), body).await;
    }
    false
}
