/*!
The batch process of cicadagate.

It stores input files, accepts jobs, claims them, runs their items through the
owners of the replicas and writes the results. All state is in the platform's
log, so any batch process serves any caller and can take over any job.
*/

mod process;
mod request;
mod version;

use {
    cicadagate_node::{
        command::{settings_or_exit, start_or_exit},
        connection::peer_server::serve,
        settings::{InvalidValue, NodeSettings, Validate},
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

/// Settings of the batch role.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BatchSettings {
    /// Number of data streams in the log.
    data_streams: u64,
    /// How long files and results stay readable, in seconds.
    keep_secs: u64,
    /// Length of a file's chunk in the log, in bytes.
    chunk_bytes: usize,
    /// Bytes of results from which a record is written at once.
    record_bytes: usize,
    /// Time for which results are gathered into one record, in milliseconds;
    /// longer while many jobs are claimed.
    flush_ms: u64,
    /// Number of items of all claimed jobs that may run at once, in percent of
    /// the streams of all endpoints.
    window_percent: usize,
    /// Failed tries of an item before it is given up; tries that no replica
    /// took do not count.
    max_tries: u32,
    /// How long the log keeps records, in seconds. State, files and results are
    /// written again before their records expire.
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

impl Validate for Settings {
    fn validate(&self) -> Vec<InvalidValue> {
        let mut faults = self.node.validate();
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
                faults.push(InvalidValue::new(field, "must be at least 1"));
            }
        }
        if self.batch.chunk_bytes > 16 * 1024 * 1024 {
            faults.push(InvalidValue::new("chunk_bytes", "must be at most 16777216"));
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
