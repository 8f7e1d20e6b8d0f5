/*!
Server-sent events, as far as inference engines use them.
*/

use bytes::{Buf, Bytes, BytesMut};

/// Longest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a stream of bytes into the data of its events.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    buf: BytesMut,
}

impl EventParser {
    /// Takes received bytes; returns whether the current event is not too long.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next whole event.
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
