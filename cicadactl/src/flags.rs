/*!
Command line flags, and conversion of commands to changes.
*/

use {
    crate::error::{Result, UsageSnafu},
    cicadagate_wire::rpc::{
        self, Backend, Change, Customer, Key, ModelVersion, Route, RouteKind,
        change::Change as ChangeKind,
    },
    snafu::{OptionExt, ensure},
    std::path::PathBuf,
};

xflags::xflags! {
    /// The operators' command line of cicadagate.
    cmd cicadactl {
        /// Address of an operator process. Default: the variable CICADAGATE_OPERATOR.
        optional --operator addr: String
        /// Print JSON instead of tables.
        optional --json
        /// Id of the change; a change sent again with the same id is applied once.
        optional --request-id id: String

        /// Create or replace a customer.
        cmd put-customer {
            required name: String
            /// Requests per second over the whole fleet.
            required --rate rate: f64
            /// Requests allowed at once after an idle period.
            required --burst burst: u32
            /// Version that the change is based on. Default: the one in force.
            optional --based-on version: u64
        }
        /// Remove a customer.
        cmd remove-customer {
            required name: String
            optional --based-on version: u64
        }
        /// Create an API key and print it; it is not shown again.
        cmd create-key {
            required customer: String
            /// Id of the key.
            optional --id id: String
        }
        /// Withdraw an API key permanently.
        cmd withdraw-key {
            required id: String
            optional --based-on version: u64
        }
        /// Create or replace a route.
        cmd put-route {
            /// Model name, or path prefix of a service.
            required name: String
            /// model or service
            required --kind kind: String
            /// DEPLOYMENT=WEIGHT
            repeated --backend backend: String
            /// Requests need no API key.
            optional --open
            /// Requests that may have run must not be repeated.
            optional --non-idempotent
            optional --based-on version: u64
        }
        /// Remove a route.
        cmd remove-route {
            required name: String
            optional --based-on version: u64
        }
        /// Set the model version of a deployment.
        cmd put-model-version {
            required deployment: String
            required version: String
            optional --based-on version: u64
        }
        /// Stop sending new work to an endpoint.
        cmd drain {
            required endpoint: String
            optional --based-on version: u64
        }
        /// Send new work to an endpoint again.
        cmd undrain {
            required endpoint: String
            optional --based-on version: u64
        }
        /// List the configuration in force.
        cmd list { }
        /// Show the version in force at each process.
        cmd versions { }
        /// Wait until a version is in force everywhere.
        cmd wait {
            required version: u64
            /// Longest wait in milliseconds. Default: 15000.
            optional --timeout-ms ms: u32
        }
        /// Show the changes that were decided.
        cmd history { }
        /// List batch jobs.
        cmd jobs { }
        /// Cancel a batch job.
        cmd cancel-job {
            required id: String
        }
        /// Change the configuration in force to match a settings file.
        cmd apply {
            required file: PathBuf
            /// Only show the difference.
            optional --dry-run
        }
        /// Show what nodes recorded about a request, trace or item, read from
        /// their operations addresses or log files.
        cmd explain {
            required id: String
            /// Operations address of a process; more than one may be given.
            repeated --operations addr: String
            /// Log file of a process; more than one may be given.
            repeated --log file: PathBuf
        }
    }
}

const fn change(kind: ChangeKind) -> Change {
    Change { change: Some(kind) }
}

pub(crate) fn put_customer(cmd: PutCustomer) -> Change {
    change(ChangeKind::PutCustomer(Customer {
        name: cmd.name,
        rate: cmd.rate,
        burst: cmd.burst,
    }))
}

pub(crate) const fn remove_customer(name: String) -> Change {
    change(ChangeKind::RemoveCustomer(name))
}

pub(crate) fn create_key(customer: String, id: Option<String>) -> Change {
    change(ChangeKind::CreateKey(Key {
        id: id.unwrap_or_default(),
        customer,
        ..Key::default()
    }))
}

pub(crate) const fn withdraw_key(id: String) -> Change {
    change(ChangeKind::WithdrawKey(id))
}

pub(crate) fn put_route(cmd: PutRoute) -> Result<Change> {
    let kind = match cmd.kind.as_str() {
        "model" => RouteKind::Model,
        "service" => RouteKind::Service,
        _ => {
            return UsageSnafu {
                reason: "--kind is model or service",
            }
            .fail();
        }
    };
    ensure!(
        !cmd.backend.is_empty(),
        UsageSnafu {
            reason: "a route needs a --backend"
        }
    );
    let backends: Result<Vec<Backend>> = cmd.backend.iter().map(|text| backend(text)).collect();
    Ok(change(ChangeKind::PutRoute(Route {
        name: cmd.name,
        kind: kind.into(),
        backends: backends?,
        open: cmd.open,
        non_idempotent: cmd.non_idempotent,
    })))
}

fn backend(text: &str) -> Result<Backend> {
    let reason = "--backend is DEPLOYMENT=WEIGHT";
    let (deployment, weight) = text.split_once('=').context(UsageSnafu { reason })?;
    let weight = weight.parse().ok().context(UsageSnafu { reason })?;
    Ok(Backend {
        deployment: deployment.to_owned(),
        weight,
    })
}

pub(crate) const fn remove_route(name: String) -> Change {
    change(ChangeKind::RemoveRoute(name))
}

pub(crate) const fn put_model_version(deployment: String, version: String) -> Change {
    change(ChangeKind::PutModelVersion(ModelVersion {
        deployment,
        version,
    }))
}

pub(crate) const fn drain(endpoint: String) -> Change {
    change(ChangeKind::Drain(rpc::Drain { endpoint }))
}

pub(crate) const fn undrain(endpoint: String) -> Change {
    change(ChangeKind::Undrain(endpoint))
}
