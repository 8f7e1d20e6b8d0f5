/*!
Settings of a gateway.

An adapter fills them in from the platform's own settings. Every bound that
the platform guarantees or demands is a field here; what is the product's own
choice is a constant beside the code that uses it.
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

/// A setting has an impossible value.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct InvalidSettings {
    field: &'static str,
    reason: String,
}

/// Where a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Requests and jobs of callers.
    pub callers: SocketAddr,
    /// Readiness, for the platform's own checks.
    pub readiness: SocketAddr,
    /// Addresses to use, asked by callers.
    pub directory: SocketAddr,
    /// Metrics, asked by operators.
    pub metrics: SocketAddr,
    /// Datagrams and store calls of other gateways; all use the same port.
    pub peers: SocketAddr,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from a stop signal until the process is killed.
    pub grace: Duration,
    /// Time in which a new configuration must be in force.
    pub config_in_force: Duration,
    /// Time in which a draining replica must get nothing new.
    pub drain: Duration,
    /// Requests that a customer may exceed its limit by over the fleet.
    pub limit_tolerance: f64,
    /// Longest time that callers keep an answer of the directory.
    pub max_address_ttl: Duration,
    /// Time that results stay readable after a job's submission.
    pub keep_results: Duration,
    /// Largest record of the store, in bytes.
    pub record_bytes: usize,
    /// Largest call of the store, in bytes.
    pub call_bytes: usize,
    /// Partitions of a topic of the store.
    pub parts: u32,
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Where it listens.
    pub addresses: Addresses,
    /// Instances that may know others.
    pub seeds: Vec<IpAddr>,
    /// Key that the fleet's datagrams are sealed with.
    pub fleet_key: FleetKey,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

/// Longest time that a stopping process may take, as a sanity check.
const MAX_GRACE: Duration = Duration::from_mins(10);
/// Smallest record size that contents can be cut into.
const MIN_RECORD_BYTES: usize = 1024;

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field with an impossible value.
    pub fn check(&self) -> Result<()> {
        ensure!(
            !self.instance.is_empty(),
            InvalidSettingsSnafu {
                field: "instance",
                reason: "is empty"
            }
        );
        let bounds = &self.bounds;
        ensure!(
            bounds.grace <= MAX_GRACE,
            InvalidSettingsSnafu {
                field: "grace",
                reason: format!("{:?} is over {MAX_GRACE:?}", bounds.grace)
            }
        );
        ensure!(
            bounds.record_bytes >= MIN_RECORD_BYTES && bounds.call_bytes >= bounds.record_bytes,
            InvalidSettingsSnafu {
                field: "record_bytes",
                reason: format!("must be {MIN_RECORD_BYTES} or more and fit a call")
            }
        );
        ensure!(
            bounds.parts > 0,
            InvalidSettingsSnafu {
                field: "parts",
                reason: "must be 1 or more"
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
                    reason: format!("{addr} is used twice or has no port")
                }
            );
        }
        Ok(())
    }
}
