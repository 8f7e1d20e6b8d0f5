/*!
The four measures, for a deployment's shape, under several policies in turn.

Each round starts a fresh fleet per policy, so that none inherits another's
state, and runs the same arrivals. Figures are reported as ratios between
policies of the same round, with their spread over the rounds: the machine is
noisy, but it is the same noise for all within a round.
*/

mod arrivals;
mod outcome;
mod policy;
mod report;
mod run;
mod shape;

pub use {outcome::Measured, policy::Policy, report::write, shape::Shape};

use {
    crate::fleet::FleetError,
    snafu::Snafu,
    std::{path::PathBuf, time::Duration},
};

/// A result of this module.
pub type Result<T, E = MeasureError> = std::result::Result<T, E>;

/// Why a measurement gives no figure.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// The shape's file is wrong.
    #[snafu(display("{path}: {reason}"))]
    Shape {
        /// Path of the file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// The fleet failed.
    #[snafu(display("{source}"))]
    Fleet {
        /// Cause.
        source: FleetError,
    },
    /// The generator could not hold its arrival rate.
    #[snafu(display("the generator lagged {lag_ms} ms behind its arrivals; no figure"))]
    Lagged {
        /// Milliseconds.
        lag_ms: u64,
    },
    /// A request was answered wrongly.
    #[snafu(display("wrong answer: {detail}"))]
    Wrong {
        /// The answer.
        detail: String,
    },
    /// The results could not be written.
    #[snafu(display("can't write the report: {source}"))]
    Write {
        /// Cause.
        source: std::io::Error,
    },
}

/// How to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Shapes.
    pub shapes: Vec<Shape>,
    /// Policies, in turn.
    pub policies: Vec<Policy>,
    /// Rounds over all policies.
    pub rounds: u32,
    /// Time of load in each run.
    pub load: Duration,
    /// Directory of the report.
    pub out: PathBuf,
}

/// Runs the plan and returns what was measured.
///
/// # Errors
///
/// Returns an error instead of figures if a run could not be held.
pub async fn run_plan(plan: &Plan) -> Result<Vec<Measured>> {
    let mut all = Vec::new();
    for shape in &plan.shapes {
        for round in 0..plan.rounds {
            for policy in &plan.policies {
                let measured = run::run(shape, *policy, round, plan.load).await?;
                println!("{}", measured.line());
                all.push(measured);
            }
        }
    }
    Ok(all)
}
