/*!
A deployment's shape, from a settings file.
*/

use {
    super::{Result, ShapeSnafu},
    json_comments::StripComments,
    serde::Deserialize,
    snafu::ensure,
    std::{fs, io::Read, path::Path},
};

/// A customer and what its callers offer.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerShape {
    /// Name.
    pub name: String,
    /// Requests a second that it may send.
    pub rate: f64,
    /// Requests that it may send at once.
    pub burst: u32,
    /// Requests a second that its callers offer.
    pub load: f64,
    /// Entries that its callers keep.
    pub entries: usize,
}

/// A deployment's shape.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Name.
    pub name: String,
    /// Instances of ours.
    pub instances: usize,
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Replicas.
    pub replicas: usize,
    /// Streams of a replica.
    pub streams_per_replica: usize,
    /// Step time without streams, in microseconds.
    pub step_us: u64,
    /// Step time that each stream adds, in microseconds.
    pub stream_us: u64,
    /// Time to process an uncached prompt token, in microseconds.
    pub prompt_token_us: u64,
    /// Time from client to entry, in milliseconds.
    pub client_ms: u64,
    /// Customers.
    pub customers: Vec<CustomerShape>,
    /// Customer that sends a burst in the middle third.
    pub burster: String,
    /// How many times its rate it sends then.
    pub burst_factor: f64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Characters of a shared prefix.
    pub prefix_chars: usize,
    /// Shared prefixes of each customer.
    pub prefixes: u64,
    /// Batch jobs.
    pub jobs: usize,
    /// Items of each job.
    pub items: usize,
    /// Tokens of an item's answer.
    pub item_tokens: u64,
    /// Every so many items one can't be done.
    pub poison_every: usize,
}

impl Shape {
    /// Reads a shape from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is wrong or asks for too much.
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
        let reason = format!("{processes} processes are too many for one machine");
        ensure!(
            processes <= 200,
            ShapeSnafu {
                path: &name,
                reason
            }
        );
        let reason = "customers, data centres, replicas and instances are needed";
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

    /// Tokens a second that all replicas make when all streams are taken.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub fn full_tokens_per_sec(&self) -> f64 {
        let streams = self.streams_per_replica as f64;
        let step_us = self.step_us as f64 + self.stream_us as f64 * streams;
        self.replicas as f64 * streams * 1e6 / step_us
    }
}
