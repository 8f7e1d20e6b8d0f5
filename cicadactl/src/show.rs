/*!
Printing of results as tables or JSON.

Also queries running processes for the spans that `explain` prints.
*/

use {
    crate::error::{ConnectSnafu, Result},
    cicadagate_wire::rpc::{
        HistoryResponse, ListJobsResponse, ListResponse, ListedCustomer, ListedDrain, ListedKey,
        ListedModelVersion, ListedRoute, Route, RouteKind, VersionsResponse,
    },
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Prints a header and rows in aligned columns.
fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|name| name.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let print_row = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_row(header.to_vec());
    for row in rows {
        print_row(row.iter().map(String::as_str).collect());
    }
}

fn print_json(value: &Value) {
    println!("{value}");
}

pub(crate) fn list(list: &ListResponse, json: bool) {
    if json {
        print_json(&list_json(list));
        return;
    }
    println!("version {}\n", list.version);
    print_customers(list);
    print_keys(list);
    print_routes(list);
    print_versions_and_drains(list);
}

fn list_json(list: &ListResponse) -> Value {
    let customers = list.customers.iter().map(|listed| {
        let customer = listed.customer.clone().unwrap_or_default();
        json!({
            "name": customer.name, "rate": customer.rate, "burst": customer.burst,
            "version": listed.version,
        })
    });
    let keys = list.keys.iter().map(|listed| {
        let key = listed.key.clone().unwrap_or_default();
        json!({
            "id": key.id, "customer": key.customer, "withdrawn": key.withdrawn,
            "version": listed.version,
        })
    });
    let routes = list.routes.iter().map(|listed| {
        let route = listed.route.clone().unwrap_or_default();
        let backends = route.backends.iter();
        let backends = backends
            .map(|backend| json!({"deployment": backend.deployment, "weight": backend.weight}));
        json!({
            "name": route.name,
            "kind": kind_name(&route),
            "backends": backends.collect::<Vec<_>>(),
            "open": route.open,
            "non_idempotent": route.non_idempotent,
            "version": listed.version,
        })
    });
    let model_versions = list.model_versions.iter().map(|listed| {
        let desired = listed.model_version.clone().unwrap_or_default();
        json!({
            "deployment": desired.deployment, "model_version": desired.version,
            "version": listed.version,
        })
    });
    let drains = list.drains.iter().map(|listed| {
        let drain = listed.drain.clone().unwrap_or_default();
        json!({"endpoint": drain.endpoint, "version": listed.version})
    });
    json!({
        "version": list.version,
        "customers": customers.collect::<Vec<_>>(),
        "keys": keys.collect::<Vec<_>>(),
        "routes": routes.collect::<Vec<_>>(),
        "model_versions": model_versions.collect::<Vec<_>>(),
        "drains": drains.collect::<Vec<_>>(),
    })
}

fn kind_name(route: &Route) -> &'static str {
    match route.kind() {
        RouteKind::Service => "service",
        RouteKind::Model | RouteKind::Unspecified => "model",
    }
}

fn print_customers(list: &ListResponse) {
    let row = |listed: &ListedCustomer| {
        let customer = listed.customer.clone().unwrap_or_default();
        let (rate, burst) = (customer.rate.to_string(), customer.burst.to_string());
        vec![customer.name, rate, burst, listed.version.to_string()]
    };
    let rows: Vec<Vec<String>> = list.customers.iter().map(row).collect();
    print_table(&["CUSTOMER", "RATE", "BURST", "VERSION"], &rows);
    println!();
}

fn print_keys(list: &ListResponse) {
    let row = |listed: &ListedKey| {
        let key = listed.key.clone().unwrap_or_default();
        let state = if key.withdrawn { "withdrawn" } else { "in use" };
        vec![
            key.id,
            key.customer,
            state.to_owned(),
            listed.version.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = list.keys.iter().map(row).collect();
    print_table(&["KEY", "CUSTOMER", "STATE", "VERSION"], &rows);
    println!();
}

fn print_routes(list: &ListResponse) {
    let row = |listed: &ListedRoute| {
        let route = listed.route.clone().unwrap_or_default();
        let backends = route.backends.iter();
        let backends = backends.map(|backend| format!("{}={}", backend.deployment, backend.weight));
        let backends = backends.collect::<Vec<_>>().join(",");
        let open = route.open.then_some("open");
        let flags = open
            .into_iter()
            .chain(route.non_idempotent.then_some("non-idempotent"));
        let flags = flags.collect::<Vec<_>>().join(",");
        let kind = kind_name(&route).to_owned();
        vec![
            route.name,
            kind,
            backends,
            flags,
            listed.version.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = list.routes.iter().map(row).collect();
    print_table(&["ROUTE", "KIND", "BACKENDS", "MARKS", "VERSION"], &rows);
    println!();
}

fn print_versions_and_drains(list: &ListResponse) {
    let row = |listed: &ListedModelVersion| {
        let desired = listed.model_version.clone().unwrap_or_default();
        vec![
            desired.deployment,
            desired.version,
            listed.version.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = list.model_versions.iter().map(row).collect();
    print_table(&["DEPLOYMENT", "MODEL VERSION", "VERSION"], &rows);
    println!();
    let row = |listed: &ListedDrain| {
        let drain = listed.drain.clone().unwrap_or_default();
        vec![drain.endpoint, listed.version.to_string()]
    };
    let rows: Vec<Vec<String>> = list.drains.iter().map(row).collect();
    print_table(&["DRAINED ENDPOINT", "VERSION"], &rows);
}

pub(crate) fn versions(versions: &VersionsResponse, json: bool) {
    if json {
        let processes = versions.processes.iter().map(|process| {
            json!({
                "instance": process.instance, "role": process.role, "state": process.state,
                "version": process.version,
            })
        });
        print_json(&json!({
            "in_force_everywhere": versions.in_force_everywhere,
            "processes": processes.collect::<Vec<_>>(),
        }));
        return;
    }
    println!(
        "version {} is in force everywhere\n",
        versions.in_force_everywhere
    );
    let rows: Vec<Vec<String>> = versions
        .processes
        .iter()
        .map(|process| {
            vec![
                process.instance.clone(),
                process.role.clone(),
                process.state.clone(),
                process.version.to_string(),
            ]
        })
        .collect();
    print_table(&["INSTANCE", "ROLE", "STATE", "VERSION"], &rows);
}

pub(crate) fn history(history: &HistoryResponse, json: bool) {
    if json {
        let entries = history.entries.iter().map(|entry| {
            json!({
                "version": entry.version, "request_id": entry.request_id,
                "object": entry.object, "accepted": entry.accepted, "verdict": entry.verdict,
            })
        });
        print_json(&json!({"entries": entries.collect::<Vec<_>>()}));
        return;
    }
    let rows: Vec<Vec<String>> = history
        .entries
        .iter()
        .map(|entry| {
            vec![
                entry.version.to_string(),
                entry.object.clone(),
                entry.verdict.clone(),
                entry.request_id.clone(),
            ]
        })
        .collect();
    print_table(&["VERSION", "OBJECT", "VERDICT", "REQUEST ID"], &rows);
}

pub(crate) fn jobs(jobs: &ListJobsResponse, json: bool) {
    if json {
        let jobs = jobs.jobs.iter().map(|job| {
            json!({
                "id": job.id, "customer": job.customer, "state": job.state, "items": job.items,
                "completed": job.completed, "failed": job.failed, "claimant": job.claimant,
            })
        });
        print_json(&json!({"jobs": jobs.collect::<Vec<_>>()}));
        return;
    }
    let rows: Vec<Vec<String>> = jobs
        .jobs
        .iter()
        .map(|job| {
            vec![
                job.id.clone(),
                job.customer.clone(),
                job.state.clone(),
                job.items.to_string(),
                job.completed.to_string(),
                job.failed.to_string(),
                job.claimant.clone(),
            ]
        })
        .collect();
    print_table(
        &[
            "JOB",
            "CUSTOMER",
            "STATE",
            "ITEMS",
            "COMPLETED",
            "FAILED",
            "CLAIMANT",
        ],
        &rows,
    );
}

/// Queries processes for their spans about an id and prints them, sorted by
/// start time.
pub(crate) async fn explain(id: &str, operations: &[String], json: bool) -> Result<()> {
    let mut lines = Vec::new();
    for addr in operations {
        for line in query_spans(addr, id).await? {
            lines.push((line, addr.clone()));
        }
    }
    lines.sort();
    if json {
        let lines = lines
            .iter()
            .map(|(line, addr)| json!({"at": addr, "line": line}));
        print_json(&json!({"lines": lines.collect::<Vec<_>>()}));
        return Ok(());
    }
    for (line, addr) in &lines {
        println!("{line}  [{addr}]");
    }
    if lines.is_empty() {
        println!("no process recorded anything of {id}");
    }
    Ok(())
}

async fn query_spans(addr: &str, id: &str) -> Result<Vec<String>> {
    let failed = |reason: String| {
        ConnectSnafu {
            reason: format!("{addr}: {reason}"),
        }
        .build()
    };
    let addr: SocketAddr = addr.parse().map_err(|_| failed("not IP:PORT".to_owned()))?;
    let body = fetch_explain_page(addr, id)
        .await
        .map_err(|err| failed(err.to_string()))?;
    let (_, body) = body.split_once("\r\n\r\n").unwrap_or_default();
    let value: Value = serde_json::from_str(body).map_err(|err| failed(err.to_string()))?;
    let lines = value["lines"].as_array().cloned().unwrap_or_default();
    Ok(lines
        .iter()
        .filter_map(|line| line.as_str().map(str::to_owned))
        .collect())
}

async fn fetch_explain_page(addr: SocketAddr, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    let request =
        format!("GET /explain?id={id} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}
