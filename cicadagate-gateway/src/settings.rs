/*!
Settings of a gateway.

An adapter fills them in from the platform's own settings. Every limit that
the platform guarantees or requires is a field here. Values that cicadagate
chooses itself are constants in the modules that use them.
*/

use {
    cicadagate_wire::key::FleetKey,
    snafu::{Snafu, ensure},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// A result of this module.
pub type Result<T, E = InvalidSettings> = std::result::Result<T, E>;

/// A setting has an invalid value.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct InvalidSettings {
    field: &'static str,
    reason: String,
}

/// Addresses on which a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Requests and jobs from callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Queries by callers for the addresses of the gateways.
    pub directory: SocketAddr,
    /// Metrics, for operators.
    pub metrics: SocketAddr,
    /// Datagrams and forwarded store operations from other gateways; all
    /// gateways use the same port.
    pub peers: SocketAddr,
}

/// Limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between a stop signal and the kill.
    pub grace: Duration,
    /// Time within which a new configuration must be in force.
    pub config_in_force: Duration,
    /// Time within which a replica that starts draining must get no more
    /// requests.
    pub drain: Duration,
    /// Time after the acknowledged cancellation of a job from which none of its items may
    /// reach a replica.
    pub cancel: Duration,
    /// Requests by which a customer may exceed its rate limit over the whole
    /// fleet.
    pub limit_tolerance: f64,
    /// Longest time for which callers cache the addresses of the gateways.
    pub max_address_ttl: Duration,
    /// Time after a job's submission for which its results stay readable.
    pub keep_results: Duration,
    /// Largest record that the store accepts, in bytes.
    pub record_bytes: usize,
    /// Largest append that the store accepts, in bytes.
    pub call_bytes: usize,
    /// Number of partitions of a topic in the store.
    pub parts: u32,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// File descriptor limit of the process.
    pub descriptors: usize,
    /// Time in which the evacuation of a data centre must be in force.
    pub evacuation: Duration,
    /// Bytes per second that the store serves to all reads of the fleet together;
    /// `None` if the platform states no limit.
    pub store_read_bytes_per_s: Option<u64>,
    /// Time between two renewals of a replica's registration.
    pub heartbeat: Duration,
    /// Factor by which the requests to a cold replica may exceed what it sustains.
    pub cold_excess: f64,
    /// Requests to a cold replica in any second that are tolerated beyond that.
    pub cold_slack: f64,
}

/// What the program was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Build {
    /// Start of the id of the commit that was checked out, or `unknown`.
    pub commit: &'static str,
    /// Start of a hash of the sources, in hexadecimal.
    pub sources: &'static str,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the program was built from.
    pub build: Build,
    /// Name of the instance (machine).
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Instances contacted first to discover the other gateways.
    pub seeds: Vec<IpAddr>,
    /// Key that authenticates messages between gateways.
    pub fleet_key: FleetKey,
    /// Whether the whole fleet starts for the first time, so that no customer
    /// has used any of its limits.
    pub is_first_start: bool,
    /// Limits set by the platform.
    pub bounds: Bounds,
}

/// Longest accepted `grace`, as a sanity check.
const MAX_GRACE: Duration = Duration::from_mins(10);
/// Smallest accepted `record_bytes`; contents are split into records.
const MIN_RECORD_BYTES: usize = 1024;

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid field.
    pub fn check(&self) -> Result<()> {
        ensure!(
            !self.instance.is_empty(),
            InvalidSettingsSnafu {
                field: "instance",
                reason: "must not be empty"
            }
        );
        let bounds = &self.bounds;
        ensure!(
            bounds.grace <= MAX_GRACE,
            InvalidSettingsSnafu {
                field: "grace",
                reason: format!("{:?} exceeds the maximum of {MAX_GRACE:?}", bounds.grace)
            }
        );
        ensure!(
            bounds.record_bytes >= MIN_RECORD_BYTES && bounds.call_bytes >= bounds.record_bytes,
            InvalidSettingsSnafu {
                field: "record_bytes",
                reason: format!("must be at least {MIN_RECORD_BYTES} and at most call_bytes")
            }
        );
        ensure!(
            bounds.parts > 0,
            InvalidSettingsSnafu {
                field: "parts",
                reason: "must be at least 1"
            }
        );
        let listening = [
            self.addresses.callers,
            self.addresses.readiness,
            self.addresses.directory,
            self.addresses.metrics,
        ];
        for (index, addr) in listening.iter().enumerate() {
            ensure!(
                addr.port() != 0 && !listening[..index].contains(addr),
                InvalidSettingsSnafu {
                    field: "addresses",
                    reason: format!("{addr} is a duplicate or has port 0")
                }
            );
        }
        Ok(())
    }
}
