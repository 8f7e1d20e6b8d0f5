/*!
Small `Copy` identifiers.

Customers, instances and endpoints have string names in the configuration and
in messages that operators read. The decision functions use hashes of those
names instead: eight bytes that can be copied, compared and sorted.
With thousands of names, which is what cicadagate is designed for, a collision
of 64-bit hashes has a probability below 1e-12. That risk is accepted in
exchange for not carrying strings.
*/

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Returns a 64-bit hash of length-prefixed parts.
#[must_use]
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut out = [0; 8];
    out.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(out)
}

/// Combines two hashes into a third.
///
/// Rendezvous hashing scores every member for every key. A cryptographic hash
/// would be most of the cost of a placement, without a benefit, since the
/// inputs are distributed evenly already.
#[must_use]
pub const fn mix64(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64 over the sum, with `b` mixed in a second
    // time.
    let mut z = a
        .wrapping_add(b.rotate_left(32))
        .wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^= b;
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $space:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(u64);

        impl $name {
            /// Creates the id that belongs to a name.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(hash64(&[$space, name.as_bytes()]))
            }

            /// Creates an id from its raw value.
            #[must_use]
            pub const fn from_raw(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the raw value.
            #[must_use]
            pub const fn raw(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

name_id!(
    /// Identifier of a customer.
    CustomerId, b"customer"
);
name_id!(
    /// Identifier of an endpoint: one replica of a model engine or of a plain
    /// service.
    EndpointId, b"endpoint"
);
name_id!(
    /// Identifier of a member: a process of the system, one role on one
    /// instance.
    MemberId, b"member"
);
name_id!(
    /// Identifier of a service.
    ServiceId, b"service"
);
name_id!(
    /// Identifier of a batch job.
    JobId, b"job"
);
name_id!(
    /// Identifier of a run of a batch item at a replica, unique across the fleet.
    ItemRunId, b"item run"
);
name_id!(
    /// Identifier of an uploaded file.
    FileId, b"file"
);

name_id!(
    /// Identifier of a version of the software of one service's replicas.
    SoftwareVersion, b"software version"
);
name_id!(
    /// Identifier of a stream: the request of a caller that brought its first event.
    StreamId, b"stream"
);

impl SoftwareVersion {
    /// Creates the id of a named version of a service's software.
    #[must_use]
    pub fn of_service(service: &str, version: &str) -> Self {
        Self::of(&format!("{service}/{version}"))
    }
}

impl StreamId {
    /// Creates the id of the stream that a customer's request began.
    #[must_use]
    pub fn of_request(customer: Option<CustomerId>, request: &str) -> Self {
        let customer = customer.unwrap_or_default();
        Self::of(&format!("{customer}/{request}"))
    }
}

/// What requests of a service may have in common: a part of their prompts, or all
/// of it, if the same request is sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestPart {
    /// Hash of the service's name, but for the lowest bit, which is set for a whole
    /// request.
    service: u64,
    /// Id of the part of the prompt, or the request's fingerprint.
    part: u64,
}

impl RequestPart {
    /// Creates the part of a prompt with an id at a service.
    #[must_use]
    pub fn new(service: &str, part: u64) -> Self {
        let service = hash64(&[b"service", service.as_bytes()]) & !1;
        Self { service, part }
    }

    /// Creates the part that stands for a whole request with a fingerprint at a
    /// service.
    #[must_use]
    pub fn whole_request(service: &str, fingerprint: u64) -> Self {
        let service = hash64(&[b"service", service.as_bytes()]) | 1;
        Self {
            service,
            part: fingerprint,
        }
    }

    /// Returns whether the part stands for a whole request.
    #[must_use]
    pub const fn is_whole_request(self) -> bool {
        self.service & 1 == 1
    }

    /// Returns a hash of the service's name.
    #[must_use]
    pub const fn service(self) -> u64 {
        self.service & !1
    }

    /// Returns a hash of the part, for placing.
    #[must_use]
    pub const fn hash(self) -> u64 {
        mix64(self.service, self.part)
    }
}

impl fmt::Display for RequestPart {
    /// Writes the id of a prompt's part as callers send it, in hexadecimal, or the
    /// fingerprint of a request.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_whole_request() {
            write!(f, "request:{:016x}", self.part)
        } else {
            write!(f, "{:x}", self.part)
        }
    }
}

/// Identifier of a request, unique across the fleet. A caller that sends the
/// request again uses the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestId(pub [u8; 16]);

impl RequestId {
    /// Creates the id for a name that the requester chose.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut id = [0; 16];
        id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..16]);
        Self(id)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A position in a log stream. Offsets start at 1; 0 stands for "none".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Offset(pub u64);

impl Offset {
    /// The position before the first record.
    pub const NONE: Self = Self(0);

    /// Returns the next position.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
