/*!
Parser for server-sent events, limited to what inference engines send.

Events end with an empty line (`\n\n`). Each is expected to consist of a single
`data: ` field; events that don't start with one are skipped.
*/

use bytes::{Buf, Bytes, BytesMut};

/// Maximum number of buffered bytes, and so of the length of an event.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    buf: BytesMut,
}

impl EventParser {
    /// Appends received bytes; returns `false` if more than
    /// [`MAX_EVENT_BYTES`] are buffered.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next complete event.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buf.split_to(end).freeze();
            self.buf.advance(2);
            if let Some(data) = event.strip_prefix(b"data: ") {
                return Some(event.slice_ref(data));
            }
        }
    }
}
