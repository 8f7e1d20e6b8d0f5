/*!
Rate and burst of a customer, counted over the whole fleet.

# Problem

A customer's rate and burst hold over all instances together, while each
instance sees only its own callers. Equal parts refuse wrongly, since a
customer's callers sit on few instances; a central counter is lost with its
process.

# Choice

Each process keeps the customer's whole token bucket. It takes a token for
each request that it admits, and as many for others as their reports say they
have admitted since the report before. Reports carry running totals, so a lost
one is made up for by the next. Between reports the sum can pass the limit by
what the others admit meanwhile; the bucket then goes below zero, and everyone
refuses until that debt is paid, so that the excess does not add up.

In a large fleet reports are too old for that: if each of eighty members admits
one request between two reports, a burst is passed. There one member, the
customer's owner, is asked before a request is admitted; it decides by its own
bucket, which counts what it grants at once. Without an answer the asker decides
by what it knows.

A settable tolerance lets the bucket go below zero by some requests before
anything is refused. Where the platform bounds the excess loosely, it absorbs
the late news instead of refusing customers below their limit.

# Cost

The excess in a window is the tolerance plus what the whole fleet admits in
one reporting period. A process that has just started knows no debts and may
admit one burst too many.
*/

use {
    crate::{
        ids::{CustomerId, MemberId},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Longest that a debt takes to be paid, in milliseconds of the rate: a burst
/// of late news must not lock a customer out for longer than a caller retries.
pub const MAX_DEBT_MS: f64 = 2_000.0;

/// Time for which a changed total is reported, in milliseconds: several
/// reports of the largest fleet.
pub const REPORTED_FOR_MS: u64 = 4_000;

/// Members for each request of tolerance above which an owner of the customer is
/// asked.
const OWNER_MEMBERS: f64 = 4.0;

/// A customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second; 0 is no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Requests that a member has admitted for a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Spent {
    /// Since the member started.
    pub total: u64,
    /// Since the customer was last without requests there for
    /// [`REPORTED_FOR_MS`].
    pub lately: u64,
}

/// A request exceeds its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OverLimit {
    /// Time until the limit allows another request, in milliseconds.
    pub retry_after_ms: u64,
    /// Tokens in the bucket, negative for a debt.
    pub tokens: f64,
}

/// A message about a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum LimitMessage {
    /// Asks the customer's owner to admit a request.
    Ask {
        /// Number of the question at its sender.
        seq: u64,
        /// Who asks.
        member: MemberId,
        /// Customer.
        customer: CustomerId,
        /// What the sender has spent for it.
        spent: Spent,
    },
    /// The owner's answer.
    Answer {
        /// Number of the question.
        seq: u64,
        /// Whether the request is admitted.
        verdict: Result<(), OverLimit>,
    },
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    at: Time,
    own: Spent,
    /// Time of the last change of the total.
    changed: Time,
    /// Tokens that refused callers were told to come back for.
    promised: f64,
}

impl Bucket {
    fn new(now: Time, limit: Limit) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            at: now,
            own: Spent::default(),
            changed: now,
            promised: 0.0,
        }
    }

    fn refill(&mut self, now: Time, limit: Limit) {
        #[allow(clippy::cast_precision_loss)] // Milliseconds of a process's life.
        let elapsed_ms = now.since(self.at) as f64;
        self.at = now;
        // A raised burst is granted at once, a lowered one binds at once.
        let raised = (limit.burst - self.limit.burst).max(0.0);
        self.limit = limit;
        self.promised = (self.promised - limit.rate_per_s * elapsed_ms / 1_000.0).max(0.0);
        self.tokens = (self.tokens + raised + limit.rate_per_s * elapsed_ms / 1_000.0)
            .min(limit.burst)
            .max(-limit.rate_per_s * MAX_DEBT_MS / 1_000.0 - limit.burst);
    }
}

impl Bucket {
    fn spend(&mut self, now: Time) {
        if now.since(self.changed) > REPORTED_FOR_MS {
            self.own.lately = 0;
        }
        self.tokens -= 1.0;
        self.own.total += 1;
        self.own.lately += 1;
        self.changed = now;
    }
}

/// Buckets of all customers at one process.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    tolerance: f64,
    members: f64,
    buckets: HashMap<CustomerId, Bucket>,
    heard: HashMap<(MemberId, CustomerId), u64>,
    known: HashSet<MemberId>,
}

impl RateLimiter {
    /// Makes a limiter; `tolerance` is in requests below zero.
    #[must_use]
    pub fn new(tolerance: f64) -> Self {
        Self {
            tolerance: tolerance.max(0.0),
            members: 1.0,
            ..Self::default()
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
        let bucket = self
            .buckets
            .entry(customer)
            .or_insert_with(|| Bucket::new(now, limit));
        bucket.refill(now, limit);
        if bucket.tokens - 1.0 < -self.tolerance {
            let missing = 1.0 - self.tolerance - bucket.tokens + bucket.promised;
            // The other members promise as much for their callers.
            bucket.promised += self.members;
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

    /// Decides about a request of a customer at another member, which has spent
    /// `spent` so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer's limit allows no request now.
    pub fn admit_for(
        &mut self,
        now: Time,
        member: MemberId,
        customer: CustomerId,
        limit: Limit,
        spent: Spent,
    ) -> Result<(), OverLimit> {
        self.watch(now, customer, limit);
        self.note_heard(member);
        self.note_remote(now, member, customer, spent);
        let before = self.buckets.get(&customer).map(|bucket| bucket.own);
        self.admit(now, customer, limit)?;
        // The admission is the asker's: it will report it as its own.
        if let (Some(before), Some(bucket)) = (before, self.buckets.get_mut(&customer)) {
            bucket.own = before;
        }
        self.heard.insert((member, customer), spent.total + 1);
        Ok(())
    }

    /// Counts a request that another member has admitted for this one.
    pub fn record(&mut self, now: Time, customer: CustomerId, limit: Limit) {
        self.watch(now, customer, limit);
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            bucket.refill(now, limit);
            bucket.spend(now);
        }
    }

    /// Returns what this process has spent for a customer.
    #[must_use]
    pub fn spent(&self, customer: CustomerId) -> Spent {
        self.buckets
            .get(&customer)
            .map_or_else(Spent::default, |bucket| bucket.own)
    }

    /// Tells whether reports are too old to limit customers by: if each member
    /// admits one request between two of them, that is more than the tolerance
    /// makes up for.
    #[must_use]
    pub fn needs_owner(&self) -> bool {
        self.tolerance > 0.0 && self.members > self.tolerance * OWNER_MEMBERS
    }

    /// Notes that a member was heard: what it reports of a customer for the
    /// first time from now on was spent since.
    pub fn note_heard(&mut self, member: MemberId) {
        self.known.insert(member);
    }

    /// Takes what a member has admitted for a customer.
    pub fn note_remote(&mut self, now: Time, member: MemberId, customer: CustomerId, spent: Spent) {
        let before = self.heard.insert((member, customer), spent.total);
        let spent = match before {
            Some(before) => spent.total.saturating_sub(before),
            None if self.known.contains(&member) => spent.lately,
            // Its first report tells nothing about when that was spent.
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

    /// Makes sure that a customer's bucket exists, so that reports count.
    pub fn watch(&mut self, now: Time, customer: CustomerId, limit: Limit) {
        self.buckets
            .entry(customer)
            .or_insert_with(|| Bucket::new(now, limit));
    }

    /// Forgets what members that are gone have reported; `members` are those
    /// that serve, this one included.
    pub fn retain_members(&mut self, members: u32, is_known: impl Fn(MemberId) -> bool) {
        self.members = f64::from(members.max(1));
        self.heard.retain(|(member, _), _| is_known(*member));
        self.known.retain(|member| is_known(*member));
    }

    /// Returns what is left of a customer's burst, in percent.
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

    /// Returns the running totals that have changed lately. A total is told
    /// several times, so that a lost report does no harm.
    #[must_use]
    pub fn totals_to_report(&self, now: Time) -> Vec<(CustomerId, Spent)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| {
                bucket.own.total > 0 && now.since(bucket.changed) <= REPORTED_FOR_MS
            })
            .map(|(customer, bucket)| (*customer, bucket.own))
            .collect()
    }
}
