/*!
Allocation of a replica's slots by its owner.

# Problem

Engines admit requests in order of arrival and have no priorities. In a large
fleet load reports are too old to find a free slot: many instances pick the
same replica, and batch items are paused too late.

# Choice

Each replica has one *owner* among the members, chosen by rendezvous hashing.
Before a member sends work to a replica, it requests a slot from the owner. The
owner grants a slot to an online request while online requests alone do not
fill the replica; if the replica is full, it also picks a member that must
pause a batch item there. Batch items get the slots that are left.

Each message carries the number of slots that its sender occupies at the
replica, so the next message corrects a lost or duplicated one, and load reports
correct the rest. A new owner starts from the reports. If a replica has two
owners at a time, or none, it may get more requests than slots for a moment,
but no request fails: a member that gets no reply sends its request all the
same.

# Cost

Each request waits for one round trip to the owner and sends one more message
when it ends.
*/

use {
    super::{replica_rates::NamedRate, replicas::LeavingReplica, reports::InFlight},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{EndpointId, MemberId, mix64},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// How long a member's slots count without a message from it, in milliseconds.
/// Reports arrive more often.
pub const HOLDING_TTL_MS: u64 = 5_000;

/// Age from which a member's slots at a replica are cleared if the member's
/// report does not list the replica, in milliseconds. Younger ones are kept,
/// since the report may have been sent before the slot was granted.
pub const REPORT_OVERRIDE_AGE_MS: u64 = 300;

/// What a slot is requested for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Purpose {
    /// An online request.
    Online,
    /// An item of a batch job.
    Batch {
        /// Number of slots that must stay free beside it.
        reserve: u32,
    },
    /// An online request that takes only a slot that nothing occupies, since there may
    /// be a free one at another replica.
    OnlineFree,
}

/// A message between members about a replica's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SlotMessage {
    /// Requests a slot from the owner.
    Ask {
        /// Sequence number of the request at its sender.
        seq: u64,
        /// The requesting member.
        member: MemberId,
        /// Replica.
        endpoint: EndpointId,
        /// Slots that the sender occupies there, without the requested one.
        own: InFlight,
        /// What the slot is for.
        purpose: Purpose,
    },
    /// The owner's reply.
    Answer {
        /// Sequence number of the request.
        seq: u64,
        /// Whether the slot is granted.
        is_granted: bool,
        /// Slots that all members occupy at the replica.
        load: InFlight,
    },
    /// Reports the sender's slots to the owner.
    Update {
        /// The sending member.
        member: MemberId,
        /// Replica.
        endpoint: EndpointId,
        /// Slots that the sender occupies there.
        own: InFlight,
    },
    /// Orders a member to pause a batch item at a replica.
    Yield {
        /// Replica.
        endpoint: EndpointId,
    },
    /// Requests a slot at a replica of which the sender knows a request rate.
    AskLimited {
        /// Sequence number of the request at its sender.
        seq: u64,
        /// The requesting member.
        member: MemberId,
        /// Replica.
        endpoint: EndpointId,
        /// Slots that the sender occupies there, without the requested one.
        own: InFlight,
        /// What the slot is for.
        purpose: Purpose,
        /// What the sender knows of the replica's rate.
        named: NamedRate,
        /// How long the request may wait until it is sent, in milliseconds.
        max_wait_ms: u64,
    },
    /// The owner's reply about a replica of which it knows a request rate.
    AnswerLimited {
        /// Sequence number of the request.
        seq: u64,
        /// Whether the slot is granted, to be used after `wait_ms`.
        is_granted: bool,
        /// Slots that all members occupy at the replica.
        load: InFlight,
        /// Replica.
        endpoint: EndpointId,
        /// What the owner knows of the replica's rate.
        named: NamedRate,
        /// Time until the rate allows the request, in milliseconds.
        wait_ms: u64,
    },
    /// Tells the owner that a replica is leaving.
    Leaving {
        /// Replica.
        endpoint: EndpointId,
        /// The incarnation.
        leaving: LeavingReplica,
    },
    /// The owner's reply that no slot is granted since the replica is leaving.
    AnswerLeaving {
        /// Sequence number of the request.
        seq: u64,
        /// Replica.
        endpoint: EndpointId,
        /// The incarnation.
        leaving: LeavingReplica,
    },
    /// Tells the owner what the sender knows of a replica's request rate.
    Named {
        /// Replica.
        endpoint: EndpointId,
        /// What the sender knows.
        named: NamedRate,
    },
    /// The owner's reply that no slot is granted since the replica's data centre is
    /// evacuated.
    AnswerEvacuated {
        /// Sequence number of the request.
        seq: u64,
        /// Replica.
        endpoint: EndpointId,
    },
}

/// The owner's decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the slot is granted.
    pub is_granted: bool,
    /// Slots that all members occupy at the replica, without this grant.
    pub load: InFlight,
    /// A member that must pause a batch item there.
    pub pause_at: Option<MemberId>,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    in_flight: InFlight,
    at: Time,
}

/// The slots that members occupy at the replicas that this process owns.
#[derive(Clone, Debug, Default)]
pub struct SlotLedger {
    replicas: HashMap<EndpointId, HashMap<MemberId, Holding>>,
}

/// Returns the member that owns a key among `members`, by rendezvous hashing.
///
/// The key is a hash, such as the raw id of a replica.
#[must_use]
pub fn owner(key: u64, members: impl Iterator<Item = MemberId>) -> Option<MemberId> {
    members.max_by_key(|member| mix64(key, member.raw()))
}

impl SlotLedger {
    /// Sets the slots that a member occupies at a replica.
    pub fn update(&mut self, now: Time, endpoint: EndpointId, member: MemberId, own: InFlight) {
        let held = self.replicas.entry(endpoint).or_default();
        if own.total() == 0 {
            held.remove(&member);
        } else {
            held.insert(
                member,
                Holding {
                    in_flight: own,
                    at: now,
                },
            );
        }
    }

    /// Sets the slots that a member occupies at all replicas, from its report.
    ///
    /// Slots at replicas that the report does not list are cleared, unless they
    /// are younger than [`REPORT_OVERRIDE_AGE_MS`].
    pub fn apply_report(
        &mut self,
        now: Time,
        member: MemberId,
        in_flight: &[(EndpointId, InFlight)],
    ) {
        for (endpoint, own) in in_flight {
            self.update(now, *endpoint, member, *own);
        }
        for (endpoint, held) in &mut self.replicas {
            let is_reported = in_flight.iter().any(|(id, _)| id == endpoint);
            let is_clearable = |held: &Holding| now.since(held.at) >= REPORT_OVERRIDE_AGE_MS;
            if !is_reported && held.get(&member).is_some_and(is_clearable) {
                held.remove(&member);
            }
        }
    }

    /// Returns the slots that all members occupy at a replica.
    #[must_use]
    pub fn load(&self, now: Time, endpoint: EndpointId) -> InFlight {
        let held = self.replicas.get(&endpoint).into_iter().flatten();
        let recent = held.filter(|(_, held)| now.since(held.at) < HOLDING_TTL_MS);
        recent.fold(InFlight::default(), |sum, (_, held)| InFlight {
            online: sum.online + held.in_flight.online,
            batch: sum.batch + held.in_flight.batch,
        })
    }

    /// Decides on a request for a slot by a member that occupies `own` there.
    ///
    /// `slots` is the number of slots that the replica has.
    pub fn request_slot(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        slots: u32,
        member: MemberId,
        own: InFlight,
        purpose: Purpose,
    ) -> Decision {
        let purpose = match purpose {
            Purpose::OnlineFree if is_injected(Fault::PreemptForFreeSlot) => Purpose::Online,
            purpose => purpose,
        };
        self.update(now, endpoint, member, own);
        let load = self.load(now, endpoint);
        let is_granted = match purpose {
            Purpose::Online => load.online < slots,
            Purpose::Batch { reserve } => load.total() + reserve < slots,
            Purpose::OnlineFree => load.total() < slots,
        };
        let is_full = load.total() >= slots;
        let pause_at = (purpose == Purpose::Online && is_full)
            .then(|| self.pick_member_to_pause(endpoint))
            .flatten();
        if is_granted {
            let mut held = own;
            match purpose {
                Purpose::Online | Purpose::OnlineFree => held.online += 1,
                Purpose::Batch { .. } => held.batch += 1,
            }
            self.update(now, endpoint, member, held);
        }
        Decision {
            is_granted,
            load,
            pause_at,
        }
    }

    /// Returns the member with the most batch items at a replica, and deducts
    /// one item from its count.
    fn pick_member_to_pause(&mut self, endpoint: EndpointId) -> Option<MemberId> {
        let held = self.replicas.get_mut(&endpoint)?;
        let (member, held) = held
            .iter_mut()
            .filter(|(_, held)| held.in_flight.batch > 0)
            .max_by_key(|(member, held)| (held.in_flight.batch, **member))?;
        held.in_flight.batch -= 1;
        Some(*member)
    }

    /// Removes members and replicas that no longer exist.
    pub fn retain(
        &mut self,
        is_member: impl Fn(MemberId) -> bool,
        is_replica: impl Fn(EndpointId) -> bool,
    ) {
        self.replicas.retain(|endpoint, held| {
            held.retain(|member, _| is_member(*member));
            !held.is_empty() && is_replica(*endpoint)
        });
    }
}
