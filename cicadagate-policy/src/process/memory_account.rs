/*!
Account of the bytes that a process holds for its callers.

# Problem

Bodies of requests are held until their responses have been passed on, since a failed
attempt sends them again. A burst of large bodies, or replicas that read slowly, can
exceed the memory of a small instance. The process is killed then, with all requests that
it serves.

# Choice

Bytes are reserved before they are read. Their bound is [`BOUND_PERCENT`] of the process's
memory limit. Memory counts as short from [`HIGH_PERCENT`] of the bound until it is down to
[`LOW_PERCENT`]: the hysteresis keeps the state from changing with every request. While
memory is short, a customer that would hold more than an equal part of the bound is refused.
So the largest holders are refused first, and the others go on.

Replicas decide how long a response is. The part of it that is held, such as an event that is
not complete, may grow freely up to [`RESPONSES_PERCENT`] of the bound for all responses
together; beyond that only responses that hold less than an equal part grow. The largest
are refused and end, and all together never hold more than twice that share, so that they
leave room for bodies of requests. The share itself is theirs, also while bodies fill the bound:
both together hold at most the bound and that share.

# Cost

One map entry for each customer that holds bytes. The equal part is coarse: it depends on
how many customers hold bytes, not on how much they are entitled to.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::CustomerId,
    },
    snafu::Snafu,
    std::collections::HashMap,
};

/// A result of this module.
pub type Result<T, E = MemoryShort> = std::result::Result<T, E>;

/// Share of the process's memory limit that may be held for callers, in percent. The rest
/// is for the process, its connections and configurations.
pub const BOUND_PERCENT: usize = 40;
/// Share of the bound from which memory counts as short, in percent.
pub const HIGH_PERCENT: usize = 75;
/// Share of the bound down to which memory counts as short once it was, in percent.
pub const LOW_PERCENT: usize = 60;

/// Share of the bound up to which responses may hold bytes without further conditions, in
/// percent.
pub const RESPONSES_PERCENT: usize = 30;

/// Bytes can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{wanted} bytes don't fit: {held} of {bound} bytes are held"))]
pub struct MemoryShort {
    wanted: usize,
    held: usize,
    bound: usize,
}

/// A change of the state of memory, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pressure {
    /// No change.
    Unchanged,
    /// Memory has become short.
    Short,
    /// Memory is no longer short.
    Relieved,
}

/// The bytes that are held, by customer.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    bound: usize,
    held: usize,
    /// The part of `held` that belongs to responses.
    held_by_responses: usize,
    /// Responses that hold bytes.
    responses: usize,
    is_short: bool,
    by_customer: HashMap<Option<CustomerId>, usize>,
}

impl MemoryAccount {
    /// Creates an empty account of a process with a memory limit, in bytes.
    #[must_use]
    pub fn new(memory_limit: usize) -> Self {
        Self {
            bound: memory_limit / 100 * BOUND_PERCENT,
            held: 0,
            held_by_responses: 0,
            responses: 0,
            is_short: false,
            by_customer: HashMap::new(),
        }
    }

    /// Reserves bytes for a customer, `None` for callers without one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes exceed the bound, or if memory is short and the
    /// customer would hold more than an equal part.
    pub fn reserve(&mut self, customer: Option<CustomerId>, bytes: usize) -> Result<Pressure> {
        let own = self.by_customer.get(&customer).copied().unwrap_or_default();
        let fits = self.held.saturating_add(bytes) <= self.bound;
        let is_fair = own.saturating_add(bytes) <= self.equal_part(customer);
        let is_allowed = fits && (is_fair || !self.is_short);
        if !is_allowed && !is_injected(Fault::IgnoreMemoryBound) {
            return Err(MemoryShort {
                wanted: bytes,
                held: self.held,
                bound: self.bound,
            });
        }
        if bytes > 0 {
            self.held += bytes;
            self.by_customer.insert(customer, own + bytes);
        }
        Ok(self.update_pressure())
    }

    /// Releases bytes that were reserved.
    pub fn release(&mut self, customer: Option<CustomerId>, bytes: usize) -> Pressure {
        self.held = self.held.saturating_sub(bytes);
        if let Some(own) = self.by_customer.get_mut(&customer) {
            *own = own.saturating_sub(bytes);
            if *own == 0 {
                self.by_customer.remove(&customer);
            }
        }
        self.update_pressure()
    }

    /// Changes the bytes that a response holds.
    ///
    /// # Errors
    ///
    /// Returns an error if it would hold more, and all together would exceed the bound or this
    /// one an equal part of what responses may hold. It holds as much as before then.
    pub fn resize_response(&mut self, old: usize, new: usize) -> Result<Pressure> {
        let held = (self.held - old.min(self.held)).saturating_add(new);
        let by_responses =
            (self.held_by_responses - old.min(self.held_by_responses)).saturating_add(new);
        let responses = self.responses - usize::from(old > 0) + usize::from(new > 0);
        let share = self.bound / 100 * RESPONSES_PERCENT;
        // Bodies of requests leave responses their share.
        let is_free = by_responses <= share;
        let is_fair = new <= share / responses.max(1);
        let fits = is_free || (held <= self.bound && is_fair);
        if new > old && !fits && !is_injected(Fault::IgnoreMemoryBound) {
            return Err(MemoryShort {
                wanted: new - old,
                held: self.held,
                bound: self.bound,
            });
        }
        self.held = held;
        self.held_by_responses = by_responses;
        self.responses = responses;
        Ok(self.update_pressure())
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the most bytes that may be held.
    #[must_use]
    pub const fn bound(&self) -> usize {
        self.bound
    }

    /// Returns the part of the bound that each customer may hold while memory is short,
    /// if `customer` holds bytes as well.
    fn equal_part(&self, customer: Option<CustomerId>) -> usize {
        let is_new = !self.by_customer.contains_key(&customer);
        let holders = self.by_customer.len() + usize::from(is_new);
        self.bound / holders.max(1)
    }

    fn update_pressure(&mut self) -> Pressure {
        let percent = if self.is_short {
            LOW_PERCENT
        } else {
            HIGH_PERCENT
        };
        let is_short = self.held > self.bound / 100 * percent;
        if is_short == self.is_short {
            return Pressure::Unchanged;
        }
        self.is_short = is_short;
        if is_short {
            Pressure::Short
        } else {
            Pressure::Relieved
        }
    }
}
