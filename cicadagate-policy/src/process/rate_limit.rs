/*!
Rate and burst limits of customers over the whole fleet.

# Problem

A customer's rate and burst apply to all instances together, while each
instance sees only its own callers. Equal shares per instance refuse requests
below the limit, since a customer's callers use few instances; a central
counter is lost with its process.

# Choice

Each process keeps a bucket with the customer's whole limit. It takes a token
for each request that it admits, and one for each request that the other
members report as admitted since their previous reports. Reports carry running
totals, so the next one makes up for a lost one. Between two reports the fleet
can exceed the limit by what the other members admit meanwhile. The bucket then
goes below zero and all members refuse until this debt is repaid, so that the
excess does not accumulate.

In a large fleet reports are too old for that: if each of eighty members admits
one request between two reports, a burst is exceeded. There each customer has
one member as its *owner*, and the others query it before they admit a request.
The owner decides by its own bucket, from which it deducts each admission at
once. If no reply arrives, the requesting member decides by its own bucket.

A configurable tolerance is the number of requests by which the bucket may go
below zero before any is refused. Where the platform allows some excess, the
tolerance absorbs late reports, which would otherwise cause refusals below the
limit.

# Cost

The excess in a window is the tolerance plus what the whole fleet admits in
one reporting period. A process that has just started beside others has no
record of debts and may admit one burst too many.

If all processes are restarted together, each would admit a whole burst again,
within the window in which the burst was used before. A restarted process
therefore [withholds](RateLimiter::withhold_bursts) the burst until it hears
from a member that ran before it; if there is none, buckets fill at their rate
from the start of the process. For its first seconds no tolerance is used either.
*/

use {
    crate::{
        ids::{CustomerId, MemberId},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Maximum debt of a bucket beyond one burst, as the milliseconds in which the
/// rate repays it. Many late reports at once must not lock a customer out for
/// longer than a caller retries.
pub const MAX_DEBT_REPAY_MS: f64 = 2_000.0;

/// Time after a start with withheld bursts in which no tolerance is used, in
/// milliseconds.
pub const NO_TOLERANCE_MS: u64 = 5_000;

/// How long a changed total is included in reports, in milliseconds: five
/// reporting periods of a fleet of 80 members.
pub const TOTAL_REPORT_MS: u64 = 4_000;

/// Number of members per request of tolerance above which the owner of the
/// customer is queried.
const MEMBERS_PER_TOLERANCE: f64 = 4.0;

/// A customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second. If the rate and the burst are both 0, there is no
    /// limit.
    pub rate_per_s: f64,
    /// Number of requests beyond the rate that may arrive at once.
    pub burst: f64,
}

/// Requests that a member has admitted for a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdmittedTotals {
    /// Number since the member started.
    pub total: u64,
    /// Number since the last pause in admissions that was longer than
    /// [`TOTAL_REPORT_MS`].
    pub lately: u64,
}

/// The error for a request that exceeds its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OverLimit {
    /// Time until the limit allows another request, in milliseconds.
    pub retry_after_ms: u64,
    /// Tokens in the bucket; a debt is negative.
    pub tokens: f64,
}

/// A message between members about a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum LimitMessage {
    /// Requests admission of a request from the customer's owner.
    Ask {
        /// Sequence number of the query at its sender.
        seq: u64,
        /// The requesting member.
        member: MemberId,
        /// Customer.
        customer: CustomerId,
        /// What the sender has admitted for the customer.
        spent: AdmittedTotals,
    },
    /// The owner's reply.
    Answer {
        /// Sequence number of the query.
        seq: u64,
        /// Whether the request is admitted.
        verdict: Result<(), OverLimit>,
    },
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    refilled_at: Time,
    admitted: AdmittedTotals,
    /// Time at which the total last changed.
    changed_at: Time,
    /// Tokens allotted to refused requests by their retry-after times.
    allotted: f64,
}

impl Bucket {
    /// Creates a bucket; if bursts are withheld since a time, it holds what the
    /// rate has yielded since then.
    fn new(now: Time, limit: Limit, withheld_since: Option<Time>) -> Self {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a process's life.
        let yielded = |since| limit.rate_per_s * now.since(since) as f64 / 1_000.0;
        Self {
            limit,
            tokens: withheld_since.map_or(limit.burst, |since| yielded(since).min(limit.burst)),
            refilled_at: now,
            admitted: AdmittedTotals::default(),
            changed_at: now,
            allotted: 0.0,
        }
    }

    fn refill(&mut self, now: Time, limit: Limit) {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a process's life.
        let elapsed_ms = now.since(self.refilled_at) as f64;
        self.refilled_at = now;
        // A change of the burst applies at once: a raised one adds tokens, a
        // lowered one caps them.
        let raised = (limit.burst - self.limit.burst).max(0.0);
        self.limit = limit;
        self.allotted = (self.allotted - limit.rate_per_s * elapsed_ms / 1_000.0).max(0.0);
        self.tokens = (self.tokens + raised + limit.rate_per_s * elapsed_ms / 1_000.0)
            .min(limit.burst)
            .max(-limit.rate_per_s * MAX_DEBT_REPAY_MS / 1_000.0 - limit.burst);
    }
}

impl Bucket {
    fn spend(&mut self, now: Time) {
        if now.since(self.changed_at) > TOTAL_REPORT_MS {
            self.admitted.lately = 0;
        }
        self.tokens -= 1.0;
        self.admitted.total += 1;
        self.admitted.lately += 1;
        self.changed_at = now;
    }
}

/// The buckets of all customers in one process.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    tolerance: f64,
    /// Number of members that serve.
    members: f64,
    buckets: HashMap<CustomerId, Bucket>,
    /// Last reported total of each member and customer.
    reported_totals: HashMap<(MemberId, CustomerId), u64>,
    /// Members that have reported at least once.
    reporting_members: HashSet<MemberId>,
    /// Time since which bursts are withheld.
    withheld_since: Option<Time>,
}

impl RateLimiter {
    /// Creates a limiter whose buckets may go `tolerance` requests below zero.
    #[must_use]
    pub fn new(tolerance: f64) -> Self {
        Self {
            tolerance: tolerance.max(0.0),
            members: 1.0,
            ..Self::default()
        }
    }

    /// Withholds the bursts of all customers, since what was admitted before
    /// `now` is not known.
    pub fn withhold_bursts(&mut self, now: Time) {
        self.withheld_since = Some(now);
    }

    /// Adds the withheld bursts, since a member reports that ran before this
    /// process: the other members' buckets still hold the debts.
    pub fn release_bursts(&mut self) {
        if self.withheld_since.take().is_some() {
            for bucket in self.buckets.values_mut() {
                bucket.tokens = (bucket.tokens + bucket.limit.burst).min(bucket.limit.burst);
            }
        }
    }

    /// Takes a token for a request of a customer.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer's limit allows no request now.
    pub fn admit(
        &mut self,
        now: Time,
        customer: CustomerId,
        limit: Limit,
    ) -> Result<(), OverLimit> {
        if limit.rate_per_s <= 0.0 && limit.burst <= 0.0 {
            return Ok(());
        }
        let tolerance = self.usable_tolerance(now);
        let members = self.members;
        let bucket = self.bucket_mut(now, customer, limit);
        bucket.refill(now, limit);
        if bucket.tokens - 1.0 < -tolerance {
            let missing = 1.0 - tolerance - bucket.tokens + bucket.allotted;
            // Each other member is assumed to allot a token to a refused
            // request as well.
            bucket.allotted += members;
            let wait_ms = (missing / limit.rate_per_s.max(0.001) * 1_000.0).ceil();
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            // Positive and far below the type's range.
            let retry_after_ms = wait_ms.clamp(1.0, 60_000.0) as u64;
            return Err(OverLimit {
                retry_after_ms,
                tokens: bucket.tokens,
            });
        }
        bucket.spend(now);
        Ok(())
    }

    /// Decides, as the customer's owner, on a request that `member` has
    /// received and that is not included in its totals `spent`.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer's limit allows no request now.
    pub fn admit_for_member(
        &mut self,
        now: Time,
        member: MemberId,
        customer: CustomerId,
        limit: Limit,
        spent: AdmittedTotals,
    ) -> Result<(), OverLimit> {
        self.ensure_bucket(now, customer, limit);
        self.note_reporting_member(member);
        self.apply_remote_total(now, member, customer, spent);
        let before = self.buckets.get(&customer).map(|bucket| bucket.admitted);
        self.admit(now, customer, limit)?;
        // The requesting member reports the request as its own admission.
        if let (Some(before), Some(bucket)) = (before, self.buckets.get_mut(&customer)) {
            bucket.admitted = before;
        }
        self.reported_totals
            .insert((member, customer), spent.total + 1);
        Ok(())
    }

    /// Counts a request of this process that the owner has admitted.
    pub fn record_admitted(&mut self, now: Time, customer: CustomerId, limit: Limit) {
        let bucket = self.bucket_mut(now, customer, limit);
        bucket.refill(now, limit);
        bucket.spend(now);
    }

    /// Returns what this process has admitted for a customer.
    #[must_use]
    pub fn admitted_totals(&self, customer: CustomerId) -> AdmittedTotals {
        self.buckets
            .get(&customer)
            .map_or_else(AdmittedTotals::default, |bucket| bucket.admitted)
    }

    /// Returns whether the customers' owners must be queried, since the
    /// requests that so many members admit between two reports may exceed the
    /// tolerance.
    ///
    /// Without tolerance the owners are never queried.
    #[must_use]
    pub fn needs_owner(&self) -> bool {
        self.tolerance > 0.0 && self.members > self.tolerance * MEMBERS_PER_TOLERANCE
    }

    /// Records that a member has reported. If a customer first appears in a
    /// later report of the member, its requests were admitted since then.
    pub fn note_reporting_member(&mut self, member: MemberId) {
        self.reporting_members.insert(member);
    }

    /// Deducts what another member has newly admitted for a customer, by the
    /// totals that it reports.
    pub fn apply_remote_total(
        &mut self,
        now: Time,
        member: MemberId,
        customer: CustomerId,
        spent: AdmittedTotals,
    ) {
        let before = self.reported_totals.insert((member, customer), spent.total);
        let spent = match before {
            Some(before) => spent.total.saturating_sub(before),
            None if self.reporting_members.contains(&member) => spent.lately,
            // The member's first report does not show when its total was
            // admitted.
            None => 0,
        };
        let Some(bucket) = self.buckets.get_mut(&customer) else {
            return;
        };
        let limit = bucket.limit;
        bucket.refill(now, limit);
        #[allow(clippy::cast_precision_loss)] // A count of one reporting period.
        let spent = spent as f64;
        bucket.tokens -= spent;
    }

    /// Creates a customer's bucket if there is none, so that totals reported by
    /// other members are deducted from it.
    pub fn ensure_bucket(&mut self, now: Time, customer: CustomerId, limit: Limit) {
        self.bucket_mut(now, customer, limit);
    }

    fn bucket_mut(&mut self, now: Time, customer: CustomerId, limit: Limit) -> &mut Bucket {
        self.buckets
            .entry(customer)
            .or_insert_with(|| Bucket::new(now, limit, self.withheld_since))
    }

    /// Returns the tolerance, 0 in the first seconds with withheld bursts: the
    /// other members are hardly known then, and each of them would use it.
    fn usable_tolerance(&self, now: Time) -> f64 {
        match self.withheld_since {
            Some(since) if now.since(since) < NO_TOLERANCE_MS => 0.0,
            _ => self.tolerance,
        }
    }

    /// Drops the totals of members that are gone.
    ///
    /// `members` is the number of members that serve, including this one.
    pub fn retain_members(&mut self, members: u32, is_known: impl Fn(MemberId) -> bool) {
        self.members = f64::from(members.max(1));
        self.reported_totals
            .retain(|(member, _), _| is_known(*member));
        self.reporting_members.retain(|member| is_known(*member));
    }

    /// Returns the remaining share of a customer's burst, in percent.
    #[must_use]
    pub fn burst_left(&self, customer: CustomerId) -> u64 {
        let Some(bucket) = self.buckets.get(&customer) else {
            return 100;
        };
        if bucket.limit.burst <= 0.0 {
            return 100;
        }
        let percent = (bucket.tokens / bucket.limit.burst * 100.0).clamp(0.0, 100.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 0 to 100.
        let percent = percent as u64;
        percent
    }

    /// Returns the running totals that have changed within
    /// [`TOTAL_REPORT_MS`]. Each change is reported several times, so that a
    /// lost report does no harm.
    #[must_use]
    pub fn totals_to_report(&self, now: Time) -> Vec<(CustomerId, AdmittedTotals)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| {
                bucket.admitted.total > 0 && now.since(bucket.changed_at) <= TOTAL_REPORT_MS
            })
            .map(|(customer, bucket)| (*customer, bucket.admitted))
            .collect()
    }
}
