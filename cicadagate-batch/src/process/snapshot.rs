/*!
Carrying the jobs' state forward before its records expire.

The first member by turn appends the whole folded state once in a quarter of
the log's retention; the others step in if it does not.
*/

use {
    super::{Batch, JOBS_STREAM},
    actix_rt::time::sleep,
    cicadagate_node::{clock::epoch_secs, event},
    cicadagate_policy::{
        ids::Offset,
        process::{membership::Role, roster::turn},
        version::jobs::Record,
    },
    std::{rc::Rc, time::Duration},
};

/// How often it is looked whether the state is due.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Carries forward for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let mut last = (Offset::NONE, epoch_secs());
    loop {
        sleep(LOOK_EVERY).await;
        if !batch.jobs.is_current() {
            continue;
        }
        let (now, keep) = (epoch_secs(), batch.settings.keep_secs);
        batch.jobs.state.borrow_mut().expire(now, keep);
        let interval = (batch.settings.log_retention_secs / 4).max(1);
        let turns = turn(batch.node.me().id, last.0, &batch.node.seats(Role::Batch)) as u64;
        let version = batch.jobs.state.borrow().version();
        let due = last.1 + interval + turns * interval.div_ceil(8);
        if version == last.0 || epoch_secs() < due {
            continue;
        }
        last = (version, epoch_secs());
        let state = batch.jobs.state.borrow().clone();
        if batch.append(&Record::Carry(Box::new(state))).await.is_ok() {
            event!(SNAPSHOT_WRITTEN, stream = JOBS_STREAM, covers: = version);
        }
    }
}
