/*!
Choice of a replica for an attempt, with a slot there.

A slot is requested from the owner of one replica after the other, until one grants it. If
none does, the request waits for a replica whose request rate allows it in time, or
queues at a replica.
*/

use {
    super::{free_slot::FreeSlot, pending::PendingRequest},
    crate::process::{
        Gateway, InFlightGuard,
        slots::{SlotOutcome, acquire, acquire_without_grant},
    },
    cicadagate_policy::{
        ids::EndpointId,
        process::{
            replicas::{Registration, VersionProof, Wanted},
            slot_ledger::Purpose,
        },
        request::overload::max_wait_ms,
        time::Time,
    },
    std::{rc::Rc, time::Duration},
};

/// Replicas at which a slot is requested before the request is queued at the
/// least loaded of them.
const MAX_SLOT_QUERIES: usize = 6;
/// The replica of an attempt, at which the request is counted as in flight.
pub(super) struct AttemptTarget {
    pub(super) registration: Rc<Registration>,
    pub(super) endpoint: EndpointId,
    /// How the slot was taken, for logs.
    pub(super) slot: &'static str,
    /// Time at which the slot was taken.
    pub(super) since: Time,
    _guard: InFlightGuard,
}

/// A replica at which a slot may be taken.
pub(super) struct Candidate {
    registration: Rc<Registration>,
    pub(super) endpoint: EndpointId,
}

impl Candidate {
    /// Adds the in-flight guard to the candidate.
    pub(super) fn with_guard(
        self,
        gateway: &Rc<Gateway>,
        guard: InFlightGuard,
        slot: &'static str,
    ) -> AttemptTarget {
        AttemptTarget {
            slot,
            registration: self.registration,
            endpoint: self.endpoint,
            since: gateway.now(),
            _guard: guard,
        }
    }
}

impl PendingRequest {
    /// Takes a slot at one of up to [`MAX_SLOT_QUERIES`] replicas. If none has a
    /// free one, waits for the first whose request rate allows the request in
    /// time, or queues at the replica with the fewest online requests.
    pub(super) async fn take_slot(&mut self, gateway: &Rc<Gateway>) -> Option<AttemptTarget> {
        let mut excluded = self.tried.clone();
        let mut least_loaded: Option<(u32, Candidate)> = None;
        let mut first_allowed: Option<(u64, Candidate)> = None;
        // Used if no other is left, since only another gateway says so.
        let mut told_leaving: Option<Candidate> = None;
        let mut first = match self.take_free_slot(gateway, &mut excluded).await {
            FreeSlot::Taken(target) => return Some(target),
            FreeSlot::None(candidate) => candidate,
        };
        for _ in 0..MAX_SLOT_QUERIES {
            let candidate = first.take().or_else(|| self.choose(gateway, &excluded));
            let Some(candidate) = candidate else {
                break;
            };
            let endpoint = candidate.endpoint;
            match acquire(gateway, endpoint, Purpose::Online, 0).await {
                SlotOutcome::Granted(guard) => {
                    return Some(candidate.with_guard(gateway, guard, "granted"));
                }
                SlotOutcome::OwnerTimedOut(guard) => {
                    return Some(candidate.with_guard(gateway, guard, "owner silent"));
                }
                SlotOutcome::Full(load) => {
                    let now = gateway.now();
                    gateway.replicas.borrow_mut().note_full(now, endpoint);
                    excluded.push(endpoint);
                    let is_least = least_loaded
                        .as_ref()
                        .is_none_or(|(online, _)| load.online < *online);
                    if is_least && !gateway.is_limited(endpoint) {
                        least_loaded = Some((load.online, candidate));
                    }
                }
                SlotOutcome::Leaving => {
                    excluded.push(endpoint);
                    told_leaving = Some(candidate);
                }
                SlotOutcome::Limited(wait_ms) => {
                    gateway.note_limited(endpoint, wait_ms);
                    excluded.push(endpoint);
                    if first_allowed
                        .as_ref()
                        .is_none_or(|(first, _)| wait_ms < *first)
                    {
                        first_allowed = Some((wait_ms, candidate));
                    }
                }
            }
        }
        if let Some((wait_ms, candidate)) = first_allowed
            && let Some(target) = self.wait_for_rate(gateway, wait_ms, candidate).await
        {
            return Some(target);
        }
        let candidate = least_loaded
            .map(|(_, candidate)| candidate)
            .or(told_leaving.filter(|it| !gateway.is_limited(it.endpoint)))?;
        let guard = acquire_without_grant(gateway, candidate.endpoint, Purpose::Online);
        Some(candidate.with_guard(gateway, guard, "queued"))
    }

    /// Takes a slot at a replica whose request rate allows the request after `wait_ms`,
    /// if it can wait for that.
    async fn wait_for_rate(
        &mut self,
        gateway: &Rc<Gateway>,
        wait_ms: u64,
        candidate: Candidate,
    ) -> Option<AttemptTarget> {
        self.allowed_after = Some(Duration::from_millis(wait_ms));
        let max_wait_ms = self.max_wait_ms(gateway);
        if wait_ms > max_wait_ms {
            return None;
        }
        let endpoint = candidate.endpoint;
        match acquire(gateway, endpoint, Purpose::Online, max_wait_ms).await {
            SlotOutcome::Granted(guard) => {
                Some(candidate.with_guard(gateway, guard, "waited for rate"))
            }
            SlotOutcome::OwnerTimedOut(guard) => {
                Some(candidate.with_guard(gateway, guard, "owner silent"))
            }
            SlotOutcome::Full(_) | SlotOutcome::Leaving => None,
            SlotOutcome::Limited(wait_ms) => {
                gateway.note_limited(endpoint, wait_ms);
                None
            }
        }
    }

    /// Returns how long the request may wait for the request rate of a replica,
    /// in milliseconds.
    fn max_wait_ms(&self, gateway: &Gateway) -> u64 {
        let rank = gateway.current_config().map_or(0, |config| {
            config.relative_priority(&self.route, self.customer.as_deref())
        });
        let left_ms = self.deadline.since(gateway.now());
        max_wait_ms(self.route.objective_ms, rank).min(left_ms)
    }

    pub(super) fn choose(
        &self,
        gateway: &Rc<Gateway>,
        excluded: &[EndpointId],
    ) -> Option<Candidate> {
        let now = gateway.now();
        let replicas = gateway.replicas.borrow();
        let reports = gateway.reports.borrow();
        let remaining = gateway.remaining_percent(&self.service);
        let recorded = gateway.version_record.borrow();
        let wanted = Wanted {
            service: &self.service,
            excluded,
            version: self.version,
            recorded: self.may_be_resumed().then_some(&*recorded),
            proof: if self.may_be_resumed() {
                gateway.version_proof(&self.service, self.version.is_some())
            } else {
                VersionProof::None
            },
        };
        let chosen = replicas.choose(now, &wanted, gateway.next_random(), |id| {
            gateway.online_load_estimate(&reports, remaining, id)
        })?;
        Some(Candidate {
            registration: Rc::clone(&chosen.registration),
            endpoint: chosen.endpoint,
        })
    }
}
