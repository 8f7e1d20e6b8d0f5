//! The simulation of repeated records: each stream is folded with and without
//! the copies, and both folds have to agree.

mod config;
mod jobs;

use {
    super::support::{Counts, Simulation},
    cicadagate_policy::{
        ids::{MemberId, Offset, RequestId},
        version::{
            config::State as ConfigState,
            intents::{Intent, State as IntentState},
            jobs::{Items, State as JobState},
        },
    },
    quickcheck::{Arbitrary, Gen},
};

/// Number of objects of each kind.
const OBJECTS: u8 = 3;
/// Number of records by which the writer of a record may lag behind the log.
const MAX_LAG: usize = 6;

/// A stream of the log.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    Jobs,
    Data,
    Intents,
    Config,
}

/// An append to a stream.
#[derive(Clone, Debug)]
pub enum Op {
    /// A new record on an object, written by a process that lags behind the log.
    Append {
        stream: Stream,
        kind: u8,
        object: u8,
        lag: u8,
    },
    /// One more copy of a record, the given number of records before the end.
    Repeat { stream: Stream, back: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let streams = [Stream::Jobs, Stream::Data, Stream::Intents, Stream::Config];
        let stream = *g.choose(&streams).expect("not empty");
        if u8::arbitrary(g) % 3 == 0 {
            let back = u8::arbitrary(g);
            return Self::Repeat { stream, back };
        }
        Self::Append {
            stream,
            kind: u8::arbitrary(g),
            object: u8::arbitrary(g) % OBJECTS,
            lag: u8::arbitrary(g),
        }
    }
}

/// A state that is folded from a stream.
trait Fold: Clone {
    type Record: Clone;

    fn apply(&mut self, offset: Offset, record: &Self::Record);

    /// Passes over a record without applying it.
    fn skip(&mut self, offset: Offset);

    fn is_same(&self, other: &Self) -> bool;
}

/// A stream, folded with and without the copies.
struct Log<S: Fold> {
    records: Vec<S::Record>,
    /// State after each record, which starts with the empty one.
    states: Vec<S>,
    /// State without the copies.
    expected: S,
}

impl<S: Fold> Log<S> {
    fn new(empty: S) -> Self {
        Self {
            records: Vec::new(),
            expected: empty.clone(),
            states: vec![empty],
        }
    }

    /// Returns the state of a process that lags behind the log.
    fn state_of_writer(&self, lag: u8) -> &S {
        let lag = usize::from(lag) % MAX_LAG;
        &self.states[self.states.len().saturating_sub(1 + lag)]
    }

    fn push(&mut self, record: S::Record, is_copy: bool) {
        let offset = Offset(self.records.len() as u64 + 1);
        let mut state = self.state_of_writer(0).clone();
        state.apply(offset, &record);
        self.states.push(state);
        if is_copy {
            self.expected.skip(offset);
        } else {
            self.expected.apply(offset, &record);
        }
        self.records.push(record);
    }

    /// Appends one more copy of a record; returns whether there was one.
    fn repeat(&mut self, back: u8) -> bool {
        let back = usize::from(back) % self.records.len().max(1);
        let Some(record) = self.records.iter().rev().nth(back).cloned() else {
            return false;
        };
        self.push(record, true);
        true
    }

    fn check(&self, stream: Stream) -> Result<(), String> {
        if self.state_of_writer(0).is_same(&self.expected) {
            return Ok(());
        }
        Err(format!(
            "a copy changed the state of the {stream:?} stream at record {}",
            self.records.len()
        ))
    }
}

impl Fold for IntentState {
    type Record = Intent;

    fn apply(&mut self, offset: Offset, record: &Intent) {
        Self::apply(self, offset, record);
    }

    fn skip(&mut self, offset: Offset) {
        Self::skip(self, offset);
    }

    fn is_same(&self, other: &Self) -> bool {
        let first = |state: &Self, object| state.first_member(request_id(object));
        (0..OBJECTS).all(|object| first(self, object) == first(other, object))
            && self.version() == other.version()
    }
}

fn request_id(object: u8) -> RequestId {
    RequestId::of(&object.to_string())
}

fn member(number: u8) -> MemberId {
    MemberId::of(&format!("m{}", number % OBJECTS))
}

/// All streams of the separate binaries.
pub struct RepeatedRecords {
    jobs: Log<JobState>,
    data: Log<Items>,
    intents: Log<IntentState>,
    config: Log<ConfigState>,
    counts: Counts,
}

impl Simulation for RepeatedRecords {
    type Op = Op;

    fn new() -> Self {
        Self {
            jobs: Log::new(JobState::default()),
            data: Log::new(jobs::empty_items()),
            intents: Log::new(IntentState::default()),
            config: Log::new(ConfigState::default()),
            counts: Counts::new(),
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Append {
                stream,
                kind,
                object,
                lag,
            } => self.append(stream, kind, object, lag),
            Op::Repeat { stream, back } => {
                let is_repeated = match stream {
                    Stream::Jobs => self.jobs.repeat(back),
                    Stream::Data => self.data.repeat(back),
                    Stream::Intents => self.intents.repeat(back),
                    Stream::Config => self.config.repeat(back),
                };
                if is_repeated {
                    self.count("repeated");
                }
            }
        }
        self.jobs.check(Stream::Jobs)?;
        self.data.check(Stream::Data)?;
        self.intents.check(Stream::Intents)?;
        self.config.check(Stream::Config)
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl RepeatedRecords {
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    fn append(&mut self, stream: Stream, kind: u8, object: u8, lag: u8) {
        let name = match stream {
            Stream::Jobs => {
                let number = self.jobs.records.len() as u64;
                let state = self.jobs.state_of_writer(lag);
                jobs::record(state, kind, object, number).map(|(name, record)| {
                    self.jobs.push(record, false);
                    name
                })
            }
            Stream::Data => {
                let (name, record) = jobs::data(kind, object, lag);
                self.data.push(record, false);
                Some(name)
            }
            Stream::Intents => {
                let (id, member) = (request_id(object), member(kind));
                self.intents.push(Intent { id, member }, false);
                Some("intent of a request")
            }
            Stream::Config => {
                let number = self.config.records.len() as u64;
                let state = self.config.state_of_writer(lag);
                let (name, record) = config::record(state, kind, object, number);
                self.config.push(record, false);
                Some(name)
            }
        };
        if let Some(name) = name {
            self.count(name);
        }
    }
}
