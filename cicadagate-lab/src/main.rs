/*!
The lab's command line.
*/

use {cicadagate_lab::demo, std::process::exit};

mod flags {
    xflags::xflags! {
        /// Fleets, load and experiments on loopback.
        cmd cicadagate-lab {
            /// Run the demonstration.
            cmd demo {
                /// Stay up until interrupted.
                optional --keep
            }
        }
    }
}

async fn run(
    flags: flags::CicadagateLab,
) -> Result<Vec<String>, cicadagate_lab::fleet::FleetError> {
    match flags.subcommand {
        flags::CicadagateLabCmd::Demo(cmd) => demo::run(cmd.keep).await,
    }
}

fn main() {
    let flags = flags::CicadagateLab::from_env_or_exit();
    match actix_rt::System::new().block_on(run(flags)) {
        Ok(faults) if faults.is_empty() => println!("all answers were right"),
        Ok(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            exit(1);
        }
        Err(err) => {
            eprintln!("cicadagate-lab: {err}");
            exit(2);
        }
    }
}
