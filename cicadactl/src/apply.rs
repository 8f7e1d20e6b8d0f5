/*!
Changing the configuration in force to match a settings file.

The file lists customers, routes and model versions. Those that are missing from
the configuration or differ from it are created or replaced; with
`remove_others`, customers and routes that the file does not list are removed.
Each change is based on the version that was compared with the file, so a
concurrent change by another operator causes a conflict instead of being
overwritten.
*/

use {
    crate::{
        client::Client,
        error::{FileSnafu, Result},
    },
    cicadagate_wire::rpc::{
        Backend, Change, Customer, ListResponse, ModelVersion, Route, RouteKind,
        change::Change as ChangeKind,
    },
    json_comments::StripComments,
    serde::Deserialize,
    serde_json::json,
    std::{fs, io::Read, path::Path},
};

/// Contents of a settings file: the desired configuration of the fleet.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Fleet {
    customers: Vec<FileCustomer>,
    routes: Vec<FileRoute>,
    model_versions: Vec<FileModelVersion>,
    remove_others: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileCustomer {
    name: String,
    rate: f64,
    burst: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRoute {
    name: String,
    kind: FileRouteKind,
    backends: Vec<FileBackend>,
    #[serde(default)]
    open: bool,
    #[serde(default)]
    non_idempotent: bool,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum FileRouteKind {
    Model,
    Service,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileBackend {
    deployment: String,
    weight: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileModelVersion {
    deployment: String,
    version: String,
}

/// A change needed to match the file.
struct PlannedChange {
    summary: String,
    based_on: u64,
    change: ChangeKind,
}

/// Applies a file; with `dry_run`, only checks and prints the changes.
pub(crate) async fn run(client: &mut Client, path: &Path, dry_run: bool, json: bool) -> Result<()> {
    let fleet = read_file(path)?;
    let plan = plan_changes(fleet, &client.list().await?);
    let mut version = 0;
    for planned in &plan {
        let change = Change {
            change: Some(planned.change.clone()),
        };
        let response = client
            .apply(change, Some(planned.based_on), String::new(), dry_run)
            .await?;
        version = version.max(response.version);
        if !json {
            println!("{}{}", if dry_run { "would " } else { "" }, planned.summary);
        }
    }
    if json {
        let summaries: Vec<&str> = plan.iter().map(|change| change.summary.as_str()).collect();
        println!(
            "{}",
            json!({"changes": summaries, "version": version, "dry_run": dry_run})
        );
    } else if plan.is_empty() {
        println!("nothing to change");
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<Fleet> {
    let failed = |reason: String| {
        FileSnafu {
            path: path.display().to_string(),
            reason,
        }
        .build()
    };
    let text = fs::read_to_string(path).map_err(|err| failed(err.to_string()))?;
    let mut stripped = String::new();
    StripComments::new(text.as_bytes())
        .read_to_string(&mut stripped)
        .map_err(|err| failed(err.to_string()))?;
    serde_json::from_str(&stripped).map_err(|err| failed(err.to_string()))
}

fn plan_changes(fleet: Fleet, list: &ListResponse) -> Vec<PlannedChange> {
    let mut plan = Vec::new();
    let removed = if fleet.remove_others {
        removals(&fleet, list)
    } else {
        Vec::new()
    };
    for customer in fleet.customers {
        let customer = Customer {
            name: customer.name,
            rate: customer.rate,
            burst: customer.burst,
        };
        let old = list.customers.iter().find(|listed| {
            listed
                .customer
                .as_ref()
                .is_some_and(|old| old.name == customer.name)
        });
        if old.and_then(|listed| listed.customer.as_ref()) != Some(&customer) {
            plan.push(PlannedChange {
                summary: format!("put customer {}", customer.name),
                based_on: old.map_or(0, |listed| listed.version),
                change: ChangeKind::PutCustomer(customer),
            });
        }
    }
    for route in fleet.routes {
        let route = rpc_route(route);
        let old = list.routes.iter().find(|listed| {
            listed
                .route
                .as_ref()
                .is_some_and(|old| old.name == route.name)
        });
        if old.and_then(|listed| listed.route.as_ref()) != Some(&route) {
            plan.push(PlannedChange {
                summary: format!("put route {}", route.name),
                based_on: old.map_or(0, |listed| listed.version),
                change: ChangeKind::PutRoute(route),
            });
        }
    }
    for version in fleet.model_versions {
        let version = ModelVersion {
            deployment: version.deployment,
            version: version.version,
        };
        let old = list.model_versions.iter().find(|listed| {
            let same = |old: &ModelVersion| old.deployment == version.deployment;
            listed.model_version.as_ref().is_some_and(same)
        });
        if old.and_then(|listed| listed.model_version.as_ref()) != Some(&version) {
            plan.push(PlannedChange {
                summary: format!(
                    "put model version {} of {}",
                    version.version, version.deployment
                ),
                based_on: old.map_or(0, |listed| listed.version),
                change: ChangeKind::PutModelVersion(version),
            });
        }
    }
    plan.extend(removed);
    plan
}

fn removals(fleet: &Fleet, list: &ListResponse) -> Vec<PlannedChange> {
    let customers = list.customers.iter().filter_map(|listed| {
        let name = &listed.customer.as_ref()?.name;
        let kept = fleet
            .customers
            .iter()
            .any(|customer| customer.name == *name);
        (!kept).then(|| PlannedChange {
            summary: format!("remove customer {name}"),
            based_on: listed.version,
            change: ChangeKind::RemoveCustomer(name.clone()),
        })
    });
    let routes = list.routes.iter().filter_map(|listed| {
        let name = &listed.route.as_ref()?.name;
        let kept = fleet.routes.iter().any(|route| route.name == *name);
        (!kept).then(|| PlannedChange {
            summary: format!("remove route {name}"),
            based_on: listed.version,
            change: ChangeKind::RemoveRoute(name.clone()),
        })
    });
    customers.chain(routes).collect()
}

fn rpc_route(route: FileRoute) -> Route {
    let kind = match route.kind {
        FileRouteKind::Model => RouteKind::Model,
        FileRouteKind::Service => RouteKind::Service,
    };
    let backends = route.backends.into_iter();
    Route {
        name: route.name,
        kind: kind.into(),
        backends: backends
            .map(|backend| Backend {
                deployment: backend.deployment,
                weight: backend.weight,
            })
            .collect(),
        open: route.open,
        non_idempotent: route.non_idempotent,
    }
}
