/*!
Time for which online requests occupy the slots of each replica.

# Problem

Replicas run at different speeds, and become slow without a failed health check.
A member of a large fleet sends a replica one request in many seconds, so its
own measurements are too few.

# Choice

The owner of a replica is told of each request that begins and ends there, so it
measures the hold times without further messages. The average is dropped after
[`SAMPLE_TTL_MS`] without a sample. Requests that have run for longer than the
average count as well, so that a replica that becomes slow is seen before its
requests end.

# Cost

A member that occupies several slots at a replica does not say which request
ended; the first one that began is taken.
*/

use {
    crate::{
        average::MovingAverage,
        ids::{EndpointId, MemberId},
        time::Time,
    },
    std::collections::{HashMap, VecDeque},
};

/// How long an average counts after its last sample, in milliseconds.
pub const SAMPLE_TTL_MS: u64 = 5_000;
/// Most start times that are remembered of one member at one replica.
const MAX_STARTS: usize = 64;

#[derive(Clone, Debug, Default)]
struct ReplicaHold {
    /// Start times of the requests that each member has there.
    starts: HashMap<MemberId, VecDeque<Time>>,
    average: MovingAverage<8>,
    sampled_at: Time,
}

/// Hold times of the replicas that this process owns.
#[derive(Clone, Debug, Default)]
pub struct HoldTimes {
    replicas: HashMap<EndpointId, ReplicaHold>,
}

impl HoldTimes {
    /// Records how many online requests a member has at a replica.
    pub fn note(&mut self, now: Time, endpoint: EndpointId, member: MemberId, online: u32) {
        let hold = self.replicas.entry(endpoint).or_default();
        let starts = hold.starts.entry(member).or_default();
        let online = (online as usize).min(MAX_STARTS);
        while starts.len() < online {
            starts.push_back(now);
        }
        while starts.len() > online {
            let Some(start) = starts.pop_front() else {
                break;
            };
            if hold.average.value() > 0 && now.since(hold.sampled_at) >= SAMPLE_TTL_MS {
                hold.average = MovingAverage::default();
            }
            // 0 stands for an average without samples.
            hold.average.note(now.since(start).max(1));
            hold.sampled_at = now;
        }
        if online == 0 {
            hold.starts.remove(&member);
        }
    }

    /// Records how many online requests a member has at a replica according to its
    /// report. Reports list all replicas; those that this process does not own have
    /// no hold time here.
    pub fn note_reported(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        member: MemberId,
        online: u32,
    ) {
        if self.replicas.contains_key(&endpoint) {
            self.note(now, endpoint, member, online);
        }
    }

    /// Returns the time for which a request occupies a slot of a replica, in
    /// milliseconds, if it is known.
    #[must_use]
    pub fn hold_ms(&self, now: Time, endpoint: EndpointId) -> Option<u64> {
        let hold = self.replicas.get(&endpoint)?;
        let is_recent = now.since(hold.sampled_at) < SAMPLE_TTL_MS;
        let average = hold.average.value();
        let average = (is_recent && average > 0).then_some(average)?;
        let starts = hold.starts.values().flatten();
        let (count, sum) = starts.fold((0_u64, 0_u64), |(count, sum), start| {
            (count + 1, sum + now.since(*start))
        });
        let mean_age = sum.checked_div(count).unwrap_or(0);
        Some(average.max(mean_age))
    }

    /// Removes members and replicas that no longer exist.
    pub fn retain(
        &mut self,
        is_member: impl Fn(MemberId) -> bool,
        is_replica: impl Fn(EndpointId) -> bool,
    ) {
        self.replicas.retain(|endpoint, hold| {
            hold.starts.retain(|member, _| is_member(*member));
            is_replica(*endpoint)
        });
    }
}
