/*!
Requests that wait at the owner of a replica for one of its slots.

# Problem

In a large fleet load reports are older than the wait that a latency objective
allows. A check that uses them admits too many requests when demand steps up,
which then queue at the replicas and are all late, and rejects too many when it
steps down.

# Choice

The owner of a replica knows its load without delay. A request that finds no
free slot waits in the owner's queue. It states until when a start is in time
and until when a start is of any use. The owner estimates the wait from the
requests ahead and the replica's hold time, and rejects at once what can't be
served.

A free slot goes to the first request that can still be in time, ordered by
priority, then by the customers' fair shares (start-time fair queueing), then by
the earliest deadline. A late request gets a slot only if no request in time
waits, and none had to wait there for a while: as long as demand exceeds the
capacity, its slot is taken from a request in time.

Late requests that expire without a slot show that there is no capacity for
them: further ones are rejected until a late request gets a slot again.

# Cost

The queues of different replicas don't know of each other, so a request may wait
at one while another becomes free sooner.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{CustomerId, EndpointId, MemberId},
        process::reports::MIN_PERIOD_MS,
        request::overload::{max_wait_ms, retry_after_ms},
        time::Time,
    },
    std::collections::HashMap,
};

/// Most requests that wait at one replica. The objective bounds them further.
pub const MAX_WAITING: usize = 64;
/// Shortest retry-after while there is no capacity for late requests, in
/// milliseconds. A shorter one brings callers back within the same peak.
const MIN_CLOSED_RETRY_MS: u64 = 500;
/// Slots that become free without a request in time waiting before a late
/// request gets one.
const QUIET_SLOTS: u64 = 2;
/// Longest time without a request in time waiting before a late request gets a
/// slot, in milliseconds.
const MAX_QUIET_MS: u64 = 500;
/// Cost of a request in the customers' fair shares, over the customer's weight.
const SHARE_COST: u64 = 1_000_000;
/// Returns whether requests with this objective wait at the owners of replicas:
/// reports are older than the wait that the objective allows.
///
/// `period_ms` is the time between two reports of a member.
#[must_use]
pub fn waits_at_owner(period_ms: u64, objective_ms: u64) -> bool {
    let allowed_ms = max_wait_ms(objective_ms, 0);
    allowed_ms > 0 && period_ms > MIN_PERIOD_MS && period_ms > allowed_ms
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter {
    /// The member that asked.
    pub member: MemberId,
    /// Sequence number of the request at the member.
    pub seq: u64,
}

/// A request that may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitRequest {
    /// The request.
    pub waiter: Waiter,
    /// Priority relative to the most urgent requests; 0 is the most urgent.
    pub priority: u32,
    /// Customer that the request runs for.
    pub customer: Option<CustomerId>,
    /// Share of the customer, relative to those of others.
    pub weight: u64,
    /// Latest start with which the response is in time.
    pub start_by: Time,
    /// Latest start with which the response is of any use.
    pub latest_start: Time,
}

/// State of a replica as known to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotState {
    /// Slots occupied by online requests.
    pub online: u32,
    /// Slots of the replica.
    pub slots: u32,
    /// Time for which a request occupies a slot, in milliseconds; 0 if not known.
    pub hold_ms: u64,
}

impl SlotState {
    /// Returns how long a request waits that has `ahead` waiting requests before
    /// it, in milliseconds.
    #[must_use]
    pub fn wait_ms(self, ahead: usize) -> u64 {
        let occupied = u64::from(self.online) + ahead as u64 + 1;
        let queued = occupied.saturating_sub(u64::from(self.slots));
        queued * self.hold_ms / u64::from(self.slots.max(1))
    }

    fn quiet_ms(self) -> u64 {
        (QUIET_SLOTS * self.hold_ms / u64::from(self.slots.max(1))).min(MAX_QUIET_MS)
    }
}

/// The decision on a request that asks to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// It waits, for about this time in milliseconds.
    Waits {
        /// Expected wait, in milliseconds.
        wait_ms: u64,
        /// Whether it can't be in time.
        is_late: bool,
    },
    /// It is rejected.
    Rejected {
        /// Expected wait, in milliseconds.
        wait_ms: u64,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: WaitRequest,
    /// Start tag of the fair shares.
    tag: u64,
    sequence: u64,
}

impl Waiting {
    /// Returns the key by which waiting requests in time are ordered.
    fn order(&self) -> (u32, u64, Time, u64) {
        if is_injected(Fault::FirstComeFirstServed) {
            return (0, 0, Time::default(), self.sequence);
        }
        let tag = if is_injected(Fault::IgnoreCustomerShares) {
            0
        } else {
            self.tag
        };
        let request = &self.request;
        (request.priority, tag, request.start_by, self.sequence)
    }

    fn is_late(&self, now: Time) -> bool {
        self.request.start_by < now && !is_injected(Fault::IgnoreObjective)
    }
}

/// The requests that wait for a slot at one replica.
#[derive(Clone, Debug, Default)]
struct SlotQueue {
    waiting: Vec<Waiting>,
    sequence: u64,
    /// Fair-share tag of the request that got a slot last.
    virtual_time: u64,
    /// Tag after the last request of each customer, while requests wait.
    finish_tags: HashMap<Option<CustomerId>, u64>,
    /// Last time at which a request in time had to wait.
    last_in_time: Time,
    /// Whether a late request expired and none has got a slot since.
    is_late_closed: bool,
}

impl SlotQueue {
    fn offer(
        &mut self,
        now: Time,
        request: WaitRequest,
        state: SlotState,
        jitter: u64,
    ) -> WaitDecision {
        self.expire(now);
        self.waiting
            .retain(|waiting| waiting.request.waiter != request.waiter);
        let last_tag = self.finish_tags.get(&request.customer).copied();
        let tag = last_tag.unwrap_or(0).max(self.virtual_time);
        let waiting = Waiting {
            request,
            tag,
            sequence: self.sequence + 1,
        };
        let in_time = self.waiting.iter().filter(|other| !other.is_late(now));
        let (in_time, ahead) = in_time.fold((0, 0), |(in_time, ahead), other| {
            (
                in_time + 1,
                ahead + usize::from(other.order() < waiting.order()),
            )
        });
        let wait_ms = state.wait_ms(ahead);
        let is_in_time =
            now.plus(wait_ms) <= request.start_by || is_injected(Fault::IgnoreObjective);
        let late = self.waiting.len() - in_time;
        let late_wait_ms = state.wait_ms(self.waiting.len());
        let has_late_room = !self.is_late_closed
            && late < state.slots as usize
            && now.plus(late_wait_ms) <= request.latest_start;
        if self.waiting.len() >= MAX_WAITING || (!is_in_time && !has_late_room) {
            let allowed_ms = request.start_by.since(now);
            let min_ms = if self.is_late_closed {
                MIN_CLOSED_RETRY_MS
            } else {
                0
            };
            let drain_ms = late_wait_ms.saturating_sub(allowed_ms).max(min_ms);
            return WaitDecision::Rejected {
                wait_ms,
                retry_after_ms: retry_after_ms(drain_ms, jitter),
            };
        }
        self.sequence += 1;
        let finish = tag + SHARE_COST / request.weight.max(1);
        self.finish_tags.insert(request.customer, finish);
        self.waiting.push(Waiting {
            request: WaitRequest {
                // Such a request must not delay those that can be in time.
                start_by: if is_in_time {
                    request.start_by
                } else {
                    Time::default()
                },
                ..request
            },
            ..waiting
        });
        if is_in_time {
            self.last_in_time = now;
        }
        WaitDecision::Waits {
            wait_ms: if is_in_time { wait_ms } else { late_wait_ms },
            is_late: !is_in_time,
        }
    }

    fn take_next(&mut self, now: Time, state: SlotState) -> Option<WaitRequest> {
        self.expire(now);
        if state.online >= state.slots {
            if self.waiting.iter().any(|waiting| !waiting.is_late(now)) {
                self.last_in_time = now;
            }
            return None;
        }
        let candidates = self.waiting.iter().enumerate();
        let in_time = candidates.clone().filter(|(_, it)| !it.is_late(now));
        let index = match in_time.min_by_key(|(_, it)| it.order()) {
            Some((index, _)) => {
                self.last_in_time = now;
                index
            }
            None if now.since(self.last_in_time) < state.quiet_ms() => return None,
            None => {
                let first = candidates.min_by_key(|(_, it)| {
                    (it.request.priority, it.request.latest_start, it.sequence)
                });
                self.is_late_closed = false;
                first?.0
            }
        };
        let taken = self.waiting.swap_remove(index);
        self.virtual_time = self.virtual_time.max(taken.tag);
        self.forget_tags_if_empty();
        Some(taken.request)
    }

    /// Drops requests whose start is of no use any more.
    fn expire(&mut self, now: Time) {
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| now <= waiting.request.latest_start);
        if self.waiting.len() < before {
            self.is_late_closed = true;
            self.forget_tags_if_empty();
        }
    }

    fn cancel(&mut self, waiter: Waiter) {
        self.waiting
            .retain(|waiting| waiting.request.waiter != waiter);
        self.forget_tags_if_empty();
    }

    fn forget_tags_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.finish_tags.clear();
            self.virtual_time = 0;
        }
    }
}

/// The requests that wait at the replicas that this process owns.
#[derive(Clone, Debug, Default)]
pub struct SlotQueues {
    queues: HashMap<EndpointId, SlotQueue>,
}

impl SlotQueues {
    /// Decides whether a request may wait for a slot at a replica.
    ///
    /// `jitter` is a random number that spreads the retry-after.
    pub fn offer(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        request: WaitRequest,
        state: SlotState,
        jitter: u64,
    ) -> WaitDecision {
        let queue = self.queues.entry(endpoint).or_default();
        queue.offer(now, request, state, jitter)
    }

    /// Removes and returns the request that gets the next slot at a replica, if
    /// one is free and a request may have it.
    pub fn take_next(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        state: SlotState,
    ) -> Option<WaitRequest> {
        self.queues.get_mut(&endpoint)?.take_next(now, state)
    }

    /// Removes a request whose caller has left, or whose requester has given up.
    pub fn cancel(&mut self, endpoint: EndpointId, waiter: Waiter) {
        if let Some(queue) = self.queues.get_mut(&endpoint) {
            queue.cancel(waiter);
        }
    }

    /// Removes and returns all requests that wait at a replica.
    pub fn take_all(&mut self, endpoint: EndpointId) -> Vec<Waiter> {
        let queue = self.queues.remove(&endpoint);
        let waiting = queue.into_iter().flat_map(|queue| queue.waiting);
        waiting.map(|waiting| waiting.request.waiter).collect()
    }

    /// Returns the number of requests that wait at a replica.
    #[must_use]
    pub fn len(&self, endpoint: EndpointId) -> usize {
        let queue = self.queues.get(&endpoint);
        queue.map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the replicas at which requests wait.
    #[must_use]
    pub fn waited_for(&self) -> Vec<EndpointId> {
        let queues = self.queues.iter();
        let waited_for = queues.filter(|(_, queue)| !queue.waiting.is_empty());
        waited_for.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Returns whether no request waits anywhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.waiting.is_empty())
    }

    /// Removes requests of members, and queues of replicas, that no longer exist.
    pub fn retain(
        &mut self,
        is_member: impl Fn(MemberId) -> bool,
        is_replica: impl Fn(EndpointId) -> bool,
    ) {
        self.queues.retain(|endpoint, queue| {
            queue
                .waiting
                .retain(|waiting| is_member(waiting.request.waiter.member));
            queue.forget_tags_if_empty();
            is_replica(*endpoint)
        });
    }
}
