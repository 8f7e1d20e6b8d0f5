//! How a whole fleet spreads online requests over replicas, by pattern of load.

#[path = "dispatching/mod.rs"]
mod dispatching;

use dispatching::{Outcome, Scenario, run};

/// Wait that leaves an online request within its objective, in milliseconds:
/// half of the shortest objective of the deployments that are designed for.
const SHORT_WAIT_MS: u64 = 150;
/// Requests of a thousand that must not wait longer: those in time on a quiet
/// day of the first deployments.
const IN_TIME: usize = 990;
/// Fleets that are run for each pattern.
const SEEDS: u64 = 3;

/// Twelve gateways before nine engines, as small deployments have them.
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

/// Eighty gateways before sixty engines. Their reports are older than what most
/// requests take.
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
        let wait = outcome.wait_ms(IN_TIME);
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
        let indifferent = Scenario {
            prefers_connected: false,
            ..scenario
        };
        for ((seed, with), (_, without)) in runs(scenario).zip(runs(indifferent)) {
            let (with, without) = (with.opened_connections, without.opened_connections);
            assert!(2 * with < without, "seed {seed}: {with} against {without}");
        }
    }
}
