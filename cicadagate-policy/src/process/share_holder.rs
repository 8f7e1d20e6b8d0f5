/*!
Distributed rate limiting by shares of a customer's token bucket.

# Problem

A customer's rate and burst apply to all instances together. Fixed 1/N shares
per instance refuse requests below the limit, since callers keep an address
and the load of one customer concentrates on few instances. A single shared
counter is lost with its process, and two counters, one on each side of a
partition, exceed the limit.

# Choice

Each customer has up to [`HOLDERS_PER_CUSTOMER`] holders, chosen by rendezvous
hashing over the members of a roster in the log. Each holder has an equal share
of rate and burst as a token bucket, and entry processes request grants of
tokens from it.
The shares never sum to more than the customer's limit:

* A holder grants only under a lease: fresh [`Contact`](super::contact) for
  the roster's epoch.
* A roster is proposed by one record and *settled* by a second one, which is
  written only after a majority of the previous roster's witnesses has read
  the proposal or has terminated. From then on a process that missed the new
  roster can't renew its contact, neither through witnesses nor by reading the
  log.
* A share that is new at a holder, or that becomes a larger fraction of the
  limit, is granted at that size only [`HANDOVER_WAIT_MS`] after a majority of
  the witnesses is known to have read the version that caused it: a roster or a
  change of the customer. Witnesses confirm only to processes whose version is
  at least their own. By then the lease of every process without that version
  has ended, by any clock within the assumed drift.
* Records are applied one by one. If records were skipped, every share starts
  empty again, since another member may have held it in a skipped version.
* A new or restarted holder starts empty. A restarted member is another
  incarnation and holds nothing until a roster names it.
* A grant may be used only for [`GRANT_TTL_MS`] after it was requested, by the
  requester's clock. The capacity of the bucket is smaller by what refills in
  that time, so that late use can't add to a full bucket.

# Cost

The tokens of a lost holder can't be used until the next roster is settled and
[`HANDOVER_WAIT_MS`] have passed; the other holders still grant theirs.
*/

use {
    super::placement::{PlacementCandidate, spread_over_data_centres},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, MemberId, Offset},
        process::contact::CONTACT_TTL_MS,
        time::{MAX_CLOCK_DRIFT_PPM, Time, with_clock_drift},
        version::config::{Customer, Roster, State},
    },
    std::collections::BTreeMap,
};

/// Maximum number of holders of one customer.
pub const HOLDERS_PER_CUSTOMER: usize = 3;
/// How long a grant may be used after it was requested, in milliseconds.
pub const GRANT_TTL_MS: u64 = 100;
/// Delay before a new holder grants from a moved share, in milliseconds.
pub const HANDOVER_WAIT_MS: u64 = with_clock_drift(CONTACT_TTL_MS + GRANT_TTL_MS);
/// Bucket units in the token of one request; a unit is a millionth.
const UNITS_PER_REQUEST: u64 = 1_000_000;
/// How long after it was granted a grant may be used, by any clock, in
/// milliseconds. The readings of both clocks may be rounded down.
const LATE_USE_MS: u64 = GRANT_TTL_MS + 2;
/// Bucket units that a rate of a thousandth of a request a second yields in
/// 1 ms.
const UNITS_PER_MILLI_MS: u64 = 1;

/// A token bucket that counts in millionths of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    rate_milli: u64,
    capacity: u64,
    units: u64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates an empty bucket with a rate in thousandths of a request a second
    /// and a capacity in millionths of a request.
    #[must_use]
    pub const fn empty(rate_milli: u64, capacity_units: u64, now: Time) -> Self {
        Self {
            rate_milli,
            capacity: capacity_units,
            units: 0,
            refilled_at: now,
        }
    }

    /// Creates a full bucket with a rate in thousandths of a request a second
    /// and a capacity of `burst` requests.
    #[must_use]
    pub const fn full(rate_milli: u64, burst: u32, now: Time) -> Self {
        let capacity = burst as u64 * UNITS_PER_REQUEST;
        Self {
            rate_milli,
            capacity,
            units: capacity,
            refilled_at: now,
        }
    }

    /// Adds the tokens gained up to `now`.
    pub fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at) * self.rate_milli * UNITS_PER_MILLI_MS;
        self.units = (self.units + gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes up to `want` tokens, each for a whole request; returns their
    /// number.
    pub fn take(&mut self, want: u32, now: Time) -> u32 {
        self.refill(now);
        let available = u32::try_from(self.units / UNITS_PER_REQUEST).unwrap_or(u32::MAX);
        let taken = want.min(available);
        self.units -= u64::from(taken) * UNITS_PER_REQUEST;
        taken
    }

    /// Returns the time until the bucket holds a token for one request, in
    /// milliseconds, or [`u64::MAX`] if it never does.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.capacity < UNITS_PER_REQUEST || self.rate_milli == 0 {
            return u64::MAX;
        }
        UNITS_PER_REQUEST
            .saturating_sub(self.units)
            .div_ceil(self.rate_milli * UNITS_PER_MILLI_MS)
    }

    const fn resize(&mut self, rate_milli: u64, capacity: u64) {
        self.rate_milli = rate_milli;
        self.capacity = capacity;
        if self.units > capacity {
            self.units = capacity;
        }
    }
}

/// Returns the holders of a customer under a roster.
///
/// A customer whose burst is too small to split has fewer holders, so that each
/// share holds at least one whole request after the deduction for late use.
#[must_use]
pub fn holders(customer: &Customer, roster: &Roster) -> Vec<MemberId> {
    let candidates: Vec<PlacementCandidate> = roster
        .members
        .iter()
        .map(|roster_member| PlacementCandidate {
            member: roster_member.member,
            data_centre: roster_member.data_centre,
        })
        .collect();
    let id = CustomerId::of(&customer.name);
    spread_over_data_centres(id.raw(), holder_count(customer), &candidates)
}

/// Returns whether every customer has a live share holder under the roster in
/// force. A process that admits requests can't serve a customer without one.
#[must_use]
pub fn have_live_holders(state: &State, is_live: impl Fn(MemberId) -> bool) -> bool {
    let Some((_, epoch)) = state.epoch() else {
        return false;
    };
    state
        .customers()
        .all(|customer| holders(customer, &epoch.roster).into_iter().any(&is_live))
}

fn holder_count(customer: &Customer) -> usize {
    (1..=HOLDERS_PER_CUSTOMER)
        .rev()
        .find(|holder_count| share_capacity(customer, *holder_count as u64) >= UNITS_PER_REQUEST)
        .unwrap_or(1)
}

/// Returns the rate of one of `holder_count` shares, reduced by the drift that
/// a clock may have.
fn share_rate(customer: &Customer, holder_count: u64) -> u64 {
    customer.rate_milli * (1_000_000 - MAX_CLOCK_DRIFT_PPM) / 1_000_000 / holder_count
}

/// Returns the units that the customer's whole rate yields while a grant may
/// still be used.
const fn late_use_units(customer: &Customer) -> u64 {
    customer.rate_milli * LATE_USE_MS
}

/// Returns the capacity of one of `holder_count` shares, after deducting what
/// refills while a grant may still be used: late use must not add to a full
/// bucket.
fn share_capacity(customer: &Customer, holder_count: u64) -> u64 {
    let burst = u64::from(customer.burst) * UNITS_PER_REQUEST;
    // One request must fit, otherwise the customer could never send any.
    (burst - late_use_units(customer).min(burst - UNITS_PER_REQUEST)) / holder_count
}

/// Returns how long a bucket does not refill after a grant, in milliseconds.
///
/// If the burst is too small for the full deduction from the capacity, tokens
/// can't make up for late use. Grants are then spaced by the time in which one
/// may be used, and the customer gets less than its rate.
fn spacing_ms(customer: &Customer) -> u64 {
    let burst = u64::from(customer.burst) * UNITS_PER_REQUEST;
    if late_use_units(customer) > burst - UNITS_PER_REQUEST {
        LATE_USE_MS
    } else {
        0
    }
}

#[derive(Clone, Debug)]
struct Share {
    bucket: Bucket,
    holder_count: u64,
    spacing_ms: u64,
    availability: Availability,
    growth: Option<Growth>,
}

/// A larger fraction of the customer's limit that a share will have. Until then
/// its present fraction applies.
#[derive(Clone, Copy, Debug)]
struct Growth {
    rate_milli: u64,
    capacity: u64,
    holder_count: u64,
    availability: Availability,
}

impl Share {
    /// Applies the larger fraction if its time has come.
    fn apply_growth(&mut self, now: Time) {
        let Some(growth) = self.growth else {
            return;
        };
        if matches!(growth.availability, Availability::From(from) if from <= now) {
            self.bucket.refill(now);
            self.bucket.resize(growth.rate_milli, growth.capacity);
            self.holder_count = growth.holder_count;
            self.growth = None;
        }
    }
}

/// Whether a share may be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    /// Not before a majority of the witnesses has read this version: a previous
    /// holder may not have read it and still grant from the share.
    Unwitnessed(Offset),
    /// From this time on.
    From(Time),
}

/// The shares that one member holds.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    me: MemberId,
    version: Offset,
    /// Version of the roster record.
    epoch: Offset,
    settled: Option<Offset>,
    shares: BTreeMap<CustomerId, Share>,
    /// Rate and burst of each customer, from which its share was computed.
    definitions: BTreeMap<CustomerId, (u64, u32)>,
}

/// A holder's reply to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum GrantOutcome {
    /// This many requests may be admitted while the grant is valid.
    Granted(u32),
    /// The bucket holds no token.
    Empty {
        /// Milliseconds until the next token.
        wait_ms: u64,
    },
    /// This member has no share of the customer, has no lease, or may not grant
    /// from the share yet.
    NotHolder,
}

impl ShareHolder {
    /// Creates a holder without shares.
    #[must_use]
    pub const fn new(me: MemberId) -> Self {
        Self {
            me,
            version: Offset::NONE,
            epoch: Offset::NONE,
            settled: None,
            shares: BTreeMap::new(),
            definitions: BTreeMap::new(),
        }
    }

    /// Applies the configuration in force. Call this for each applied record.
    ///
    /// A share that stays or shrinks keeps its tokens, up to its new capacity.
    /// A share that becomes a larger fraction of the customer's limit keeps its
    /// fraction until the larger one may be granted. A new share starts empty
    /// and is granted later. A share that moves to another member is dropped at
    /// once. If records were skipped, all shares start empty again, since
    /// another member may have held them in a skipped version.
    pub fn update(&mut self, now: Time, state: &State) {
        let version = state.version();
        if version == self.version {
            return;
        }
        let has_skipped = version != self.version.next();
        self.version = version;
        let Some((epoch_version, epoch)) = state.epoch() else {
            self.shares.clear();
            return;
        };
        let epoch_changed = epoch_version != self.epoch;
        (self.epoch, self.settled) = (epoch_version, epoch.settled);
        if has_skipped {
            self.shares.clear();
        }
        let mut definitions = BTreeMap::new();
        for customer in state.customers() {
            let id = CustomerId::of(&customer.name);
            let definition = (customer.rate_milli, customer.burst);
            let is_same = self.definitions.get(&id) == Some(&definition);
            definitions.insert(id, definition);
            if has_skipped || epoch_changed || !is_same {
                self.update_share(now, id, customer, &epoch.roster);
            }
        }
        self.shares.retain(|id, _| definitions.contains_key(id));
        self.definitions = definitions;
    }

    fn update_share(&mut self, now: Time, id: CustomerId, customer: &Customer, roster: &Roster) {
        let holders = holders(customer, roster);
        let old = self.shares.remove(&id);
        if !holders.contains(&self.me) {
            return;
        }
        let holder_count = holders.len() as u64;
        let availability = if is_injected(Fault::SkipHandoverWait) {
            Availability::From(now)
        } else {
            Availability::Unwitnessed(self.version)
        };
        let share = match old {
            Some(share) => resized_share(share, customer, holder_count, availability, now),
            None => new_share(customer, holder_count, availability, now),
        };
        self.shares.insert(id, share);
    }

    /// Returns the version that a majority of the witnesses must have read
    /// before all shares here may be granted at their full size, or `None` if
    /// no share waits for that.
    #[must_use]
    pub fn unwitnessed_version(&self) -> Option<Offset> {
        let of_growth = |share: &Share| share.growth.map(|growth| growth.availability);
        let availabilities = self
            .shares
            .values()
            .flat_map(|share| [Some(share.availability), of_growth(share)])
            .flatten();
        let versions = availabilities.filter_map(|availability| match availability {
            Availability::Unwitnessed(version) => Some(version),
            Availability::From(_) => None,
        });
        versions.max()
    }

    /// Records that a majority of the witnesses of `epoch` has read `version`.
    ///
    /// From now on a process that has not read it can't renew its contact, so
    /// the shares that changed with it may be granted once the present leases
    /// have ended.
    pub fn note_witnessed(&mut self, now: Time, epoch: Offset, version: Offset) {
        if epoch != self.epoch || self.settled.is_none() {
            return;
        }
        let from = now.plus(HANDOVER_WAIT_MS);
        let is_witnessed = |availability: Availability| matches!(availability, Availability::Unwitnessed(needed) if needed <= version);
        for share in self.shares.values_mut() {
            if is_witnessed(share.availability) {
                share.availability = Availability::From(from);
                share.bucket.refilled_at = from;
            }
            if let Some(growth) = share
                .growth
                .as_mut()
                .filter(|growth| is_witnessed(growth.availability))
            {
                growth.availability = Availability::From(from);
            }
        }
    }

    /// Grants up to `want` requests of a customer.
    ///
    /// `has_contact` is whether this member has a lease.
    pub fn grant_tokens(
        &mut self,
        now: Time,
        has_contact: bool,
        id: CustomerId,
        want: u32,
    ) -> GrantOutcome {
        let has_lease = has_contact || is_injected(Fault::IgnoreHolderLease);
        let Some(share) = self.shares.get_mut(&id).filter(|_| has_lease) else {
            return GrantOutcome::NotHolder;
        };
        if !matches!(share.availability, Availability::From(from) if from <= now) {
            return GrantOutcome::NotHolder;
        }
        share.apply_growth(now);
        // With spaced grants each one is for a single request.
        let want = if share.spacing_ms > 0 {
            want.min(1)
        } else {
            want
        };
        match share.bucket.take(want, now) {
            0 => GrantOutcome::Empty {
                wait_ms: share.bucket.wait_ms(),
            },
            taken => {
                if share.spacing_ms > 0 {
                    share.bucket.units = 0;
                    share.bucket.refilled_at = now.plus(share.spacing_ms);
                }
                GrantOutcome::Granted(taken)
            }
        }
    }

    /// Returns an iterator over the customers of which this member has a share.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.shares.keys().copied()
    }
}

fn new_share(
    customer: &Customer,
    holder_count: u64,
    availability: Availability,
    now: Time,
) -> Share {
    let mut bucket = Bucket::empty(
        share_rate(customer, holder_count),
        share_capacity(customer, holder_count),
        now,
    );
    if is_injected(Fault::RefillOnRestart) {
        bucket.units = bucket.capacity;
    }
    Share {
        bucket,
        holder_count,
        spacing_ms: spacing_ms(customer),
        availability,
        growth: None,
    }
}

/// Resizes a share that stays. A smaller fraction of the customer's limit
/// applies at once, a larger one later.
fn resized_share(
    mut share: Share,
    customer: &Customer,
    holder_count: u64,
    availability: Availability,
    now: Time,
) -> Share {
    share.apply_growth(now);
    share.bucket.refill(now);
    share.spacing_ms = spacing_ms(customer);
    share.holder_count = share.holder_count.max(holder_count);
    share.bucket.resize(
        share_rate(customer, share.holder_count),
        share_capacity(customer, share.holder_count),
    );
    share.growth = (holder_count < share.holder_count).then(|| Growth {
        rate_milli: share_rate(customer, holder_count),
        capacity: share_capacity(customer, holder_count),
        holder_count,
        availability,
    });
    share
}
