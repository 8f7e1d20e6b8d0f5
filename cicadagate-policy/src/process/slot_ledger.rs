/*!
Who holds the slots of a replica.

# Problem

Engines admit requests as they come and know no priorities. In a large fleet
reports are too old to find a free slot by: many instances pick the same
replica, and batch work gives way too late.

# Choice

Each replica has one *owner* among the members, by rendezvous hash. Before a
request is sent, the owner is asked for a slot. It grants one to an online
request while online requests do not fill the replica, and tells a member that
runs a batch item there to pause it if the replica is full. Batch items get
what is left.

Each message carries all that its sender holds at the replica, so a lost or
doubled one is repaired by the next, and reports repair the rest. An owner that
has just become one starts from the reports. Two owners at once, or none, cost
a request too many at a replica for a moment, never a request: whoever gets no
answer sends all the same.

# Cost

A request waits for one message each way, and ends with one more.
*/

use {
    super::reports::InFlight,
    crate::{
        ids::{EndpointId, MemberId, mix64},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// How long a member's slots count without a word from it, in milliseconds.
/// Reports come more often.
pub const HELD_MS: u64 = 5_000;

/// Age from which a member's slots may be corrected by a report that does not
/// name them, in milliseconds: such a report may have crossed a grant.
pub const SETTLED_MS: u64 = 300;

/// What a slot is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Purpose {
    /// An online request.
    Online,
    /// An item of a job; so many slots must stay free beside it.
    Batch {
        /// Slots to leave free.
        reserve: u32,
    },
}

/// A message about slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SlotMessage {
    /// Asks the owner for a slot.
    Ask {
        /// Number of the question at its sender.
        seq: u64,
        /// Who asks.
        member: MemberId,
        /// Replica.
        endpoint: EndpointId,
        /// What the sender holds there.
        own: InFlight,
        /// What the slot is for.
        purpose: Purpose,
    },
    /// The owner's answer.
    Answer {
        /// Number of the question.
        seq: u64,
        /// Whether the slot is granted.
        is_granted: bool,
        /// What all members hold at the replica.
        load: InFlight,
    },
    /// Tells the owner what the sender holds.
    Update {
        /// Who tells.
        member: MemberId,
        /// Replica.
        endpoint: EndpointId,
        /// What the sender holds there.
        own: InFlight,
    },
    /// Tells a member to pause a batch item.
    Yield {
        /// Replica.
        endpoint: EndpointId,
    },
}

/// The owner's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the slot is granted.
    pub is_granted: bool,
    /// What all members hold at the replica, before this grant.
    pub load: InFlight,
    /// A member that is to pause a batch item there.
    pub yields: Option<MemberId>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    in_flight: InFlight,
    at: Time,
}

/// Slots of the replicas that a process owns.
#[derive(Clone, Debug, Default)]
pub struct SlotLedger {
    replicas: HashMap<EndpointId, HashMap<MemberId, Held>>,
}

/// Returns the owner of a replica, or of anything else with a hash, among the
/// members that work.
#[must_use]
pub fn owner(key: u64, members: impl Iterator<Item = MemberId>) -> Option<MemberId> {
    members.max_by_key(|member| mix64(key, member.raw()))
}

impl SlotLedger {
    /// Takes what a member holds at a replica.
    pub fn update(&mut self, now: Time, endpoint: EndpointId, member: MemberId, own: InFlight) {
        let held = self.replicas.entry(endpoint).or_default();
        if own.total() == 0 {
            held.remove(&member);
        } else {
            held.insert(
                member,
                Held {
                    in_flight: own,
                    at: now,
                },
            );
        }
    }

    /// Takes all that a member holds, as it reports.
    pub fn take_report(
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
            let is_settled = |held: &Held| now.since(held.at) >= SETTLED_MS;
            if !is_reported && held.get(&member).is_some_and(is_settled) {
                held.remove(&member);
            }
        }
    }

    /// Returns what all members hold at a replica.
    #[must_use]
    pub fn load(&self, now: Time, endpoint: EndpointId) -> InFlight {
        let held = self.replicas.get(&endpoint).into_iter().flatten();
        let fresh = held.filter(|(_, held)| now.since(held.at) < HELD_MS);
        fresh.fold(InFlight::default(), |sum, (_, held)| InFlight {
            online: sum.online + held.in_flight.online,
            batch: sum.batch + held.in_flight.batch,
        })
    }

    /// Decides about a slot for a member that holds `own` there.
    pub fn ask(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        slots: u32,
        member: MemberId,
        own: InFlight,
        purpose: Purpose,
    ) -> Decision {
        self.update(now, endpoint, member, own);
        let load = self.load(now, endpoint);
        let is_granted = match purpose {
            Purpose::Online => load.online < slots,
            Purpose::Batch { reserve } => load.total() + reserve < slots,
        };
        let is_full = load.total() >= slots;
        let yields = (purpose == Purpose::Online && is_full)
            .then(|| self.yielding(endpoint))
            .flatten();
        if is_granted {
            let mut held = own;
            match purpose {
                Purpose::Online => held.online += 1,
                Purpose::Batch { .. } => held.batch += 1,
            }
            self.update(now, endpoint, member, held);
        }
        Decision {
            is_granted,
            load,
            yields,
        }
    }

    /// Picks the member with most batch items at a replica, and counts one less.
    fn yielding(&mut self, endpoint: EndpointId) -> Option<MemberId> {
        let held = self.replicas.get_mut(&endpoint)?;
        let (member, held) = held
            .iter_mut()
            .filter(|(_, held)| held.in_flight.batch > 0)
            .max_by_key(|(member, held)| (held.in_flight.batch, **member))?;
        held.in_flight.batch -= 1;
        Some(*member)
    }

    /// Forgets members that are gone, and replicas that are.
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
