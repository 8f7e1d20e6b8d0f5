/*!
Services whose replicas a member can't reach, while other members do.

# Problem

A network partition may separate some members, up to most of a data centre, from all
replicas, but not from callers, the store and the other members. Connections of such a
member to replicas hang, are refused, or live on while new ones are refused. Its callers
keep coming: they hold its address for seconds and their connections longer.

# Choice

A member counts as cut off from a service if most replicas that it has tried lately accept no
connections ([`Reach::is_cut_off`]). It tells the other members at once and while
it lasts, sends its callers' requests through a member that is not cut off, and leaves the
service's batch items to those. Members that are cut off from all services are not
advertised, unless too few others are left. The connection probes that end the avoidance of
each unreachable replica also end this state.

A crash of replicas looks the same from one member. Then all members are soon cut off, no
member is left to send requests through, and they are refused as before. A request is
sent on once only.

# Cost

While a member is cut off, one datagram to each other member per reporting period, and
one more hop for each request. Nothing otherwise.
*/

use {
    crate::{
        ids::{MemberId, ServiceId},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Time for which a connection or response shows that a replica is reached, in
/// milliseconds.
pub const REACHED_MS: u64 = 2_000;
/// Least unreachable replicas of a service that is not wholly unreachable, for a member
/// to count as cut off from it.
pub const MIN_UNREACHABLE: usize = 3;
/// Least share of the members that are advertised, in percent. If fewer are left, those
/// that are cut off are advertised as well.
pub const MIN_ADVERTISED_PERCENT: usize = 30;

/// How many replicas of a service a member reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Replicas that it has reached within [`REACHED_MS`].
    pub reached: usize,
    /// Replicas that accept no connections from it.
    pub unreachable: usize,
    /// All replicas.
    pub total: usize,
}

impl Reach {
    /// Returns whether the member is cut off from the service.
    #[must_use]
    pub const fn is_cut_off(self) -> bool {
        let is_most = self.unreachable >= MIN_UNREACHABLE && self.reached < self.unreachable;
        self.unreachable > 0 && (is_most || self.unreachable == self.total)
    }
}

/// Tells the other members from which services the sender is cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CutOffMessage {
    /// The member.
    pub member: MemberId,
    /// Services, none if the member is not cut off any more.
    pub services: Vec<ServiceId>,
    /// Whether these are all services.
    pub is_complete: bool,
}

#[derive(Clone, Debug)]
struct CutOff {
    services: Vec<ServiceId>,
    is_complete: bool,
    until: Time,
}

/// The other members that are cut off from services.
#[derive(Clone, Debug, Default)]
pub struct CutOffMembers {
    members: HashMap<MemberId, CutOff>,
}

impl CutOffMembers {
    /// Applies a message, which is believed for `ttl_ms`.
    pub fn apply(&mut self, now: Time, message: CutOffMessage, ttl_ms: u64) {
        self.members.retain(|_, cut_off| now < cut_off.until);
        if message.services.is_empty() {
            self.members.remove(&message.member);
            return;
        }
        let cut_off = CutOff {
            services: message.services,
            is_complete: message.is_complete,
            until: now.plus(ttl_ms),
        };
        self.members.insert(message.member, cut_off);
    }

    /// Returns whether a member is cut off from a service.
    #[must_use]
    pub fn is_cut_off(&self, now: Time, member: MemberId, service: ServiceId) -> bool {
        self.get(now, member)
            .is_some_and(|cut_off| cut_off.services.contains(&service))
    }

    /// Returns whether a member is cut off from all services.
    #[must_use]
    pub fn is_cut_off_from_all(&self, now: Time, member: MemberId) -> bool {
        self.get(now, member)
            .is_some_and(|cut_off| cut_off.is_complete)
    }

    fn get(&self, now: Time, member: MemberId) -> Option<&CutOff> {
        let cut_off = self.members.get(&member);
        cut_off.filter(|cut_off| now < cut_off.until)
    }
}

/// Returns the members to advertise, of pairs of a member and whether it is cut off from
/// all services.
#[must_use]
pub fn members_to_advertise<T: Copy>(members: &[(T, bool)]) -> Vec<T> {
    let reaching = members.iter().filter(|(_, is_cut_off)| !is_cut_off);
    let reaching: Vec<T> = reaching.map(|(member, _)| *member).collect();
    if reaching.len() * 100 >= members.len() * MIN_ADVERTISED_PERCENT {
        reaching
    } else {
        members.iter().map(|(member, _)| *member).collect()
    }
}
