/*!
Load reports between members, and the state derived from them.

# Problem

Engines have no priorities, so online and batch work must be balanced before
it reaches them. Each instance sees only the requests that it sends itself.

# Choice

Each member reports to all others what it has in flight at each replica, which
items of jobs it runs, and how many requests it has admitted for its customers
in total. A report is complete, numbered and small; a lost one is replaced by
the next. The period grows with the number of members, so that a process
receives at most [`MAX_REPORTS_PER_S`] reports a second.

A member without a report for [`SILENCE_PERIODS`] periods is silent: others may
take over its items, and its address is not advertised. In a small fleet this is
faster than the failure detection of the membership and may be wrong. In that
case an item runs twice for a moment, which is allowed and costs a slot.

A member that has not reported yet counts as working if its messages carry a
configuration version, which it sets once it is ready. In a fleet of hundreds, reports are seconds apart, and after a
restart of all processes none would find another one to work with for so long.

# Cost

The cost for each process is constant, but the age of the reports grows with
the number of members.
*/

use {
    super::{membership::Info, rate_limit::AdmittedTotals},
    crate::{
        ids::{CustomerId, EndpointId, MemberId, Offset},
        time::Time,
        version::job_index::ItemRef,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Maximum number of reports that a process receives in a second. Bounds the
/// control traffic to a few percent of a small instance's processor time.
pub const MAX_REPORTS_PER_S: u64 = 100;
/// Minimum time between two reports of a member, in milliseconds.
pub const MIN_PERIOD_MS: u64 = 100;
/// Reporting periods without a report after which a member counts as silent.
pub const SILENCE_PERIODS: u64 = 6;

/// Requests that a member has in flight at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// Online requests.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl InFlight {
    /// Returns the number of online requests and batch items together.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// A load report of a member to all others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The reporting member.
    pub member: MemberId,
    /// Sequence number of the member's reports.
    pub seq: u64,
    /// Requests in flight at each replica that has any.
    pub in_flight: Vec<(EndpointId, InFlight)>,
    /// Items of jobs that the member runs.
    pub items: Vec<ItemRef>,
    /// Requests admitted for customers whose total has changed recently.
    pub admitted: Vec<(CustomerId, AdmittedTotals)>,
    /// Configuration version in force at the member.
    pub config_version: u64,
    /// Replicas that recently failed requests of the member.
    pub suspects: Vec<EndpointId>,
    /// Whether the member can reach the store.
    pub has_store: bool,
    /// Whether the member accepts no new work: it is starting or stopping.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: Report,
    at: Time,
}

/// Returns the time between two reports of a member in a fleet of `members`, in
/// milliseconds.
#[must_use]
pub const fn period_ms(members: usize) -> u64 {
    let spread_ms = members as u64 * 1_000 / MAX_REPORTS_PER_S;
    if spread_ms > MIN_PERIOD_MS {
        spread_ms
    } else {
        MIN_PERIOD_MS
    }
}

/// Returns the share of the online requests in a report that still run when the
/// next one arrives, in percent.
///
/// `hold_ms` is the time that a request takes; if it is 0, unknown, the result
/// is 100.
#[must_use]
pub const fn remaining_percent(period_ms: u64, hold_ms: u64) -> u64 {
    if hold_ms == 0 {
        return 100;
    }
    100_u64.saturating_sub(100 * period_ms / hold_ms)
}

/// The latest report of each other member.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    received: HashMap<MemberId, ReceivedReport>,
    load: HashMap<EndpointId, InFlight>,
    suspects: HashMap<EndpointId, usize>,
    /// Members whose last report was dropped because of its age.
    silent: HashSet<MemberId>,
}

impl ReportTable {
    /// Applies a report; returns whether it is newer than the last one of its
    /// member. An older one is ignored.
    pub fn apply(&mut self, now: Time, report: Report) -> bool {
        let is_newer = self
            .received
            .get(&report.member)
            .is_none_or(|received| received.report.seq < report.seq);
        if is_newer {
            self.silent.remove(&report.member);
            self.add(&report);
            let received = ReceivedReport { report, at: now };
            if let Some(old) = self.received.insert(received.report.member, received) {
                self.subtract(&old.report);
            }
        }
        is_newer
    }

    /// Drops the reports of members that are not alive or have been silent for
    /// a while.
    pub fn expire(&mut self, now: Time, is_alive: impl Fn(MemberId) -> bool) {
        let timeout_ms = self.silence_timeout_ms();
        // A report is kept for twice the silence timeout: requests of a lost
        // member still run at the replicas until these detect that its
        // connections have ended.
        let is_expired = |member: MemberId, received: &ReceivedReport| {
            !is_alive(member) || now.since(received.at) >= 2 * timeout_ms
        };
        let expired: Vec<MemberId> = self
            .received
            .iter()
            .filter(|(member, received)| is_expired(**member, received))
            .map(|(member, _)| *member)
            .collect();
        for member in expired {
            if let Some(old) = self.received.remove(&member) {
                self.subtract(&old.report);
            }
            self.silent.insert(member);
        }
        self.silent.retain(|member| is_alive(*member));
    }

    fn add(&mut self, report: &Report) {
        for (endpoint, in_flight) in &report.in_flight {
            let sum = self.load.entry(*endpoint).or_default();
            sum.online += in_flight.online;
            sum.batch += in_flight.batch;
        }
        for endpoint in &report.suspects {
            *self.suspects.entry(*endpoint).or_default() += 1;
        }
    }

    fn subtract(&mut self, report: &Report) {
        for (endpoint, in_flight) in &report.in_flight {
            if let Some(sum) = self.load.get_mut(endpoint) {
                sum.online -= in_flight.online;
                sum.batch -= in_flight.batch;
            }
        }
        self.load.retain(|_, sum| sum.total() > 0);
        for endpoint in &report.suspects {
            if let Some(count) = self.suspects.get_mut(endpoint) {
                *count -= 1;
            }
        }
        self.suspects.retain(|_, count| *count > 0);
    }

    /// Returns the time without a report after which a member is silent and its
    /// work may be taken over, in milliseconds.
    #[must_use]
    pub fn silence_timeout_ms(&self) -> u64 {
        SILENCE_PERIODS * period_ms(self.received.len() + 1)
    }

    /// Returns the requests that the other members have in flight at a replica.
    #[must_use]
    pub fn load(&self, endpoint: EndpointId) -> InFlight {
        self.load.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns how many other members suspect a replica.
    #[must_use]
    pub fn suspicion_count(&self, endpoint: EndpointId) -> usize {
        self.suspects.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns the number of other members whose report is kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Returns whether no report is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns whether a member is not silent and accepts new work; `info` is
    /// what the membership says of it.
    #[must_use]
    pub fn is_working(&self, now: Time, info: &Info) -> bool {
        if info.leaving {
            return false;
        }
        let Some(received) = self.received.get(&info.id) else {
            return info.version > Offset::NONE && !self.silent.contains(&info.id);
        };
        now.since(received.at) < self.silence_timeout_ms() && !received.report.is_leaving
    }

    /// Returns an iterator over the reports of the members that are not silent.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &Report> {
        let timeout_ms = self.silence_timeout_ms();
        self.received
            .values()
            .filter(move |received| now.since(received.at) < timeout_ms)
            .map(|received| &received.report)
    }

    /// Returns the items that other members report as running.
    #[must_use]
    pub fn items_running_elsewhere(&self, now: Time) -> HashSet<ItemRef> {
        self.recent(now)
            .flat_map(|report| report.items.iter().copied())
            .collect()
    }
}
