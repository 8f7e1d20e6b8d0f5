/*!
The command line for operators.

Every command sends one or more RPCs to an operator process, except `explain`,
which reads log files or queries processes directly.

Exit codes:

- 0: done
- 1: refused or failed
- 2: wrong command line, unusable file, or an id that no log file mentions
- 3: conflict with another change, or an operation that the object's state
  does not allow
- 4: no response, unavailable, or timed out. A change may have taken effect;
  retry it with the request id that was printed, if any.
*/

mod apply;
mod client;
mod error;
mod explain;
mod flags;
mod show;

use {
    client::Client,
    error::{CtlError, Result},
    flags::{Cicadactl, CicadactlCmd},
    std::process::exit,
};

async fn run(flags: Cicadactl) -> Result<()> {
    // Reading log files needs no connection to a process.
    if let CicadactlCmd::Explain(cmd) = &flags.subcommand
        && !cmd.log.is_empty()
    {
        return explain::print_from_logs(&cmd.id, &cmd.log, flags.json);
    }
    let mut client = Client::connect(flags.operator.as_deref()).await?;
    let json = flags.json;
    match flags.subcommand {
        CicadactlCmd::PutCustomer(cmd) => {
            let version = cmd.based_on;
            client
                .apply_and_print(flags::put_customer(cmd), version, flags.request_id, json)
                .await
        }
        CicadactlCmd::RemoveCustomer(cmd) => {
            let change = flags::remove_customer(cmd.name);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::CreateKey(cmd) => {
            let change = flags::create_key(cmd.customer, cmd.id);
            client
                .apply_and_print(change, Some(0), flags.request_id, json)
                .await
        }
        CicadactlCmd::WithdrawKey(cmd) => {
            let change = flags::withdraw_key(cmd.id);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::PutRoute(cmd) => {
            let version = cmd.based_on;
            client
                .apply_and_print(flags::put_route(cmd)?, version, flags.request_id, json)
                .await
        }
        CicadactlCmd::RemoveRoute(cmd) => {
            let change = flags::remove_route(cmd.name);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::PutModelVersion(cmd) => {
            let change = flags::put_model_version(cmd.deployment, cmd.version);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::Drain(cmd) => {
            let change = flags::drain(cmd.endpoint);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::Undrain(cmd) => {
            let change = flags::undrain(cmd.endpoint);
            client
                .apply_and_print(change, cmd.based_on, flags.request_id, json)
                .await
        }
        CicadactlCmd::List(_) => {
            show::list(&client.list().await?, json);
            Ok(())
        }
        CicadactlCmd::Versions(_) => {
            show::versions(&client.versions().await?, json);
            Ok(())
        }
        CicadactlCmd::Wait(cmd) => {
            let versions = client.wait(cmd.version, cmd.timeout_ms).await?;
            show::versions(&versions, json);
            Ok(())
        }
        CicadactlCmd::History(_) => {
            show::history(&client.history().await?, json);
            Ok(())
        }
        CicadactlCmd::Jobs(_) => {
            show::jobs(&client.jobs().await?, json);
            Ok(())
        }
        CicadactlCmd::CancelJob(cmd) => client.cancel_job(cmd.id).await,
        CicadactlCmd::Apply(cmd) => apply::run(&mut client, &cmd.file, cmd.dry_run, json).await,
        CicadactlCmd::Explain(cmd) => show::explain(&cmd.id, &cmd.operations, json).await,
    }
}

fn main() {
    let flags = match Cicadactl::from_env() {
        Ok(flags) => flags,
        Err(err) if err.is_help() => {
            println!("{err}");
            exit(0);
        }
        Err(err) => {
            eprintln!("cicadactl: {err}");
            exit(CtlError::USAGE);
        }
    };
    if let Err(err) = actix_rt::System::new().block_on(run(flags)) {
        eprintln!("cicadactl: {err}");
        exit(err.exit_code());
    }
}
