/*!
Submissions of batch jobs whose outcome is not known.

# Problem

A submission whose append got no response may be in the log or may yet get there. Its
caller submits the job again at another member, which can say for itself that nothing was
done, but not for the attempt before: a refusal would promise that no part of the job runs.

# Choice

A member that gets no response to the append of a submission tells [`HOLDERS`] members,
chosen by rendezvous hashing, before it retries. A member that would refuse a submission
asks the members that rank highest for the job first. If one of them knows of an attempt
without an outcome, the caller is told that the outcome is unknown.

An entry is kept for [`UNRESOLVED_TTL_MS`], since nothing shows that an append will not be
carried out. A job that is accepted meanwhile is found in the index before.

# Cost

[`HOLDERS`] datagrams for each append of a submission without a response, and up to
[`MAX_ASKED`] queries for each submission that is refused for the lack of the store or of
room. None depends on the number of members.
*/

use {
    super::placement::{PlacementCandidate, spread_over_data_centres},
    crate::{
        ids::{JobId, MemberId},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashSet, VecDeque},
};

/// Members that are told of a submission without an outcome.
pub const HOLDERS: usize = 3;
/// Most members that are asked about a job: more than are told, since members may have
/// joined or left.
pub const MAX_ASKED: usize = 8;
/// Time for which a submission without an outcome is remembered, in milliseconds: longer
/// than callers repeat a submission.
pub const UNRESOLVED_TTL_MS: u64 = 60_000;
/// Most jobs that are remembered. The oldest are dropped first.
pub const MAX_UNRESOLVED: usize = 32_768;

/// A message between members about a submission without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum UnresolvedJobMessage {
    /// A submission of the job has no outcome.
    Unresolved {
        /// The job.
        job: JobId,
    },
    /// Asks whether a submission of the job has no outcome.
    Ask {
        /// Sequence number of the query at its sender.
        seq: u64,
        /// The job.
        job: JobId,
    },
    /// The reply to a query.
    Answer {
        /// Sequence number of the query.
        seq: u64,
        /// Whether the member knows of a submission without an outcome.
        is_unresolved: bool,
    },
}

/// Returns the members to tell about a job, from all that work.
#[must_use]
pub fn holders(job: JobId, members: &[PlacementCandidate]) -> Vec<MemberId> {
    spread_over_data_centres(job.raw(), HOLDERS, members)
}

/// Returns the members to ask about a job, from all that may be alive.
#[must_use]
pub fn members_to_ask(job: JobId, members: &[PlacementCandidate]) -> Vec<MemberId> {
    spread_over_data_centres(job.raw(), MAX_ASKED, members)
}

/// The jobs with a submission without an outcome, as far as a member knows.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedJobs {
    known: HashSet<JobId>,
    /// The jobs in `known` in the order in which they expire.
    expiry: VecDeque<(Time, JobId)>,
}

impl UnresolvedJobs {
    /// Records a submission without an outcome.
    pub fn note(&mut self, now: Time, job: JobId) {
        self.expire(now);
        if self.known.contains(&job) {
            return;
        }
        if self.known.len() >= MAX_UNRESOLVED {
            self.remove_oldest();
        }
        self.known.insert(job);
        self.expiry.push_back((now.plus(UNRESOLVED_TTL_MS), job));
    }

    /// Returns whether a submission of a job has no outcome.
    pub fn contains(&mut self, now: Time, job: JobId) -> bool {
        self.expire(now);
        self.known.contains(&job)
    }

    /// Returns the number of jobs that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no job is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self.expiry.front().is_some_and(|(until, _)| *until <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, job)) = self.expiry.pop_front() {
            self.known.remove(&job);
        }
    }
}
