/*!
Measures latency, batch throughput, fairness and rate limiting of a deployment
shape under several policies.

Each round starts a new fleet for each policy, so that no policy is affected by
the state of another, and runs the same arrivals. Figures are reported as ratios
between policies of the same round, with their range over the rounds: the
machine is noisy, but the noise affects all policies of a round alike.
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

/// The reason why a measurement has no result.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// The shape file is invalid.
    #[snafu(display("{path}: {reason}"))]
    Shape {
        /// Path.
        path: String,
        /// Cause.
        reason: String,
    },
    /// An operation on the fleet failed.
    #[snafu(display("{source}"))]
    Fleet {
        /// Cause.
        source: FleetError,
    },
    /// The load generator did not keep up with the arrivals.
    #[snafu(display(
        "the load generator lagged {lag_ms} ms behind the arrivals; results discarded"
    ))]
    Lagged {
        /// Longest lag, in milliseconds.
        lag_ms: u64,
    },
    /// A response was wrong or missing, or a batch job was not accepted.
    #[snafu(display("wrong response: {detail}"))]
    Wrong {
        /// Description of the response.
        detail: String,
    },
    /// The results could not be written.
    #[snafu(display("can't write the report: {source}"))]
    Write {
        /// Cause.
        source: std::io::Error,
    },
}

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Shapes.
    pub shapes: Vec<Shape>,
    /// Policies, in order of their runs.
    pub policies: Vec<Policy>,
    /// Number of rounds over all policies.
    pub rounds: u32,
    /// Duration of the load in each run.
    pub load: Duration,
    /// Directory of the report.
    pub out: PathBuf,
}

/// Runs the plan and returns the figures of all runs.
///
/// # Errors
///
/// Returns an error if any run fails; the figures of the others are dropped.
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
