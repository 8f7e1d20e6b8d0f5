/*!
Holding shares of the customers' rate and burst.

# Problem

Each customer's rate and burst count over all instances together. Fixed 1/N
shares refuse wrongly, since callers keep an address and one customer's load
sits on few instances. One shared counter is lost with its process, and two of
them after a partition overshoot.

# Choice

Each customer has up to [`HOLDERS`] holders, chosen by rendezvous hashing over
the members of a roster in the log. Each holds an equal part of rate and burst
as a token bucket, and entries draw grants. The parts never sum to more than
one:

* A holder grants only under a lease: fresh [`Contact`](super::contact) for
  the roster's epoch.
* A roster is proposed by a record and *settled* by a second one, which is
  written only after a majority of the previous roster's witnesses has read
  the proposal. From then on nobody who missed the new roster can renew its
  contact by witnesses, nor by reading the log.
* A part that comes to a holder or gets larger, by a roster or by a change of
  the customer, is granted only [`HANDOVER_MS`] after a majority of the
  witnesses is known to have read the version that brought it. Witnesses
  confirm only to those who know at least as much as they do. So by then the
  lease of whoever does not know that version has ended, by any clock within
  the drift.
* Each record is taken in turn. After a jump over records every part starts
  over, since in a version jumped over it may have been another's.
* A new or restarted holder starts empty. A member that restarts is another
  incarnation and holds nothing until a roster names it.
* A grant counts only for [`GRANT_LIFE_MS`] after it was asked for, by the
  asker's clock. The capacity is smaller by what refills in that time, so that
  late use can't add to a full bucket.

# Cost

A lost holder's tokens are stranded until the next roster is settled and the
wait has passed; the other holders still grant theirs.
*/

use {
    super::homes::{Place, spread},
    crate::{
        ids::{CustomerId, MemberId, Offset},
        planted::{Fault, is_planted},
        process::contact::FRESH_MS,
        time::{MAX_DRIFT_PPM, Time, with_drift},
        version::config::{Customer, Roster, State},
    },
    std::collections::BTreeMap,
};

/// Holders of one customer.
pub const HOLDERS: usize = 3;
/// How long a grant may be used after it was asked for, in milliseconds.
pub const GRANT_LIFE_MS: u64 = 100;
/// Wait before a moved part is granted by its new holder, in milliseconds.
pub const HANDOVER_MS: u64 = with_drift(FRESH_MS + GRANT_LIFE_MS);
/// Bucket units in one request's token: thousandths of thousandths.
const UNITS: u64 = 1_000_000;
/// How much later than its draw a grant may be used, by any clock, with both
/// clocks' readings rounded down, in milliseconds.
const LATE_MS: u64 = GRANT_LIFE_MS + 2;
/// Bucket units that one thousandth of a request a second yields in 1 ms.
const UNITS_PER_MILLI_MS: u64 = 1;

/// A token bucket. Units are millionths of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    rate_milli: u64,
    capacity: u64,
    units: u64,
    refilled: Time,
}

impl Bucket {
    /// Makes an empty bucket; the rate is in thousandths of a request a second.
    #[must_use]
    pub const fn empty(rate_milli: u64, capacity_units: u64, now: Time) -> Self {
        Self {
            rate_milli,
            capacity: capacity_units,
            units: 0,
            refilled: now,
        }
    }

    /// Makes a full bucket that holds `burst` requests.
    #[must_use]
    pub const fn full(rate_milli: u64, burst: u32, now: Time) -> Self {
        let capacity = burst as u64 * UNITS;
        Self {
            rate_milli,
            capacity,
            units: capacity,
            refilled: now,
        }
    }

    /// Refills up to `now`.
    pub fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled) * self.rate_milli * UNITS_PER_MILLI_MS;
        self.units = (self.units + gained).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }

    /// Takes up to `want` whole requests.
    pub fn take(&mut self, want: u32, now: Time) -> u32 {
        self.refill(now);
        let have = u32::try_from(self.units / UNITS).unwrap_or(u32::MAX);
        let taken = want.min(have);
        self.units -= u64::from(taken) * UNITS;
        taken
    }

    /// Returns the milliseconds until one request's worth is there.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        if self.capacity < UNITS || self.rate_milli == 0 {
            return u64::MAX;
        }
        UNITS
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

/// Holders of a customer under a roster.
///
/// A burst too small to split has fewer holders, so that each part holds at
/// least one whole request beyond what late use takes away.
#[must_use]
pub fn holders(customer: &Customer, roster: &Roster) -> Vec<MemberId> {
    let places: Vec<Place> = roster
        .members
        .iter()
        .map(|seat| Place {
            member: seat.member,
            data_centre: seat.data_centre,
        })
        .collect();
    let id = CustomerId::of(&customer.name);
    spread(id.raw(), holder_count(customer), &places)
}

fn holder_count(customer: &Customer) -> usize {
    (1..=HOLDERS)
        .rev()
        .find(|parts| part_capacity(customer, *parts as u64) >= UNITS)
        .unwrap_or(1)
}

/// Rate of one of `parts` parts, slowed by the drift that a clock may have.
fn part_rate(customer: &Customer, parts: u64) -> u64 {
    customer.rate_milli * (1_000_000 - MAX_DRIFT_PPM) / 1_000_000 / parts
}

/// What refills while a grant may still be used.
const fn late_units(customer: &Customer) -> u64 {
    customer.rate_milli * LATE_MS
}

/// Capacity of one of `parts` parts, less what refills while a grant may
/// still be used: late use must not add to a full bucket.
fn part_capacity(customer: &Customer, parts: u64) -> u64 {
    let burst = u64::from(customer.burst) * UNITS;
    // One request must fit, or the customer could send none at all.
    (burst - late_units(customer).min(burst - UNITS)) / parts
}

/// Time that a bucket does not refill after a draw, in milliseconds.
///
/// A burst too small for the full reduction of the capacity can't make up for
/// late use by tokens, so its draws are spaced by the grant's life instead.
/// Such a customer gets less than its rate.
fn spacing_ms(customer: &Customer) -> u64 {
    let burst = u64::from(customer.burst) * UNITS;
    if late_units(customer) > burst - UNITS {
        LATE_MS
    } else {
        0
    }
}

#[derive(Clone, Debug)]
struct Part {
    bucket: Bucket,
    parts: u64,
    spacing_ms: u64,
    standing: Standing,
    growth: Option<Growth>,
}

/// A larger size that a part will have. Until then it is granted as it is.
#[derive(Clone, Copy, Debug)]
struct Growth {
    rate_milli: u64,
    capacity: u64,
    parts: u64,
    standing: Standing,
}

impl Part {
    /// Takes the larger size if its time has come.
    fn grow(&mut self, now: Time) {
        let Some(growth) = self.growth else {
            return;
        };
        if matches!(growth.standing, Standing::From(from) if from <= now) {
            self.bucket.refill(now);
            self.bucket.resize(growth.rate_milli, growth.capacity);
            self.parts = growth.parts;
            self.growth = None;
        }
    }
}

/// Whether a part may be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Others may not know yet that the part is here now: a majority of the
    /// witnesses must have read this version first.
    Unwitnessed(Offset),
    /// May be granted from this time on.
    From(Time),
}

/// The parts that one member holds.
#[derive(Clone, Debug)]
pub struct Holder {
    me: MemberId,
    version: Offset,
    epoch: Offset,
    settled: Option<Offset>,
    parts: BTreeMap<CustomerId, Part>,
    /// Rate and burst by which the parts were computed.
    known: BTreeMap<CustomerId, (u64, u32)>,
}

/// A holder's answer to a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Draw {
    /// So many requests may be run within the grant's life.
    Granted(u32),
    /// None is there; the next comes after so many milliseconds.
    Empty {
        /// Milliseconds until the next token.
        wait_ms: u64,
    },
    /// This member does not hold a part of the customer, or has no lease.
    NotHolder,
}

impl Holder {
    /// Makes a holder without parts.
    #[must_use]
    pub const fn new(me: MemberId) -> Self {
        Self {
            me,
            version: Offset::NONE,
            epoch: Offset::NONE,
            settled: None,
            parts: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Takes the configuration in force; call it for each folded record.
    ///
    /// Parts that stay or get smaller are kept with their tokens, parts that get
    /// larger are kept as they are for a while, parts that come start empty and
    /// late, parts that go are dropped at once. After a jump over records every part starts over: in a version
    /// that was jumped over it may have been another's.
    pub fn update(&mut self, now: Time, state: &State) {
        let version = state.version();
        if version == self.version {
            return;
        }
        let has_jumped = version != self.version.next();
        self.version = version;
        let Some((epoch_version, epoch)) = state.epoch() else {
            self.parts.clear();
            return;
        };
        let epoch_changed = epoch_version != self.epoch;
        (self.epoch, self.settled) = (epoch_version, epoch.settled);
        if has_jumped {
            self.parts.clear();
        }
        let mut known = BTreeMap::new();
        for customer in state.customers() {
            let id = CustomerId::of(&customer.name);
            let definition = (customer.rate_milli, customer.burst);
            let same = self.known.get(&id) == Some(&definition);
            known.insert(id, definition);
            if has_jumped || epoch_changed || !same {
                self.update_part(now, id, customer, &epoch.roster);
            }
        }
        self.parts.retain(|id, _| known.contains_key(id));
        self.known = known;
    }

    fn update_part(&mut self, now: Time, id: CustomerId, customer: &Customer, roster: &Roster) {
        let holders = holders(customer, roster);
        let old = self.parts.remove(&id);
        if !holders.contains(&self.me) {
            return;
        }
        let parts = holders.len() as u64;
        let standing = if is_planted(Fault::SkipHandoverWait) {
            Standing::From(now)
        } else {
            Standing::Unwitnessed(self.version)
        };
        let part = match old {
            Some(part) => resized(part, customer, parts, standing, now),
            None => new_part(customer, parts, standing, now),
        };
        self.parts.insert(id, part);
    }

    /// Returns the version that a majority of the witnesses must have read
    /// before all parts here may be granted, if some may not.
    #[must_use]
    pub fn unwitnessed(&self) -> Option<Offset> {
        let growths = |part: &Part| part.growth.map(|growth| growth.standing);
        let standings = self
            .parts
            .values()
            .flat_map(|part| [Some(part.standing), growths(part)])
            .flatten();
        let versions = standings.filter_map(|standing| match standing {
            Standing::Unwitnessed(version) => Some(version),
            Standing::From(_) => None,
        });
        versions.max()
    }

    /// Notes that a majority of the witnesses of `epoch` has read `version`.
    ///
    /// From now on nobody who has not read it can renew its contact, so the
    /// parts that came with it may be granted when present leases have ended.
    pub fn witnessed(&mut self, now: Time, epoch: Offset, version: Offset) {
        if epoch != self.epoch || self.settled.is_none() {
            return;
        }
        let from = now.plus(HANDOVER_MS);
        let is_due = |standing: Standing| matches!(standing, Standing::Unwitnessed(needed) if needed <= version);
        for part in self.parts.values_mut() {
            if is_due(part.standing) {
                part.standing = Standing::From(from);
                part.bucket.refilled = from;
            }
            if let Some(growth) = part
                .growth
                .as_mut()
                .filter(|growth| is_due(growth.standing))
            {
                growth.standing = Standing::From(from);
            }
        }
    }

    /// Draws up to `want` requests for a customer.
    pub fn draw(&mut self, now: Time, has_contact: bool, id: CustomerId, want: u32) -> Draw {
        let leased = has_contact || is_planted(Fault::IgnoreHolderLease);
        let Some(part) = self.parts.get_mut(&id).filter(|_| leased) else {
            return Draw::NotHolder;
        };
        if !matches!(part.standing, Standing::From(from) if from <= now) {
            return Draw::NotHolder;
        }
        part.grow(now);
        // A spaced part holds one request at most.
        let want = if part.spacing_ms > 0 {
            want.min(1)
        } else {
            want
        };
        match part.bucket.take(want, now) {
            0 => Draw::Empty {
                wait_ms: part.bucket.wait_ms(),
            },
            taken => {
                if part.spacing_ms > 0 {
                    part.bucket.units = 0;
                    part.bucket.refilled = now.plus(part.spacing_ms);
                }
                Draw::Granted(taken)
            }
        }
    }

    /// Returns the customers that this member holds a part of.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.parts.keys().copied()
    }
}

fn new_part(customer: &Customer, parts: u64, standing: Standing, now: Time) -> Part {
    let mut bucket = Bucket::empty(
        part_rate(customer, parts),
        part_capacity(customer, parts),
        now,
    );
    if is_planted(Fault::RefillOnRestart) {
        bucket.units = bucket.capacity;
    }
    Part {
        bucket,
        parts,
        spacing_ms: spacing_ms(customer),
        standing,
        growth: None,
    }
}

/// A part that stays: it gets smaller at once and larger later.
fn resized(mut part: Part, customer: &Customer, parts: u64, standing: Standing, now: Time) -> Part {
    part.grow(now);
    part.bucket.refill(now);
    part.spacing_ms = spacing_ms(customer);
    part.parts = part.parts.max(parts);
    part.bucket.resize(
        part_rate(customer, part.parts),
        part_capacity(customer, part.parts),
    );
    part.growth = (parts < part.parts).then(|| Growth {
        rate_milli: part_rate(customer, parts),
        capacity: part_capacity(customer, parts),
        parts,
        standing,
    });
    part
}
