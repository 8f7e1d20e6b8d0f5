/*!
The HTTP front end of cicadagate.

An entry process accepts callers' HTTP requests, authenticates the customer by
its API key, admits requests within the customer's rate and burst, sends them
to the owner of a replica and relays the response. It also returns the list of
entries that callers may use. Any entry serves any caller.
*/

mod process;
mod request;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        connection::http::{ConnectionTimeouts, serve},
        settings::{InvalidValue, NodeSettings, Validate},
    },
    cicadagate_policy::{process::membership::Role, request::replica_selection::SelectionPolicy},
    process::Entry,
    serde::Deserialize,
    std::{convert::Infallible, rc::Rc},
};

/// Settings of the process.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    node: NodeSettings,
    #[serde(default)]
    entry: EntrySettings,
}

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Routing {
    /// Consistent hashing of the prompt's prefix with bounded loads.
    #[default]
    Affinity,
    /// Least loaded replica. Only for experiments.
    LeastLoaded,
    /// Random replica. Only for experiments.
    Random,
}

/// How a customer's rate and burst are enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Limiting {
    /// Share holders grant tokens to entries.
    #[default]
    Holders,
    /// Each entry enforces an equal share by itself. Only for experiments.
    EqualParts,
}

/// Settings of the entry role.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct EntrySettings {
    /// Maximum length of a request's body, in bytes.
    max_body_bytes: usize,
    /// Maximum length of an uploaded file, in bytes.
    max_file_bytes: usize,
    /// Time within which a request must start to run, in milliseconds.
    start_within_ms: u64,
    /// Time within which a request must be complete, in milliseconds.
    end_within_ms: u64,
    /// How replicas are chosen.
    routing: Routing,
    /// How a customer's rate and burst are enforced.
    limiting: Limiting,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_file_bytes: 64 * 1024 * 1024,
            start_within_ms: 2_000,
            end_within_ms: 120_000,
            routing: Routing::Affinity,
            limiting: Limiting::Holders,
        }
    }
}

impl Validate for Settings {
    fn validate(&self) -> Vec<InvalidValue> {
        let mut faults = self.node.validate();
        if self.entry.max_body_bytes == 0 {
            faults.push(InvalidValue::new("max_body_bytes", "must be at least 1"));
        }
        if !(1..=64 * 1024 * 1024).contains(&self.entry.max_file_bytes) {
            faults.push(InvalidValue::new(
                "max_file_bytes",
                "must be from 1 to 67108864",
            ));
        }
        if self.entry.start_within_ms > self.entry.end_within_ms {
            faults.push(InvalidValue::new(
                "start_within_ms",
                "must not be greater than end_within_ms",
            ));
        }
        faults
    }
}

async fn run(settings: Settings) {
    let started = start_or_exit(Role::Entry, settings.node).await;
    let node = started.node;
    let selection_policy = match settings.entry.routing {
        Routing::Affinity => SelectionPolicy::Affinity,
        Routing::LeastLoaded => SelectionPolicy::LeastLoaded,
        Routing::Random => SelectionPolicy::Random,
    };
    let entry = Rc::new(Entry::new(
        Rc::clone(&node),
        settings.entry,
        selection_policy,
    ));
    let handler = move |req| {
        let entry = Rc::clone(&entry);
        async move { Ok::<_, Infallible>(request::handle(entry, req).await) }
    };
    let (max_connections, metrics) = (node.settings.max_connections, Rc::clone(&node.metrics));
    actix_rt::spawn(serve(
        started.listener,
        max_connections,
        ConnectionTimeouts::default(),
        metrics,
        handler,
    ));
    node.run_until_stopped().await;
}

fn main() {
    let settings = settings_or_exit("cicadagate-entry");
    actix_rt::System::new().block_on(run(settings));
}
