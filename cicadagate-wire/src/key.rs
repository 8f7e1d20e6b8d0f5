/*!
The fleet's key and the subkeys derived from it.

Each purpose has its own subkey, derived with BLAKE3's key derivation mode, so
that a MAC or hash made for one purpose is not valid for another.
*/

use {
    snafu::{OptionExt, Snafu},
    std::fmt,
};

/// Result type of this module.
pub type Result<T, E = InvalidKey> = std::result::Result<T, E>;

/// Error for a fleet key that is not 64 hexadecimal digits.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("the fleet's key must be 64 hexadecimal digits"))]
pub struct InvalidKey;

/// Secret key shared by all processes of a fleet.
///
/// `Debug` does not print the key.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Parses a key from hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns an error unless `hex` is exactly 64 hexadecimal digits.
    pub fn from_hex(hex: &str) -> Result<Self> {
        let bytes = decode_hex(hex).context(InvalidKeySnafu)?;
        Ok(Self(bytes.try_into().ok().context(InvalidKeySnafu)?))
    }

    /// Derives the subkey for one purpose.
    #[must_use]
    pub fn derive_subkey(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(&format!("cicadagate {purpose}"), &self.0)
    }

    /// Returns the keyed hash of a caller's API key, as stored in the
    /// configuration.
    #[must_use]
    pub fn hash_api_key(&self, secret: &str) -> [u8; 32] {
        *blake3::keyed_hash(&self.derive_subkey("caller keys v1"), secret.as_bytes()).as_bytes()
    }
}

/// Encodes bytes as lowercase hexadecimal digits.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from_digit(u32::from(value), 16).unwrap_or('0');
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)])
        .collect()
}

/// Decodes hexadecimal digits; returns `None` if the input is malformed.
#[must_use]
pub fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    if !hex.len().is_multiple_of(2) || !hex.is_ascii() {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&hex[start..start + 2], 16).ok())
        .collect()
}
