/*!
The dispatcher: the process in front of the endpoints.

Each replica is owned by one dispatcher. All requests for the replica pass
through a queue in that process, the only sender to the replica. The process
also holds shares of the customers' rate and burst limits, takes its turn at
proposing rosters (the members that may hold shares) and writing configuration
snapshots, and sends engines load orders for model versions.
*/

mod process;
mod request;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        connection::peer_server::serve,
        settings::{InvalidValue, NodeSettings, Validate},
    },
    cicadagate_policy::process::membership::Role,
    process::Dispatcher,
    serde::Deserialize,
    std::rc::Rc,
};

/// Settings file of the process.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    node: NodeSettings,
    #[serde(default)]
    dispatch: DispatchSettings,
}

/// Settings of the dispatch role.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct DispatchSettings {
    /// Maximum concurrent streams at a replica for which the instance list
    /// gives no limit.
    default_streams: usize,
    /// Streams of a replica that batch work leaves free for online work.
    reserve_streams: usize,
    /// Estimated throughput of a replica, in tokens per second.
    tokens_per_sec: u64,
    /// Whether online work has priority over batch work, with headroom and
    /// preemption. Turned off only in experiments.
    priorities: bool,
    /// Whether to send all requests to the engine at once, without a queue
    /// here. Turned on only in experiments.
    engine_queues_only: bool,
    /// Number of configuration records between two snapshots.
    snapshot_every: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            default_streams: 16,
            reserve_streams: 1,
            tokens_per_sec: 800,
            priorities: true,
            engine_queues_only: false,
            snapshot_every: 256,
        }
    }
}

impl Validate for Settings {
    fn validate(&self) -> Vec<InvalidValue> {
        let mut faults = self.node.validate();
        let positive = [
            ("default_streams", self.dispatch.default_streams as u64),
            ("tokens_per_sec", self.dispatch.tokens_per_sec),
            ("snapshot_every", self.dispatch.snapshot_every),
        ];
        for (field, value) in positive {
            if value == 0 {
                faults.push(InvalidValue::new(field, "must be at least 1"));
            }
        }
        faults
    }
}

async fn run(settings: Settings) {
    let started = start_or_exit(Role::Dispatch, settings.node).await;
    let node = started.node;
    let dispatcher = Dispatcher::start(Rc::clone(&node), settings.dispatch);
    actix_rt::spawn(serve(Rc::clone(&node), started.listener, dispatcher));
    node.run_until_stopped().await;
}

fn main() {
    let settings = settings_or_exit("cicadagate-dispatch");
    actix_rt::System::new().block_on(run(settings));
}
