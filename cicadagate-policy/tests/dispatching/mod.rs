//! A fleet of gateways that send requests to replicas, without a network.
//!
//! Gateways, owners and replicas run on one simulated clock. Messages take
//! [`HOP_MS`]; reports go round every period. The deciding code is the
//! product's: choice of a replica, slots of its owner, load reports.

use {
    cicadagate_policy::{
        ids::{EndpointId, MemberId, hash64},
        process::{
            replicas::{Outlook, Registration, ReplicaSet},
            reports::{InFlight, Report, ReportTable, freshness, period_ms},
            slot_ledger::{Purpose, SlotLedger, owner},
        },
        time::Time,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

/// Time of a message between two gateways, in milliseconds.
const HOP_MS: u64 = 1;
/// Slots of a replica.
const SLOTS: u32 = 8;
/// Owners that a gateway asks before a request joins a queue.
const MAX_ASKS: usize = 6;
/// Time that an idle connection to a replica is kept, in milliseconds.
const IDLE_MS: u64 = 4_000;
/// Time that an online request holds its slot, in milliseconds: mean and spread.
const HOLD_MS: (u64, u64) = (750, 250);

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub gateways: usize,
    pub replicas: usize,
    /// Items of batch jobs that run when the load begins.
    pub items: usize,
    /// Online requests a second in a valley and in a peak.
    pub per_s: (u64, u64),
    /// Length of a valley and of a peak, in milliseconds.
    pub wave_ms: (u64, u64),
    pub length_ms: u64,
    /// Replicas with an idle connection are told to the choice.
    pub prefers_connected: bool,
    pub seed: u64,
}

/// What became of the online requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from arrival to the start at a replica, in milliseconds, sorted.
    pub waits_ms: Vec<u64>,
    /// Most online requests at a replica beyond its slots.
    pub most_over: u32,
    /// Batch items that were paused.
    pub paused: usize,
    /// Connections to replicas that were opened for online requests.
    pub opened: usize,
}

impl Outcome {
    /// Returns the wait that so many of a thousand requests do not exceed.
    pub fn wait_ms(&self, per_mille: usize) -> u64 {
        let last = self.waits_ms.len().saturating_sub(1);
        let at = last * per_mille / 1_000;
        self.waits_ms.get(at).copied().unwrap_or_default()
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Report {
        gateway: usize,
    },
    Reported {
        gateway: usize,
        report: Report,
    },
    Asked {
        call: usize,
        own: InFlight,
    },
    Answered {
        call: usize,
        is_granted: bool,
        load: u32,
    },
    Told {
        gateway: usize,
        replica: usize,
        own: InFlight,
    },
    Yield {
        gateway: usize,
        replica: usize,
    },
    Ended {
        call: usize,
    },
}

struct Gateway {
    replicas: ReplicaSet,
    reports: ReportTable,
    ledger: SlotLedger,
    seq: u64,
    in_flight: HashMap<usize, InFlight>,
    /// Idle connections by replica, with the time until which they are kept.
    idle: HashMap<usize, Vec<u64>>,
}

impl Gateway {
    fn has_idle(&self, now: u64, replica: usize) -> bool {
        let idle = self.idle.get(&replica);
        idle.is_some_and(|idle| idle.iter().any(|until| now < *until))
    }
}

struct Call {
    gateway: usize,
    arrived: u64,
    replica: usize,
    passed_over: Vec<EndpointId>,
    least: Option<(u32, usize)>,
}

#[derive(Default)]
struct Replica {
    running: u32,
    batch: u32,
    queue: VecDeque<usize>,
}

/// The fleet while it runs.
pub struct Fleet {
    shape: Shape,
    now: u64,
    rolls: u64,
    seq: u64,
    events: BinaryHeap<(Reverse<(u64, u64)>, usize)>,
    bodies: Vec<Option<Event>>,
    gateways: Vec<Gateway>,
    replicas: Vec<Replica>,
    endpoints: Vec<EndpointId>,
    replica_of: HashMap<EndpointId, usize>,
    gateway_of: HashMap<MemberId, usize>,
    /// Gateway that owns each replica.
    owners: Vec<usize>,
    calls: Vec<Call>,
    outcome: Outcome,
}

fn member(gateway: usize) -> MemberId {
    MemberId::of(&format!("gateway {gateway}"))
}

fn registration(replica: usize) -> Registration {
    Registration {
        id: format!("replica {replica}"),
        service: "llm".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_draining: false,
        born_ms: 1,
    }
}

/// Runs a fleet under its load.
pub fn run(shape: Shape) -> Outcome {
    let mut fleet = Fleet::new(shape);
    while let Some((Reverse((at, _)), body)) = fleet.events.pop() {
        if at > shape.length_ms {
            break;
        }
        fleet.now = at;
        if let Some(event) = fleet.bodies[body].take() {
            fleet.take(event);
        }
    }
    fleet.outcome.waits_ms.sort_unstable();
    fleet.outcome
}

impl Fleet {
    fn new(shape: Shape) -> Self {
        let mut set = ReplicaSet::default();
        for replica in 0..shape.replicas {
            set.register(registration(replica));
        }
        let gateway = || Gateway {
            replicas: set.clone(),
            reports: ReportTable::default(),
            ledger: SlotLedger::default(),
            seq: 0,
            in_flight: HashMap::new(),
            idle: HashMap::new(),
        };
        let endpoints: Vec<EndpointId> = (0..shape.replicas)
            .map(|replica| EndpointId::of(&registration(replica).id))
            .collect();
        let members: Vec<MemberId> = (0..shape.gateways).map(member).collect();
        let gateway_of: HashMap<MemberId, usize> = members.iter().copied().zip(0..).collect();
        let owners = endpoints
            .iter()
            .filter_map(|endpoint| owner(endpoint.raw(), members.iter().copied()))
            .map(|owner| gateway_of[&owner]);
        let mut fleet = Self {
            shape,
            now: 0,
            rolls: shape.seed,
            seq: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            gateways: (0..shape.gateways).map(|_| gateway()).collect(),
            replicas: (0..shape.replicas).map(|_| Replica::default()).collect(),
            owners: owners.collect(),
            replica_of: endpoints.iter().copied().zip(0..).collect(),
            endpoints,
            gateway_of,
            calls: Vec::new(),
            outcome: Outcome::default(),
        };
        for item in 0..shape.items {
            let (gateway, replica) = (item % shape.gateways, item % shape.replicas);
            fleet.replicas[replica].batch += 1;
            fleet.replicas[replica].running += 1;
            fleet.hold(gateway, replica, Purpose::Batch { reserve: 0 }, 1);
        }
        let period = period_ms(shape.gateways);
        for gateway in 0..shape.gateways {
            let first = period * gateway as u64 / shape.gateways as u64;
            fleet.at(first, Event::Report { gateway });
        }
        fleet.at(0, Event::Arrive);
        fleet
    }

    fn at(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.bodies.push(Some(event));
        let body = self.bodies.len() - 1;
        self.events.push((Reverse((at, self.seq)), body));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn roll(&mut self) -> u64 {
        self.rolls = hash64(&[&self.rolls.to_le_bytes()]);
        self.rolls
    }

    fn own(&self, gateway: usize, replica: usize) -> InFlight {
        let in_flight = self.gateways[gateway].in_flight.get(&replica);
        in_flight.copied().unwrap_or_default()
    }

    fn hold(&mut self, gateway: usize, replica: usize, purpose: Purpose, change: i32) {
        let in_flight = &mut self.gateways[gateway].in_flight;
        let load = in_flight.entry(replica).or_default();
        let count = match purpose {
            Purpose::Online => &mut load.online,
            Purpose::Batch { .. } => &mut load.batch,
        };
        *count = count.saturating_add_signed(change);
    }

    fn tell(&mut self, gateway: usize, replica: usize) {
        let own = self.own(gateway, replica);
        let told = Event::Told {
            gateway,
            replica,
            own,
        };
        self.after(HOP_MS, told);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Report { gateway } => self.report(gateway),
            Event::Reported { gateway, report } => {
                let now = Time(self.now);
                let (member, in_flight) = (report.member, report.in_flight.clone());
                let gateway = &mut self.gateways[gateway];
                gateway.reports.take(now, report);
                gateway.ledger.take_report(now, member, &in_flight);
            }
            Event::Asked { call, own } => self.asked(call, own),
            Event::Answered {
                call,
                is_granted,
                load,
            } => self.answered(call, is_granted, load),
            Event::Told {
                gateway,
                replica,
                own,
            } => {
                let (owner, now) = (self.owners[replica], Time(self.now));
                let endpoint = self.endpoints[replica];
                let ledger = &mut self.gateways[owner].ledger;
                ledger.update(now, endpoint, member(gateway), own);
            }
            Event::Yield { gateway, replica } => self.pause(gateway, replica),
            Event::Ended { call } => {
                let (gateway, replica) = (self.calls[call].gateway, self.calls[call].replica);
                self.hold(gateway, replica, Purpose::Online, -1);
                let idle = self.gateways[gateway].idle.entry(replica).or_default();
                idle.push(self.now + IDLE_MS);
                self.tell(gateway, replica);
                self.free(replica);
            }
        }
    }

    fn arrive(&mut self) {
        let (valley, peak) = self.shape.wave_ms;
        let is_peak = self.now % (valley + peak) >= valley;
        let per_s = if is_peak {
            self.shape.per_s.1
        } else {
            self.shape.per_s.0
        };
        let gap_ms = 1_000 / per_s.max(1);
        let spread = self.roll() % (2 * gap_ms + 1);
        self.after(spread, Event::Arrive);
        let gateway = usize::try_from(self.roll()).unwrap_or_default() % self.shape.gateways;
        self.calls.push(Call {
            gateway,
            arrived: self.now,
            replica: 0,
            passed_over: Vec::new(),
            least: None,
        });
        self.ask(self.calls.len() - 1);
    }

    fn ask(&mut self, call: usize) {
        let seed = self.roll();
        let gateway = self.calls[call].gateway;
        let passed_over = &self.calls[call].passed_over;
        let cx = &self.gateways[gateway];
        let fresh = freshness(period_ms(self.shape.gateways), HOLD_MS.0);
        let chosen = if passed_over.len() < MAX_ASKS {
            cx.replicas
                .choose(Time(self.now), "llm", passed_over, seed, |id| {
                    let at = self.replica_of[&id];
                    let own = self.own(gateway, at);
                    Outlook {
                        is_connected: self.shape.prefers_connected && cx.has_idle(self.now, at),
                        ..Outlook::for_online(own, cx.reports.load(id), fresh)
                    }
                })
        } else {
            None
        };
        let chosen = chosen.map(|replica| replica.endpoint);
        let Some(endpoint) = chosen else {
            let (_, replica) = self.calls[call].least.expect("a replica was asked");
            self.calls[call].replica = replica;
            self.hold(gateway, replica, Purpose::Online, 1);
            self.tell(gateway, replica);
            self.send(call);
            return;
        };
        let replica = self.replica_of[&endpoint];
        let own = self.own(gateway, replica);
        self.calls[call].replica = replica;
        self.hold(gateway, replica, Purpose::Online, 1);
        self.after(HOP_MS, Event::Asked { call, own });
    }

    fn asked(&mut self, call: usize, own: InFlight) {
        let (gateway, replica) = (self.calls[call].gateway, self.calls[call].replica);
        let (owner, now) = (self.owners[replica], Time(self.now));
        let endpoint = self.endpoints[replica];
        let asker = member(gateway);
        let ledger = &mut self.gateways[owner].ledger;
        let decision = ledger.ask(now, endpoint, SLOTS, asker, own, Purpose::Online);
        if let Some(yields) = decision.yields {
            let gateway = self.gateway_of[&yields];
            self.after(HOP_MS, Event::Yield { gateway, replica });
        }
        let answer = Event::Answered {
            call,
            is_granted: decision.is_granted,
            load: decision.load.online,
        };
        self.after(HOP_MS, answer);
    }

    fn answered(&mut self, call: usize, is_granted: bool, load: u32) {
        let (gateway, replica) = (self.calls[call].gateway, self.calls[call].replica);
        if is_granted {
            return self.send(call);
        }
        self.hold(gateway, replica, Purpose::Online, -1);
        self.tell(gateway, replica);
        let endpoint = self.endpoints[replica];
        let now = Time(self.now);
        self.gateways[gateway].replicas.note_full(now, endpoint);
        let call_state = &mut self.calls[call];
        call_state.passed_over.push(endpoint);
        if call_state.least.is_none_or(|(least, _)| load < least) {
            call_state.least = Some((load, replica));
        }
        self.ask(call);
    }

    fn send(&mut self, call: usize) {
        let (gateway, replica) = (self.calls[call].gateway, self.calls[call].replica);
        let idle = self.gateways[gateway].idle.entry(replica).or_default();
        idle.retain(|until| self.now < *until);
        if idle.pop().is_none() {
            self.outcome.opened += 1;
        }
        self.replicas[replica].queue.push_back(call);
        self.admit(replica);
        let over = u32::try_from(self.replicas[replica].queue.len()).unwrap_or(u32::MAX);
        self.outcome.most_over = self.outcome.most_over.max(over);
    }

    fn admit(&mut self, replica: usize) {
        while self.replicas[replica].running < SLOTS {
            let Some(call) = self.replicas[replica].queue.pop_front() else {
                return;
            };
            self.replicas[replica].running += 1;
            let waited = self.now - self.calls[call].arrived;
            self.outcome.waits_ms.push(waited);
            let (mean, spread) = HOLD_MS;
            let held = mean - spread + self.roll() % (2 * spread);
            self.after(held, Event::Ended { call });
        }
    }

    fn free(&mut self, replica: usize) {
        self.replicas[replica].running -= 1;
        self.admit(replica);
    }

    fn pause(&mut self, gateway: usize, replica: usize) {
        if self.own(gateway, replica).batch == 0 {
            return;
        }
        self.hold(gateway, replica, Purpose::Batch { reserve: 0 }, -1);
        self.tell(gateway, replica);
        self.replicas[replica].batch -= 1;
        self.outcome.paused += 1;
        self.free(replica);
    }

    fn report(&mut self, gateway: usize) {
        let in_flight = self.gateways[gateway].in_flight.iter();
        let in_flight = in_flight
            .filter(|(_, load)| load.total() > 0)
            .map(|(replica, load)| (self.endpoints[*replica], *load))
            .collect();
        self.gateways[gateway].seq += 1;
        let report = Report {
            member: member(gateway),
            seq: self.gateways[gateway].seq,
            in_flight,
            items: Vec::new(),
            admitted: Vec::new(),
            config_version: 1,
            suspects: Vec::new(),
            has_store: true,
            is_leaving: false,
        };
        for other in (0..self.shape.gateways).filter(|other| *other != gateway) {
            let report = report.clone();
            self.after(
                HOP_MS,
                Event::Reported {
                    gateway: other,
                    report,
                },
            );
        }
        self.after(period_ms(self.shape.gateways), Event::Report { gateway });
    }
}
