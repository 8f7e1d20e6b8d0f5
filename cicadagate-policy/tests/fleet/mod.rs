//! The simulation of the fleet tests: nodes, a fake log, a fake network and the
//! oracle.

mod contact;
mod limits;
mod node;
mod op;
mod operators;
mod oracle;
mod rosters;

pub use op::Op;

use {
    super::support::{Counts, Simulation},
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        process::{contact::CONTACT_TTL_MS, share_holder::GrantOutcome},
        request::token_grants::{AdmissionStep, TokenRequest},
        time::{Time, with_clock_drift},
        version::config::{Change, Customer, Key, Record, Roster, RosterMember},
    },
    node::{Log, Node},
    oracle::{ReferenceBucket, ReferenceConfig},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of nodes; each is both a dispatch and an entry process.
pub const NODES: usize = 5;
/// Number of customers.
pub const CUSTOMERS: usize = 5;
/// Customers that always send more than their rate.
const SATURATED: [usize; 4] = [0, 2, 3, 4];
/// Maximum time between two rounds of requests of the saturated customers, in
/// milliseconds.
const MAX_SLICE_MS: u64 = 250;
/// The larger burst of the customer whose number of holders changes, in
/// requests.
const LARGE_BURST: u32 = 5;
/// Maximum number of requests that one entry tries to admit in a round.
const MAX_REQUESTS_PER_ROUND: usize = 12;
/// How long a withdrawn key may still be accepted, in milliseconds of true
/// time.
const MAX_USE_AFTER_WITHDRAWAL_MS: u64 = with_clock_drift(CONTACT_TTL_MS) + 2;

/// A holder's reply in transit.
struct PendingGrant {
    entry: usize,
    incarnation: u64,
    customer: usize,
    token_request: TokenRequest,
    sent: Time,
    outcome: GrantOutcome,
}

/// A witness's reply in transit.
struct Confirmation {
    requester: usize,
    incarnation: u64,
    witness: MemberId,
    epoch: Option<Offset>,
    version: Offset,
    requester_version: Offset,
    withdrawn: BTreeSet<[u8; 32]>,
    sent: Time,
}

/// The log's reply to a read, in transit.
struct PendingRead {
    node: usize,
    incarnation: u64,
    end: Offset,
    sent: Time,
}

/// How far the withdrawal of a key got.
#[derive(Clone, Copy, Default)]
struct Withdrawal {
    /// True time at which the log accepted it.
    in_log: Option<u64>,
    /// True time at which a majority of witnesses was notified.
    at_witnesses: Option<u64>,
    /// The log has been down since the last such notification.
    in_outage: bool,
}

/// Nodes, the log, replies in transit and the oracle.
pub struct FleetSimulation {
    now_us: u64,
    nodes: Vec<Node>,
    log: Log,
    /// Pairs of nodes that cannot reach each other, the lower index first.
    partitions: BTreeSet<(usize, usize)>,
    pending_grants: Vec<PendingGrant>,
    pending_confirmations: Vec<Confirmation>,
    pending_reads: Vec<PendingRead>,
    buckets: Vec<ReferenceBucket>,
    reference: ReferenceConfig,
    withdrawals: BTreeMap<usize, Withdrawal>,
    counts: Counts,
    last_id: u64,
}

pub fn customer(index: usize) -> Customer {
    // In order: a high rate; often idle; a number of holders that changes
    // with the burst; a burst larger than what refills during a handover; a
    // burst too small for the full deduction from the shares' capacity.
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

impl Simulation for FleetSimulation {
    type Op = Op;

    fn new() -> Self {
        let mut simulation = Self {
            now_us: 1_000_000_000,
            nodes: (0..NODES).map(Node::new).collect(),
            log: Log::default(),
            partitions: BTreeSet::new(),
            pending_grants: Vec::new(),
            pending_confirmations: Vec::new(),
            pending_reads: Vec::new(),
            buckets: Vec::new(),
            reference: ReferenceConfig::default(),
            withdrawals: BTreeMap::new(),
            counts: Counts::new(),
            last_id: 0,
        };
        simulation.buckets = (0..CUSTOMERS)
            .map(|index| {
                let mut largest = customer(index);
                largest.burst = if index == 2 {
                    LARGE_BURST
                } else {
                    largest.burst
                };
                ReferenceBucket::new(&largest, simulation.now_us)
            })
            .collect();
        for index in 0..CUSTOMERS {
            simulation.append(Offset::NONE, Change::PutCustomer(customer(index)));
            simulation.append(Offset::NONE, Change::PutKey(key(index)));
        }
        let roster = simulation.roster(&[0, 1, 2]);
        simulation.append(Offset::NONE, Change::PutRoster(roster));
        let based_on = simulation.log.end();
        simulation.append(based_on, Change::SettleRoster);
        for node in 0..NODES {
            simulation.read_log(node);
        }
        for node in 0..NODES {
            simulation.read_log(node);
        }
        // Holders grant from their first shares only after the handover wait.
        simulation.now_us += 6_000_000;
        for node in 0..NODES {
            simulation.read_log(node);
        }
        simulation
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Advance(ms) => self.advance(u64::from(ms))?,
            Op::ReadLog(node) => self.read_log(node),
            Op::ReadLogOnAll => (0..NODES).for_each(|node| self.read_log(node)),
            Op::ReadLogSlowly(node) => self.start_slow_read(node),
            Op::QueryWitnesses(node) => self.query_witnesses(node, false),
            Op::QueryWitnessesSlowly(node) => self.query_witnesses(node, true),
            Op::DeliverPending => self.deliver_pending()?,
            Op::Serve(node, customer) => self.serve_round(node, customer, false)?,
            Op::ServeWithDelayedGrants(node, customer) => self.serve_round(node, customer, true)?,
            Op::ProposeRoster(node, members) => self.propose_roster(node, members),
            Op::SettleRoster(node) => self.settle_roster(node),
            Op::Kill(node) => self.kill(node),
            Op::Restart(node) => self.restart(node),
            Op::Pause(node) => self.pause(node),
            Op::Resume(node) => self.nodes[node].paused = false,
            Op::Partition(a, b) => self.partition(a, b),
            Op::HealPartitions => self.partitions.clear(),
            Op::PartitionFromLog(node) => self.partition_from_log(node),
            Op::HealLogPartitions => self
                .nodes
                .iter_mut()
                .for_each(|node| node.log_partitioned = false),
            Op::LogDown => self.log_down(),
            Op::LogUp => self.log_up(),
            Op::PutCustomer {
                node,
                customer,
                large,
                repeat,
            } => self.put_customer(node, customer, large, repeat),
            Op::WithdrawKey(node, key) => self.withdraw_key(node, key),
            Op::PutKey(node, key) => self.put_key(node, key),
            Op::UseKey(node, key) => self.use_key(node, key)?,
            Op::Gossip(a, b) => self.gossip(a, b),
            Op::AppendSnapshot(node) => self.append_snapshot(node),
            Op::ExpireLog => self.expire_log(),
        }
        self.check_configurations()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl FleetSimulation {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        a == b || !self.partitions.contains(&(a.min(b), a.max(b)))
    }

    fn can_reach_log(&self, node: usize) -> bool {
        self.is_up(node) && !self.log.down && !self.nodes[node].log_partitioned
    }

    fn clock(&self, node: usize) -> Time {
        self.nodes[node].clock(self.now_us)
    }

    fn roster(&self, members: &[usize]) -> Roster {
        let roster_members: Vec<RosterMember> = members
            .iter()
            .map(|index| self.nodes[*index].roster_member())
            .collect();
        Roster {
            members: roster_members.clone(),
            witnesses: roster_members,
        }
    }

    // Time

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        let mut left = ms;
        while left > 0 {
            let slice = left.min(MAX_SLICE_MS);
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
        self.last_id += 1;
        let id = RequestId::of(&format!("op {}", self.last_id));
        self.append_record(Record {
            id,
            based_on,
            change,
        })
    }

    fn append_record(&mut self, record: Record) -> Offset {
        let offset = self.log.end().next();
        let accepted = self.reference.apply(offset, &record);
        if accepted && let Change::WithdrawKey(id) = &record.change {
            let key = id[1..].parse().unwrap_or(0);
            self.withdrawals.entry(key).or_default().in_log = Some(self.now_us);
        }
        self.log.append(record);
        offset
    }

    fn read_log(&mut self, node: usize) {
        if !self.can_reach_log(node) {
            return;
        }
        let (sent, end) = (self.clock(node), self.log.end());
        if self.nodes[node].read_until(&self.log, end, sent, sent) {
            self.count("snapshot adopted");
        }
        self.learn_majority_version(node);
    }

    fn start_slow_read(&mut self, node: usize) {
        if self.can_reach_log(node) {
            let (sent, end) = (self.clock(node), self.log.end());
            let incarnation = self.nodes[node].incarnation;
            self.pending_reads.push(PendingRead {
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

    fn partition_from_log(&mut self, node: usize) {
        self.nodes[node].log_partitioned = true;
        self.count("log partitioned");
    }

    fn append_snapshot(&mut self, node: usize) {
        if self.can_reach_log(node) && self.nodes[node].caught_up.is_some() {
            let state = Box::new(self.nodes[node].state.clone());
            self.append(Offset::NONE, Change::Snapshot(state));
        }
    }

    fn expire_log(&mut self) {
        if self.log.expire() {
            self.count("log expired");
        }
    }

    // Delivery of delayed replies

    fn deliver_pending(&mut self) -> Result<(), String> {
        for read in std::mem::take(&mut self.pending_reads) {
            let now = self.clock(read.node);
            let node = &mut self.nodes[read.node];
            if node.incarnation == read.incarnation && node.alive && !node.paused {
                node.read_until(&self.log, read.end, read.sent, now);
                self.count("delayed read");
            }
        }
        for confirm in std::mem::take(&mut self.pending_confirmations) {
            self.handle_confirmation(confirm);
        }
        for grant in std::mem::take(&mut self.pending_grants) {
            self.handle_grant(grant)?;
        }
        Ok(())
    }

    fn handle_grant(&mut self, mut grant: PendingGrant) -> Result<(), String> {
        let entry = grant.entry;
        if self.nodes[entry].incarnation != grant.incarnation || !self.is_up(entry) {
            return Ok(());
        }
        let now = self.clock(entry);
        let grant_cache = &mut self.nodes[entry].grant_cache;
        grant_cache.note_reply(
            now,
            &mut grant.token_request,
            grant.sent,
            Some(grant.outcome),
        );
        // Uses as much of the grant as the grant cache allows.
        while let AdmissionStep::Admit = self.nodes[entry]
            .grant_cache
            .step(now, &grant.token_request)
        {
            self.admit(grant.customer)?;
        }
        self.count("delayed grant");
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

    fn partition(&mut self, a: usize, b: usize) {
        if a != b {
            self.partitions.insert((a.min(b), a.max(b)));
            self.count("partitioned");
        }
    }

    // Configurations

    fn check_configurations(&mut self) -> Result<(), String> {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.alive {
                continue;
            }
            if node.state.version() < node.highest_version {
                return Err(format!(
                    "node {index} went back from configuration version {}",
                    node.highest_version
                ));
            }
            node.highest_version = node.state.version();
            self.reference
                .compare(&node.state)
                .map_err(|err| format!("node {index}: {err}"))?;
        }
        Ok(())
    }
}
