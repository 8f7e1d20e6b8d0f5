/*!
Message authentication with keyed MACs.

An authenticated message is a 16-byte MAC followed by the message. On a
connection, each direction has a key of its own, derived from both sides'
nonces, and the MAC also covers a sequence number, so that a frame can't be
replayed, dropped, reordered or moved to another connection unnoticed. Datagrams
have one key for all processes and always use the sequence number 0.

Messages are not encrypted: the network between instances belongs to the
operators, and where it does not, a tunnel below this layer is the better place
for encryption.
*/

use snafu::Snafu;

/// Result type of this module.
pub type Result<T, E = DecodeError> = std::result::Result<T, E>;

/// Length of a MAC in bytes.
pub const MAC_BYTES: usize = 16;

/// Why a frame or datagram was rejected.
#[derive(Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum DecodeError {
    /// The message is shorter than a MAC.
    #[snafu(display("message is shorter than its MAC"))]
    TooShort,
    /// The MAC does not match the message: the sender has another key, or the
    /// message was changed, replayed or reordered.
    #[snafu(display("MAC does not match (another fleet key, or a changed or replayed message)"))]
    WrongMac,
    /// The MAC matches, but the message can't be decoded.
    #[snafu(display("message body can't be decoded"))]
    Undecodable,
    /// The frame exceeds the maximum length.
    #[snafu(display("frame of {bytes} bytes exceeds the maximum length"))]
    TooLong {
        /// Length in the frame's header, in bytes.
        bytes: usize,
    },
}

fn mac(key: &[u8; 32], sequence: u64, message: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(message);
    hasher.finalize()
}

/// Appends the MAC and the message to `out`.
///
/// The MAC covers `sequence`, which is not sent.
pub fn append_authenticated(key: &[u8; 32], sequence: u64, message: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&mac(key, sequence, message).as_bytes()[..MAC_BYTES]);
    out.extend_from_slice(message);
}

/// Verifies an authenticated message and returns it without the MAC.
///
/// # Errors
///
/// Returns an error if the message is shorter than a MAC, or if the MAC was not
/// made with this key and sequence number.
pub fn verify<'a>(key: &[u8; 32], sequence: u64, authenticated: &'a [u8]) -> Result<&'a [u8]> {
    let Some((received, message)) = authenticated.split_at_checked(MAC_BYTES) else {
        return Err(DecodeError::TooShort);
    };
    let expected = mac(key, sequence, message);
    // `blake3::Hash` compares in constant time. The bytes that are not sent are
    // filled in from the expected hash.
    let mut padded = *expected.as_bytes();
    padded[..MAC_BYTES].copy_from_slice(received);
    if expected == blake3::Hash::from_bytes(padded) {
        Ok(message)
    } else {
        Err(DecodeError::WrongMac)
    }
}
