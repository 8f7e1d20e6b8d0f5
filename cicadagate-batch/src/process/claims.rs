/*!
Claims jobs that have no live claimant.

The members are ranked for each job by rendezvous hashing. The first claims an
unclaimed job at once, each next one [`CLAIM_STAGGER_MS`] later, so that the
jobs of a lost member spread over all others. A job may be claimed again if the
member that claimed it is dead, has left or is unknown; this includes the
member's own earlier runs, since a restarted member has a new id. Of two
concurrent claims the first one in the log wins.
*/

use {
    super::{Batch, worker},
    actix_rt::time::sleep,
    cicadagate_node::event,
    cicadagate_policy::{
        ids::{JobId, MemberId, Offset},
        process::{
            membership::{Health, Role},
            placement::{PlacementCandidate, spread_over_data_centres},
        },
        time::Time,
        version::jobs::{JobState, Record},
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Interval between two scans of the jobs.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay of a claim for each higher rank, in milliseconds.
const CLAIM_STAGGER_MS: u64 = 2_000;
/// Maximum number of jobs that one process works on at once.
const MAX_ACTIVE_JOBS: usize = 64;
/// Maximum number of claims that are appended in one scan.
const MAX_CLAIMS_PER_SCAN: usize = 8;

/// Claims jobs for as long as the process lives.
pub(super) async fn run(batch: Rc<Batch>) {
    let mut unclaimed_since: BTreeMap<JobId, (Offset, Time)> = BTreeMap::new();
    loop {
        sleep(SCAN_INTERVAL).await;
        let is_serving = batch.node.phase().is_advertised() && batch.node.has_contact();
        if !batch.jobs.has_caught_up() || !is_serving {
            continue;
        }
        batch.start_workers();
        let unclaimed = batch.unclaimed_jobs();
        unclaimed_since.retain(|job, _| unclaimed.iter().any(|(id, _)| id == job));
        let now = batch.node.now();
        let mut claims = 0;
        for (job, after) in unclaimed {
            let since = unclaimed_since.entry(job).or_insert((after, now));
            if since.0 != after {
                *since = (after, now);
            }
            let delay_ms = batch.claim_rank(job) * CLAIM_STAGGER_MS;
            let has_capacity =
                batch.active_jobs.borrow().len() < MAX_ACTIVE_JOBS && claims < MAX_CLAIMS_PER_SCAN;
            if now.since(since.1) >= delay_ms && has_capacity {
                claims += 1;
                batch.append_claim(job, after).await;
            }
        }
    }
}

impl Batch {
    /// Returns the open jobs without a live claimant, each with the fencing
    /// token of its last claim, which a new claim has to name.
    fn unclaimed_jobs(&self) -> Vec<(JobId, Offset)> {
        let state = self.jobs.state.borrow();
        let unclaimed = state.open_jobs().filter(|job| !self.has_live_claimant(job));
        unclaimed
            .map(|job| {
                (
                    job.job.id,
                    job.claim.map_or(Offset::NONE, |claim| claim.fence),
                )
            })
            .collect()
    }

    fn has_live_claimant(&self, job: &JobState) -> bool {
        let Some(claim) = job.claim else {
            return false;
        };
        let membership = self.node.membership.borrow();
        let member = membership.member(claim.claimant);
        member.is_some_and(|(_, health)| health <= Health::Suspect)
    }

    /// Returns the position of this process in the order of claimants of a job.
    fn claim_rank(&self, job: JobId) -> u64 {
        let candidates: Vec<PlacementCandidate> = self.node.placement_candidates(Role::Batch);
        let ranked: Vec<MemberId> =
            spread_over_data_centres(job.raw(), candidates.len(), &candidates);
        let own_id = self.node.membership.borrow().own_info().id;
        ranked
            .iter()
            .position(|member| *member == own_id)
            .unwrap_or(candidates.len()) as u64
    }

    async fn append_claim(&self, job: JobId, after: Offset) {
        let own_info = self.node.own_info();
        let record = Record::Claim {
            job,
            claimant: own_info.id,
            incarnation: own_info.started,
            after,
        };
        // The replicated state shows whether the claim is valid, also if the
        // append's response is lost.
        let _ = self.append(&record).await;
    }

    /// Starts a worker for each job that this process has claimed.
    fn start_workers(&self) {
        let Some(batch) = self.weak_self.upgrade() else {
            return;
        };
        let own_id = self.node.own_info().id;
        let state = self.jobs.state.borrow();
        for job in state.open_jobs() {
            let Some(claim) = job.claim.filter(|claim| claim.claimant == own_id) else {
                continue;
            };
            let mut active_jobs = self.active_jobs.borrow_mut();
            if active_jobs.get(&job.job.id) == Some(&claim.fence) {
                continue;
            }
            active_jobs.insert(job.job.id, claim.fence);
            event!(JOB_CLAIMED, job: = job.job.id, fence: = claim.fence);
            actix_rt::spawn(worker::run(Rc::clone(&batch), job.clone(), claim.fence));
        }
    }
}
