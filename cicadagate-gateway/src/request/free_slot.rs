/*!
Queries for a slot that nothing occupies, before a request may preempt a batch item.

Where online load swings and reports are old, a request finds replicas full of items while
others have free slots. Each query costs a round trip to an owner, so there are few, and
only while the reports show free slots. A replica that has none but runs items is asked
first when the request may preempt.
*/

use {
    super::{
        pending::PendingRequest,
        placement::{AttemptTarget, Candidate},
    },
    crate::process::{
        Gateway,
        slots::{SlotOutcome, acquire},
    },
    cicadagate_policy::{ids::EndpointId, process::slot_ledger::Purpose},
    std::rc::Rc,
};

/// Outcome of the queries.
pub(super) enum FreeSlot {
    /// A slot was taken.
    Taken(AttemptTarget),
    /// None was found; the replica to ask next, if any.
    None(Option<Candidate>),
}

impl PendingRequest {
    /// Takes a slot that nothing occupies, if the service's load calls for such queries.
    /// Adds replicas that online requests fill to `excluded`.
    pub(super) async fn take_free_slot(
        &mut self,
        gateway: &Rc<Gateway>,
        excluded: &mut Vec<EndpointId>,
    ) -> FreeSlot {
        let mut full_of_items: Option<(u32, Candidate)> = None;
        let mut asked = excluded.clone();
        for _ in 0..gateway.item_runner.free_slot_queries(&self.service) {
            let Some(candidate) = self.choose(gateway, &asked) else {
                break;
            };
            let endpoint = candidate.endpoint;
            asked.push(endpoint);
            match acquire(gateway, endpoint, Purpose::OnlineFree, 0).await {
                SlotOutcome::Granted(guard) => {
                    return FreeSlot::Taken(candidate.with_guard(gateway, guard, "granted"));
                }
                SlotOutcome::Full(load) if load.batch > 0 => {
                    let is_least = full_of_items
                        .as_ref()
                        .is_none_or(|(online, _)| load.online < *online);
                    if is_least {
                        full_of_items = Some((load.online, candidate));
                    }
                }
                SlotOutcome::Full(_) => {
                    let now = gateway.now();
                    gateway.replicas.borrow_mut().note_full(now, endpoint);
                    excluded.push(endpoint);
                }
                // An owner of an older build doesn't know the purpose. The next query
                // handles the other outcomes.
                SlotOutcome::OwnerTimedOut(_) | SlotOutcome::Limited(_) | SlotOutcome::Leaving => {
                    return FreeSlot::None(Some(candidate));
                }
            }
        }
        FreeSlot::None(full_of_items.map(|(_, candidate)| candidate))
    }
}
