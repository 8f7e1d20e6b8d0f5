/*!
Group membership by the SWIM protocol, at constant cost per process.

# Problem

Each process must detect within seconds which others have failed. At the
designed size of the fleet, heartbeats from all to all would use up the whole
traffic budget.

# Choice

The SWIM protocol. Each period a process probes one member, in the order of a
shuffled round: directly at first and, if no acknowledgement arrives, through up
to [`INDIRECT_PROBERS`] others. A member that does not acknowledge the probe is
suspected, and declared dead after [`SUSPICION_TIMEOUT_MS`] unless it refutes
the suspicion with a higher incarnation. Updates are piggybacked on the probes.
Each one is repeated a number of times that grows with the logarithm of the
fleet's size.

A restarted process is another member, since it has lost its state. A process
that receives an update about the new member declares the previous one dead,
since both may have the same address. A process that stops announces that and
is remembered as left.

A new configuration version of a process is not spread as an update: 430
changes a day at 1640 processes would be eight updates a second, more than the
probes can carry. The version is carried only by the process's own messages. A
process that needs the versions of all members pings them, see
[`Membership::ping`].

# Cost

A failure is detected within one round at worst and one period on average over
the fleet, plus the suspicion time. A suspected member keeps the replicas and
shares that are placed on it until it is dead.
*/

mod message;

pub use message::{Health, Info, Message, MessageKind, Role, Update};

use {
    crate::{
        ids::{MemberId, Offset, hash64},
        time::Time,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time between two probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 500;
/// Timeout of a direct probe, in milliseconds.
pub const DIRECT_PROBE_TIMEOUT_MS: u64 = 150;
/// Time that a suspected member has to refute the suspicion, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of members that are requested to probe indirectly.
pub const INDIRECT_PROBERS: usize = 3;
/// Number of listed addresses that are pinged in a period while more than half
/// of them belong to no known live member.
pub const JOIN_PINGS: usize = 4;
/// Maximum number of updates, and of withdrawn keys, in one message, so that it
/// fits a datagram.
pub const MAX_UPDATES: usize = 8;
/// How long a member is remembered after it died or left, in milliseconds.
pub const TOMBSTONE_MS: u64 = 60_000;

/// A message to send and its destination.
pub type Outgoing = (SocketAddr, Message);

#[derive(Clone, Debug)]
struct Entry {
    update: Update,
    since: Time,
    sends_left: u32,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: MemberId,
    seq: u64,
    sent: Time,
    indirect: bool,
}

/// One process's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Update,
    own_sends_left: u32,
    members: BTreeMap<MemberId, Entry>,
    /// Members that are left to probe in the current round.
    probe_round: Vec<MemberId>,
    seed: u64,
    seq: u64,
    probe: Option<Probe>,
    next_probe: Time,
    /// Indirect probes for other members by this process's sequence number:
    /// address and sequence number of the requester, and time of the probe.
    relayed_probes: BTreeMap<u64, (SocketAddr, u64, Time)>,
    /// Hashes of withdrawn keys and how often each is still to be sent.
    withdrawn: BTreeMap<[u8; 32], u32>,
    /// Addresses from the instance list, for joining the group.
    candidates: Vec<SocketAddr>,
}

impl Membership {
    /// Creates a view that contains only this process. `seed` is a random
    /// number.
    #[must_use]
    pub fn new(info: Info, seed: u64) -> Self {
        let me = Update {
            info,
            incarnation: 1,
            health: Health::Alive,
        };
        Self {
            me,
            own_sends_left: 0,
            members: BTreeMap::new(),
            probe_round: Vec::new(),
            seed,
            seq: 0,
            probe: None,
            next_probe: Time::default(),
            relayed_probes: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns this process's description of itself.
    #[must_use]
    pub const fn own_info(&self) -> &Info {
        &self.me.info
    }

    /// Sets the addresses from the instance list.
    pub fn set_candidates(&mut self, candidates: Vec<SocketAddr>) {
        self.candidates = candidates;
    }

    /// Sets the addresses from the instance list, and returns pings to those
    /// that belong to no known live member.
    pub fn ping_candidates(&mut self, candidates: Vec<SocketAddr>) -> Vec<Outgoing> {
        self.candidates = candidates;
        self.unknown_candidates()
            .into_iter()
            .map(|to| {
                let seq = self.next_seq();
                (to, self.message(MessageKind::Ping { seq }))
            })
            .collect()
    }

    fn unknown_candidates(&self) -> Vec<SocketAddr> {
        self.candidates
            .iter()
            .filter(|addr| **addr != self.me.info.udp)
            .filter(|addr| !self.alive().any(|info| info.udp == **addr))
            .copied()
            .collect()
    }

    /// Updates this process's description of itself.
    ///
    /// Only a change of `leaving` is spread as an update; the version is
    /// carried by the process's own messages.
    pub fn set_own_state(&mut self, version: Offset, leaving: bool) {
        if self.me.info.version != version {
            self.me.info.version = version;
            self.me.incarnation += 1;
        }
        if self.me.info.leaving != leaving {
            self.me.info.leaving = leaving;
            self.spread_own_update();
        }
    }

    /// Returns pings to members, whose acknowledgements carry their current
    /// descriptions.
    pub fn ping(&mut self, members: &[MemberId]) -> Vec<Outgoing> {
        let addresses: Vec<SocketAddr> = members
            .iter()
            .filter_map(|id| self.members.get(id).map(|entry| entry.update.info.udp))
            .collect();
        addresses
            .into_iter()
            .map(|to| {
                let seq = self.next_seq();
                (to, self.message(MessageKind::Ping { seq }))
            })
            .collect()
    }

    /// Marks this process as left; returns the messages that announce it.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.me.health = Health::Left;
        self.spread_own_update();
        let seq = self.next_seq();
        let targets: Vec<SocketAddr> = self
            .alive()
            .map(|info| info.udp)
            .take(INDIRECT_PROBERS * 2)
            .collect();
        targets
            .into_iter()
            .map(|to| (to, self.message(MessageKind::Ping { seq })))
            .collect()
    }

    /// Adds the hash of a withdrawn key to those that are spread.
    pub fn gossip_withdrawn_key(&mut self, hash: [u8; 32]) {
        let sends_left = self.initial_sends();
        self.withdrawn.entry(hash).or_insert(sends_left);
    }

    /// Returns whether a key with this hash is known to be withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, hash: &[u8; 32]) -> bool {
        self.withdrawn.contains_key(hash)
    }

    /// Returns an iterator over the hashes of the known withdrawn keys.
    pub fn withdrawn_keys(&self) -> impl Iterator<Item = &[u8; 32]> {
        self.withdrawn.keys()
    }

    /// Returns an iterator over the other members that are neither dead nor
    /// left.
    pub fn alive(&self) -> impl Iterator<Item = &Info> {
        self.members
            .values()
            .filter(|entry| entry.update.health <= Health::Suspect)
            .map(|entry| &entry.update.info)
    }

    /// Returns a known member whatever its health, this process included.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<(&Info, Health)> {
        if id == self.me.info.id {
            return Some((&self.me.info, self.me.health));
        }
        self.members
            .get(&id)
            .map(|entry| (&entry.update.info, entry.update.health))
    }

    /// Returns an iterator over all other known members, whatever their health.
    pub fn members(&self) -> impl Iterator<Item = (&Info, Health)> {
        self.members
            .values()
            .map(|entry| (&entry.update.info, entry.update.health))
    }

    /// Returns the time at which [`Membership::tick`] must be called next.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        match self.probe {
            Some(probe) if !probe.indirect => self
                .next_probe
                .min(probe.sent.plus(DIRECT_PROBE_TIMEOUT_MS)),
            _ => self.next_probe,
        }
    }

    /// Handles timeouts and starts probes that are due at `now`; returns the
    /// messages to send.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.start_indirect_probe(now, &mut out);
        if now >= self.next_probe {
            self.next_probe = now.plus(PROBE_PERIOD_MS);
            self.end_probe(now);
            self.expire_members(now);
            self.start_probe(now, &mut out);
        }
        out
    }

    fn start_indirect_probe(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probe.filter(|probe| !probe.indirect) else {
            return;
        };
        if now.since(probe.sent) < DIRECT_PROBE_TIMEOUT_MS {
            return;
        }
        self.probe = Some(Probe {
            indirect: true,
            ..probe
        });
        let Some(target) = self
            .members
            .get(&probe.target)
            .map(|entry| entry.update.info.udp)
        else {
            return;
        };
        let others: Vec<SocketAddr> = self
            .alive()
            .filter(|info| info.id != probe.target)
            .map(|info| info.udp)
            .collect();
        for _ in 0..INDIRECT_PROBERS.min(others.len()) {
            let pick = usize::try_from(self.next_u64() % others.len() as u64).unwrap_or(0);
            let kind = MessageKind::PingReq {
                seq: probe.seq,
                target,
            };
            let message = self.message(kind);
            out.push((others[pick], message));
        }
    }

    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        if let Some(entry) = self.members.get(&probe.target)
            && entry.update.health == Health::Alive
        {
            let update = Update {
                health: Health::Suspect,
                ..entry.update.clone()
            };
            self.apply_update(now, update);
        }
    }

    fn expire_members(&mut self, now: Time) {
        let is_overdue = |entry: &&Entry| {
            entry.update.health == Health::Suspect && now.since(entry.since) >= SUSPICION_TIMEOUT_MS
        };
        let dead: Vec<Update> = self
            .members
            .values()
            .filter(is_overdue)
            .map(|entry| Update {
                health: Health::Dead,
                ..entry.update.clone()
            })
            .collect();
        for update in dead {
            self.apply_update(now, update);
        }
        self.members.retain(|_, entry| {
            entry.update.health <= Health::Suspect || now.since(entry.since) < TOMBSTONE_MS
        });
        self.relayed_probes
            .retain(|_, (_, _, sent)| now.since(*sent) < 4 * PROBE_PERIOD_MS);
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        self.ping_unknown_candidates(out);
        let Some(target) = self.next_target() else {
            return;
        };
        let seq = self.next_seq();
        self.probe = Some(Probe {
            target,
            seq,
            sent: now,
            indirect: false,
        });
        if let Some(entry) = self.members.get(&target) {
            let to = entry.update.info.udp;
            let message = self.message(MessageKind::Ping { seq });
            out.push((to, message));
        }
    }

    /// Pings listed addresses that belong to no known live member:
    /// [`JOIN_PINGS`] of them while these are more than half of the list,
    /// otherwise one.
    fn ping_unknown_candidates(&mut self, out: &mut Vec<Outgoing>) {
        let unknown = self.unknown_candidates();
        if unknown.is_empty() {
            return;
        }
        let count = if unknown.len() > self.candidates.len() / 2 {
            JOIN_PINGS
        } else {
            1
        };
        for _ in 0..count.min(unknown.len()) {
            let pick = usize::try_from(self.next_u64() % unknown.len() as u64).unwrap_or(0);
            let to = unknown[pick];
            let seq = self.next_seq();
            let mut message = self.message(MessageKind::Ping { seq });
            // A live member that was declared dead must receive that update
            // to refute it.
            let dead =
                |entry: &&Entry| entry.update.info.udp == to && entry.update.health == Health::Dead;
            let dead = self
                .members
                .values()
                .find(dead)
                .map(|entry| entry.update.clone());
            message.updates.extend(dead);
            out.push((to, message));
        }
    }

    fn next_target(&mut self) -> Option<MemberId> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self.alive().map(|info| info.id).collect();
                self.shuffle_probe_round();
            }
            let target = self.probe_round.pop()?;
            let health = self.members.get(&target).map(|entry| entry.update.health);
            if health.is_some_and(|health| health <= Health::Suspect) {
                return Some(target);
            }
        }
    }

    fn shuffle_probe_round(&mut self) {
        for i in (1..self.probe_round.len()).rev() {
            let j = usize::try_from(self.next_u64() % (i as u64 + 1)).unwrap_or(0);
            self.probe_round.swap(i, j);
        }
    }

    /// Handles a received message; returns the messages to send.
    pub fn handle(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Outgoing> {
        for update in message.updates.into_iter().take(2 * MAX_UPDATES) {
            self.apply_update(now, update);
        }
        for hash in message.withdrawn.into_iter().take(2 * MAX_UPDATES) {
            self.gossip_withdrawn_key(hash);
        }
        match message.kind {
            MessageKind::Ping { seq } => {
                let me = self.me.info.id;
                vec![(from, self.message(MessageKind::Ack { seq, from: me }))]
            }
            MessageKind::Ack { seq, from } => self.handle_ack(seq, from),
            MessageKind::PingReq { seq, target } => {
                let relay_seq = self.next_seq();
                self.relayed_probes.insert(relay_seq, (from, seq, now));
                vec![(target, self.message(MessageKind::Ping { seq: relay_seq }))]
            }
        }
    }

    fn handle_ack(&mut self, seq: u64, from: MemberId) -> Vec<Outgoing> {
        let is_acknowledged = |probe: Probe| probe.seq == seq && probe.target == from;
        if self.probe.is_some_and(is_acknowledged) {
            self.probe = None;
        }
        match self.relayed_probes.remove(&seq) {
            Some((requester, requester_seq, _)) => {
                vec![(
                    requester,
                    self.message(MessageKind::Ack {
                        seq: requester_seq,
                        from,
                    }),
                )]
            }
            None => Vec::new(),
        }
    }

    fn apply_update(&mut self, now: Time, update: Update) {
        if update.info.id == self.me.info.id {
            self.refute(&update);
            return;
        }
        if update.health <= Health::Suspect && self.supersede_earlier_starts(now, &update.info) {
            return;
        }
        let is_newer = match self.members.get(&update.info.id) {
            None => update.health <= Health::Suspect,
            Some(entry) => {
                let old = &entry.update;
                let is_gone = old.health >= Health::Dead;
                let is_later = (update.incarnation, update.health) > (old.incarnation, old.health);
                // The later incarnation wins, and of the same incarnation
                // the worse health. A dead member is alive again only with
                // a higher incarnation; a restarted one is another member.
                is_later && (!is_gone || update.incarnation > old.incarnation)
                    || update.health >= Health::Dead
                        && !is_gone
                        && update.incarnation >= old.incarnation
            }
        };
        if is_newer {
            let sends_left = match self.members.get(&update.info.id) {
                Some(old) if is_same_state(&old.update, &update) => old.sends_left,
                _ => self.initial_sends(),
            };
            let entry = Entry {
                since: now,
                sends_left,
                update,
            };
            self.members.insert(entry.update.info.id, entry);
        }
    }

    /// Declares members of earlier starts of the same process dead; returns
    /// whether a later start than `info` is known.
    fn supersede_earlier_starts(&mut self, now: Time, info: &Info) -> bool {
        let is_same_process = |entry: &&Entry| {
            let other = &entry.update.info;
            entry.update.health <= Health::Suspect
                && (other.role, &other.instance) == (info.role, &info.instance)
                && other.id != info.id
        };
        let others: Vec<Update> = self
            .members
            .values()
            .filter(is_same_process)
            .map(|entry| entry.update.clone())
            .collect();
        for other in &others {
            if other.info.started < info.started {
                self.apply_update(
                    now,
                    Update {
                        health: Health::Dead,
                        ..other.clone()
                    },
                );
            }
        }
        others.iter().any(|other| other.info.started > info.started)
    }

    fn refute(&mut self, update: &Update) {
        let is_wrong = update.health != self.me.health && self.me.health == Health::Alive;
        if is_wrong && update.incarnation >= self.me.incarnation {
            self.me.incarnation = update.incarnation;
            self.spread_own_update();
        }
    }

    fn spread_own_update(&mut self) {
        self.me.incarnation += 1;
        self.own_sends_left = self.initial_sends();
    }

    /// Creates a message with the own update, the updates that have the most
    /// sends left and, if there is room, the state of a random member.
    fn message(&mut self, kind: MessageKind) -> Message {
        self.own_sends_left = self.own_sends_left.saturating_sub(1);
        let mut updates = vec![self.me.clone()];
        let mut pending: Vec<&mut Entry> = self
            .members
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        pending.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in pending.into_iter().take(MAX_UPDATES - updates.len()) {
            entry.sends_left -= 1;
            updates.push(entry.update.clone());
        }
        // The state of a random member makes up for a lost update eventually.
        if updates.len() < MAX_UPDATES && !self.members.is_empty() {
            let pick = usize::try_from(self.next_u64() % self.members.len() as u64).unwrap_or(0);
            updates.extend(
                self.members
                    .values()
                    .nth(pick)
                    .map(|entry| entry.update.clone()),
            );
        }
        let withdrawn = self.pick_withdrawn();
        Message {
            kind,
            updates,
            withdrawn,
        }
    }

    fn pick_withdrawn(&mut self) -> Vec<[u8; 32]> {
        let mut picked = Vec::new();
        for (hash, sends_left) in &mut self.withdrawn {
            if *sends_left > 0 && picked.len() < MAX_UPDATES {
                *sends_left -= 1;
                picked.push(*hash);
            }
        }
        if picked.is_empty() && !self.withdrawn.is_empty() {
            let pick = usize::try_from(self.next_u64() % self.withdrawn.len() as u64).unwrap_or(0);
            picked.extend(self.withdrawn.keys().nth(pick).copied());
        }
        picked
    }

    fn initial_sends(&self) -> u32 {
        3 * (self.members.len() + 2).ilog2().max(1)
    }

    const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Returns the next value of a deterministic sequence, which depends only on the
    /// seed.
    fn next_u64(&mut self) -> u64 {
        self.seed = hash64(&[&self.seed.to_le_bytes()]);
        self.seed
    }
}

/// Returns whether `new` changes nothing that must be spread to others.
fn is_same_state(old: &Update, new: &Update) -> bool {
    old.health == new.health && old.info.leaving == new.info.leaving
}
