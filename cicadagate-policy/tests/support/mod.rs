//! Runs generated sequences of operations and faults against a world, and
//! shrinks a failing one.
//!
//! Each test binary uses its part of this module.
//!
//! `CICADAGATE_FUZZ_SEED`, `CICADAGATE_FUZZ_SEQUENCES` and
//! `CICADAGATE_FUZZ_LENGTH` choose other sequences than the fixed ones of CI.

use {
    cicadagate_policy::planted::{Fault, plant},
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeMap, env, fmt::Debug},
};

/// Most runs that shrinking may take.
const MAX_SHRINKS: usize = 3_000;

/// How often each thing really happened.
pub type Counts = BTreeMap<&'static str, u64>;

/// Several pure nodes, fakes around them, and an oracle.
pub trait World {
    /// An operation or fault.
    type Op: Arbitrary + Debug;

    /// Makes a world.
    fn new() -> Self;

    /// Carries an operation out and checks the promises.
    fn step(&mut self, op: &Self::Op) -> Result<(), String>;

    /// Checks what must hold in the end.
    fn finish(&mut self) -> Result<(), String> {
        Ok(())
    }

    /// Returns what took effect.
    fn counts(&self) -> &Counts;
}

/// Which sequences to run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub sequences: u64,
    pub length: usize,
}

impl Plan {
    /// The plan of CI, unless the environment asks for another.
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
                usize::try_from(value).expect("a small length")
            }),
        }
    }

    fn sequence<W: World>(&self, number: u64) -> Vec<W::Op> {
        let mut g = Gen::from_size_and_seed(self.length, self.seed + number);
        (0..self.length).map(|_| W::Op::arbitrary(&mut g)).collect()
    }
}

fn run<W: World>(ops: &[W::Op]) -> (Result<(), String>, Counts) {
    let mut world = W::new();
    let mut result = Ok(());
    for op in ops {
        result = world.step(op);
        if result.is_err() {
            break;
        }
    }
    let result = result.and_then(|()| world.finish());
    (result, world.counts().clone())
}

fn shrink<W: World>(mut ops: Vec<W::Op>) -> Vec<W::Op> {
    let mut left = MAX_SHRINKS;
    'again: loop {
        for smaller in ops.shrink() {
            if left == 0 {
                return ops;
            }
            left -= 1;
            if run::<W>(&smaller).0.is_err() {
                ops = smaller;
                continue 'again;
            }
        }
        return ops;
    }
}

/// Runs a plan; panics with a short case if a promise is broken.
pub fn check<W: World>(plan: Plan) -> Counts {
    plant(None);
    let mut total = Counts::new();
    for number in 0..plan.sequences {
        let ops = plan.sequence::<W>(number);
        let (result, counts) = run::<W>(&ops);
        for (name, count) in counts {
            *total.entry(name).or_insert(0) += count;
        }
        if let Err(reason) = result {
            let short = shrink::<W>(ops);
            let reason_of_short = run::<W>(&short).0.unwrap_err();
            panic!(
                "seed {} sequence {number}: {reason}\nshort case: {short:#?}\n{reason_of_short}",
                plan.seed
            );
        }
    }
    println!(
        "{} sequences of {} steps; what took effect: {total:?}",
        plan.sequences, plan.length
    );
    total
}

/// Runs a plan with a planted fault; returns in how many sequences the oracle
/// caught it.
#[allow(dead_code, reason = "not every test binary plants faults")]
pub fn caught<W: World>(plan: Plan, fault: Fault) -> u64 {
    plant(Some(fault));
    let caught = (0..plan.sequences)
        .filter(|number| run::<W>(&plan.sequence::<W>(*number)).0.is_err())
        .count() as u64;
    plant(None);
    println!(
        "{fault:?}: caught in {caught} of {} sequences",
        plan.sequences
    );
    caught
}

/// Runs recorded sequences with and without a planted fault; returns in how
/// many the oracle caught it.
#[allow(dead_code, reason = "not every test binary has recorded sequences")]
pub fn caught_in_recorded<W: World>(sequences: &[Vec<W::Op>], fault: Fault) -> usize {
    plant(None);
    for ops in sequences {
        run::<W>(ops).0.expect("promises hold without the fault");
    }
    plant(Some(fault));
    let caught = sequences
        .iter()
        .filter(|ops| run::<W>(ops).0.is_err())
        .count();
    plant(None);
    println!(
        "{fault:?}: caught in {caught} of {} recorded sequences",
        sequences.len()
    );
    caught
}

/// Asserts that each named thing took effect at least once.
pub fn assert_took_effect(counts: &Counts, names: &[&str]) {
    for name in names {
        assert!(
            counts.get(name).is_some_and(|count| *count > 0),
            "{name} never took effect"
        );
    }
}
