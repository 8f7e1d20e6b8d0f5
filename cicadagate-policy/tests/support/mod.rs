//! A fuzzing harness: runs generated sequences of operations and faults against
//! a simulation, and shrinks a failing one.
//!
//! Not every test binary uses all functions of this module.
//!
//! `CICADAGATE_FUZZ_SEED`, `CICADAGATE_FUZZ_SEQUENCES` and
//! `CICADAGATE_FUZZ_LENGTH` choose other sequences than the fixed ones of CI.

use {
    cicadagate_policy::fault_injection::{Fault, inject},
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeMap, env, fmt::Debug},
};

/// Maximum number of runs while shrinking a failing sequence.
const MAX_SHRINK_RUNS: usize = 3_000;

/// How often each event occurred.
pub type Counts = BTreeMap<&'static str, u64>;

/// Several nodes without I/O, fakes around them, and an oracle.
pub trait Simulation {
    /// An operation or fault.
    type Op: Arbitrary + Debug;

    /// Creates a simulation in its initial state.
    fn new() -> Self;

    /// Applies an operation and checks the guarantees.
    fn apply(&mut self, op: &Self::Op) -> Result<(), String>;

    /// Checks what must hold after the last operation.
    fn check_final_state(&mut self) -> Result<(), String> {
        Ok(())
    }

    /// Returns how often each event occurred.
    fn counts(&self) -> &Counts;
}

/// The sequences to run.
#[derive(Clone, Copy, Debug)]
pub struct FuzzPlan {
    pub seed: u64,
    pub sequences: u64,
    pub length: usize,
}

impl FuzzPlan {
    /// Returns the plan of CI, changed by the variables that are set in the
    /// environment.
    pub fn from_env(seed: u64, sequences: u64, length: usize) -> Self {
        let read = |name: &str| {
            env::var(name)
                .ok()
                .and_then(|value| value.parse::<u64>().ok())
        };
        Self {
            seed: read("CICADAGATE_FUZZ_SEED").unwrap_or(seed),
            sequences: read("CICADAGATE_FUZZ_SEQUENCES").unwrap_or(sequences),
            length: read("CICADAGATE_FUZZ_LENGTH").map_or(length, |value| {
                usize::try_from(value).expect("length fits in usize")
            }),
        }
    }

    fn generate<W: Simulation>(&self, number: u64) -> Vec<W::Op> {
        let mut g = Gen::from_size_and_seed(self.length, self.seed + number);
        (0..self.length).map(|_| W::Op::arbitrary(&mut g)).collect()
    }
}

fn run_sequence<W: Simulation>(ops: &[W::Op]) -> (Result<(), String>, Counts) {
    let mut simulation = W::new();
    let mut result = Ok(());
    for op in ops {
        result = simulation.apply(op);
        if result.is_err() {
            break;
        }
    }
    let result = result.and_then(|()| simulation.check_final_state());
    (result, simulation.counts().clone())
}

fn shrink_failing<W: Simulation>(mut ops: Vec<W::Op>) -> Vec<W::Op> {
    let mut left = MAX_SHRINK_RUNS;
    'shrinking: loop {
        for smaller in ops.shrink() {
            if left == 0 {
                return ops;
            }
            left -= 1;
            if run_sequence::<W>(&smaller).0.is_err() {
                ops = smaller;
                continue 'shrinking;
            }
        }
        return ops;
    }
}

/// Runs a plan; panics with a shrunk sequence if a guarantee is violated.
pub fn check_guarantees<W: Simulation>(plan: FuzzPlan) -> Counts {
    inject(None);
    let mut total = Counts::new();
    for number in 0..plan.sequences {
        let ops = plan.generate::<W>(number);
        let (result, counts) = run_sequence::<W>(&ops);
        for (name, count) in counts {
            *total.entry(name).or_insert(0) += count;
        }
        if let Err(reason) = result {
            let shortest = shrink_failing::<W>(ops);
            let shortest_reason = run_sequence::<W>(&shortest).0.unwrap_err();
            panic!(
                "seed {} sequence {number}: {reason}\nshrunk sequence: {shortest:#?}\n{shortest_reason}",
                plan.seed
            );
        }
    }
    println!(
        "{} sequences of {} steps; events: {total:?}",
        plan.sequences, plan.length
    );
    total
}

/// Runs a plan with an injected fault; returns the number of sequences in which
/// the oracle detects it.
#[allow(dead_code, reason = "not every test binary injects faults")]
pub fn count_detected<W: Simulation>(plan: FuzzPlan, fault: Fault) -> u64 {
    inject(Some(fault));
    let detected = (0..plan.sequences)
        .filter(|number| run_sequence::<W>(&plan.generate::<W>(*number)).0.is_err())
        .count() as u64;
    inject(None);
    println!(
        "{fault:?}: detected in {detected} of {} sequences",
        plan.sequences
    );
    detected
}

/// Runs recorded sequences with and without an injected fault; returns the
/// number of sequences in which the oracle detects it.
#[allow(dead_code, reason = "not every test binary has recorded sequences")]
pub fn count_detected_in<W: Simulation>(sequences: &[Vec<W::Op>], fault: Fault) -> usize {
    inject(None);
    for ops in sequences {
        run_sequence::<W>(ops)
            .0
            .expect("guarantees hold without the fault");
    }
    inject(Some(fault));
    let detected = sequences
        .iter()
        .filter(|ops| run_sequence::<W>(ops).0.is_err())
        .count();
    inject(None);
    println!(
        "{fault:?}: detected in {detected} of {} recorded sequences",
        sequences.len()
    );
    detected
}

/// Asserts that each named event occurred at least once.
pub fn assert_all_occurred(counts: &Counts, names: &[&str]) {
    for name in names {
        assert!(
            counts.get(name).is_some_and(|count| *count > 0),
            "{name} never occurred"
        );
    }
}
