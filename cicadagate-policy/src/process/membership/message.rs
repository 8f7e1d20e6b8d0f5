/*!
Messages of the membership protocol.
*/

use {
    crate::ids::{MemberId, Offset, hash64},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Serves the callers.
    Entry,
    /// Sends requests to the endpoints.
    Dispatch,
    /// Runs batch jobs.
    Batch,
    /// Serves the operators' RPC.
    Operator,
}

impl Role {
    /// Returns the role's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Dispatch => "dispatch",
            Self::Batch => "batch",
            Self::Operator => "operator",
        }
    }
}

/// A member's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Info {
    /// Id of the member; a restarted process has another one.
    pub id: MemberId,
    /// Instance that it runs on.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Role of the process.
    pub role: Role,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for TCP connections.
    pub tcp: SocketAddr,
    /// Start time in milliseconds since the Unix epoch, to order restarts.
    pub started: u64,
    /// Configuration version in force.
    pub version: Offset,
    /// Whether its address is no longer advertised to callers.
    pub leaving: bool,
}

impl Info {
    /// Returns the hash of the process's name, which a restart keeps.
    #[must_use]
    pub fn process_hash(&self) -> u64 {
        hash64(&[self.instance.as_bytes(), self.role.name().as_bytes()])
    }
}

/// Health of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Health {
    /// Acknowledges probes.
    Alive,
    /// Did not acknowledge a probe and may still refute that it is dead.
    Suspect,
    /// Did not refute a suspicion in time, or was superseded by a restart.
    Dead,
    /// Announced that it stops.
    Left,
}

/// A membership update about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The member's description of itself.
    pub info: Info,
    /// Version of the update; rises with each refutation and each change of
    /// `info`.
    pub incarnation: u64,
    /// Health of the member.
    pub health: Health,
}

/// A datagram between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Kind and its arguments.
    pub kind: MessageKind,
    /// Piggybacked membership updates.
    pub updates: Vec<Update>,
    /// Piggybacked hashes of withdrawn keys.
    pub withdrawn: Vec<[u8; 32]>,
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an acknowledgement.
    Ping {
        /// Sequence number of the probe at its sender.
        seq: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the probe.
        seq: u64,
        /// The acknowledging member. A later process may have bound the
        /// target's address.
        from: MemberId,
    },
    /// Requests an indirect probe of a target.
    PingReq {
        /// Sequence number of the probe.
        seq: u64,
        /// Address of the target.
        target: SocketAddr,
    },
}
