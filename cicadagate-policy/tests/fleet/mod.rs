//! The world of the fleet's tests.

mod node;
mod op;
mod oracle;

pub use op::Op;

use {
    super::support::{Counts, World},
    cicadagate_policy::{
        ids::{CustomerId, MemberId, Offset, RequestId},
        process::{
            contact::FRESH_MS,
            holder::{Draw, holders},
            roster::may_settle,
        },
        request::limit::{Search, Step},
        time::{Time, with_drift},
        version::config::{Change, Customer, Key, Object, ObjectKey, Record, Roster, Seat},
    },
    node::{Log, Node},
    oracle::{Reference, TrueBucket},
    std::collections::{BTreeMap, BTreeSet},
};

/// Nodes; each is dispatch and entry at once.
pub const NODES: usize = 5;
/// Customers.
pub const CUSTOMERS: usize = 5;
/// Customers whose callers always want more than their rate.
const SATURATED: [usize; 4] = [0, 2, 3, 4];
/// Longest slice of time between two rounds of those callers.
const SLICE_MS: u64 = 250;
/// The other burst of the customer whose number of holders changes.
const LARGE_BURST: u32 = 5;
/// Requests that one entry tries in a round.
const ROUND: usize = 12;
/// How long a withdrawn key may still work, by true time.
const WITHDRAWN_MS: u64 = with_drift(FRESH_MS) + 2;

/// A holder's answer on its way.
struct Grant {
    entry: usize,
    incarnation: u64,
    customer: usize,
    search: Search,
    sent: Time,
    draw: Draw,
}

/// A witness's answer on its way.
struct Confirm {
    asker: usize,
    incarnation: u64,
    witness: MemberId,
    epoch: Option<Offset>,
    version: Offset,
    mine: Offset,
    withdrawn: BTreeSet<[u8; 32]>,
    sent: Time,
}

/// A log's answer on its way.
struct SlowRead {
    node: usize,
    incarnation: u64,
    end: Offset,
    sent: Time,
}

/// What is known about a withdrawal.
#[derive(Clone, Copy, Default)]
struct Withdrawal {
    /// True time at which it was accepted in the log.
    in_log: Option<u64>,
    /// True time at which a majority of witnesses was told.
    told: Option<u64>,
    /// The log has been down for all ever since it was told.
    in_outage: bool,
}

pub struct FleetWorld {
    now_us: u64,
    nodes: Vec<Node>,
    log: Log,
    cut: BTreeSet<(usize, usize)>,
    grants: Vec<Grant>,
    confirms: Vec<Confirm>,
    reads: Vec<SlowRead>,
    buckets: Vec<TrueBucket>,
    reference: Reference,
    withdrawals: BTreeMap<usize, Withdrawal>,
    counts: Counts,
    ids: u64,
}

pub fn customer(index: usize) -> Customer {
    // A large one, one that is often idle, one whose number of holders
    // changes with its burst, one whose burst outweighs what refills in a
    // handover, and one whose burst is too small for the full reduction.
    let (rate_milli, burst) = [
        (40_000, 30),
        (10_000, 4),
        (5_000, 2),
        (1_000, 60),
        (5_000, 1),
    ][index];
    Customer {
        name: format!("c{index}"),
        rate_milli,
        burst,
    }
}

fn key(index: usize) -> Key {
    let owner = index % CUSTOMERS;
    Key {
        id: format!("k{index}"),
        customer: customer(owner).name,
        hash: [u8::try_from(index).unwrap_or(0) + 1; 32],
    }
}

impl World for FleetWorld {
    type Op = Op;

    fn new() -> Self {
        let mut world = Self {
            now_us: 1_000_000_000,
            nodes: (0..NODES).map(Node::new).collect(),
            log: Log::default(),
            cut: BTreeSet::new(),
            grants: Vec::new(),
            confirms: Vec::new(),
            reads: Vec::new(),
            buckets: Vec::new(),
            reference: Reference::default(),
            withdrawals: BTreeMap::new(),
            counts: Counts::new(),
            ids: 0,
        };
        world.buckets = (0..CUSTOMERS)
            .map(|index| {
                let mut largest = customer(index);
                largest.burst = if index == 2 {
                    LARGE_BURST
                } else {
                    largest.burst
                };
                TrueBucket::new(&largest, world.now_us)
            })
            .collect();
        for index in 0..CUSTOMERS {
            world.append(Offset::NONE, Change::PutCustomer(customer(index)));
            world.append(Offset::NONE, Change::PutKey(key(index)));
        }
        let roster = world.roster(&[0, 1, 2]);
        world.append(Offset::NONE, Change::PutRoster(roster));
        let based_on = world.log.end();
        world.append(based_on, Change::SettleRoster);
        for node in 0..NODES {
            world.read(node);
        }
        for node in 0..NODES {
            world.read(node);
        }
        // The first parts are granted only after the wait.
        world.now_us += 6_000_000;
        for node in 0..NODES {
            world.read(node);
        }
        world
    }

    fn step(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Advance(ms) => self.advance(u64::from(ms))?,
            Op::Read(node) => self.read(node),
            Op::ReadAll => (0..NODES).for_each(|node| self.read(node)),
            Op::SlowRead(node) => self.begin_slow_read(node),
            Op::Ask(node) => self.ask(node, false),
            Op::SlowAsk(node) => self.ask(node, true),
            Op::Deliver => self.deliver()?,
            Op::Serve(node, customer) => self.serve_round(node, customer, false)?,
            Op::SlowServe(node, customer) => self.serve_round(node, customer, true)?,
            Op::Propose(node, members) => self.propose(node, members),
            Op::Settle(node) => self.settle(node),
            Op::Kill(node) => self.kill(node),
            Op::Restart(node) => self.restart(node),
            Op::Pause(node) => self.pause(node),
            Op::Resume(node) => self.nodes[node].paused = false,
            Op::Cut(a, b) => self.cut(a, b),
            Op::Heal => self.cut.clear(),
            Op::CutLog(node) => self.cut_log(node),
            Op::HealLog => self.nodes.iter_mut().for_each(|node| node.log_cut = false),
            Op::LogDown => self.log_down(),
            Op::LogUp => self.log_up(),
            Op::Put {
                node,
                customer,
                large,
                repeat,
            } => self.put_customer(node, customer, large, repeat),
            Op::Withdraw(node, key) => self.withdraw(node, key),
            Op::PutKey(node, key) => self.put_key(node, key),
            Op::UseKey(node, key) => self.use_key(node, key)?,
            Op::Gossip(a, b) => self.gossip(a, b),
            Op::Snapshot(node) => self.snapshot(node),
            Op::Expire => self.expire(),
        }
        self.check_configurations()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl FleetWorld {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        a == b || !self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn reaches_log(&self, node: usize) -> bool {
        self.is_up(node) && !self.log.down && !self.nodes[node].log_cut
    }

    fn clock(&self, node: usize) -> Time {
        self.nodes[node].clock(self.now_us)
    }

    fn roster(&self, members: &[usize]) -> Roster {
        let seats: Vec<Seat> = members
            .iter()
            .map(|index| self.nodes[*index].seat())
            .collect();
        Roster {
            members: seats.clone(),
            witnesses: seats,
        }
    }

    // Time

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        let mut left = ms;
        while left > 0 {
            let slice = left.min(SLICE_MS);
            self.now_us += slice * 1000;
            left -= slice;
            for node in 0..NODES {
                for customer in SATURATED {
                    self.serve_round(node, customer, false)?;
                }
            }
        }
        Ok(())
    }

    // The log

    fn append(&mut self, based_on: Offset, change: Change) -> Offset {
        self.ids += 1;
        let id = RequestId::of(&format!("op {}", self.ids));
        self.append_record(Record {
            id,
            based_on,
            change,
        })
    }

    fn append_record(&mut self, record: Record) -> Offset {
        let offset = self.log.end().next();
        let accepted = self.reference.fold(offset, &record);
        if accepted && let Change::WithdrawKey(id) = &record.change {
            let key = id[1..].parse().unwrap_or(0);
            self.withdrawals.entry(key).or_default().in_log = Some(self.now_us);
        }
        self.log.append(record);
        offset
    }

    fn read(&mut self, node: usize) {
        if !self.reaches_log(node) {
            return;
        }
        let (sent, end) = (self.clock(node), self.log.end());
        if self.nodes[node].read_until(&self.log, end, sent, sent) {
            self.count("snapshot adopted");
        }
        self.learn_witnessed(node);
    }

    fn begin_slow_read(&mut self, node: usize) {
        if self.reaches_log(node) {
            let (sent, end) = (self.clock(node), self.log.end());
            let incarnation = self.nodes[node].incarnation;
            self.reads.push(SlowRead {
                node,
                incarnation,
                end,
                sent,
            });
        }
    }

    fn log_down(&mut self) {
        self.log.down = true;
        self.count("log down");
    }

    fn log_up(&mut self) {
        self.log.down = false;
        for withdrawal in self.withdrawals.values_mut() {
            withdrawal.in_outage = false;
        }
    }

    fn cut_log(&mut self, node: usize) {
        self.nodes[node].log_cut = true;
        self.count("log cut");
    }

    fn snapshot(&mut self, node: usize) {
        if self.reaches_log(node) && self.nodes[node].folded.is_some() {
            let state = Box::new(self.nodes[node].state.clone());
            self.append(Offset::NONE, Change::Snapshot(state));
        }
    }

    fn expire(&mut self) {
        if self.log.expire() {
            self.count("expired");
        }
    }

    // Contact

    fn ask(&mut self, node: usize, is_slow: bool) {
        if !self.is_up(node) {
            return;
        }
        let now = self.clock(node);
        let witnesses = self.nodes[node].contact.to_ask(now);
        for witness in witnesses {
            let Some(other) = self.nodes.iter().position(|other| other.id == witness) else {
                continue;
            };
            if !self.is_up(other) || !self.reaches(node, other) {
                continue;
            }
            let withdrawn = self.nodes[node].withdrawn.clone();
            self.nodes[other].withdrawn.extend(withdrawn);
            let confirm = Confirm {
                asker: node,
                incarnation: self.nodes[node].incarnation,
                witness,
                epoch: self.nodes[other].confirms(),
                version: self.nodes[other].state.version(),
                mine: self.nodes[node].state.version(),
                withdrawn: self.nodes[other].withdrawn.clone(),
                sent: now,
            };
            if is_slow {
                self.confirms.push(confirm);
            } else {
                self.take_confirm(confirm);
            }
        }
    }

    fn take_confirm(&mut self, confirm: Confirm) {
        let node = &mut self.nodes[confirm.asker];
        if node.incarnation != confirm.incarnation || !node.alive || node.paused {
            return;
        }
        node.withdrawn.extend(confirm.withdrawn);
        if let Some(epoch) = confirm.epoch {
            let (version, mine) = (confirm.version, confirm.mine);
            node.contact
                .confirmed(confirm.witness, epoch, version, mine, confirm.sent);
        }
        let asker = confirm.asker;
        if confirm.version > self.nodes[asker].state.version() {
            self.fetch_config(asker, confirm.witness);
        }
    }

    fn fetch_config(&mut self, node: usize, witness: MemberId) {
        let other = self.nodes.iter().position(|other| other.id == witness);
        let Some(other) = other.filter(|other| self.is_up(*other) && self.reaches(node, *other))
        else {
            return;
        };
        let state = self.nodes[other].state.clone();
        let now = self.clock(node);
        self.nodes[node].adopt(now, state);
        self.count("configuration from witness");
    }

    /// Has a node learn how much its roster's witnesses have read.
    fn learn_witnessed(&mut self, node: usize) {
        if !self.is_up(node) {
            return;
        }
        let Some((epoch, state)) = self.nodes[node].state.epoch() else {
            return;
        };
        let witnesses = state.roster.witnesses.clone();
        let mut versions: Vec<Offset> = witnesses
            .iter()
            .filter_map(|seat| self.nodes.iter().position(|other| other.id == seat.member))
            .filter(|other| self.is_up(*other) && self.reaches(node, *other))
            .map(|other| self.nodes[other].state.version())
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(version) = versions.get(witnesses.len() / 2) {
            let now = self.clock(node);
            self.nodes[node].witnessed(now, epoch, *version);
        }
    }

    fn gossip(&mut self, a: usize, b: usize) {
        if self.is_up(a) && self.is_up(b) && self.reaches(a, b) {
            let union: BTreeSet<[u8; 32]> = self.nodes[a]
                .withdrawn
                .union(&self.nodes[b].withdrawn)
                .copied()
                .collect();
            self.nodes[a].withdrawn.clone_from(&union);
            self.nodes[b].withdrawn = union;
        }
    }

    // Deliveries of what was on its way

    fn deliver(&mut self) -> Result<(), String> {
        for read in std::mem::take(&mut self.reads) {
            let now = self.clock(read.node);
            let node = &mut self.nodes[read.node];
            if node.incarnation == read.incarnation && node.alive && !node.paused {
                node.read_until(&self.log, read.end, read.sent, now);
                self.count("slow read");
            }
        }
        for confirm in std::mem::take(&mut self.confirms) {
            self.take_confirm(confirm);
        }
        for grant in std::mem::take(&mut self.grants) {
            self.take_grant(grant)?;
        }
        Ok(())
    }

    fn take_grant(&mut self, mut grant: Grant) -> Result<(), String> {
        let entry = grant.entry;
        if self.nodes[entry].incarnation != grant.incarnation || !self.is_up(entry) {
            return Ok(());
        }
        let now = self.clock(entry);
        let limiter = &mut self.nodes[entry].limiter;
        limiter.answered(now, &mut grant.search, grant.sent, Some(grant.draw));
        // What was granted is used as far as it may be.
        while let Step::Admit = self.nodes[entry].limiter.step(now, &grant.search) {
            self.admit(grant.customer)?;
        }
        self.count("late grant");
        Ok(())
    }

    // Rate and burst

    fn serve_round(&mut self, node: usize, customer: usize, is_slow: bool) -> Result<(), String> {
        for _ in 0..ROUND {
            let admitted = self.serve(node, customer, is_slow)?;
            if !admitted && !is_slow {
                break;
            }
        }
        Ok(())
    }

    /// Has an entry admit one request; returns whether it was admitted.
    fn serve(&mut self, entry: usize, index: usize, is_slow: bool) -> Result<bool, String> {
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
        if !self.nodes[entry].contact_is_by_log(now) {
            self.count("served by witnesses");
        }
        let id = CustomerId::of(&known.name);
        let holders = holders(&known, &epoch.roster);
        let mut search = self.nodes[entry].limiter.begin(id, holders);
        loop {
            match self.nodes[entry].limiter.step(now, &search) {
                Step::Admit => {
                    self.admit(index)?;
                    return Ok(true);
                }
                Step::Refuse { .. } => {
                    self.count("refused");
                    return Ok(false);
                }
                Step::Ask(holder, want) => {
                    let draw = self.draw(entry, holder, id, want);
                    if is_slow && let Some(draw @ Draw::Granted(_)) = draw {
                        let incarnation = self.nodes[entry].incarnation;
                        let grant = Grant {
                            entry,
                            incarnation,
                            customer: index,
                            search,
                            sent: now,
                            draw,
                        };
                        self.grants.push(grant);
                        return Ok(false);
                    }
                    self.nodes[entry]
                        .limiter
                        .answered(now, &mut search, now, draw);
                }
            }
        }
    }

    fn draw(&mut self, entry: usize, holder: MemberId, id: CustomerId, want: u32) -> Option<Draw> {
        let index = self.nodes.iter().position(|node| node.id == holder)?;
        if !self.is_up(index) || !self.reaches(entry, index) {
            return None;
        }
        let now = self.clock(index);
        let draw = self.nodes[index].draw(now, id, want);
        let moved = index > 2 || self.nodes[index].incarnation > 0;
        if moved && matches!(draw, Draw::Granted(_)) {
            self.count("drew after handover");
        }
        Some(draw)
    }

    fn admit(&mut self, index: usize) -> Result<(), String> {
        self.count("admitted");
        if self.buckets[index].take(self.now_us) {
            return Ok(());
        }
        Err(format!("customer {index} got more than its rate and burst"))
    }

    // Rosters

    fn propose(&mut self, node: usize, members: u8) {
        if !self.reaches_log(node) || self.nodes[node].folded.is_none() {
            return;
        }
        let chosen: Vec<usize> = (0..NODES)
            .filter(|index| members & (1 << index) != 0 && self.nodes[*index].alive)
            .collect();
        if chosen.is_empty() {
            return;
        }
        let based_on = self.nodes[node].state.object_version(&ObjectKey::Roster);
        let stale = based_on != self.reference.version(&ObjectKey::Roster);
        let roster = self.roster(&chosen);
        self.append(based_on, Change::PutRoster(roster));
        if stale {
            self.count("stale proposal rejected");
        }
    }

    fn settle(&mut self, node: usize) {
        if !self.reaches_log(node) || self.nodes[node].folded.is_none() {
            return;
        }
        let Some((version, epoch)) = self.nodes[node].state.epoch() else {
            return;
        };
        let epoch = epoch.clone();
        if epoch.settled.is_some() {
            return;
        }
        let unable: BTreeSet<MemberId> = epoch
            .previous
            .iter()
            .filter(|seat| self.is_unable(node, seat, version))
            .map(|seat| seat.member)
            .collect();
        if may_settle(&epoch, &unable) {
            let id = RequestId::of(&format!("settle {version}"));
            self.append_record(Record {
                id,
                based_on: version,
                change: Change::SettleRoster,
            });
            self.count("roster settled");
        }
    }

    /// The witness has read the roster, or a later incarnation has replaced it.
    fn is_unable(&self, asker: usize, seat: &Seat, version: Offset) -> bool {
        let Some(other) = self
            .nodes
            .iter()
            .position(|node| node.seat().process == seat.process)
        else {
            return false;
        };
        let node = &self.nodes[other];
        if !self.is_up(other) || !self.reaches(asker, other) {
            return false;
        }
        node.id != seat.member || node.confirms().is_some_and(|epoch| epoch >= version)
    }

    // Faults of nodes

    fn kill(&mut self, node: usize) {
        if self.nodes[node].alive {
            self.nodes[node].alive = false;
            self.count("killed");
        }
    }

    fn restart(&mut self, node: usize) {
        if !self.nodes[node].alive {
            self.nodes[node].restart();
            self.count("restarted");
        }
    }

    fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.count("paused");
    }

    fn cut(&mut self, a: usize, b: usize) {
        if a != b {
            self.cut.insert((a.min(b), a.max(b)));
            self.count("cut");
        }
    }

    // Operators

    fn put_customer(&mut self, node: usize, index: usize, large: bool, repeat: bool) {
        if !self.reaches_log(node) {
            return;
        }
        let object = ObjectKey::Customer(customer(index).name);
        let based_on = self.nodes[node].state.object_version(&object);
        let mut customer = customer(index);
        if index == 2 && large {
            // Few holders become many and the other way round.
            customer.burst = LARGE_BURST;
            self.count("holders changed");
        }
        let change = Change::PutCustomer(customer);
        self.ids += 1;
        let id = RequestId::of(&format!("op {}", self.ids));
        let record = Record {
            id,
            based_on,
            change,
        };
        self.append_record(record.clone());
        if repeat {
            // The answer was lost and a careless operator sends it again,
            // based on what is in force by now.
            let based_on = self.reference.version(&object);
            self.append_record(Record { based_on, ..record });
            self.count("repeated id");
        }
    }

    fn put_key(&mut self, node: usize, index: usize) {
        if self.reaches_log(node) {
            let based_on = self.nodes[node]
                .state
                .object_version(&ObjectKey::Key(key(index).id));
            self.append(based_on, Change::PutKey(key(index)));
        }
    }

    fn withdraw(&mut self, node: usize, index: usize) {
        if !self.is_up(node) {
            return;
        }
        let object = ObjectKey::Key(key(index).id);
        let known = self.nodes[node].state.objects().any(|(other, versioned)| {
            *other == object && matches!(versioned.value, Object::Key(_))
        });
        if !known {
            return;
        }
        self.nodes[node].withdrawn.insert(key(index).hash);
        if self.reaches_log(node) {
            let based_on = self.nodes[node].state.object_version(&object);
            self.append(based_on, Change::WithdrawKey(key(index).id));
            self.count("key withdrawn");
        }
        self.tell_witnesses(node, index);
    }

    fn tell_witnesses(&mut self, node: usize, index: usize) {
        let Some((_, epoch)) = self.nodes[node].state.epoch() else {
            return;
        };
        // Witnesses of a roster that is not in force any more count for
        // nothing: processes ask those of their own.
        let current = self.reference.version(&ObjectKey::Roster);
        if self.nodes[node].state.object_version(&ObjectKey::Roster) != current {
            return;
        }
        let witnesses = epoch.roster.witnesses.clone();
        let mut told = 0;
        for seat in &witnesses {
            let other = self.nodes.iter().position(|other| other.id == seat.member);
            let Some(other) = other.filter(|o| self.is_up(*o) && self.reaches(node, *o)) else {
                continue;
            };
            self.nodes[other].withdrawn.insert(key(index).hash);
            told += 1;
        }
        if told > witnesses.len() / 2 {
            let is_down = self.log.down;
            let now_us = self.now_us;
            let withdrawal = self.withdrawals.entry(index).or_default();
            withdrawal.told.get_or_insert(now_us);
            withdrawal.in_outage = is_down;
            if is_down {
                self.count("withdrawn in outage");
            }
        }
    }

    fn use_key(&mut self, node: usize, index: usize) -> Result<(), String> {
        if !self.is_up(node) {
            return Ok(());
        }
        let now = self.clock(node);
        let state = &self.nodes[node];
        let served = state.contact.is_fresh(now)
            && !state.withdrawn.contains(&key(index).hash)
            && state.state.customer_of_key(&key(index).hash).is_some();
        let Some(withdrawal) = self.withdrawals.get(&index).filter(|_| served) else {
            return Ok(());
        };
        // With the log at hand the withdrawal is in force once it is in the
        // log and witnesses know it; in an outage once witnesses know it.
        let since = match (withdrawal.in_log, withdrawal.told) {
            (Some(in_log), Some(told)) => Some(in_log.max(told)),
            (None, Some(told)) if withdrawal.in_outage && self.log.down => Some(told),
            _ => None,
        };
        let late = since.is_some_and(|since| self.now_us > since + WITHDRAWN_MS * 1000);
        if late && self.roster_is_common() {
            return Err(format!("key {index} works long after it was withdrawn"));
        }
        Ok(())
    }

    /// Every node knows the roster in force. Otherwise a node may ask the
    /// witnesses of another one; then only the log tells it.
    fn roster_is_common(&self) -> bool {
        let current = self.reference.version(&ObjectKey::Roster);
        let epoch = |node: &Node| node.state.object_version(&ObjectKey::Roster);
        self.nodes
            .iter()
            .all(|node| !node.alive || epoch(node) == current)
    }

    // Configurations

    fn check_configurations(&mut self) -> Result<(), String> {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.alive {
                continue;
            }
            if node.state.version() < node.highest {
                return Err(format!(
                    "node {index} went back from version {}",
                    node.highest
                ));
            }
            node.highest = node.state.version();
            self.reference
                .compare(&node.state)
                .map_err(|err| format!("node {index}: {err}"))?;
        }
        Ok(())
    }
}
