/*!
Admission of requests within a customer's rate and burst.
*/

use {
    crate::Limiting,
    cicadagate_node::process::Node,
    cicadagate_policy::{
        ids::{CustomerId, MemberId},
        process::{
            membership::Role,
            placement::data_centre_hash,
            share_holder::{Bucket, GRANT_TTL_MS, GrantOutcome, holders},
        },
        request::token_grants::{AdmissionStep, GrantCache},
        time::Time,
        version::config::Customer,
    },
    cicadagate_wire::peer::{FromServer, ToServer},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A rejected request. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotAdmitted {
    /// Time after which to retry, in milliseconds.
    pub retry_ms: u64,
    /// No share holder could be reached: the customer may be within its rate.
    pub limit_unavailable: bool,
}

/// The admission control of an entry process.
pub(crate) struct Admission {
    node: Rc<Node>,
    limiting: Limiting,
    grant_cache: RefCell<GrantCache>,
    /// Buckets of [`Limiting::EqualParts`], each with the number of entries
    /// that its share was computed for.
    equal_shares: RefCell<BTreeMap<CustomerId, (u64, Bucket)>>,
}

impl Admission {
    pub fn new(node: Rc<Node>, limiting: Limiting) -> Self {
        Self {
            node,
            limiting,
            grant_cache: RefCell::default(),
            equal_shares: RefCell::default(),
        }
    }

    /// Admits a request of a customer.
    ///
    /// # Errors
    ///
    /// Returns an error with the retry-after if the request is rejected; it has
    /// not run.
    pub async fn admit(&self, customer: &Customer) -> Result<(), NotAdmitted> {
        if self.limiting == Limiting::EqualParts {
            return self.admit_equal_share(customer);
        }
        let id = CustomerId::of(&customer.name);
        let holders = self.live_holders(customer);
        let mut token_request = self.grant_cache.borrow().begin(id, holders);
        loop {
            let now = self.node.now();
            let step = self.grant_cache.borrow_mut().step(now, &token_request);
            match step {
                AdmissionStep::Admit => return Ok(()),
                AdmissionStep::Refuse {
                    retry_ms,
                    no_holder_granted: limit_unavailable,
                } => {
                    return Err(NotAdmitted {
                        retry_ms,
                        limit_unavailable,
                    });
                }
                AdmissionStep::Ask(holder, want) => {
                    let outcome = self.request_grant(holder, id, want).await;
                    let replied_at = self.node.now();
                    self.grant_cache.borrow_mut().note_reply(
                        replied_at,
                        &mut token_request,
                        now,
                        outcome,
                    );
                }
            }
        }
    }

    /// Requests a grant from a share holder; `None` if it does not reply.
    async fn request_grant(
        &self,
        holder: MemberId,
        customer: CustomerId,
        want: u32,
    ) -> Option<GrantOutcome> {
        let addr = self.node.address_of(holder)?;
        let timeout = Duration::from_millis(GRANT_TTL_MS);
        let make = |seq| ToServer::Draw {
            seq,
            customer,
            want,
        };
        match self.node.peers.call(addr, timeout, make).await {
            Ok(FromServer::Drawn { draw, .. }) => Some(draw),
            _ => None,
        }
    }

    /// Returns the live share holders of a customer, those of this data centre
    /// first. A suspected member counts as live.
    fn live_holders(&self, customer: &Customer) -> Vec<MemberId> {
        let config = self.node.config.borrow();
        let Some((_, epoch)) = config.epoch() else {
            return Vec::new();
        };
        let here = data_centre_hash(&self.node.settings.data_centre);
        let roster_member = |member: &MemberId| {
            epoch
                .roster
                .members
                .iter()
                .find(|roster_member| roster_member.member == *member)
        };
        let mut holders = holders(customer, &epoch.roster);
        holders.retain(|member| self.node.is_alive(*member));
        holders.sort_by_key(|member| {
            roster_member(member).is_none_or(|roster_member| roster_member.data_centre != here)
        });
        holders
    }

    /// Admits a request within this entry's equal share of rate and burst, the
    /// baseline of experiments.
    fn admit_equal_share(&self, customer: &Customer) -> Result<(), NotAdmitted> {
        let now = self.node.now();
        let count = self.node.live_members(Role::Entry).len().max(1) as u64;
        let rate_milli = (customer.rate_milli / count).max(1);
        let burst = (u64::from(customer.burst) / count).max(1);
        let burst = u32::try_from(burst).unwrap_or(u32::MAX);
        let id = CustomerId::of(&customer.name);
        let mut equal_shares = self.equal_shares.borrow_mut();
        let full_share = (count, Bucket::full(rate_milli, burst, now));
        let share = equal_shares.entry(id).or_insert(full_share);
        if share.0 != count {
            *share = (
                count,
                Bucket::empty(rate_milli, u64::from(burst) * 1_000_000, now),
            );
        }
        take_token(&mut share.1, now)
    }
}

fn take_token(bucket: &mut Bucket, now: Time) -> Result<(), NotAdmitted> {
    if bucket.take(1, now) == 1 {
        return Ok(());
    }
    Err(NotAdmitted {
        retry_ms: bucket.wait_ms(),
        limit_unavailable: false,
    })
}
