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
* A part that a roster brings to a new holder is granted only
  [`HANDOVER_MS`] after that holder has read the settling record. By then the
  lease of the previous holder has ended, by any clock within the drift.
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
        version::config::{Customer, Epoch, Roster},
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

/// Capacity of one of `parts` parts, less what refills in a grant's life.
///
/// With one holder at least one request must fit, or the customer could send
/// none at all. Then a grant's late use can add at most a grant's life of
/// refill, which the single holder makes up for by a part that small.
fn part_capacity(customer: &Customer, parts: u64) -> u64 {
    let burst = u64::from(customer.burst) * UNITS;
    let late = (customer.rate_milli * GRANT_LIFE_MS).min(burst.saturating_sub(UNITS));
    (burst - late) / parts
}

#[derive(Clone, Debug)]
struct Part {
    bucket: Bucket,
    parts: u64,
    granted_from: Time,
}

/// The parts that one member holds.
#[derive(Clone, Debug)]
pub struct Holder {
    me: MemberId,
    epoch: Offset,
    settled: Option<Offset>,
    parts: BTreeMap<CustomerId, Part>,
}

/// A holder's answer to a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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
            epoch: Offset::NONE,
            settled: None,
            parts: BTreeMap::new(),
        }
    }

    /// Takes the roster and customers in force.
    ///
    /// Parts that stay are kept with their tokens, parts that come start empty
    /// and late, parts that go are dropped at once.
    pub fn update<'a>(
        &mut self,
        now: Time,
        version: Offset,
        epoch: &Epoch,
        customers: impl Iterator<Item = &'a Customer>,
    ) {
        let settled = epoch.settled;
        let newly_settled = settled.is_some() && (self.epoch, self.settled) != (version, settled);
        let from = self.granted_from(now, settled, newly_settled);
        let mut parts = BTreeMap::new();
        for customer in customers {
            let holders = holders(customer, &epoch.roster);
            if !holders.contains(&self.me) {
                continue;
            }
            let id = CustomerId::of(&customer.name);
            let old = self.parts.remove(&id);
            parts.insert(
                id,
                update_part(old, customer, holders.len() as u64, now, from),
            );
        }
        self.parts = parts;
        if newly_settled {
            self.start_waiting(now);
        }
        (self.epoch, self.settled) = (version, settled);
    }

    /// Time from which a part that comes now may be granted.
    ///
    /// A customer that is created under a settled roster has no previous
    /// holder, but this one may learn of it late after an earlier removal, so
    /// it waits all the same.
    fn granted_from(&self, now: Time, settled: Option<Offset>, newly_settled: bool) -> Time {
        match settled {
            _ if is_planted(Fault::SkipHandoverWait) => now,
            Some(_) if newly_settled || self.settled.is_some() => now.plus(HANDOVER_MS),
            _ => Time(u64::MAX),
        }
    }

    fn start_waiting(&mut self, now: Time) {
        for part in self.parts.values_mut() {
            if part.granted_from == Time(u64::MAX) {
                part.granted_from = now.plus(HANDOVER_MS);
                part.bucket.refilled = part.granted_from;
            }
        }
    }

    /// Draws up to `want` requests for a customer.
    pub fn draw(&mut self, now: Time, has_contact: bool, id: CustomerId, want: u32) -> Draw {
        let leased = has_contact || is_planted(Fault::IgnoreHolderLease);
        let Some(part) = self.parts.get_mut(&id).filter(|_| leased) else {
            return Draw::NotHolder;
        };
        if now < part.granted_from {
            return Draw::NotHolder;
        }
        match part.bucket.take(want, now) {
            0 => Draw::Empty {
                wait_ms: part.bucket.wait_ms(),
            },
            taken => Draw::Granted(taken),
        }
    }

    /// Returns the customers that this member holds a part of.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.parts.keys().copied()
    }
}

fn update_part(old: Option<Part>, customer: &Customer, parts: u64, now: Time, from: Time) -> Part {
    let rate = part_rate(customer, parts);
    let capacity = part_capacity(customer, parts);
    match old {
        // The same or a smaller part goes on with its tokens. An enlarged one
        // starts over like a new one, since others may still hold more.
        Some(mut part) if parts >= part.parts => {
            part.bucket.refill(now);
            part.bucket.resize(rate, capacity);
            part.parts = parts;
            part
        }
        _ => {
            let mut bucket = Bucket::empty(rate, capacity, from.max(now));
            if is_planted(Fault::RefillOnRestart) {
                bucket.units = capacity;
            }
            Part {
                bucket,
                parts,
                granted_from: from,
            }
        }
    }
}
