/*!
Keyed MACs on messages.

A sealed message is a 16-byte MAC followed by the message. On a stream, the
key is derived from both sides' nonces and the MAC covers the direction and a
running number, so that a frame can't be repeated, left out or moved to
another connection. Frames are not encrypted: the instances' network is the
operators' own, and where it is not, a tunnel below is the better place.
*/

use snafu::Snafu;

/// A result of this module.
pub type Result<T, E = SealError> = std::result::Result<T, E>;

/// Length of a MAC in bytes.
pub const MAC_BYTES: usize = 16;

/// Why a sealed message was refused.
#[derive(Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SealError {
    /// It is shorter than a MAC.
    #[snafu(display("message too short"))]
    TooShort,
    /// The MAC is wrong.
    #[snafu(display("message without the fleet's key"))]
    WrongMac,
    /// The MAC is right, but the message can't be decoded.
    #[snafu(display("message can't be decoded"))]
    Undecodable,
    /// The frame is longer than allowed.
    #[snafu(display("frame of {bytes} bytes is too long"))]
    TooLong {
        /// Announced length.
        bytes: usize,
    },
}

fn mac(key: &[u8; 32], number: u64, message: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&number.to_le_bytes());
    hasher.update(message);
    hasher.finalize()
}

/// Appends the sealed message to `out`.
pub fn seal(key: &[u8; 32], number: u64, message: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&mac(key, number, message).as_bytes()[..MAC_BYTES]);
    out.extend_from_slice(message);
}

/// Returns the message in a sealed one.
///
/// # Errors
///
/// Returns an error if it was not sealed with the key and number.
pub fn open<'a>(key: &[u8; 32], number: u64, sealed: &'a [u8]) -> Result<&'a [u8]> {
    let Some((given, message)) = sealed.split_at_checked(MAC_BYTES) else {
        return Err(SealError::TooShort);
    };
    let expected = mac(key, number, message);
    // Comparison in constant time: the hash type's equality is.
    let mut padded = *expected.as_bytes();
    padded[..MAC_BYTES].copy_from_slice(given);
    if expected == blake3::Hash::from_bytes(padded) {
        Ok(message)
    } else {
        Err(SealError::WrongMac)
    }
}
