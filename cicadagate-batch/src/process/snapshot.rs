/*!
Writes snapshots of the jobs' state before its records expire.

Each batch process appends a snapshot of the complete state about every quarter
of the log's retention, unless it applied no record since its last one. Its own
snapshot counts as such a record, so normally only an empty stream gets none.
The processes are ranked and the interval is longer by an eighth for each rank,
so that they usually write at different times. A process does not take the
snapshots of others into account.
*/

use {
    super::{Batch, JOBS_STREAM},
    actix_rt::time::sleep,
    cicadagate_node::{clock::unix_time_secs, event},
    cicadagate_policy::{
        ids::Offset,
        process::{membership::Role, roster::proposer_rank},
        version::jobs::Record,
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between two checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Writes snapshots for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let mut last_snapshot = (Offset::NONE, unix_time_secs());
    loop {
        sleep(CHECK_INTERVAL).await;
        if !batch.jobs.has_caught_up() {
            continue;
        }
        let (now, keep) = (unix_time_secs(), batch.settings.keep_secs);
        batch.jobs.state.borrow_mut().expire(now, keep);
        let interval = (batch.settings.log_retention_secs / 4).max(1);
        let rank = proposer_rank(
            batch.node.own_info().id,
            last_snapshot.0,
            &batch.node.roster_candidates(Role::Batch),
        ) as u64;
        let version = batch.jobs.state.borrow().version();
        let due = last_snapshot.1 + interval + rank * interval.div_ceil(8);
        if version == last_snapshot.0 || unix_time_secs() < due {
            continue;
        }
        last_snapshot = (version, unix_time_secs());
        let state = batch.jobs.state.borrow().clone();
        if batch.append(&Record::Carry(Box::new(state))).await.is_ok() {
            event!(SNAPSHOT_WRITTEN, stream = JOBS_STREAM, covers: = version);
        }
    }
}
