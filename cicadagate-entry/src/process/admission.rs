/*!
Admitting requests within a customer's rate and burst.
*/

use {
    crate::Limiting,
    cicadagate_node::process::Node,
    cicadagate_policy::{
        ids::{CustomerId, MemberId},
        process::{
            holder::{Bucket, Draw, GRANT_LIFE_MS, holders},
            homes::data_centre_hash,
            membership::Role,
        },
        request::limit::{Limiter, Step},
        time::Time,
        version::config::Customer,
    },
    cicadagate_wire::peer::{FromServer, ToServer},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A request that is not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    /// Milliseconds after which to come back.
    pub retry_ms: u64,
    /// No holder could be reached: the customer may be within its rate.
    pub unreached: bool,
}

/// Admission of one process.
pub(crate) struct Admission {
    node: Rc<Node>,
    limiting: Limiting,
    limiter: RefCell<Limiter>,
    parts: RefCell<BTreeMap<CustomerId, (u64, Bucket)>>,
}

impl Admission {
    pub fn new(node: Rc<Node>, limiting: Limiting) -> Self {
        Self {
            node,
            limiting,
            limiter: RefCell::default(),
            parts: RefCell::default(),
        }
    }

    /// Admits one request of a customer.
    ///
    /// # Errors
    ///
    /// Returns when to come back; the request has not run.
    pub async fn admit(&self, customer: &Customer) -> Result<(), NotAdmitted> {
        if self.limiting == Limiting::EqualParts {
            return self.admit_equal_part(customer);
        }
        let id = CustomerId::of(&customer.name);
        let holders = self.holders(customer);
        let mut search = self.limiter.borrow().begin(id, holders);
        loop {
            let now = self.node.now();
            let step = self.limiter.borrow_mut().step(now, &search);
            match step {
                Step::Admit => return Ok(()),
                Step::Refuse {
                    retry_ms,
                    unreached,
                } => {
                    return Err(NotAdmitted {
                        retry_ms,
                        unreached,
                    });
                }
                Step::Ask(holder, want) => {
                    let draw = self.ask(holder, id, want).await;
                    let at = self.node.now();
                    self.limiter
                        .borrow_mut()
                        .answered(at, &mut search, now, draw);
                }
            }
        }
    }

    async fn ask(&self, holder: MemberId, customer: CustomerId, want: u32) -> Option<Draw> {
        let addr = self.node.address_of(holder)?;
        let timeout = Duration::from_millis(GRANT_LIFE_MS);
        let make = |seq| ToServer::Draw {
            seq,
            customer,
            want,
        };
        match self.node.links.call(addr, timeout, make).await {
            Ok(FromServer::Drawn { draw, .. }) => Some(draw),
            _ => None,
        }
    }

    /// Holders of a customer that are not known to be gone, nearest first.
    fn holders(&self, customer: &Customer) -> Vec<MemberId> {
        let config = self.node.config.borrow();
        let Some((_, epoch)) = config.epoch() else {
            return Vec::new();
        };
        let here = data_centre_hash(&self.node.settings.data_centre);
        let seat_of = |member: &MemberId| {
            epoch
                .roster
                .members
                .iter()
                .find(|seat| seat.member == *member)
        };
        let mut holders = holders(customer, &epoch.roster);
        holders.retain(|member| self.node.is_alive(*member));
        holders.sort_by_key(|member| seat_of(member).is_none_or(|seat| seat.data_centre != here));
        holders
    }

    /// The baseline of experiments: an equal part of rate and burst each.
    fn admit_equal_part(&self, customer: &Customer) -> Result<(), NotAdmitted> {
        let now = self.node.now();
        let count = self.node.live(Role::Entry).len().max(1) as u64;
        let rate_milli = (customer.rate_milli / count).max(1);
        let burst = (u64::from(customer.burst) / count).max(1);
        let burst = u32::try_from(burst).unwrap_or(u32::MAX);
        let id = CustomerId::of(&customer.name);
        let mut parts = self.parts.borrow_mut();
        let fresh = (count, Bucket::full(rate_milli, burst, now));
        let part = parts.entry(id).or_insert(fresh);
        if part.0 != count {
            *part = (
                count,
                Bucket::empty(rate_milli, u64::from(burst) * 1_000_000, now),
            );
        }
        take_one(&mut part.1, now)
    }
}

fn take_one(bucket: &mut Bucket, now: Time) -> Result<(), NotAdmitted> {
    if bucket.take(1, now) == 1 {
        return Ok(());
    }
    Err(NotAdmitted {
        retry_ms: bucket.wait_ms(),
        unreached: false,
    })
}
