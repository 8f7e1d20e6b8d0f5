/*!
Records of the configuration's stream and the objects that they change.
*/

use {
    super::State,
    crate::ids::{MemberId, Offset, RequestId},
    serde::{Deserialize, Serialize},
};

/// How many request ids are remembered to recognise a resend.
pub const REMEMBERED_IDS: usize = 4096;
/// Longest name of an object, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Most members in a roster.
pub const MAX_ROSTER: usize = 4096;
/// Most witnesses of a roster.
pub const MAX_WITNESSES: usize = 15;
/// Highest rate of a customer, in thousandths of a request a second.
pub const MAX_RATE_MILLI: u64 = 1_000_000_000;
/// Highest burst of a customer, in requests.
pub const MAX_BURST: u32 = 1_000_000;

/// A customer and its limits over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Customer {
    /// Name, unique.
    pub name: String,
    /// Thousandths of a request a second.
    pub rate_milli: u64,
    /// Requests that may come at once after idleness.
    pub burst: u32,
}

/// A caller's key, as a keyed hash.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Public id of the key.
    pub id: String,
    /// The customer that it speaks for.
    pub customer: String,
    /// Keyed hash of the secret.
    pub hash: [u8; 32],
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// A model, by name.
    Model,
    /// A plain service, by path prefix.
    Service,
}

/// One of a route's deployments and its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Deployment whose endpoints serve the route.
    pub deployment: String,
    /// Share of the traffic, relative to the other weights.
    pub weight: u32,
}

/// A route from a model name or path prefix to deployments.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Model name or path prefix, unique.
    pub name: String,
    /// What it leads to.
    pub kind: RouteKind,
    /// Where it leads.
    pub backends: Vec<Backend>,
    /// No key is asked for.
    pub open: bool,
    /// Calls may not be repeated.
    pub non_idempotent: bool,
}

/// A model version that a deployment should serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelVersion {
    /// Deployment.
    pub deployment: String,
    /// Version of the model's weights.
    pub version: String,
}

/// A member's place in a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Seat {
    /// Member; a restarted process is another one.
    pub member: MemberId,
    /// Hash of the process's name, which a restart keeps.
    pub process: u64,
    /// Hash of its data centre's name.
    pub data_centre: u64,
}

/// The members that hold shares of rate and burst, for one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// Members that may hold shares, in ascending order.
    pub members: Vec<Seat>,
    /// Members whose majority confirms that no later roster is known.
    pub witnesses: Vec<Seat>,
}

/// A roster as folded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Epoch {
    /// The roster.
    pub roster: Roster,
    /// Offset of the settling record.
    pub settled: Option<Offset>,
    /// Witnesses of the roster before.
    pub previous: Vec<Seat>,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer.
    RemoveCustomer(String),
    /// Creates a key.
    PutKey(Key),
    /// Withdraws a key, by id, for good.
    WithdrawKey(String),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(String),
    /// Sets the model version of a deployment.
    PutModelVersion(ModelVersion),
    /// Stops new work for an endpoint, by name.
    Drain(String),
    /// Lets an endpoint have new work again, by name.
    Undrain(String),
    /// Proposes the next roster.
    PutRoster(Roster),
    /// States that a majority of the previous witnesses knows the roster.
    SettleRoster,
    /// Carries the whole state, so that earlier records may expire.
    Snapshot(Box<State>),
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Unique id of the change.
    pub id: RequestId,
    /// Version of the object that the change was based on.
    pub based_on: Offset,
    /// The change.
    pub change: Change,
}

/// Names an object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ObjectKey {
    /// A customer, by name.
    Customer(String),
    /// A key, by id.
    Key(String),
    /// A route, by name.
    Route(String),
    /// The model version of a deployment.
    ModelVersion(String),
    /// The drain of an endpoint.
    Drain(String),
    /// The roster.
    Roster,
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Object {
    /// A customer.
    Customer(Customer),
    /// A key in use.
    Key(Key),
    /// A key that was withdrawn.
    WithdrawnKey(Key),
    /// A route.
    Route(Route),
    /// A model version.
    ModelVersion(ModelVersion),
    /// A drained endpoint.
    Drained,
    /// A roster; `settled` once old holders can't be missing it.
    Roster(Epoch),
    /// A removed object.
    Removed,
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versioned {
    /// Offset of the record that last changed the object.
    pub version: Offset,
    /// Its value.
    pub value: Object,
}

/// Why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Rejection {
    /// Based on another version than the one in force.
    Conflict {
        /// Version in force.
        now_at: Offset,
    },
    /// The object does not exist.
    Missing,
    /// The change is not valid by itself.
    Invalid(String),
}

/// What a reader made of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// In force from this offset on.
    Accepted(Offset),
    /// The same request id was decided earlier.
    Repeated(Box<Verdict>),
    /// Without effect.
    Rejected(Rejection),
}

impl Record {
    /// Returns the offset that a snapshot covers.
    #[must_use]
    pub const fn covers(&self) -> Option<Offset> {
        match &self.change {
            Change::Snapshot(state) => Some(state.version()),
            _ => None,
        }
    }
}
