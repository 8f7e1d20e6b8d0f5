/*!
Snapshots of the configuration, so that earlier records of the log can expire.
*/

use {
    actix_rt::time::sleep,
    cicadagate_node::{
        event,
        platform::log::encode,
        process::{CONFIG_STREAM, Node},
    },
    cicadagate_policy::{
        ids::{Offset, RequestId},
        process::{membership::Role, roster::proposer_rank},
        version::config::{Change, Record},
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Writes snapshots for as long as the process runs.
///
/// The member with proposer rank 0 writes one when `record_interval` records
/// were applied since its own last snapshot, or since the start of the stream
/// if it has written none. Each further rank adds a quarter of the interval, so
/// that the loss of one writer is made up for. Snapshots written by other
/// members are not taken into account.
pub(super) async fn run(node: Rc<Node>, record_interval: u64) {
    let mut last_written = Offset::NONE;
    loop {
        sleep(CHECK_INTERVAL).await;
        let version = node.config.borrow().version();
        let rank = proposer_rank(
            node.own_info().id,
            last_written,
            &node.roster_candidates(Role::Dispatch),
        ) as u64;
        let due = last_written.0 + record_interval + rank * record_interval.div_ceil(4);
        if !node.has_caught_up() || version.0 < due {
            continue;
        }
        last_written = version;
        write_snapshot(&node).await;
    }
}

async fn write_snapshot(node: &Node) {
    let state = node.config.borrow().clone();
    let covers = state.version();
    let id = RequestId::of(&format!("snapshot {covers} by {}", node.own_info().id));
    let change = Change::Snapshot(Box::new(state));
    let Ok(body) = encode(&Record {
        id,
        based_on: Offset::NONE,
        change,
    }) else {
        return;
    };
    match node.log.append(CONFIG_STREAM.to_owned(), body).await {
        Ok(_) => event!(SNAPSHOT_WRITTEN, stream = CONFIG_STREAM, covers: = covers),
        Err(err) => event!(APPEND_FAILED, stream = CONFIG_STREAM, reason: = err),
    }
}
