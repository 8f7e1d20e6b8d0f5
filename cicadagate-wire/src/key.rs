/*!
The fleet's key and what is derived from it.

Each use gets a key of its own by the hash's key derivation, so that a value
made for one use is worthless for another.
*/

use {
    snafu::{OptionExt, Snafu},
    std::fmt,
};

/// A result of this module.
pub type Result<T, E = InvalidKey> = std::result::Result<T, E>;

/// The fleet's key is not 64 hexadecimal digits.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the fleet's key must be 64 hexadecimal digits"))]
pub struct InvalidKey;

/// The key that all processes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Reads a key from hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error if there are not exactly 64 of them.
    pub fn from_hex(hex: &str) -> Result<Self> {
        let bytes = decode_hex(hex).context(InvalidKeySnafu)?;
        Ok(Self(bytes.try_into().ok().context(InvalidKeySnafu)?))
    }

    /// Derives the key for one use.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(&format!("cicadagate {purpose}"), &self.0)
    }

    /// Keyed hash of a caller's key, as the configuration stores it.
    #[must_use]
    pub fn hash_caller_key(&self, secret: &str) -> [u8; 32] {
        *blake3::keyed_hash(&self.derive("caller keys v1"), secret.as_bytes()).as_bytes()
    }
}

/// Writes bytes as hexadecimal digits.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from_digit(u32::from(value), 16).unwrap_or('0');
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)])
        .collect()
}

/// Reads hexadecimal digits, `None` if they are none.
#[must_use]
pub fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    if !hex.len().is_multiple_of(2) || !hex.is_ascii() {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).ok())
        .collect()
}
