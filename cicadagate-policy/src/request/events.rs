/*!
Cutting an event stream into whole events.

# Problem

A replica may stop in the middle of an event. A caller must see each event
once and whole, also when the stream goes on at another replica.

# Choice

Bytes are held back until the blank line that ends an event. An event that is
whole is passed on unchanged, and its id is the point from which the stream
can be resumed. Events at or before that point are dropped, so a replica that
starts too early does no harm; one that starts too late shows as a gap.
*/

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a longer one is an error of the replica.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes as they came, with the blank line.
    pub raw: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

impl Event {
    /// Returns the event's data, its lines joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Option<Vec<u8>> {
        let mut data: Option<Vec<u8>> = None;
        for line in lines(&self.raw) {
            let Some(value) = field(line, b"data") else {
                continue;
            };
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
        data
    }
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    scanned: usize,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl Splitter {
    /// Takes bytes of a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if no event ends within [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let raw = self.buf.split_to(end).freeze();
        let id = lines(&raw)
            .filter_map(|line| field(line, b"id"))
            .next_back()
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|value| value.parse().ok());
        Some(Event { raw, id })
    }

    /// Tells whether an event has begun and not ended.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let buf = &self.buf[..];
        let mut at = self.scanned.saturating_sub(3);
        while at + 1 < buf.len() {
            if buf[at] == b'\n' {
                if buf[at + 1] == b'\n' {
                    return Some(at + 2);
                }
                if buf[at + 1] == b'\r' && buf.get(at + 2) == Some(&b'\n') {
                    return Some(at + 3);
                }
            }
            at += 1;
        }
        self.scanned = buf.len();
        None
    }
}

fn lines(raw: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    raw.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// What to do with an event of a stream that may have been resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Join {
    /// Pass it on.
    Pass,
    /// Drop it: it was passed on before.
    Drop,
    /// An event is missing: the run can't be used.
    Gap,
}

/// Keeps the events of several runs in one gapless order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Joiner {
    last: Option<u64>,
}

impl Joiner {
    /// Goes on after an event that the caller has.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the id after which the stream goes on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes the id of the next event.
    pub const fn take(&mut self, id: Option<u64>) -> Join {
        // Comments and other events without an id carry no position.
        let Some(id) = id else {
            return Join::Pass;
        };
        match self.last {
            Some(last) if id <= last => Join::Drop,
            Some(last) if id > last + 1 => Join::Gap,
            _ => {
                self.last = Some(id);
                Join::Pass
            }
        }
    }
}
