/*!
Datagrams between processes: sealed messages.

A datagram repeats harmlessly, since membership messages only merge and load
reports are numbered by their sender, so no running number is needed.
*/

use {
    crate::{
        key::FleetKey,
        seal::{Result, SealError, open, seal},
    },
    cicadagate_policy::process::{
        membership::Message, rate_limit::LimitMessage, reports::Report, slot_ledger::SlotMessage,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// News about members.
    Membership(Message),
    /// A member's load.
    Report(Report),
    /// A question or news about slots.
    Slot(SlotMessage),
    /// A question about a customer's limit.
    Limit(LimitMessage),
}

/// Turns messages into datagrams and back.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    key: [u8; 32],
}

impl DatagramCodec {
    /// Makes a codec under the fleet's key.
    #[must_use]
    pub fn new(key: &FleetKey) -> Self {
        Self {
            key: key.derive("datagrams v1"),
        }
    }

    /// Encodes a message.
    #[must_use]
    pub fn encode<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let mut out = Vec::with_capacity(body.len() + 16);
        seal(&self.key, 0, &body, &mut out);
        out
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not sealed with the fleet's key or holds no
    /// message.
    pub fn decode<T: DeserializeOwned>(&self, datagram: &[u8]) -> Result<T> {
        let body = open(&self.key, 0, datagram)?;
        postcard::from_bytes(body).map_err(|_| SealError::Undecodable)
    }
}
