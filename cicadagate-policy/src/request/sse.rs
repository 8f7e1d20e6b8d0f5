/*!
Splitting of a server-sent event stream into complete events.

# Problem

A replica may fail in the middle of an event. A caller must receive each event
once and complete, even if the stream resumes at another replica.

# Choice

Bytes are buffered until the blank line that ends an event. A complete event
is passed on unchanged, and its id marks the point from which the stream can
be resumed. Events up to that point are dropped, so a replica that starts too
early does no harm. One that starts too late is detected as a gap.

A stream that ends within an event was cut short, whatever the framing of its
body says. If only the end of its connection ends it, so was a stream without any
event. One that ends after an event counts as complete, since nothing tells the
two apart.

Bytes up to a blank line that have no field of an event, such as the head of another
response, are no event.
*/

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes buffered without the end of an event. A replica that
/// exceeds it is treated as failed.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Length from which an event does not share its memory with what follows it, which would keep
/// all of it. In bytes.
const LARGE_EVENT_BYTES: usize = 16 * 1024;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, including the blank line.
    pub raw: Bytes,
    /// The id, if there is a numeric one.
    pub id: Option<u64>,
}

/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

impl Event {
    /// Returns whether the bytes have a field of an event or a comment, or are blank lines:
    /// anything else was not written as an event.
    #[must_use]
    pub fn is_event(&self) -> bool {
        let is_known = |line: &[u8]| {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            line.starts_with(b":") || FIELDS.contains(&name)
        };
        is_blank(&self.raw) || lines(&self.raw).any(is_known)
    }

    /// Returns the event's data lines, joined by line feeds.
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

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
    /// Length of the part of `buf` that holds no end of an event.
    scanned_len: usize,
    has_returned_event: bool,
}

/// The error for an event that does not end within [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Why a stream whose body has ended is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCutShort {
    /// Its last event is not complete.
    WithinEvent,
    /// It has no event, and only the end of its connection ended it.
    BeforeFirstEvent,
}

impl StreamCutShort {
    /// Returns the reason for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WithinEvent => "stream ended within an event",
            Self::BeforeFirstEvent => "connection ended before the first event",
        }
    }
}

impl EventParser {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if more than [`MAX_EVENT_BYTES`] are buffered and no
    /// event ends in them.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned_len = 0;
        self.has_returned_event = true;
        let raw = self.buf.split_to(end).freeze();
        if raw.len() >= LARGE_EVENT_BYTES && self.buf.len() < raw.len() {
            self.buf = BytesMut::from(&self.buf[..]);
        }
        let id = lines(&raw)
            .filter_map(|line| field(line, b"id"))
            .next_back()
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|value| value.parse().ok());
        Some(Event { raw, id })
    }

    /// Returns `true` if the bytes buffered are the start of an event that is
    /// not complete. Blank lines are not.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !is_blank(&self.buf)
    }

    /// Checks the end of the stream's body, and returns the blank lines after
    /// its last event. `is_marked` says whether the body's framing marks its
    /// end; the end of the connection alone does not.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was cut short.
    pub fn end(&mut self, is_marked: bool) -> Result<Bytes, StreamCutShort> {
        if self.has_partial_event() {
            return Err(StreamCutShort::WithinEvent);
        }
        if !is_marked && !self.has_returned_event {
            return Err(StreamCutShort::BeforeFirstEvent);
        }
        Ok(self.buf.split().freeze())
    }

    /// Returns the number of bytes that have not been returned as events.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the length of the first complete event in the buffer.
    fn find_end(&mut self) -> Option<usize> {
        let buf = &self.buf[..];
        let mut pos = self.scanned_len.saturating_sub(3);
        while pos + 1 < buf.len() {
            if buf[pos] == b'\n' {
                if buf[pos + 1] == b'\n' {
                    return Some(pos + 2);
                }
                if buf[pos + 1] == b'\r' && buf.get(pos + 2) == Some(&b'\n') {
                    return Some(pos + 3);
                }
            }
            pos += 1;
        }
        self.scanned_len = buf.len();
        None
    }
}

/// Returns whether bytes hold nothing but ends of lines.
fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| b"\r\n".contains(byte))
}

fn lines(raw: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    raw.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the value of a line of the form `name: value`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// What to do with an event of a stream that may have been resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// Pass it on.
    Pass,
    /// Drop it: it was already passed on.
    Drop,
    /// An event is missing: the rest of this attempt can't be used.
    Gap,
}

/// Checks that the events of several attempts form one sequence without
/// duplicates and gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSequencer {
    last: Option<u64>,
}

impl EventSequencer {
    /// Creates a sequencer that continues after the last event that the caller
    /// has.
    #[must_use]
    pub const fn resume_after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the id of the last event passed on, after which the stream
    /// resumes.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the id of the next event, and advances if it is next in sequence.
    /// The first event may have any id.
    pub const fn accept(&mut self, id: Option<u64>) -> SequenceCheck {
        // Comments and other events without an id carry no position.
        let Some(id) = id else {
            return SequenceCheck::Pass;
        };
        match self.last {
            Some(last) if id <= last => SequenceCheck::Drop,
            Some(last) if id > last + 1 => SequenceCheck::Gap,
            _ => {
                self.last = Some(id);
                SequenceCheck::Pass
            }
        }
    }
}
