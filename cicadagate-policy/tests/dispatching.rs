//! Simulations of how a whole fleet distributes online requests over replicas
//! under a square wave of load.

#[path = "dispatching/mod.rs"]
mod dispatching;

use dispatching::{Outcome, Scenario, run};

/// Wait that leaves an online request within its objective, in milliseconds:
/// half of the shortest objective of the targeted deployments.
const SHORT_WAIT_MS: u64 = 150;
/// Requests per thousand that must not wait longer: as many as were in time in
/// the first deployments on a day without faults.
const IN_TIME_PER_MILLE: usize = 990;
/// Number of simulations of each scenario, with different seeds.
const SEEDS: u64 = 3;

/// Twelve gateways and nine replicas, as in small deployments.
const SMALL: Scenario = Scenario {
    gateways: 12,
    replicas: 9,
    items: 40,
    online_per_s: (16, 70),
    wave_ms: (3_400, 2_400),
    length_ms: 23_200,
    prefers_connected: true,
    seed: 0,
};

/// Eighty-two gateways and sixty replicas. Reports are older than the duration
/// of most requests.
const LARGE: Scenario = Scenario {
    gateways: 82,
    replicas: 60,
    items: 230,
    online_per_s: (80, 450),
    length_ms: 11_600,
    ..SMALL
};

fn runs(scenario: Scenario) -> impl Iterator<Item = (u64, Outcome)> {
    (1..=SEEDS).map(move |seed| (seed, run(Scenario { seed, ..scenario })))
}

fn assert_short_waits(scenario: Scenario) {
    for (seed, outcome) in runs(scenario) {
        let wait = outcome.wait_ms(IN_TIME_PER_MILLE);
        assert!(wait < SHORT_WAIT_MS, "seed {seed}: {wait} ms");
    }
}

#[test]
fn a_square_wave_below_the_slots_makes_nobody_wait_in_a_small_fleet() {
    assert_short_waits(SMALL);
}

#[test]
fn a_square_wave_below_the_slots_makes_nobody_wait_in_a_large_fleet() {
    assert_short_waits(LARGE);
}

#[test]
fn a_preference_for_kept_connections_saves_half_of_the_new_ones() {
    for scenario in [SMALL, LARGE] {
        let without_preference = Scenario {
            prefers_connected: false,
            ..scenario
        };
        for ((seed, with), (_, without)) in runs(scenario).zip(runs(without_preference)) {
            let (with, without) = (with.opened_connections, without.opened_connections);
            assert!(2 * with < without, "seed {seed}: {with} against {without}");
        }
    }
}
