/*!
Membership by probing, at constant cost per process.

# Problem

Each process must know which others are alive within seconds, but at the size
designed for a heartbeat from all to all would use up the whole budget.

# Choice

The SWIM protocol. Each period a process probes one member, in a shuffled
round, directly and, if that is not answered, through [`HELPERS`] others.
Unanswered, the member is suspected, and after [`SUSPECT_MS`] dead, unless it
refutes by a higher incarnation. News travel on the probes themselves, each
repeated a number of times that grows with the logarithm of the fleet.

A restarted process is another member, since it has lost its memory; news of
it is the death of the one before, whose address it may have. A process that
stops says so and is remembered as left.

The configuration version of a process is no news: with 430 changes a day at
1640 processes it would be eight pieces a second, more than the probes can
carry. It travels only on a process's own messages; whoever wants to know it
of all asks them, see [`Membership::ask`].

# Cost

A failure is seen within one round at worst and one period on average over
the fleet, plus the suspicion time. Suspicion only slows: a suspected member
keeps its homes and shares until it is dead.
*/

mod message;

pub use message::{Health, Info, Kind, Message, Role, Update};

use {
    crate::{
        ids::{MemberId, Offset, hash64},
        time::Time,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time between two probes, in milliseconds.
pub const PERIOD_MS: u64 = 500;
/// Time that a direct probe may take, in milliseconds.
pub const DIRECT_MS: u64 = 150;
/// Time that a suspected member has to refute, in milliseconds.
pub const SUSPECT_MS: u64 = 2_000;
/// Members that are asked to probe on one's behalf.
pub const HELPERS: usize = 3;
/// Listed addresses that are pinged in a period while most are unknown.
pub const JOINS: usize = 4;
/// Most updates on one message, so that it fits a datagram.
pub const MAX_UPDATES: usize = 8;
/// How long a dead or left member is remembered, in milliseconds.
pub const FORGET_MS: u64 = 60_000;

/// A message to send.
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
    my_sends_left: u32,
    members: BTreeMap<MemberId, Entry>,
    round: Vec<MemberId>,
    seed: u64,
    seq: u64,
    probe: Option<Probe>,
    next_probe: Time,
    relayed: BTreeMap<u64, (SocketAddr, u64, Time)>,
    withdrawn: BTreeMap<[u8; 32], u32>,
    /// Addresses to join by, from the platform's list.
    candidates: Vec<SocketAddr>,
}

impl Membership {
    /// Makes a view that knows only its own process.
    #[must_use]
    pub fn new(info: Info, seed: u64) -> Self {
        let me = Update {
            info,
            incarnation: 1,
            health: Health::Alive,
        };
        Self {
            me,
            my_sends_left: 0,
            members: BTreeMap::new(),
            round: Vec::new(),
            seed,
            seq: 0,
            probe: None,
            next_probe: Time::default(),
            relayed: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns what this process tells about itself.
    #[must_use]
    pub const fn me(&self) -> &Info {
        &self.me.info
    }

    /// Takes the addresses that the platform's list names.
    pub fn set_candidates(&mut self, candidates: Vec<SocketAddr>) {
        self.candidates = candidates;
    }

    /// Takes the addresses that the platform's list names and pings those that
    /// no live member has; returns what to send.
    pub fn greet(&mut self, candidates: Vec<SocketAddr>) -> Vec<Outgoing> {
        self.candidates = candidates;
        self.unknown_candidates()
            .into_iter()
            .map(|to| {
                let seq = self.next_seq();
                (to, self.message(Kind::Ping { seq }))
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

    /// Changes what this process tells about itself.
    pub fn set_me(&mut self, version: Offset, leaving: bool) {
        if self.me.info.version != version {
            self.me.info.version = version;
            self.me.incarnation += 1;
        }
        if self.me.info.leaving != leaving {
            self.me.info.leaving = leaving;
            self.announce();
        }
    }

    /// Asks members directly what they tell about themselves.
    pub fn ask(&mut self, members: &[MemberId]) -> Vec<Outgoing> {
        let addresses: Vec<SocketAddr> = members
            .iter()
            .filter_map(|id| self.members.get(id).map(|entry| entry.update.info.udp))
            .collect();
        addresses
            .into_iter()
            .map(|to| {
                let seq = self.next_seq();
                (to, self.message(Kind::Ping { seq }))
            })
            .collect()
    }

    /// Says that this process stops; returns what to send.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.me.health = Health::Left;
        self.announce();
        let seq = self.next_seq();
        let targets: Vec<SocketAddr> = self
            .alive()
            .map(|info| info.udp)
            .take(HELPERS * 2)
            .collect();
        targets
            .into_iter()
            .map(|to| (to, self.message(Kind::Ping { seq })))
            .collect()
    }

    /// Spreads a withdrawn key's hash.
    pub fn spread_withdrawn(&mut self, hash: [u8; 32]) {
        let sends = self.sends();
        self.withdrawn.entry(hash).or_insert(sends);
    }

    /// Tells whether a key's hash is known to be withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, hash: &[u8; 32]) -> bool {
        self.withdrawn.contains_key(hash)
    }

    /// Iterates over the withdrawn keys' hashes that were heard of.
    pub fn withdrawn(&self) -> impl Iterator<Item = &[u8; 32]> {
        self.withdrawn.keys()
    }

    /// Iterates over the members that are not dead and have not left.
    pub fn alive(&self) -> impl Iterator<Item = &Info> {
        self.members
            .values()
            .filter(|entry| entry.update.health <= Health::Suspect)
            .map(|entry| &entry.update.info)
    }

    /// Finds a member, dead or alive.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<(&Info, Health)> {
        if id == self.me.info.id {
            return Some((&self.me.info, self.me.health));
        }
        self.members
            .get(&id)
            .map(|entry| (&entry.update.info, entry.update.health))
    }

    /// Iterates over all other members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = (&Info, Health)> {
        self.members
            .values()
            .map(|entry| (&entry.update.info, entry.update.health))
    }

    /// Returns the time of the next call to [`Membership::tick`].
    #[must_use]
    pub fn next_tick(&self) -> Time {
        match self.probe {
            Some(probe) if !probe.indirect => self.next_probe.min(probe.sent.plus(DIRECT_MS)),
            _ => self.next_probe,
        }
    }

    /// Lets time pass; returns what to send.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.ask_helpers(now, &mut out);
        if now >= self.next_probe {
            self.next_probe = now.plus(PERIOD_MS);
            self.end_probe(now);
            self.bury(now);
            self.start_probe(now, &mut out);
        }
        out
    }

    fn ask_helpers(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probe.filter(|probe| !probe.indirect) else {
            return;
        };
        if now.since(probe.sent) < DIRECT_MS {
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
        for _ in 0..HELPERS.min(others.len()) {
            let pick = usize::try_from(self.roll() % others.len() as u64).unwrap_or(0);
            let kind = Kind::PingReq {
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
            self.take_update(now, update);
        }
    }

    fn bury(&mut self, now: Time) {
        let overdue = |entry: &&Entry| {
            entry.update.health == Health::Suspect && now.since(entry.since) >= SUSPECT_MS
        };
        let dead: Vec<Update> = self
            .members
            .values()
            .filter(overdue)
            .map(|entry| Update {
                health: Health::Dead,
                ..entry.update.clone()
            })
            .collect();
        for update in dead {
            self.take_update(now, update);
        }
        self.members.retain(|_, entry| {
            entry.update.health <= Health::Suspect || now.since(entry.since) < FORGET_MS
        });
        self.relayed
            .retain(|_, (_, _, sent)| now.since(*sent) < 4 * PERIOD_MS);
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        self.join(out);
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
            let message = self.message(Kind::Ping { seq });
            out.push((to, message));
        }
    }

    /// Pings listed addresses that no live member has: a few while most are
    /// unknown, then one.
    fn join(&mut self, out: &mut Vec<Outgoing>) {
        let unknown = self.unknown_candidates();
        if unknown.is_empty() {
            return;
        }
        let count = if unknown.len() > self.candidates.len() / 2 {
            JOINS
        } else {
            1
        };
        for _ in 0..count.min(unknown.len()) {
            let pick = usize::try_from(self.roll() % unknown.len() as u64).unwrap_or(0);
            let to = unknown[pick];
            let seq = self.next_seq();
            let mut message = self.message(Kind::Ping { seq });
            // Whoever is taken for dead at that address must hear of it to
            // refute.
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
            if self.round.is_empty() {
                self.round = self.alive().map(|info| info.id).collect();
                self.shuffle_round();
            }
            let target = self.round.pop()?;
            let health = self.members.get(&target).map(|entry| entry.update.health);
            if health.is_some_and(|health| health <= Health::Suspect) {
                return Some(target);
            }
        }
    }

    fn shuffle_round(&mut self) {
        for i in (1..self.round.len()).rev() {
            let j = usize::try_from(self.roll() % (i as u64 + 1)).unwrap_or(0);
            self.round.swap(i, j);
        }
    }

    /// Takes a message; returns what to send.
    pub fn handle(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Outgoing> {
        for update in message.updates.into_iter().take(2 * MAX_UPDATES) {
            self.take_update(now, update);
        }
        for hash in message.withdrawn.into_iter().take(2 * MAX_UPDATES) {
            self.spread_withdrawn(hash);
        }
        match message.kind {
            Kind::Ping { seq } => {
                let me = self.me.info.id;
                vec![(from, self.message(Kind::Ack { seq, from: me }))]
            }
            Kind::Ack { seq, from } => self.handle_ack(seq, from),
            Kind::PingReq { seq, target } => {
                let own = self.next_seq();
                self.relayed.insert(own, (from, seq, now));
                vec![(target, self.message(Kind::Ping { seq: own }))]
            }
        }
    }

    fn handle_ack(&mut self, seq: u64, from: MemberId) -> Vec<Outgoing> {
        let answers = |probe: Probe| probe.seq == seq && probe.target == from;
        if self.probe.is_some_and(answers) {
            self.probe = None;
        }
        match self.relayed.remove(&seq) {
            Some((asker, theirs, _)) => {
                vec![(asker, self.message(Kind::Ack { seq: theirs, from }))]
            }
            None => Vec::new(),
        }
    }

    fn take_update(&mut self, now: Time, update: Update) {
        if update.info.id == self.me.info.id {
            self.refute(&update);
            return;
        }
        if update.health <= Health::Suspect && self.supersede(now, &update.info) {
            return;
        }
        let newer = match self.members.get(&update.info.id) {
            None => update.health <= Health::Suspect,
            Some(entry) => {
                let old = &entry.update;
                let gone = old.health >= Health::Dead;
                let order = (update.incarnation, update.health) > (old.incarnation, old.health);
                // Death outranks any incarnation; who is dead comes back as
                // another member, or by a higher incarnation of its own.
                order && (!gone || update.incarnation > old.incarnation)
                    || update.health >= Health::Dead
                        && !gone
                        && update.incarnation >= old.incarnation
            }
        };
        if newer {
            let sends_left = match self.members.get(&update.info.id) {
                Some(old) if is_same_news(&old.update, &update) => old.sends_left,
                _ => self.sends(),
            };
            let entry = Entry {
                since: now,
                sends_left,
                update,
            };
            self.members.insert(entry.update.info.id, entry);
        }
    }

    /// Declares earlier incarnations of the same process dead; returns whether
    /// `info` is itself one.
    fn supersede(&mut self, now: Time, info: &Info) -> bool {
        let same = |entry: &&Entry| {
            let other = &entry.update.info;
            entry.update.health <= Health::Suspect
                && (other.role, &other.instance) == (info.role, &info.instance)
                && other.id != info.id
        };
        let others: Vec<Update> = self
            .members
            .values()
            .filter(same)
            .map(|entry| entry.update.clone())
            .collect();
        for other in &others {
            if other.info.started < info.started {
                self.take_update(
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
        let wrong = update.health != self.me.health && self.me.health == Health::Alive;
        if wrong && update.incarnation >= self.me.incarnation {
            self.me.incarnation = update.incarnation;
            self.announce();
        }
    }

    fn announce(&mut self) {
        self.me.incarnation += 1;
        self.my_sends_left = self.sends();
    }

    /// Makes a message with the news that were sent least.
    fn message(&mut self, kind: Kind) -> Message {
        self.my_sends_left = self.my_sends_left.saturating_sub(1);
        let mut updates = vec![self.me.clone()];
        let mut fresh: Vec<&mut Entry> = self
            .members
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        fresh.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in fresh.into_iter().take(MAX_UPDATES - updates.len()) {
            entry.sends_left -= 1;
            updates.push(entry.update.clone());
        }
        // A little of everything else, so that a lost piece of news is
        // repaired in time.
        if updates.len() < MAX_UPDATES && !self.members.is_empty() {
            let pick = usize::try_from(self.roll() % self.members.len() as u64).unwrap_or(0);
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
            let pick = usize::try_from(self.roll() % self.withdrawn.len() as u64).unwrap_or(0);
            picked.extend(self.withdrawn.keys().nth(pick).copied());
        }
        picked
    }

    fn sends(&self) -> u32 {
        3 * (self.members.len() + 2).ilog2().max(1)
    }

    const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn roll(&mut self) -> u64 {
        self.seed = hash64(&[&self.seed.to_le_bytes()]);
        self.seed
    }
}

/// Tells whether two updates differ in nothing that others must hear of.
fn is_same_news(old: &Update, new: &Update) -> bool {
    old.health == new.health && old.info.leaving == new.info.leaving
}
