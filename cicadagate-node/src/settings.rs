/*!
Settings files in JSON with comments.

A file is parsed and checked completely before the process binds any address.
An unknown field, a wrong type or an invalid value is an error that gives the
line. Invalid values are reported all at once; parsing stops at the first
error.
*/

use {
    cicadagate_wire::key::FleetKey,
    json_comments::StripComments,
    serde::{Deserialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu, ensure},
    std::{fs, io::Read, net::SocketAddr, path::Path},
};

/// A result of this module.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// Why settings were rejected.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("can't read {path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not JSON with comments, or a field has the wrong name or
    /// type.
    #[snafu(display("{path}: {source}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// Some values are invalid.
    #[snafu(display("{}", faults.join("\n")))]
    InvalidValues {
        /// One message for each invalid value.
        faults: Vec<String>,
    },
}

/// An invalid value of a settings field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl InvalidValue {
    /// Describes an invalid value of `field`.
    pub fn new(field: &'static str, reason: impl Into<String>) -> Self {
        Self {
            field,
            reason: reason.into(),
        }
    }
}

/// Validation of parsed settings.
pub trait Validate {
    /// Returns every invalid value.
    fn validate(&self) -> Vec<InvalidValue>;
}

/// Settings common to all processes.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address that the process's main interface listens on.
    pub listen: SocketAddr,
    /// UDP address for membership datagrams.
    pub gossip: SocketAddr,
    /// Address of the HTTP interface for operators: metrics, health, traces.
    pub operations: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// The fleet's key: 64 hexadecimal digits.
    pub fleet_key: String,
    /// How long callers may use an address that they were given, in
    /// milliseconds.
    #[serde(default = "default_keep_address_ms")]
    pub keep_address_ms: u64,
    /// Most connections to the main interface. Default: 4096.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
}

const fn default_keep_address_ms() -> u64 {
    cicadagate_policy::process::shutdown::ADDRESS_TTL_MS
}

const fn default_max_connections() -> usize {
    4096
}

impl Validate for NodeSettings {
    fn validate(&self) -> Vec<InvalidValue> {
        let mut faults = Vec::new();
        for (field, name) in [
            ("instance", &self.instance),
            ("data_centre", &self.data_centre),
        ] {
            if name.is_empty() || name.len() > 64 {
                faults.push(InvalidValue::new(field, "must have 1 to 64 bytes"));
            }
        }
        if FleetKey::from_hex(&self.fleet_key).is_err() {
            faults.push(InvalidValue::new(
                "fleet_key",
                "must be 64 hexadecimal digits",
            ));
        }
        if self.log.port() == 0 {
            faults.push(InvalidValue::new("log", "must name a port"));
        }
        if self.instances.port() == 0 {
            faults.push(InvalidValue::new("instances", "must name a port"));
        }
        if self.keep_address_ms > 600_000 {
            faults.push(InvalidValue::new(
                "keep_address_ms",
                "must be at most 600000",
            ));
        }
        if self.max_connections == 0 {
            faults.push(InvalidValue::new("max_connections", "must be at least 1"));
        }
        faults
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read or parsed, or one that names
/// every invalid value with its line.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).context(UnreadableSnafu { path: &name })?;
    parse(&name, &text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns an error if the text can't be parsed, or one that names every
/// invalid value with its line.
pub fn parse<T: DeserializeOwned + Validate>(path: &str, text: &str) -> Result<T> {
    let mut stripped = String::new();
    // Comments are replaced by spaces, so that line and column numbers stay
    // valid.
    StripComments::new(text.as_bytes())
        .read_to_string(&mut stripped)
        .context(UnreadableSnafu { path })?;
    let settings: T = serde_json::from_str(&stripped).context(MalformedSnafu { path })?;
    let faults: Vec<String> = settings
        .validate()
        .iter()
        .map(|fault| match line_of(&stripped, fault.field) {
            Some(line) => format!("{path}:{line}: {}: {}", fault.field, fault.reason),
            None => format!("{path}: {}: {}", fault.field, fault.reason),
        })
        .collect();
    ensure!(faults.is_empty(), InvalidValuesSnafu { faults });
    Ok(settings)
}

/// Returns the number of the first line that contains the field's name in
/// quotes. It may be that of a field of the same name in another object.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let quoted = format!("\"{field}\"");
    text.lines()
        .position(|line| line.contains(&quoted))
        .map(|index| index + 1)
}
