//! The simulation of the membership test: processes and a fake network of
//! datagrams.

use {
    super::support::{Counts, Simulation},
    cicadagate_policy::{
        ids::{MemberId, Offset},
        process::membership::{
            Health, INDIRECT_PROBERS, Info, JOIN_PINGS, Membership, Message, PROBE_PERIOD_MS, Role,
        },
        time::Time,
    },
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Number of processes.
const NODES: usize = 6;
/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 25;
/// Time without faults after which all views must agree, in milliseconds.
const QUIET_MS: u64 = 60_000;
/// Maximum number of messages that a process sends in a period besides replies:
/// a probe, requests for indirect probes, and pings to join.
const MAX_MESSAGES_PER_PERIOD: usize = 1 + INDIRECT_PROBERS + JOIN_PINGS;

/// An operation or fault; a plain number is a node.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Advances time, in milliseconds.
    Advance(u16),
    /// Sets the share of datagrams that are lost, in percent.
    SetLoss(u8),
    /// Delays all datagrams in transit.
    DelayDatagrams,
    /// Duplicates all datagrams in transit.
    DuplicateDatagrams,
    /// Ends a process without notice.
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize, usize),
    HealPartitions,
    /// Ends a process that announces its departure.
    Leave(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        match u32::arbitrary(g) % 100 {
            0..=39 => Self::Advance(*g.choose(&[100, 500, 1_500, 4_000]).unwrap_or(&100)),
            40..=47 => Self::SetLoss(*g.choose(&[0, 10, 50]).unwrap_or(&0)),
            48..=53 => Self::DelayDatagrams,
            54..=59 => Self::DuplicateDatagrams,
            60..=64 => Self::Kill(node),
            65..=74 => Self::Restart(node),
            75..=79 => Self::Pause(node),
            80..=86 => Self::Resume(node),
            87..=92 => Self::Partition(node, usize::arbitrary(g) % NODES),
            93..=97 => Self::HealPartitions,
            _ => Self::Leave(node),
        }
    }
}

struct Node {
    membership: Membership,
    alive: bool,
    paused: bool,
    starts: u64,
    sent_in_period: usize,
}

struct Datagram {
    from: usize,
    to: SocketAddr,
    message: Message,
    due: Time,
}

/// Processes and datagrams in transit.
pub struct MembershipSimulation {
    now: Time,
    nodes: Vec<Node>,
    network: Vec<Datagram>,
    loss_percent: u64,
    /// Pairs of nodes that cannot reach each other, the lower index first.
    partitions: BTreeSet<(usize, usize)>,
    random_state: u64,
    /// Observers and the members that they declared dead.
    declared_dead: BTreeSet<(usize, MemberId)>,
    counts: Counts,
}

fn addr(node: usize) -> SocketAddr {
    ([10, 0, 0, 1], u16::try_from(node + 1).unwrap_or(0)).into()
}

fn node(index: usize, starts: u64) -> Node {
    let info = Info {
        id: MemberId::of(&format!("n{index}#{starts}")),
        instance: format!("n{index}"),
        data_centre: "a".to_owned(),
        role: Role::Dispatch,
        udp: addr(index),
        tcp: addr(index),
        started: starts,
        version: Offset::NONE,
        leaving: false,
    };
    let mut membership = Membership::new(info, index as u64 * 1_000 + starts);
    membership.set_candidates((0..NODES).map(addr).collect());
    Node {
        membership,
        alive: true,
        paused: false,
        starts,
        sent_in_period: 0,
    }
}

impl Simulation for MembershipSimulation {
    type Op = Op;

    fn new() -> Self {
        let mut simulation = Self {
            now: Time(1_000),
            nodes: (0..NODES).map(|index| node(index, 0)).collect(),
            network: Vec::new(),
            loss_percent: 0,
            partitions: BTreeSet::new(),
            random_state: 7,
            declared_dead: BTreeSet::new(),
            counts: Counts::new(),
        };
        simulation.advance(10_000).expect("a start without faults");
        simulation
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Advance(ms) => self.advance(u64::from(ms))?,
            Op::SetLoss(percent) => self.loss_percent = u64::from(percent),
            Op::DelayDatagrams => {
                for datagram in &mut self.network {
                    datagram.due = datagram.due.plus(700);
                }
                self.count("delayed");
            }
            Op::DuplicateDatagrams => {
                let copies: Vec<Datagram> = self
                    .network
                    .iter()
                    .map(|datagram| Datagram {
                        from: datagram.from,
                        to: datagram.to,
                        message: datagram.message.clone(),
                        due: datagram.due.plus(300),
                    })
                    .collect();
                self.network.extend(copies);
                self.count("duplicated");
            }
            Op::Kill(node) => {
                self.nodes[node].alive = false;
                self.count("killed");
            }
            Op::Restart(index) => {
                if !self.nodes[index].alive {
                    self.nodes[index] = node(index, self.nodes[index].starts + 1);
                    self.count("restarted");
                }
            }
            Op::Pause(node) => {
                self.nodes[node].paused = true;
                self.count("paused");
            }
            Op::Resume(node) => self.nodes[node].paused = false,
            Op::Partition(a, b) => {
                self.partitions.insert((a.min(b), a.max(b)));
                self.count("partitioned");
            }
            Op::HealPartitions => self.partitions.clear(),
            Op::Leave(node) => self.leave(node),
        }
        Ok(())
    }

    /// After a time without faults, each live process sees exactly the live
    /// ones.
    fn check_final_state(&mut self) -> Result<(), String> {
        self.partitions.clear();
        self.loss_percent = 0;
        for node in &mut self.nodes {
            node.paused = false;
        }
        self.advance(QUIET_MS)?;
        let live: BTreeSet<MemberId> = self
            .nodes
            .iter()
            .filter(|node| node.alive)
            .map(|n| n.membership.own_info().id)
            .collect();
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.alive) {
            let mut seen: BTreeSet<MemberId> =
                node.membership.alive().map(|info| info.id).collect();
            seen.insert(node.membership.own_info().id);
            if seen != live {
                return Err(format!(
                    "node {index} sees {seen:?}, but {live:?} are alive"
                ));
            }
        }
        Ok(())
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl MembershipSimulation {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.random_state >> 33
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn leave(&mut self, node: usize) {
        if self.is_up(node) {
            let out = self.nodes[node].membership.leave();
            self.send(node, out);
            self.nodes[node].alive = false;
            self.count("left");
        }
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Message)>) {
        for (to, message) in out {
            if self.next_random() % 100 < self.loss_percent {
                self.count("lost");
                continue;
            }
            let due = self.now.plus(STEP_MS);
            self.network.push(Datagram {
                from,
                to,
                message,
                due,
            });
        }
    }

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus(STEP_MS);
            if self.now.0.is_multiple_of(PROBE_PERIOD_MS) {
                self.nodes
                    .iter_mut()
                    .for_each(|node| node.sent_in_period = 0);
            }
            self.deliver();
            for node in 0..NODES {
                if self.is_up(node) && self.nodes[node].membership.next_tick() <= self.now {
                    let out = self.nodes[node].membership.tick(self.now);
                    self.nodes[node].sent_in_period += out.len();
                    // Two ticks of a node may fall into one period of the
                    // simulation.
                    if self.nodes[node].sent_in_period > 2 * MAX_MESSAGES_PER_PERIOD {
                        return Err(format!("node {node} sends more messages than its bound"));
                    }
                    self.send(node, out);
                }
            }
            self.count_verdicts();
        }
        Ok(())
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|datagram| datagram.due <= now);
        self.network = later;
        let due: Vec<Datagram> = due;
        for datagram in due {
            let to = usize::from(datagram.to.port()) - 1;
            let pair = (datagram.from.min(to), datagram.from.max(to));
            if !self.is_up(to) || self.partitions.contains(&pair) {
                continue;
            }
            let from = addr(datagram.from);
            let out = self.nodes[to]
                .membership
                .handle(now, from, datagram.message);
            self.send(to, out);
        }
    }

    /// Counts members declared dead and members that refuted it.
    fn count_verdicts(&mut self) {
        let mut seen = Vec::new();
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.alive) {
            for (info, health) in node.membership.members() {
                seen.push((index, info.id, health));
            }
        }
        for (index, id, health) in seen {
            if health == Health::Dead && self.declared_dead.insert((index, id)) {
                self.count("declared dead");
            }
            if health == Health::Alive && self.declared_dead.remove(&(index, id)) {
                self.count("refuted");
            }
        }
    }
}
