/*!
Claiming jobs that nobody works on.

The members are ranked for each job by rendezvous hashing. The first claims at
once, each next one a turn later, so that a lost member's jobs spread over all
others. A claim whose holder is dead, has left or is another incarnation may
be followed. The log decides between two claims.
*/

use {
    super::{Batch, worker},
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::{JobId, MemberId, Offset},
        process::{
            homes::{Place, spread},
            membership::{Health, Role},
        },
        time::Time,
        version::jobs::{JobState, Record},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// How often jobs are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How much later each next member claims, in milliseconds.
const TURN_MS: u64 = 2_000;
/// Most jobs that one process works on at once.
const MAX_WORKING: usize = 64;
/// Claims that are appended in one look.
const MAX_CLAIMS: usize = 8;

/// Claims jobs for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let mut free_since: BTreeMap<JobId, (Offset, Time)> = BTreeMap::new();
    loop {
        sleep(LOOK_EVERY).await;
        let is_serving = batch.node.phase().is_given_out() && batch.node.has_contact();
        if !batch.jobs.is_current() || !is_serving {
            continue;
        }
        batch.start_workers();
        let free = batch.free_jobs();
        free_since.retain(|job, _| free.iter().any(|(id, _)| id == job));
        let now = batch.node.now();
        let mut claims = 0;
        for (job, after) in free {
            let since = free_since.entry(job).or_insert((after, now));
            if since.0 != after {
                *since = (after, now);
            }
            let due = batch.rank(job) * TURN_MS;
            let room = batch.working.borrow().len() < MAX_WORKING && claims < MAX_CLAIMS;
            if now.since(since.1) >= due && room {
                claims += 1;
                batch.claim(job, after).await;
            }
        }
    }
}

impl Batch {
    /// Jobs without a living claimant, with the claim to follow.
    fn free_jobs(&self) -> Vec<(JobId, Offset)> {
        let state = self.jobs.state.borrow();
        let free = state.open_jobs().filter(|job| !self.has_claimant(job));
        free.map(|job| {
            (
                job.job.id,
                job.claim.map_or(Offset::NONE, |claim| claim.fence),
            )
        })
        .collect()
    }

    fn has_claimant(&self, job: &JobState) -> bool {
        let Some(claim) = job.claim else {
            return false;
        };
        let membership = self.node.membership.borrow();
        let member = membership.member(claim.claimant);
        member.is_some_and(|(_, health)| health <= Health::Suspect)
    }

    fn rank(&self, job: JobId) -> u64 {
        let places: Vec<Place> = self.node.places(Role::Batch);
        let ranked: Vec<MemberId> = spread(job.raw(), places.len(), &places);
        let me = self.node.membership.borrow().me().id;
        ranked
            .iter()
            .position(|member| *member == me)
            .unwrap_or(places.len()) as u64
    }

    async fn claim(&self, job: JobId, after: Offset) {
        let me = self.node.me();
        let record = Record::Claim {
            job,
            claimant: me.id,
            incarnation: me.started,
            after,
        };
        // Whether it holds is seen in the fold, also if the answer is lost.
        let _ = self.append(&record).await;
    }

    /// Starts a worker for each job whose claim is this process's.
    fn start_workers(&self) {
        let Some(batch) = self.me.upgrade() else {
            return;
        };
        let me = self.node.me().id;
        let state = self.jobs.state.borrow();
        for job in state.open_jobs() {
            let Some(claim) = job.claim.filter(|claim| claim.claimant == me) else {
                continue;
            };
            let mut working = self.working.borrow_mut();
            if working.get(&job.job.id) == Some(&claim.fence) {
                continue;
            }
            working.insert(job.job.id, claim.fence);
            event!(JOB_CLAIMED, job: = job.job.id, fence: = claim.fence);
            actix_rt::spawn(worker::run(Rc::clone(&batch), job.clone(), claim.fence));
        }
    }
}
