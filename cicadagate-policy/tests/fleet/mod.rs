//! The world of the fleet's tests.

mod contact;
mod limits;
mod node;
mod op;
mod operators;
mod oracle;
mod rosters;

pub use op::Op;

use {
    super::support::{Counts, World},
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        process::{contact::FRESH_MS, holder::Draw},
        request::limit::{Search, Step},
        time::{Time, with_drift},
        version::config::{Change, Customer, Key, Record, Roster, Seat},
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
