/*!
Batch jobs of cicadagate.

Stores files, accepts jobs, claims them, runs their items at the replicas'
homes and writes results, all through the platform's log. Any batch process
serves any caller and can take over any job.
*/

mod process;
mod request;
mod version;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        connection::server::serve,
        settings::{Check, Fault, NodeSettings},
    },
    cicadagate_policy::process::membership::Role,
    process::Batch,
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
    batch: BatchSettings,
}

/// Settings of the role.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BatchSettings {
    /// Data streams in the log.
    data_streams: u64,
    /// How long results stay readable, in seconds.
    keep_secs: u64,
    /// Bytes of a file's chunk in the log.
    chunk_bytes: usize,
    /// Bytes of results that make a record in the log.
    record_bytes: usize,
    /// Longest wait of a result before it is written, in milliseconds.
    flush_ms: u64,
    /// Items that run at once for each stream of the replicas, in percent.
    window_percent: usize,
    /// Tries of an item before it is given up.
    max_tries: u32,
    /// How long the log keeps records, in seconds; state is carried forward
    /// before that.
    log_retention_secs: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            data_streams: 16,
            keep_secs: 7 * 24 * 3600,
            chunk_bytes: 256 * 1024,
            record_bytes: 128 * 1024,
            flush_ms: 250,
            window_percent: 150,
            max_tries: 4,
            log_retention_secs: 24 * 3600,
        }
    }
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = self.node.faults();
        let positive = [
            ("data_streams", self.batch.data_streams),
            ("keep_secs", self.batch.keep_secs),
            ("chunk_bytes", self.batch.chunk_bytes as u64),
            ("record_bytes", self.batch.record_bytes as u64),
            ("window_percent", self.batch.window_percent as u64),
            ("max_tries", u64::from(self.batch.max_tries)),
            ("log_retention_secs", self.batch.log_retention_secs),
        ];
        for (field, value) in positive {
            if value == 0 {
                faults.push(Fault::new(field, "must be at least 1"));
            }
        }
        if self.batch.chunk_bytes > 16 * 1024 * 1024 {
            faults.push(Fault::new("chunk_bytes", "must be at most 16777216"));
        }
        faults
    }
}

async fn run(settings: Settings) {
    let started = start_or_exit(Role::Batch, settings.node).await;
    let node = started.node;
    let batch = Batch::start(Rc::clone(&node), settings.batch);
    actix_rt::spawn(serve(Rc::clone(&node), started.listener, batch));
    node.run_until_stopped().await;
}

fn main() {
    let settings = settings_or_exit("cicadagate-batch");
    actix_rt::System::new().block_on(run(settings));
}
