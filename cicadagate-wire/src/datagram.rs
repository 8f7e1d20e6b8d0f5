/*!
Datagrams between processes: sealed membership messages.

A datagram repeats harmlessly, since membership messages only merge, so no
running number is needed.
*/

use {
    crate::{
        key::FleetKey,
        seal::{Result, SealError, open, seal},
    },
    cicadagate_policy::process::membership::Message,
};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Turns membership messages into datagrams and back.
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
    pub fn encode(&self, message: &Message) -> Vec<u8> {
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
    pub fn decode(&self, datagram: &[u8]) -> Result<Message> {
        let body = open(&self.key, 0, datagram)?;
        postcard::from_bytes(body).map_err(|_| SealError::Undecodable)
    }
}
