//! Cold replicas and evacuations under load, without a network. Bounds are checked against the
//! list of all sends.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{EndpointId, MemberId, Offset, mix64},
        process::{
            cold_replicas::{
                ColdLimit, ColdReplicas, ColdStart, ColdTolerance, MIN_PRESUMED_MS, may_grant,
            },
            membership::{Health, Info, Role},
            replica_rates::RateDecision,
            replicas::{Registration, ReplicaLoad, ReplicaSet, Wanted},
            slot_ledger::Purpose,
        },
        time::Time,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
    },
};

const COLD_START: ColdStart = ColdStart {
    duration_ms: 20_000,
    per_s: 13.0,
};
const TOLERANCE: ColdTolerance = ColdTolerance {
    excess: 1.5,
    slack: 5.0,
};
/// Requests that a cold replica may get in any second.
const MOST_PER_S: usize = 24;
const SERVICE: &str = "llm";
const SLOTS: u32 = 8;
/// Time for which a request holds a slot, in milliseconds.
const HOLD_MS: u64 = 200;
/// Slots that are in use at the rate of one owner, 9.75 requests a second.
const USABLE_COLD_SLOTS: u32 = 2;
/// Time between a replica's registrations, and until one is read, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;
const READ_DELAY_MS: u64 = 600;
/// Longest time between a grant and the arrival at the replica, in milliseconds.
const MAX_TRANSIT_MS: u64 = 40;

fn limit() -> ColdLimit {
    ColdLimit::new(COLD_START, TOLERANCE).expect("a limit")
}

/// Returns the most sends in any second.
fn most_per_s(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let in_second = |(at, start): (usize, &u64)| {
        times[at..]
            .iter()
            .take_while(|time| **time < start + 1_000)
            .count()
    };
    times.iter().enumerate().map(in_second).max().unwrap_or(0)
}

/// A third of 90 replicas is in data centre `b`, the others are in `a`. One owner grants.
struct Fleet {
    replicas: ReplicaSet,
    cold: ColdReplicas,
    in_flight: HashMap<EndpointId, u32>,
    ends: BinaryHeap<Reverse<(u64, EndpointId)>>,
    /// Until when the replicas of `b` are in fact cold.
    cold_until: u64,
    /// Registrations that are still to be read: time, replica, its cold time left.
    to_read: BinaryHeap<Reverse<(u64, u64, u64)>>,
    sent: Vec<(u64, u64)>,
    refused: usize,
}

const REPLICAS: u64 = 90;

const fn is_in_b(index: u64) -> bool {
    index.is_multiple_of(3)
}

fn endpoint(index: u64) -> EndpointId {
    EndpointId::of(&format!("i{index}"))
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            replicas: ReplicaSet::default(),
            cold: ColdReplicas::default(),
            in_flight: HashMap::new(),
            ends: BinaryHeap::new(),
            cold_until: 0,
            to_read: BinaryHeap::new(),
            sent: Vec::new(),
            refused: 0,
        };
        for index in 0..REPLICAS {
            let _ = fleet.replicas.register(Registration {
                id: format!("i{index}"),
                service: SERVICE.to_owned(),
                addr: "10.0.0.1:80".parse().expect("an address"),
                data_centre: if is_in_b(index) { "b" } else { "a" }.to_owned(),
                slots: SLOTS,
                software_version: "v1".to_owned(),
                is_draining: false,
                started_ms: 1,
            });
            // Both are needed for a replica that is new not to count as cold.
            for now in [Time(0), Time(MIN_PRESUMED_MS)] {
                fleet.cold.note_registration(now, endpoint(index), 1, 0);
            }
        }
        fleet
    }

    /// Lets a millisecond pass, and sends `requests`.
    fn tick(&mut self, now_ms: u64, requests: u64, seed: u64) {
        while let Some(Reverse((at, index))) = self.ends.peek().copied() {
            if at > now_ms {
                break;
            }
            self.ends.pop();
            *self.in_flight.entry(index).or_default() -= 1;
        }
        let now = Time(now_ms);
        for index in 0..REPLICAS {
            if (now_ms + index * 13).is_multiple_of(HEARTBEAT_MS) {
                let left = if is_in_b(index) {
                    self.cold_until.saturating_sub(now_ms)
                } else {
                    0
                };
                self.to_read
                    .push(Reverse((now_ms + READ_DELAY_MS, index, left)));
            }
        }
        while let Some(Reverse((at, index, left))) = self.to_read.peek().copied() {
            if at > now_ms {
                break;
            }
            self.to_read.pop();
            self.cold.note_registration(now, endpoint(index), 1, left);
        }
        for number in 0..requests {
            self.send(now, mix64(seed, now_ms * 1_000 + number));
        }
    }

    fn send(&mut self, now: Time, seed: u64) {
        let mut excluded = Vec::new();
        for attempt in 0..6 {
            let wanted = Wanted {
                excluded: &excluded,
                ..Wanted::of(SERVICE)
            };
            let chosen = self
                .replicas
                .choose(now, &wanted, mix64(seed, attempt), |id| ReplicaLoad {
                    in_flight: self.in_flight.get(&id).copied().unwrap_or(0),
                    usable_slots: (self.cold.left_ms(now, id, COLD_START) > 0)
                        .then_some(USABLE_COLD_SLOTS),
                    ..ReplicaLoad::default()
                });
            let Some(chosen) = chosen.map(|it| it.endpoint) else {
                break;
            };
            excluded.push(chosen);
            let in_flight = self.in_flight.entry(chosen).or_default();
            if *in_flight >= SLOTS {
                self.replicas.note_full(now, chosen);
                continue;
            }
            if self.cold.left_ms(now, chosen, COLD_START) > 0 {
                match self.cold.check(now, chosen, Purpose::Online, 0, limit()) {
                    RateDecision::Denied(wait_ms) => {
                        self.replicas.note_full_for(now, chosen, wait_ms.min(1_000));
                        continue;
                    }
                    RateDecision::After(_) => self.cold.take(chosen),
                    RateDecision::Unlimited => {}
                }
            }
            *in_flight += 1;
            let index = (0..REPLICAS)
                .find(|index| endpoint(*index) == chosen)
                .expect("known");
            self.sent.push((now.0, index));
            self.ends.push(Reverse((now.0 + HOLD_MS, chosen)));
            return;
        }
        self.refused += 1;
    }

    fn evacuate(&mut self, now_ms: u64, is_in_force: bool) {
        let _ = self.replicas.set_evacuated("b", is_in_force);
        if !is_in_force {
            self.cold_until = now_ms + COLD_START.duration_ms;
            for index in (0..REPLICAS).filter(|index| is_in_b(*index)) {
                self.cold.presume(Time(now_ms), endpoint(index));
            }
        }
    }

    /// Returns the most requests in any second at one replica of `b`, since `since_ms`.
    fn most_at_cold(&self, since_ms: u64) -> usize {
        let of = |index: u64| {
            let sent = self
                .sent
                .iter()
                .filter(|(at, to)| *to == index && *at >= since_ms);
            most_per_s(sent.map(|(at, _)| *at).collect())
        };
        (0..REPLICAS)
            .filter(|index| is_in_b(*index))
            .map(of)
            .max()
            .unwrap_or(0)
    }
}

/// Load of 2,000 requests a second, as at the peaks of a deployment of 90 replicas: it takes
/// 400 of the 480 slots outside of `b`.
const PEAK: u64 = 2;
/// Load of 4,000 requests a second: more than the slots outside of `b` can take.
const OVERLOAD: u64 = 4;

/// Evacuates a third of the fleet for 5 s under a load, and returns the fleet and the time at
/// which the evacuation ended.
fn evacuation_at(load: u64) -> (Fleet, u64) {
    let mut fleet = Fleet::new();
    for now_ms in MIN_PRESUMED_MS..20_000 {
        match now_ms {
            5_000 => fleet.evacuate(now_ms, true),
            10_000 => fleet.evacuate(now_ms, false),
            _ => {}
        }
        fleet.tick(now_ms, load, 7);
    }
    (fleet, 10_000)
}

fn sent_while_evacuated(fleet: &Fleet, from_ms: u64, until_ms: u64) -> usize {
    let sent = fleet.sent.iter();
    sent.filter(|(at, to)| is_in_b(*to) && (from_ms..until_ms).contains(at))
        .count()
}

// Guards against work at an evacuated data centre, and against a third of the fleet that
// returns cold at the peak and gets its full share at once.
#[test]
fn at_the_peak_a_third_is_evacuated_and_returns_cold() {
    let (fleet, ended) = evacuation_at(PEAK);
    assert_eq!(sent_while_evacuated(&fleet, 5_000, ended), 0);
    let most = fleet.most_at_cold(ended);
    assert!(most <= MOST_PER_S, "{most}");
    let in_b = fleet
        .sent
        .iter()
        .filter(|(at, to)| is_in_b(*to) && *at >= ended);
    let used = in_b.count();
    assert!(used > 1_000, "{used}: cold replicas are used");
    assert_eq!(fleet.refused, 0, "two thirds have slots for all");
}

// Guards against cold replicas that get what the others can't take.
#[test]
fn under_overload_cold_replicas_keep_their_limit() {
    let (fleet, ended) = evacuation_at(OVERLOAD);
    assert_eq!(sent_while_evacuated(&fleet, 5_000, ended), 0);
    let most = fleet.most_at_cold(ended);
    assert!(most <= MOST_PER_S, "{most}");
    assert!(fleet.refused > 0);
}

// Guards against an evacuation that is ended and begun again before replicas are warm.
#[test]
fn a_flapping_evacuation_keeps_replicas_cold() {
    let mut fleet = Fleet::new();
    let mut sent_before = 0;
    for now_ms in MIN_PRESUMED_MS..20_000 {
        if now_ms >= 5_000 && now_ms % 350 == 0 {
            let is_in_force = (now_ms / 350) % 2 == 0;
            if !is_in_force {
                let from = now_ms - 350;
                assert_eq!(sent_while_evacuated(&fleet, from.max(5_250), now_ms), 0);
            }
            fleet.evacuate(now_ms, is_in_force);
            sent_before += usize::from(is_in_force);
        }
        fleet.tick(now_ms, PEAK, 11);
    }
    assert!(sent_before > 10);
    let most = fleet.most_at_cold(6_000);
    assert!(most <= MOST_PER_S, "{most}");
}

// Shows that the checks above detect a missing mechanism.
#[test]
fn injected_faults_are_detected() {
    for fault in [
        Fault::IgnoreColdRate,
        Fault::TrustOldWarmth,
        Fault::IgnoreEvacuation,
    ] {
        inject(Some(fault));
        let (fleet, ended) = evacuation_at(OVERLOAD);
        inject(None);
        let is_detected = sent_while_evacuated(&fleet, 5_000, ended) > 0
            || fleet.most_at_cold(ended) > MOST_PER_S;
        assert!(is_detected, "{fault:?}");
    }
}

// Guards against two members that consider themselves the owner of a cold replica and grant
// more than it sustains together, with 100 requests a second at each and waits of up to
// 200 ms.
#[test]
fn two_owners_together_keep_the_limit() {
    let replica = endpoint(0);
    let mut times = Vec::new();
    for owner in 0..2_u64 {
        let mut cold = ColdReplicas::default();
        cold.note_registration(Time(0), replica, 1, 60_000);
        for now_ms in (5_000..25_000).step_by(10) {
            let now = Time(now_ms + owner * 3);
            if let RateDecision::After(wait_ms) =
                cold.check(now, replica, Purpose::Online, 200, limit())
            {
                cold.take(replica);
                let transit_ms = mix64(now.0, owner) % MAX_TRANSIT_MS;
                times.push(now.0 + wait_ms + transit_ms);
            }
        }
    }
    let count = times.len();
    let most = most_per_s(times);
    assert!(most <= MOST_PER_S, "{most}");
    assert!(count >= 20 * 19, "{count}: the share of both is used");
}

// Guards against more than two groups of members that all grant tokens of the same replica.
#[test]
fn members_without_contact_to_half_of_the_others_grant_nothing() {
    let info = |index: u64, leaving| Info {
        id: MemberId::from_raw(index),
        instance: format!("node-{index}"),
        data_centre: "a".to_owned(),
        role: Role::Entry,
        udp: "10.0.0.1:1".parse().expect("an address"),
        tcp: "10.0.0.1:2".parse().expect("an address"),
        started: 0,
        version: Offset::NONE,
        leaving,
    };
    let own = info(0, false);
    let others = |lost: u64, health, leaving| -> Vec<(Info, Health)> {
        let of = |index| {
            let health = if index <= lost { health } else { Health::Alive };
            (info(index, leaving), health)
        };
        (1..=5).map(of).collect()
    };
    let may = |others: &[(Info, Health)]| {
        may_grant(&own, others.iter().map(|(info, health)| (info, *health)))
    };
    assert!(may(&[]));
    assert!(may(&others(3, Health::Dead, false)));
    assert!(!may(&others(4, Health::Dead, false)));
    assert!(!may(&others(5, Health::Suspect, false)));
    assert!(
        may(&others(5, Health::Dead, true)),
        "they announced their end"
    );
    let mut restarted = others(5, Health::Dead, false);
    restarted.extend((1..=5).map(|index| (info(index, false), Health::Alive)));
    assert!(may(&restarted), "their instances work");
}

// Guards against a replica that counts as warm since its last registration, written before it
// became cold, says so; and against one that counts as cold for ever.
#[test]
fn a_presumption_ends_with_a_recent_registration_or_the_cold_start() {
    let replica = endpoint(0);
    let mut cold = ColdReplicas::default();
    let left = |cold: &ColdReplicas, now: u64| cold.left_ms(Time(now), replica, COLD_START);
    assert_eq!(left(&cold, 0), 0, "not known");
    cold.note_registration(Time(0), replica, 1, 0);
    assert!(left(&cold, 1) > 0, "new");
    cold.note_registration(Time(MIN_PRESUMED_MS - 1), replica, 1, 0);
    assert!(
        left(&cold, MIN_PRESUMED_MS) > 0,
        "the registration may be old"
    );
    assert_eq!(
        left(&cold, COLD_START.duration_ms),
        0,
        "no longer than a cold start"
    );
    cold.note_registration(Time(MIN_PRESUMED_MS), replica, 1, 0);
    assert_eq!(left(&cold, MIN_PRESUMED_MS), 0);
    cold.note_registration(Time(10_000), replica, 1, 900);
    assert_eq!(left(&cold, 10_100), 800, "as stated");
    cold.note_registration(Time(20_000), replica, 2, 0);
    assert!(left(&cold, 20_000) > 0, "another incarnation");
    cold.note_registration(Time(30_000), replica, 2, 0);
    cold.note_removed(replica);
    cold.note_registration(Time(40_000), replica, 2, 0);
    assert!(left(&cold, 40_000) > 0, "registered again");
    cold.note_registration(Time(50_000), replica, 2, 0);
    cold.presume(Time(60_000), replica);
    assert!(left(&cold, 60_000) > 0);
}

// Guards against a limit on services whose configuration states none.
#[test]
fn services_without_a_cold_rate_are_not_limited() {
    for per_s in [0.0, -1.0, f64::NAN] {
        let cold_start = ColdStart {
            per_s,
            ..COLD_START
        };
        assert_eq!(ColdLimit::new(cold_start, TOLERANCE), None, "{per_s}");
    }
}
