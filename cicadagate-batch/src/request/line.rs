/*!
One line of a job's input file.
*/

use {serde::Deserialize, serde_json::Value};

/// A line in the format of the inference protocol.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Line {
    pub custom_id: String,
    pub method: String,
    pub url: String,
    pub body: Value,
}

#[derive(Deserialize)]
struct CustomIdOnly {
    custom_id: String,
}

impl Line {
    /// Checks the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns a message that names the first invalid field.
    pub fn check(&self) -> Result<(), String> {
        if self.custom_id.is_empty() || self.custom_id.len() > 512 {
            return Err("'custom_id' must have 1 to 512 bytes".to_owned());
        }
        if self.method != "POST" {
            return Err("'method' must be POST".to_owned());
        }
        if !self.url.starts_with('/') {
            return Err("'url' must be a path".to_owned());
        }
        if !self.body.is_object() {
            return Err("'body' must be an object".to_owned());
        }
        Ok(())
    }

    /// Returns the `custom_id` of an undecoded line; empty if it has none.
    pub fn custom_id(line: &[u8]) -> String {
        serde_json::from_slice::<CustomIdOnly>(line)
            .map(|named| named.custom_id)
            .unwrap_or_default()
    }
}
