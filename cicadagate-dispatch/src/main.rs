/*!
The endpoints' side of cicadagate.

Home of some replicas: each request for them passes through this process's
queue, which is the one place that sends to the replica. The process also
holds shares of the customers' rate and burst, takes its turn at proposing
rosters and writing snapshots, and orders engines to load versions.
*/

mod process;
mod request;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        connection::server::serve,
        settings::{Check, Fault, NodeSettings},
    },
    cicadagate_policy::process::membership::Role,
    process::Dispatcher,
    serde::Deserialize,
    std::rc::Rc,
};

/// Settings of the process.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    node: NodeSettings,
    #[serde(default)]
    dispatch: DispatchSettings,
}

/// Settings of the role.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct DispatchSettings {
    /// Streams at a replica whose limit the platform does not tell.
    default_streams: usize,
    /// Streams of a replica that batch work leaves free for online work.
    reserve_streams: usize,
    /// Tokens that a replica is taken to generate a second.
    tokens_per_sec: u64,
    /// Online before batch, headroom, preemption. Off only for experiments.
    priorities: bool,
    /// Send everything to the engine at once. Only for experiments.
    engine_queues_only: bool,
    /// Records of the configuration between two snapshots.
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

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = self.node.faults();
        let positive = [
            ("default_streams", self.dispatch.default_streams as u64),
            ("tokens_per_sec", self.dispatch.tokens_per_sec),
            ("snapshot_every", self.dispatch.snapshot_every),
        ];
        for (field, value) in positive {
            if value == 0 {
                faults.push(Fault::new(field, "must be at least 1"));
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
