//! Rate limits: entries draw grants from holders, and the oracle counts admitted
//! requests.

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
        let Some(known) = self.nodes[entry]
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
        let id = CustomerId::of(&known.name);
        let holders = holders(&known, &epoch.roster);
        let mut token_request = self.nodes[entry].limiter.begin(id, holders);
        loop {
            match self.nodes[entry].limiter.step(now, &token_request) {
                AdmissionStep::Admit => {
                    self.admit(index)?;
                    return Ok(true);
                }
                AdmissionStep::Refuse { .. } => {
                    self.count("refused");
                    return Ok(false);
                }
                AdmissionStep::Ask(holder, want) => {
                    let draw = self.draw(entry, holder, id, want);
                    if is_slow && let Some(draw @ GrantOutcome::Granted(_)) = draw {
                        let incarnation = self.nodes[entry].incarnation;
                        let grant = PendingGrant {
                            entry,
                            incarnation,
                            customer: index,
                            token_request,
                            sent: now,
                            draw,
                        };
                        self.pending_grants.push(grant);
                        return Ok(false);
                    }
                    self.nodes[entry]
                        .limiter
                        .note_reply(now, &mut token_request, now, draw);
                }
            }
        }
    }

    pub(super) fn draw(
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
        let draw = self.nodes[index].draw(now, id, want);
        let moved = index > 2 || self.nodes[index].incarnation > 0;
        if moved && matches!(draw, GrantOutcome::Granted(_)) {
            self.count("granted after handover");
        }
        Some(draw)
    }

    pub(super) fn admit(&mut self, index: usize) -> Result<(), String> {
        self.count("admitted");
        if self.buckets[index].take(self.now_us) {
            return Ok(());
        }
        Err(format!("customer {index} exceeds its rate and burst"))
    }
}
