/*!
A line of a job's input file.
*/

use {serde::Deserialize, serde_json::Value};

/// A line, as the inference protocol defines it.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Line {
    pub custom_id: String,
    pub method: String,
    pub url: String,
    pub body: Value,
}

#[derive(Deserialize)]
struct Named {
    custom_id: String,
}

impl Line {
    /// Checks what the types leave open.
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

    /// Reads only the id of a line.
    pub fn custom_id(line: &[u8]) -> String {
        serde_json::from_slice::<Named>(line)
            .map(|named| named.custom_id)
            .unwrap_or_default()
    }
}
