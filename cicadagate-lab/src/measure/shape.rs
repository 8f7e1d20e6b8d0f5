/*!
The shape of a deployment: its size, engine timings and load, read from a file.
*/

use {
    super::{Result, ShapeSnafu},
    json_comments::StripComments,
    serde::Deserialize,
    snafu::ensure,
    std::{fs, io::Read, path::Path},
};

/// A customer's limits and the load of its callers.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerShape {
    /// Name.
    pub name: String,
    /// Rate limit, in requests per second.
    pub rate: f64,
    /// Burst limit, in requests.
    pub burst: u32,
    /// Offered load, in requests per second.
    pub load: f64,
    /// Number of entries that its callers use.
    pub entries: usize,
}

/// The shape of a deployment.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Name.
    pub name: String,
    /// Number of cicadagate instances.
    pub instances: usize,
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Number of replicas.
    pub replicas: usize,
    /// Maximum number of streams of a replica.
    pub streams_per_replica: usize,
    /// Step time without streams, in microseconds.
    pub step_us: u64,
    /// Step time that each stream adds, in microseconds.
    pub stream_us: u64,
    /// Time to process an uncached prompt token, in microseconds.
    pub prompt_token_us: u64,
    /// Network delay from client to entry, in milliseconds.
    pub client_ms: u64,
    /// Customers.
    pub customers: Vec<CustomerShape>,
    /// Name of the customer that exceeds its rate in the middle third of the
    /// load.
    pub burster: String,
    /// Multiple of its rate that this customer then offers.
    pub burst_factor: f64,
    /// Number of tokens of an online response.
    pub tokens: u64,
    /// Length of a shared prefix, in bytes.
    pub prefix_chars: usize,
    /// Number of shared prefixes of each customer.
    pub prefixes: u64,
    /// Number of batch jobs.
    pub jobs: usize,
    /// Number of items of each job.
    pub items: usize,
    /// Number of tokens of an item's response.
    pub item_tokens: u64,
    /// One of this many items always fails.
    pub poison_every: usize,
}

impl Shape {
    /// Reads a shape from a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is invalid, or needs too
    /// many processes.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let wrong = |reason: String| {
            ShapeSnafu {
                path: &name,
                reason,
            }
            .build()
        };
        let text = fs::read_to_string(path).map_err(|err| wrong(err.to_string()))?;
        let mut stripped = String::new();
        StripComments::new(text.as_bytes())
            .read_to_string(&mut stripped)
            .map_err(|err| wrong(err.to_string()))?;
        let shape: Self = serde_json::from_str(&stripped).map_err(|err| wrong(err.to_string()))?;
        let processes = shape.instances * 4 + shape.replicas + 1;
        let reason =
            format!("{processes} processes are too many for one machine; the maximum is 200");
        ensure!(
            processes <= 200,
            ShapeSnafu {
                path: &name,
                reason
            }
        );
        let reason = "customers, data_centres, replicas and instances must not be empty or 0";
        let missing = shape.customers.is_empty()
            || shape.data_centres.is_empty()
            || shape.replicas == 0
            || shape.instances == 0;
        ensure!(
            !missing,
            ShapeSnafu {
                path: &name,
                reason
            }
        );
        Ok(shape)
    }

    /// Returns the tokens per second of all replicas with all streams in use.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub fn full_tokens_per_sec(&self) -> f64 {
        let streams = self.streams_per_replica as f64;
        let step_us = self.step_us as f64 + self.stream_us as f64 * streams;
        self.replicas as f64 * streams * 1e6 / step_us
    }
}
