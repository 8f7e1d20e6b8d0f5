//! A customer's rate limit over a fleet of processes with delayed load reports.

use {
    cicadagate_policy::{
        ids::{CustomerId, MemberId},
        process::rate_limit::{Limit, RateLimiter},
        time::Time,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const CUSTOMER: CustomerId = CustomerId::from_raw(7);
const LIMIT: Limit = Limit {
    rate_per_s: 44.0,
    burst: 44.0,
};
/// Number of processes.
const NODES: u64 = 12;
const REPORT_EVERY_MS: u64 = 100;
/// Window over which admitted requests are counted, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Factor on the limit that the platform accepts: a tenth more.
const EXCESS_FACTOR: f64 = 1.1;
/// Requests beyond that which the platform accepts.
const EXCESS_REQUESTS: f64 = 20.0;
/// Requests below an empty bucket that a limiter still admits.
const TOLERANCE_REQUESTS: f64 = 5.0;
const FUZZ_CASES: u64 = 60;

/// Returns the number of requests that may be admitted in a window.
fn bound() -> f64 {
    let window_s = 5.0;
    (LIMIT.rate_per_s * window_s + LIMIT.burst) * EXCESS_FACTOR + EXCESS_REQUESTS
}

/// Rate limiters of a fleet, and what they admitted.
struct Fleet {
    nodes: Vec<RateLimiter>,
    /// Times of admitted requests, in milliseconds.
    admitted: Vec<u64>,
    refused: u64,
    random_state: u64,
    exchanges_reports: bool,
    limit: Limit,
}

impl Fleet {
    fn new(exchanges_reports: bool, seed: u64) -> Self {
        let nodes = (0..NODES)
            .map(|_| RateLimiter::new(TOLERANCE_REQUESTS))
            .collect();
        Self {
            nodes,
            admitted: Vec::new(),
            refused: 0,
            random_state: seed,
            exchanges_reports,
            limit: LIMIT,
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = cicadagate_policy::ids::mix64(self.random_state, 1);
        self.random_state
    }

    /// Simulates a span of time with `per_s` requests per second at random
    /// nodes.
    fn simulate(&mut self, from_ms: u64, for_ms: u64, per_s: u64, lost_percent: u64) {
        for ms in from_ms..from_ms + for_ms {
            let now = Time(ms);
            if ms % REPORT_EVERY_MS == 0 {
                self.report(now, lost_percent);
            }
            let due = (ms + 1) * per_s / 1_000 - ms * per_s / 1_000;
            for _ in 0..due {
                let node = usize::try_from(self.next_random() % NODES).unwrap_or(0);
                match self.nodes[node].admit(now, CUSTOMER, self.limit) {
                    Ok(()) => self.admitted.push(ms),
                    Err(_) => self.refused += 1,
                }
            }
        }
    }

    fn report(&mut self, now: Time, lost_percent: u64) {
        if !self.exchanges_reports {
            return;
        }
        for from in 0..self.nodes.len() {
            let totals = self.nodes[from].totals_to_report(now);
            for to in 0..self.nodes.len() {
                if to == from || self.next_random() % 100 < lost_percent {
                    continue;
                }
                let member = MemberId::from_raw(from as u64);
                for (customer, spent) in &totals {
                    self.nodes[to].ensure_bucket(now, *customer, self.limit);
                    self.nodes[to].apply_remote_total(now, member, *customer, *spent);
                }
                self.nodes[to].note_reporting_member(member);
            }
        }
    }

    /// Returns the most requests admitted in any window.
    fn worst_window(&self) -> usize {
        let mut first = 0;
        let mut worst = 0;
        for (index, ms) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW_MS <= *ms {
                first += 1;
            }
            worst = worst.max(index - first + 1);
        }
        worst
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[test]
fn a_customer_at_seven_times_its_rate_stays_within_the_bound() {
    let mut fleet = Fleet::new(true, 1);
    fleet.simulate(10_000, 3_000, 28, 0);
    fleet.simulate(13_000, 8_000, 300, 0);
    fleet.simulate(21_000, 5_000, 28, 0);
    let worst = as_f64(fleet.worst_window());
    assert!(worst <= bound(), "{worst} requests in a window");
    // The customer also gets what its limit allows.
    let floor = LIMIT.rate_per_s * 5.0 + LIMIT.burst;
    assert!(worst >= floor, "only {worst} requests in a window");
}

#[test]
fn a_fleet_without_reports_exceeds_the_bound() {
    let mut fleet = Fleet::new(false, 1);
    fleet.simulate(10_000, 8_000, 300, 0);
    assert!(as_f64(fleet.worst_window()) > bound());
}

#[test]
fn nobody_is_refused_below_the_limit() {
    // The square wave of a large customer: 1.87 times the mean in peaks.
    let mut fleet = Fleet::new(true, 2);
    for wave in 0..6 {
        let start = 10_000 + wave * 5_800;
        fleet.simulate(start, 3_400, 11, 5);
        fleet.simulate(start + 3_400, 2_400, 52, 5);
    }
    assert_eq!(fleet.refused, 0);
}

#[test]
fn the_bound_holds_after_a_process_restarts() {
    let mut fleet = Fleet::new(true, 3);
    fleet.simulate(10_000, 6_000, 300, 0);
    fleet.nodes[4] = RateLimiter::new(TOLERANCE_REQUESTS);
    fleet.simulate(16_000, 6_000, 300, 0);
    let worst = as_f64(fleet.worst_window());
    assert!(worst <= bound(), "{worst} requests in a window");
}

/// Pattern: all processes are killed while a customer sends far above its rate,
/// and are restarted a second later. Its burst is worth five seconds of its
/// rate, so a second burst within the window exceeds the bound.
#[test]
fn the_bound_holds_when_all_processes_restart_under_a_hot_customer() {
    const BURSTY: Limit = Limit {
        rate_per_s: 20.0,
        burst: 100.0,
    };
    let bound = (BURSTY.rate_per_s * 5.0 + BURSTY.burst) * EXCESS_FACTOR + EXCESS_REQUESTS;
    for withholds in [true, false] {
        let mut fleet = Fleet::new(true, 3);
        fleet.limit = BURSTY;
        fleet.simulate(10_000, 3_000, 120, 0);
        for node in &mut fleet.nodes {
            *node = RateLimiter::new(TOLERANCE_REQUESTS);
            if withholds {
                node.withhold_bursts(Time(14_000));
            }
        }
        fleet.simulate(14_000, 6_000, 120, 0);
        let worst = as_f64(fleet.worst_window());
        assert_eq!(worst <= bound, withholds, "{worst} requests in a window");
    }
}

#[test]
fn a_restart_beside_older_members_refuses_nobody() {
    let mut fleet = Fleet::new(true, 5);
    fleet.simulate(10_000, 3_000, 40, 0);
    let mut restarted = RateLimiter::new(TOLERANCE_REQUESTS);
    restarted.withhold_bursts(Time(13_000));
    restarted.release_bursts();
    fleet.nodes[4] = restarted;
    fleet.simulate(13_000, 6_000, 40, 0);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn withheld_bursts_fill_at_the_rate_from_the_start() {
    let mut limiter = RateLimiter::new(0.0);
    limiter.withhold_bursts(Time(1_000));
    // Half a second at 44 a second.
    let admitted = (0..100)
        .filter(|_| limiter.admit(Time(1_500), CUSTOMER, LIMIT).is_ok())
        .count();
    assert_eq!(admitted, 22);
    limiter.release_bursts();
    let admitted = (0..100)
        .filter(|_| limiter.admit(Time(1_500), CUSTOMER, LIMIT).is_ok())
        .count();
    assert_eq!(admitted, 44);
}

#[test]
fn refused_callers_get_different_retry_times() {
    let mut limiter = RateLimiter::new(0.0);
    let now = Time(5_000);
    let mut retry_times = Vec::new();
    for _ in 0..60 {
        if let Err(over) = limiter.admit(now, CUSTOMER, LIMIT) {
            retry_times.push(over.retry_after_ms);
        }
    }
    assert_eq!(retry_times.len(), 16);
    assert!(
        retry_times.windows(2).all(|pair| pair[0] < pair[1]),
        "{retry_times:?}"
    );
}

/// Eighty members report every 0.8 s, and a customer sends to all of them.
/// Without an owner, what they admit between two reports exceeds the bound.
#[test]
fn in_a_large_fleet_the_owner_keeps_the_bound() {
    const MEMBERS: u32 = 80;
    const LARGE_FLEET_REPORT_EVERY_MS: u64 = 800;
    for has_owner in [true, false] {
        let mut nodes: Vec<RateLimiter> = (0..MEMBERS)
            .map(|_| RateLimiter::new(TOLERANCE_REQUESTS))
            .collect();
        for node in &mut nodes {
            node.retain_members(MEMBERS, |_| true);
            assert!(node.needs_owner());
        }
        let mut fleet = Fleet::new(true, 6);
        for ms in 10_000..16_000 {
            let now = Time(ms);
            if ms % LARGE_FLEET_REPORT_EVERY_MS == 0 {
                fleet.nodes = nodes;
                fleet.report(now, 0);
                nodes = fleet.nodes;
                fleet.nodes = Vec::new();
            }
            let due = (ms + 1) * 350 / 1_000 - ms * 350 / 1_000;
            for _ in 0..due {
                let at = usize::try_from(fleet.next_random() % u64::from(MEMBERS)).unwrap_or(0);
                let is_admitted = if has_owner && at != 0 {
                    let spent = nodes[at].admitted_totals(CUSTOMER);
                    let member = MemberId::from_raw(at as u64);
                    let verdict = nodes[0].admit_for_member(now, member, CUSTOMER, LIMIT, spent);
                    if verdict.is_ok() {
                        nodes[at].record_admitted(now, CUSTOMER, LIMIT);
                    }
                    verdict.is_ok()
                } else {
                    nodes[at].admit(now, CUSTOMER, LIMIT).is_ok()
                };
                if is_admitted {
                    fleet.admitted.push(ms);
                }
            }
        }
        let worst = as_f64(fleet.worst_window());
        assert_eq!(
            worst <= bound(),
            has_owner,
            "{worst} with owner: {has_owner}"
        );
    }
}

#[test]
fn a_customer_that_was_quiet_is_not_charged_for_its_past() {
    let mut fleet = Fleet::new(true, 4);
    fleet.simulate(10_000, 20_000, 40, 0);
    fleet.nodes[0] = RateLimiter::new(TOLERANCE_REQUESTS);
    // No requests for so long that totals are no longer reported.
    fleet.simulate(30_000, 6_000, 0, 0);
    fleet.simulate(36_000, 3_000, 40, 0);
    assert_eq!(fleet.refused, 0);
}

#[derive(Clone, Copy, Debug)]
struct Conditions {
    seed: u64,
    per_s: u64,
    lost_percent: u64,
}

impl Arbitrary for Conditions {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            per_s: 50 + u64::arbitrary(g) % 300,
            lost_percent: u64::arbitrary(g) % 30,
        }
    }
}

#[test]
fn lost_reports_are_made_up_for_by_the_next() {
    fn holds(conditions: Conditions) -> bool {
        let mut fleet = Fleet::new(true, conditions.seed);
        fleet.simulate(10_000, 12_000, conditions.per_s, conditions.lost_percent);
        as_f64(fleet.worst_window()) <= bound()
    }
    QuickCheck::new()
        .tests(FUZZ_CASES)
        .quickcheck(holds as fn(Conditions) -> bool);
}
