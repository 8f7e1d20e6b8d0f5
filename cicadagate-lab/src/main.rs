/*!
The command line of the lab.
*/

use {
    cicadagate_lab::{
        demo, hops,
        measure::{self, Plan, Policy, Shape},
        slopes,
    },
    std::{
        path::{Path, PathBuf},
        process::exit,
        time::Duration,
    },
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Fleets, load and experiments on loopback.
        cmd cicadagate-lab {
            /// Run the demonstration.
            cmd demo {
                /// Stay up until interrupted.
                optional --keep
            }
            /// Measure policies on deployments' shapes.
            cmd measure {
                /// Shape file; more than one may be given. Default: lab/*.json.
                repeated --shape shape: PathBuf
                /// Policy; more than one may be given. Default: all.
                repeated --policy policy: String
                /// Rounds over all policies. Default: 2.
                optional --rounds rounds: u32
                /// Seconds of load in each run. Default: 15.
                optional --seconds seconds: u64
                /// Directory of the report. Default: target/measure.
                optional --out out: PathBuf
            }
            /// Measure the latency of the hops, and the preemption of batch work.
            cmd hops { }
            /// Measure the slopes of docs/CAPACITY.md.
            cmd slopes {
                /// Print JSON.
                optional --json
            }
        }
    }
}

/// Exit code if a check of the demonstration failed.
const EXIT_WRONG: i32 = 1;
/// Exit code for a run that failed, or a wrong command line.
const EXIT_FAILED: i32 = 2;

fn fail(reason: impl std::fmt::Display) -> ! {
    eprintln!("cicadagate-lab: {reason}");
    exit(EXIT_FAILED);
}

async fn demonstrate(keep: bool) {
    match demo::run(keep).await {
        Ok(failures) if failures.is_empty() => println!("all responses were correct"),
        Ok(failures) => {
            for failure in failures {
                eprintln!("{failure}");
            }
            exit(EXIT_WRONG);
        }
        Err(err) => fail(err),
    }
}

fn plan(cmd: flags::Measure) -> Plan {
    let shapes = if cmd.shape.is_empty() {
        vec![
            PathBuf::from("lab/qalaat.json"),
            PathBuf::from("lab/lichtwerk.json"),
        ]
    } else {
        cmd.shape
    };
    let shape = |path: &PathBuf| Shape::load(path).unwrap_or_else(|err| fail(err));
    let policy = |name: &String| {
        Policy::by_name(name).unwrap_or_else(|| {
            let names = Policy::ALL.map(Policy::name).join(", ");
            fail(format!("unknown policy '{name}'; valid policies: {names}"))
        })
    };
    let policies = if cmd.policy.is_empty() {
        Policy::ALL.to_vec()
    } else {
        cmd.policy.iter().map(policy).collect()
    };
    Plan {
        shapes: shapes.iter().map(shape).collect(),
        policies,
        rounds: cmd.rounds.unwrap_or(2).clamp(1, 10),
        load: Duration::from_secs(cmd.seconds.unwrap_or(15).clamp(3, 300)),
        out: cmd
            .out
            .unwrap_or_else(|| Path::new("target/measure").to_owned()),
    }
}

async fn measure(cmd: flags::Measure) {
    let plan = plan(cmd);
    let all = measure::run_plan(&plan)
        .await
        .unwrap_or_else(|err| fail(err));
    measure::write(&plan.out, &all).unwrap_or_else(|err| fail(err));
}

fn main() {
    let flags = flags::CicadagateLab::from_env_or_exit();
    actix_rt::System::new().block_on(async {
        match flags.subcommand {
            flags::CicadagateLabCmd::Demo(cmd) => demonstrate(cmd.keep).await,
            flags::CicadagateLabCmd::Measure(cmd) => measure(cmd).await,
            flags::CicadagateLabCmd::Hops(_) => {
                hops::run().await.unwrap_or_else(|err| fail(err));
            }
            flags::CicadagateLabCmd::Slopes(cmd) => {
                slopes::run(cmd.json).await.unwrap_or_else(|err| fail(err));
            }
        }
    });
}
