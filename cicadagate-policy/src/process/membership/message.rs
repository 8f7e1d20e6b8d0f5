/*!
What members tell each other.
*/

use {
    crate::ids::{MemberId, Offset, hash64},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// The callers' side.
    Entry,
    /// The endpoints' side.
    Dispatch,
    /// Batch jobs.
    Batch,
    /// The operators' RPC.
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

/// What a member tells about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Info {
    /// Id; a restarted process has another one.
    pub id: MemberId,
    /// Instance that it runs on.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// What it does.
    pub role: Role,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for its main connections.
    pub tcp: SocketAddr,
    /// Milliseconds since the epoch at its start, to order restarts.
    pub started: u64,
    /// Configuration version in force.
    pub version: Offset,
    /// It is no longer given out to callers.
    pub leaving: bool,
}

impl Info {
    /// Hash of the process's name, which a restart keeps.
    #[must_use]
    pub fn process(&self) -> u64 {
        hash64(&[self.instance.as_bytes(), self.role.name().as_bytes()])
    }
}

/// How a member fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Health {
    /// Answers.
    Alive,
    /// Did not answer lately.
    Suspect,
    /// Did not refute a suspicion.
    Dead,
    /// Said that it stops.
    Left,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// What the member tells about itself.
    pub info: Info,
    /// Rises with each refutation and each change of `info`.
    pub incarnation: u64,
    /// How it fares.
    pub health: Health,
}

/// A datagram between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Kind and its arguments.
    pub kind: Kind,
    /// News that travel along.
    pub updates: Vec<Update>,
    /// Withdrawn keys that travel along.
    pub withdrawn: Vec<[u8; 32]>,
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe at its sender.
        seq: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// Who answers: at the target's address there may be a later process.
        from: MemberId,
    },
    /// Asks to probe a target on one's behalf.
    PingReq {
        /// Number of the probe.
        seq: u64,
        /// Address of the target.
        target: SocketAddr,
    },
}
