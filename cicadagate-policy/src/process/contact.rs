/*!
Distinguishing an outage of the log from a network partition.

# Problem

When a process can't reach the log, it may be one of all processes: the log is
down, and the process should go on under the configuration in force. Or only
this process is partitioned from the log: a key may have been withdrawn or a
share moved, and the process must stop serving.

# Choice

A roster names up to fifteen *witnesses*, spread over data centres. A process
has fresh contact for [`CONTACT_TTL_MS`] after either

* a read of the log up to its end, counted from when the read was sent, or
* confirmations from a majority of the roster's witnesses that they have no
  later version of the configuration than this process, counted from when the
  oldest of these confirmations was requested. A process with an earlier
  version than the witness fetches the witness's configuration and queries it
  again.

A confirmation also carries the withdrawn keys that the witness knows of. A
change that a majority of the witnesses has read reaches every process that
keeps contact through witnesses, since any two majorities share a witness.
Emergency withdrawals during an outage of the log and the moving of shares rely
on this, see [`share_holder`](super::share_holder).

This is not consensus: witnesses don't agree on anything, they only report
what they have read. A process may confirm only after it has itself applied
the log up to its end since its start, because a restarted process has lost the
state in which it confirmed before.

# Cost

None while the log is reachable. In an outage each process queries at most
fifteen witnesses every [`WITNESS_QUERY_INTERVAL_MS`], so the load on a witness
grows with the fleet: in a fleet of 410 instances, each with four processes, a
witness receives 1640 small requests per second.
*/

use {
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{MemberId, Offset},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// How long contact stays fresh, in milliseconds.
pub const CONTACT_TTL_MS: u64 = 4_000;
/// Witnesses are queried once the last read of the log is this old, in
/// milliseconds. The age counts from when the read was sent. A read may wait
/// for a record, so the age can reach the length of that wait in normal
/// operation.
pub const WITNESS_QUERY_AFTER_MS: u64 = 2_500;
/// Minimum time between two rounds of queries to the witnesses while the log is
/// unreachable, in milliseconds.
pub const WITNESS_QUERY_INTERVAL_MS: u64 = 1_000;

/// The contact of one process with the log and the witnesses.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    epoch: Offset,
    witnesses: Vec<MemberId>,
    last_log_read: Option<Time>,
    confirmations: BTreeMap<MemberId, Time>,
    last_queried: Option<Time>,
}

impl Contact {
    /// Sets the epoch and witnesses of the roster in force. A new epoch
    /// discards the confirmations for the previous one.
    pub fn set_roster(&mut self, epoch: Offset, witnesses: &[MemberId]) {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.witnesses = witnesses.to_vec();
            self.confirmations.clear();
        }
    }

    /// Records a read of the log up to its end that was sent at `sent`.
    pub fn note_log_read(&mut self, sent: Time) {
        self.last_log_read = self.last_log_read.max(Some(sent));
    }

    /// Records a witness's response to a query sent at `sent`.
    ///
    /// `version` is the configuration version of the witness, `own_version` the
    /// one of this process when it sent the query. The response is no
    /// confirmation if the witness's version is later or its epoch another one.
    pub fn note_confirmation(
        &mut self,
        witness: MemberId,
        epoch: Offset,
        version: Offset,
        own_version: Offset,
        sent: Time,
    ) {
        let is_later = version > own_version;
        if epoch == self.epoch && !is_later && self.witnesses.contains(&witness) {
            let last = self.confirmations.entry(witness).or_insert(sent);
            *last = sent.max(*last);
        }
    }

    /// Returns the witnesses to query now: none if the log was read or
    /// witnesses were queried recently.
    pub fn witnesses_to_query(&mut self, now: Time) -> Vec<MemberId> {
        let log_was_read_recently = self
            .last_log_read
            .is_some_and(|read| now.since(read) < WITNESS_QUERY_AFTER_MS);
        let witnesses_were_queried_recently = self
            .last_queried
            .is_some_and(|queried| now.since(queried) < WITNESS_QUERY_INTERVAL_MS);
        if log_was_read_recently || witnesses_were_queried_recently {
            return Vec::new();
        }
        self.last_queried = Some(now);
        self.witnesses.clone()
    }

    /// Returns the time until which contact is fresh without further reads or
    /// confirmations, or `None` if there was no contact yet.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Time> {
        let majority = self.witnesses.len() / 2 + 1;
        let mut times: Vec<Time> = self.confirmations.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_time = if self.witnesses.is_empty() {
            None
        } else {
            times.get(majority - 1).copied()
        };
        self.last_log_read
            .max(quorum_time)
            .map(|time| time.plus(CONTACT_TTL_MS))
    }

    /// Returns whether contact is fresh at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        is_injected(Fault::ServeWithoutContact)
            || self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns the epoch of the roster whose witnesses are queried.
    #[must_use]
    pub const fn epoch(&self) -> Offset {
        self.epoch
    }
}
