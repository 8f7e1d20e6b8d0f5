//! Rate limits: entries request tokens from share holders, and the oracle
//! counts admitted requests.

use {
    super::{FleetSimulation, MAX_REQUESTS_PER_ROUND, PendingGrant, customer},
    cicadagate_policy::{
        ids::{CustomerId, MemberId},
        process::share_holder::{GrantOutcome, holders},
        request::token_grants::AdmissionStep,
    },
};

impl FleetSimulation {
    pub(super) fn serve_round(
        &mut self,
        node: usize,
        customer: usize,
        is_slow: bool,
    ) -> Result<(), String> {
        for _ in 0..MAX_REQUESTS_PER_ROUND {
            let admitted = self.serve_request(node, customer, is_slow)?;
            if !admitted && !is_slow {
                break;
            }
        }
        Ok(())
    }

    /// Tries to admit one request at an entry; returns whether it was admitted.
    pub(super) fn serve_request(
        &mut self,
        entry: usize,
        index: usize,
        is_slow: bool,
    ) -> Result<bool, String> {
        if !self.is_up(entry) {
            return Ok(false);
        }
        let now = self.clock(entry);
        if !self.nodes[entry].contact.is_fresh(now) {
            self.count("refused without contact");
            return Ok(false);
        }
        let Some(customer_state) = self.nodes[entry]
            .state
            .customer(&customer(index).name)
            .cloned()
        else {
            return Ok(false);
        };
        let Some(epoch) = self.nodes[entry]
            .state
            .epoch()
            .map(|(_, epoch)| epoch.clone())
        else {
            return Ok(false);
        };
        if !self.nodes[entry].has_log_contact(now) {
            self.count("served under witness contact");
        }
        let id = CustomerId::of(&customer_state.name);
        let holders = holders(&customer_state, &epoch.roster);
        let mut token_request = self.nodes[entry].grant_cache.begin(id, holders);
        loop {
            match self.nodes[entry].grant_cache.step(now, &token_request) {
                AdmissionStep::Admit => {
                    self.admit(index)?;
                    return Ok(true);
                }
                AdmissionStep::Refuse { .. } => {
                    self.count("refused");
                    return Ok(false);
                }
                AdmissionStep::Ask(holder, want) => {
                    let outcome = self.request_tokens(entry, holder, id, want);
                    if is_slow && let Some(outcome @ GrantOutcome::Granted(_)) = outcome {
                        let incarnation = self.nodes[entry].incarnation;
                        let grant = PendingGrant {
                            entry,
                            incarnation,
                            customer: index,
                            token_request,
                            sent: now,
                            outcome,
                        };
                        self.pending_grants.push(grant);
                        return Ok(false);
                    }
                    self.nodes[entry]
                        .grant_cache
                        .note_reply(now, &mut token_request, now, outcome);
                }
            }
        }
    }

    pub(super) fn request_tokens(
        &mut self,
        entry: usize,
        holder: MemberId,
        id: CustomerId,
        want: u32,
    ) -> Option<GrantOutcome> {
        let index = self.nodes.iter().position(|node| node.id == holder)?;
        if !self.is_up(index) || !self.can_reach(entry, index) {
            return None;
        }
        let now = self.clock(index);
        let outcome = self.nodes[index].grant_tokens(now, id, want);
        // The first roster names the first incarnations of nodes 0 to 2.
        let is_later_holder = index > 2 || self.nodes[index].incarnation > 0;
        if is_later_holder && matches!(outcome, GrantOutcome::Granted(_)) {
            self.count("granted after handover");
        }
        Some(outcome)
    }

    pub(super) fn admit(&mut self, index: usize) -> Result<(), String> {
        self.count("admitted");
        if self.buckets[index].take(self.now_us) {
            return Ok(());
        }
        Err(format!("customer {index} exceeds its rate and burst"))
    }
}
