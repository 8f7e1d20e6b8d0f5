/*!
Records of the configuration stream and the objects that they change.
*/

use {
    super::State,
    crate::ids::{MemberId, Offset, RequestId},
    serde::{Deserialize, Serialize},
};

/// Number of request ids kept in the state to detect repeated records.
pub const MAX_DECIDED_IDS: usize = 4096;
/// Maximum length of an object's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of members in a roster.
pub const MAX_ROSTER_MEMBERS: usize = 4096;
/// Maximum number of witnesses of a roster.
pub const MAX_WITNESSES: usize = 15;
/// Maximum rate of a customer, in thousandths of a request per second.
pub const MAX_RATE_MILLI_RPS: u64 = 1_000_000_000;
/// Maximum burst of a customer, in requests.
pub const MAX_BURST: u32 = 1_000_000;

/// A customer and its rate limit across the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Customer {
    /// Name, unique.
    pub name: String,
    /// Rate, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Requests that may arrive at once after an idle time.
    pub burst: u32,
}

/// An API key, stored as a keyed hash.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Public id of the key.
    pub id: String,
    /// Customer that the key belongs to.
    pub customer: String,
    /// Keyed hash of the secret.
    pub hash: [u8; 32],
}

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// Routes requests for a model, by its name.
    Model,
    /// Routes requests for a plain service, by path prefix.
    Service,
}

/// A deployment of a route and its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Deployment whose endpoints serve the route.
    pub deployment: String,
    /// Share of the traffic, relative to the weights of the other deployments.
    pub weight: u32,
}

/// A route from a model name or path prefix to deployments.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Model name or path prefix, unique.
    pub name: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Deployments and their shares.
    pub backends: Vec<Backend>,
    /// Requests need no API key.
    pub open: bool,
    /// A request must not run more than once.
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

/// A member of a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RosterMember {
    /// Id of the member; a restarted process is another member.
    pub member: MemberId,
    /// Hash of the process's name, which stays the same over a restart.
    pub process: u64,
    /// Hash of the name of the data centre.
    pub data_centre: u64,
}

/// The members that may hold shares of the customers' rates and bursts, for one
/// epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// Members that may hold shares, in ascending order.
    pub members: Vec<RosterMember>,
    /// Members of which a majority has to confirm that no later roster is
    /// known.
    pub witnesses: Vec<RosterMember>,
}

/// A roster with its state in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Epoch {
    /// The roster.
    pub roster: Roster,
    /// Offset of the record that settled the roster, if it is settled.
    pub settled: Option<Offset>,
    /// Witnesses of the previous roster.
    pub previous: Vec<RosterMember>,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer.
    RemoveCustomer(String),
    /// Creates or replaces an API key that was not withdrawn.
    PutKey(Key),
    /// Withdraws an API key permanently, by id.
    WithdrawKey(String),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(String),
    /// Sets the model version of a deployment.
    PutModelVersion(ModelVersion),
    /// Stops new work for an endpoint, by name.
    Drain(String),
    /// Allows new work for an endpoint again, by name.
    Undrain(String),
    /// Proposes the next roster.
    PutRoster(Roster),
    /// Settles the roster: a majority of the previous witnesses has read the
    /// proposal.
    SettleRoster,
    /// Contains the whole state, so that earlier records may expire.
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

/// Identifies an object of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ObjectKey {
    /// A customer, by name.
    Customer(String),
    /// An API key, by id.
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
    /// An API key in use.
    Key(Key),
    /// An API key that was withdrawn.
    WithdrawnKey(Key),
    /// A route.
    Route(Route),
    /// A model version.
    ModelVersion(ModelVersion),
    /// A drained endpoint.
    Drained,
    /// A roster; it is settled once no holder that has not read it can renew
    /// its contact.
    Roster(Epoch),
    /// A removed object; the tombstone.
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

/// The reason why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Rejection {
    /// The change was based on another version than the one in force.
    Conflict {
        /// Version in force.
        now_at: Offset,
    },
    /// The object does not exist.
    Missing,
    /// The change is not valid; the reason.
    Invalid(String),
}

/// What was decided on a record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Verdict {
    /// The change is in force from this offset on.
    Accepted(Offset),
    /// The request id was decided on earlier, with this verdict.
    Repeated(Box<Verdict>),
    /// The change has no effect.
    Rejected(Rejection),
}

impl Record {
    /// Returns the offset up to which a snapshot covers the stream, or `None`
    /// for other records.
    #[must_use]
    pub const fn covers(&self) -> Option<Offset> {
        match &self.change {
            Change::Snapshot(state) => Some(state.version()),
            _ => None,
        }
    }
}
