/*!
Telling an outage of the log from being cut off.

# Problem

A process that hears nothing from the log may be one of all processes (the
log is down: go on under the configuration in force) or the only one (it is
cut off: a key may have been withdrawn, a share moved, and it must stop).

# Choice

A roster names up to fifteen *witnesses*, spread over data centres. Contact is
fresh for a bounded time after either

* a read of the log up to its end, counted from when the read was sent, or
* confirmations from a majority of the roster's witnesses that they know no
  later version of the configuration than the asker, counted from when the
  oldest of them was asked for. An asker that knows less takes the witness's
  configuration and asks again.

A confirmation also carries the withdrawals that the witness knows. A change
that a majority of the witnesses knows reaches everyone who keeps contact by
witnesses, since any two majorities share a witness. That carries emergency
withdrawals in an outage of the log, and the moving of shares, see
[`holder`](super::holder).

This is no consensus: witnesses agree on nothing, they only repeat what they
have read. Only a process that has itself folded the log to its end since its
start may confirm, for a restarted one has forgotten what it confirmed.

# Cost

While the log is reachable, nothing. In an outage each process asks at most
fifteen witnesses each interval, so the load on a witness grows with the
fleet: 410 nodes with four processes each, once a second, are 1640 small
questions a second at a witness.
*/

use {
    crate::{
        ids::{MemberId, Offset},
        planted::{Fault, is_planted},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// How long contact stays fresh, in milliseconds.
pub const FRESH_MS: u64 = 4_000;
/// Age of the last read of the log from which witnesses are asked, in
/// milliseconds. A read counts from its sending and may wait for a record, so
/// in good times it is up to that wait old.
pub const ASK_AFTER_MS: u64 = 2_500;
/// How often witnesses are asked while the log is out of reach, in milliseconds.
pub const ASK_EVERY_MS: u64 = 1_000;

/// What a process knows about its contact with the rest.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    epoch: Offset,
    witnesses: Vec<MemberId>,
    log_read: Option<Time>,
    confirmed: BTreeMap<MemberId, Time>,
    last_asked: Option<Time>,
}

impl Contact {
    /// Takes the roster in force; confirmations of an earlier one lapse.
    pub fn set_roster(&mut self, epoch: Offset, witnesses: &[MemberId]) {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.witnesses = witnesses.to_vec();
            self.confirmed.clear();
        }
    }

    /// Notes a read of the log up to its end, sent at `sent`.
    pub fn log_read(&mut self, sent: Time) {
        self.log_read = self.log_read.max(Some(sent));
    }

    /// Notes a witness's answer that was asked for at `sent`.
    ///
    /// `version` is what the witness knows and `mine` what this process knew
    /// when it asked. A witness that knows more confirms nothing.
    pub fn confirmed(
        &mut self,
        witness: MemberId,
        epoch: Offset,
        version: Offset,
        mine: Offset,
        sent: Time,
    ) {
        let knows_more = version > mine;
        if epoch == self.epoch && !knows_more && self.witnesses.contains(&witness) {
            let last = self.confirmed.entry(witness).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// Returns the witnesses to ask now: none while the log answers.
    pub fn to_ask(&mut self, now: Time) -> Vec<MemberId> {
        let log_is_fresh = self
            .log_read
            .is_some_and(|read| now.since(read) < ASK_AFTER_MS);
        let asked_lately = self
            .last_asked
            .is_some_and(|asked| now.since(asked) < ASK_EVERY_MS);
        if log_is_fresh || asked_lately {
            return Vec::new();
        }
        self.last_asked = Some(now);
        self.witnesses.clone()
    }

    /// Returns the time up to which the present contact is fresh.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Time> {
        let majority = self.witnesses.len() / 2 + 1;
        let mut times: Vec<Time> = self.confirmed.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = if self.witnesses.is_empty() {
            None
        } else {
            times.get(majority - 1).copied()
        };
        self.log_read.max(quorum).map(|time| time.plus(FRESH_MS))
    }

    /// Tells whether contact is fresh at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        is_planted(Fault::ServeWithoutContact)
            || self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns the epoch that contact is kept for.
    #[must_use]
    pub const fn epoch(&self) -> Offset {
        self.epoch
    }
}
