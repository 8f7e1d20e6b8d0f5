/*!
Load reports between members, and what a process concludes from them.

# Problem

Engines know no priorities, so online and batch work must be fitted before
them. Each instance sees only what it sends itself.

# Choice

Each member reports to all others what it has in flight at each replica, which
items of jobs it runs, and its customers' running totals. Reports are whole,
numbered and small; a lost one is replaced by the next. The period grows with
the number of members, so that a process receives at most
[`REPORTS_PER_S`] of them a second.

A member that has not been heard for [`SILENT_PERIODS`] periods is silent: its
items may be taken over and callers are not sent to it. This is faster than
the membership's verdict and may be wrong; then an item runs twice for a
moment, which is allowed, and costs a slot.

# Cost

Cost for each process is constant; what grows with the fleet is the age of
what it knows.
*/

use {
    super::{membership::Info, rate_limit::Spent},
    crate::{
        ids::{CustomerId, EndpointId, MemberId},
        time::Time,
        version::job_index::ItemRef,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Reports that a process may receive in a second; bounds the control traffic
/// to a few percent of a small instance's processor time.
pub const REPORTS_PER_S: u64 = 100;
/// Shortest time between two reports of a member, in milliseconds.
pub const MIN_PERIOD_MS: u64 = 100;
/// Missed reports after which a member counts as silent.
pub const SILENT_PERIODS: u64 = 6;

/// What a member has in flight at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// Online requests.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl InFlight {
    /// Returns the sum of both.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// What a member tells all others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Who reports.
    pub member: MemberId,
    /// Running number.
    pub seq: u64,
    /// Requests in flight at replicas, where there are any.
    pub in_flight: Vec<(EndpointId, InFlight)>,
    /// Items that it runs.
    pub items: Vec<ItemRef>,
    /// What it has admitted for customers whose total has changed lately.
    pub admitted: Vec<(CustomerId, Spent)>,
    /// Configuration that is in force there.
    pub config_version: u64,
    /// Replicas that failed it lately.
    pub suspects: Vec<EndpointId>,
    /// The store answers it.
    pub has_store: bool,
    /// Accepts no new work: it is starting or stopping.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct Heard {
    report: Report,
    at: Time,
}

/// Returns the time between two reports in a fleet of `members`, in milliseconds.
#[must_use]
pub const fn period_ms(members: usize) -> u64 {
    let spread = members as u64 * 1_000 / REPORTS_PER_S;
    if spread > MIN_PERIOD_MS {
        spread
    } else {
        MIN_PERIOD_MS
    }
}

/// Returns how much of the online requests in a report still run when the next
/// one comes, in percent. `hold_ms` is the time that a request takes; 0 if it is
/// not known.
#[must_use]
pub const fn freshness(period_ms: u64, hold_ms: u64) -> u64 {
    if hold_ms == 0 {
        return 100;
    }
    100_u64.saturating_sub(100 * period_ms / hold_ms)
}

/// Reports of the other members.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    heard: HashMap<MemberId, Heard>,
    load: HashMap<EndpointId, InFlight>,
    suspects: HashMap<EndpointId, usize>,
}

impl ReportTable {
    /// Takes a report; returns whether it is newer than the one before.
    pub fn take(&mut self, now: Time, report: Report) -> bool {
        let newer = self
            .heard
            .get(&report.member)
            .is_none_or(|heard| heard.report.seq < report.seq);
        if newer {
            self.add(&report);
            let heard = Heard { report, at: now };
            if let Some(old) = self.heard.insert(heard.report.member, heard) {
                self.subtract(&old.report);
            }
        }
        newer
    }

    /// Drops reports of members that are silent or not alive.
    pub fn expire(&mut self, now: Time, is_alive: impl Fn(MemberId) -> bool) {
        let silent_ms = self.silent_ms();
        // A report outlives silence for a while: what a lost member had in
        // flight runs on at the replicas until they see the connection end.
        let is_over = |member: MemberId, heard: &Heard| {
            !is_alive(member) || now.since(heard.at) >= 2 * silent_ms
        };
        let over: Vec<MemberId> = self
            .heard
            .iter()
            .filter(|(member, heard)| is_over(**member, heard))
            .map(|(member, _)| *member)
            .collect();
        for member in over {
            if let Some(old) = self.heard.remove(&member) {
                self.subtract(&old.report);
            }
        }
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

    /// Returns the silence after which a member's work may be taken over.
    #[must_use]
    pub fn silent_ms(&self) -> u64 {
        SILENT_PERIODS * period_ms(self.heard.len() + 1)
    }

    /// Returns what the other members have in flight at a replica.
    #[must_use]
    pub fn load(&self, endpoint: EndpointId) -> InFlight {
        self.load.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns how many other members suspect a replica.
    #[must_use]
    pub fn suspicions(&self, endpoint: EndpointId) -> usize {
        self.suspects.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns the number of members that were heard lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Tells whether no other member was heard lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Tells whether a member is heard and takes new work.
    #[must_use]
    pub fn is_working(&self, now: Time, info: &Info) -> bool {
        let silent_ms = self.silent_ms();
        self.heard.get(&info.id).is_some_and(|heard| {
            now.since(heard.at) < silent_ms && !heard.report.is_leaving && !info.leaving
        })
    }

    /// Iterates over the members that are heard.
    pub fn heard(&self, now: Time) -> impl Iterator<Item = &Report> {
        let silent_ms = self.silent_ms();
        self.heard
            .values()
            .filter(move |heard| now.since(heard.at) < silent_ms)
            .map(|heard| &heard.report)
    }

    /// Returns the items that other members run.
    #[must_use]
    pub fn running_elsewhere(&self, now: Time) -> HashSet<ItemRef> {
        self.heard(now)
            .flat_map(|report| report.items.iter().copied())
            .collect()
    }
}
