/*!
Authenticated UDP datagrams between processes.

Each datagram is a MAC followed by a `postcard` message. Unlike that of a frame
on a connection, the MAC of a datagram covers no running sequence number (it is
always 0), so a replayed datagram is accepted. Membership messages merge, load
reports are numbered by their sender, and slot messages state how many slots of
the replica their sender occupies in total, so a replay has no lasting effect. A
replayed word about a stream's software version changes nothing, since the first one counts.
Replayed changes of registrations are at offsets that the receiver already has.
A replayed message about crashes can suspect parts of prompts again until a request with
them completes. A replayed query for a trial of a quarantined part takes at most one of its few trials. A replayed request for a slot at a replica that names a request rate takes another of its
tokens at the owner of the slots; a replayed rate-limit request takes another token at the owner of
the customer's limit.
*/

use {
    crate::{
        key::FleetKey,
        mac::{DecodeError, Result, append_authenticated, verify},
    },
    cicadagate_policy::process::{
        membership::Message,
        quarantine::{QuarantineMessage, trials::TrialMessage},
        rate_limit::LimitMessage,
        reachability::CutOffMessage,
        registration_readers::{DatedNews, RegistrationNews},
        reports::Report,
        slot_ledger::SlotMessage,
        stream_origins::StreamOriginMessage,
        unresolved_jobs::UnresolvedJobMessage,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A membership probe, its acknowledgement, or updates about members.
    Membership(Message),
    /// A member's load report.
    Report(Report),
    /// A request, reply or update about the slots of a replica.
    Slot(SlotMessage),
    /// A request or reply about a customer's rate limit.
    Limit(LimitMessage),
    /// Crashes of replicas, and quarantined parts of prompts.
    Quarantine(QuarantineMessage),
    /// The software version that began a stream, or a query for it.
    StreamOrigin(StreamOriginMessage),
    /// Services from which the sender is cut off.
    CutOff(CutOffMessage),
    /// Changes of replicas' registrations, from a member of an older build that reads them
    /// for others.
    Registrations(RegistrationNews),
    /// A submission of a batch job without an outcome, or a query for it.
    UnresolvedJob(UnresolvedJobMessage),
    /// Changes of replicas' registrations, from a member that reads them for others.
    DatedRegistrations(DatedNews),
    /// Trials of quarantined parts of requests.
    QuarantineTrial(TrialMessage),
}

/// Encodes and decodes datagrams.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    key: [u8; 32],
}

impl DatagramCodec {
    /// Creates a codec with a subkey of the fleet's key.
    #[must_use]
    pub fn new(key: &FleetKey) -> Self {
        Self {
            key: key.derive_subkey("datagrams v1"),
        }
    }

    /// Encodes a message as a datagram.
    #[must_use]
    pub fn encode<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let mut out = Vec::with_capacity(body.len() + 16);
        append_authenticated(&self.key, 0, &body, &mut out);
        out
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the MAC is missing or wrong, or if the body does not
    /// decode as a `T`.
    pub fn decode<T: DeserializeOwned>(&self, datagram: &[u8]) -> Result<T> {
        let body = verify(&self.key, 0, datagram)?;
        postcard::from_bytes(body).map_err(|_| DecodeError::Undecodable)
    }
}
