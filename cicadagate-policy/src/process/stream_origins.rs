/*!
Which software version of a service began a stream.

# Problem

Replicas of several software versions may serve side by side in one service, and what
two of them write doesn't fit together: a stream that lost its replica may go on only at
the version that began it. Replicas don't check this. A caller may resume a stream at
any member, also since the member that served it so far has ended.

# Choice

Before a member passes on the first event of a stream that may be resumed, it tells
[`HOLDERS`] members, chosen by rendezvous hashing and spread over data centres, which
version began the stream. A member at which a caller resumes a stream asks the members
that rank highest for it, more of them than are told, since members may have
joined or left. Each attempt of a caller has an id of its own and its first event never
changes, so that what is told about a stream is never corrected: the first word counts.

If nobody knows, since all of them ended, the stream goes on only if the service has had
a single version for [`VERSION_MEMORY_MS`]; otherwise it is refused.
[`version_record`](super::version_record) shows that after a restart of all members.

# Cost

[`HOLDERS`] datagrams for each resumable stream, an entry of some forty bytes at each
holder for [`ORIGIN_TTL_MS`], and up to [`MAX_ASKED`] queries for each resumption. None
depends on the number of members.
*/

use {
    super::placement::{PlacementCandidate, spread_over_data_centres},
    crate::{
        fault_injection::{Fault, is_injected},
        ids::{EndpointId, MemberId, SoftwareVersion, StreamId},
        time::Time,
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Members that are told which version began a stream.
pub const HOLDERS: usize = 3;
/// Most members that are asked which version began a stream.
pub const MAX_ASKED: usize = 8;
/// Time for which the origin of a stream is remembered, in milliseconds: longer than
/// callers wait for a stream.
pub const ORIGIN_TTL_MS: u64 = 60_000;
/// Most streams whose origin is remembered. The oldest are dropped first.
pub const MAX_ORIGINS: usize = 32_768;
/// Time for which a version counts as one that a stream may have begun at, after the last
/// registration of a replica that runs it, in milliseconds.
pub const VERSION_MEMORY_MS: u64 = ORIGIN_TTL_MS;

/// A message between members about the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StreamOriginMessage {
    /// A stream began.
    Began {
        /// The stream.
        stream: StreamId,
        /// The version that began it.
        version: SoftwareVersion,
    },
    /// Asks which version began a stream.
    Ask {
        /// Sequence number of the query at its sender.
        seq: u64,
        /// The stream.
        stream: StreamId,
    },
    /// The reply to a query.
    Answer {
        /// Sequence number of the query.
        seq: u64,
        /// The version that began the stream, if it is known.
        version: Option<SoftwareVersion>,
    },
    /// The store lists a version.
    Recorded {
        /// The version.
        version: SoftwareVersion,
    },
    /// The store no longer lists a version.
    Removed {
        /// The version.
        version: SoftwareVersion,
    },
    /// Contact with a replica was lost, so that it may have restarted with other software.
    LostContact {
        /// The replica.
        endpoint: EndpointId,
        /// Whether it refused a connection.
        is_refused: bool,
    },
}

/// Returns the members to tell about a stream, from all that work.
#[must_use]
pub fn holders(stream: StreamId, members: &[PlacementCandidate]) -> Vec<MemberId> {
    spread_over_data_centres(stream.raw(), HOLDERS, members)
}

/// Returns the members to ask about a stream, from all that may be alive.
#[must_use]
pub fn members_to_ask(stream: StreamId, members: &[PlacementCandidate]) -> Vec<MemberId> {
    let count = if is_injected(Fault::AskOneHolder) {
        1
    } else {
        MAX_ASKED
    };
    spread_over_data_centres(stream.raw(), count, members)
}

/// The versions that began streams, as far as a member knows.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamId, SoftwareVersion>,
    /// The streams in `known` in the order in which they expire.
    expiry: VecDeque<(Time, StreamId)>,
}

impl StreamOrigins {
    /// Records which version began a stream. A stream that is known stays as it is.
    pub fn note(&mut self, now: Time, stream: StreamId, version: SoftwareVersion) {
        self.expire(now);
        if self.known.contains_key(&stream) {
            return;
        }
        if self.known.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        self.known.insert(stream, version);
        self.expiry.push_back((now.plus(ORIGIN_TTL_MS), stream));
    }

    /// Returns the version that began a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamId) -> Option<SoftwareVersion> {
        self.known.get(&stream).copied()
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self.expiry.front().is_some_and(|(until, _)| *until <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.expiry.pop_front() {
            self.known.remove(&stream);
        }
    }
}

/// The versions of each service that were registered lately.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    last_registered: HashMap<String, Vec<(SoftwareVersion, Time)>>,
}

impl VersionHistory {
    /// Records that a replica which runs a version is registered.
    pub fn note(&mut self, now: Time, service: &str, version: SoftwareVersion) {
        if !self.last_registered.contains_key(service) {
            let service = service.to_owned();
            self.last_registered.insert(service, Vec::new());
        }
        let Some(versions) = self.last_registered.get_mut(service) else {
            return;
        };
        versions.retain(|(known, at)| *known != version && now.since(*at) < VERSION_MEMORY_MS);
        versions.push((version, now));
    }

    /// Returns whether a service has replicas of several versions, or had some lately.
    #[must_use]
    pub fn has_several(
        &self,
        now: Time,
        service: &str,
        present: impl Iterator<Item = SoftwareVersion>,
    ) -> bool {
        let mut versions = self.versions(now, service, present);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Returns the only version of a service at which a stream may have begun; `None` if
    /// there are several or none. `present` are the versions of the replicas that
    /// are known now.
    #[must_use]
    pub fn only_version(
        &self,
        now: Time,
        service: &str,
        present: impl Iterator<Item = SoftwareVersion>,
    ) -> Option<SoftwareVersion> {
        let mut versions = self.versions(now, service, present);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    fn versions(
        &self,
        now: Time,
        service: &str,
        present: impl Iterator<Item = SoftwareVersion>,
    ) -> impl Iterator<Item = SoftwareVersion> {
        let remembered = self.last_registered.get(service).into_iter().flatten();
        let remembered = remembered
            .filter(move |(_, at)| now.since(*at) < VERSION_MEMORY_MS)
            .map(|(version, _)| *version);
        present.chain(remembered)
    }
}
