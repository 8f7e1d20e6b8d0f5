//! Operations and faults.

use {
    super::{CUSTOMERS, OWNERS},
    cicadagate_policy::process::replica_queue::Class,
    quickcheck::{Arbitrary, Gen},
};

/// An operation or fault; numbers are an owner or the index of a frame.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Advances time, in milliseconds.
    Advance(u16),
    Submit {
        customer: usize,
        class: Class,
        idempotent: bool,
    },
    GenerateTokens(usize),
    BreakStream(usize),
    /// Delivers a frame.
    Deliver(usize),
    /// Delivers a copy of a frame, which stays in transit.
    DeliverCopy(usize),
    /// Loses all frames of the attempt that a frame belongs to.
    LoseConnection(usize),
    /// Delivers a copy of a frame as one of another request.
    Misdeliver(usize),
    CrashOwner(usize),
    StartDraining(usize),
    StopDraining(usize),
    StopOwner(usize),
    RestartOwner(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let owner = usize::arbitrary(g) % OWNERS;
        let index = usize::arbitrary(g);
        match u32::arbitrary(g) % 100 {
            0..=7 => Self::Advance(*g.choose(&[1, 50, 200, 600, 4_000]).unwrap_or(&1)),
            8..=24 => Self::Submit {
                customer: usize::arbitrary(g) % CUSTOMERS,
                class: if bool::arbitrary(g) {
                    Class::Online
                } else {
                    Class::Batch
                },
                idempotent: bool::arbitrary(g),
            },
            25..=44 => Self::GenerateTokens(owner),
            45..=46 => Self::BreakStream(owner),
            // Frames are mostly delivered in order.
            47..=74 => Self::Deliver(0),
            75..=78 => Self::Deliver(index),
            79..=82 => Self::DeliverCopy(index),
            83..=84 => Self::LoseConnection(index),
            85..=88 => Self::Misdeliver(index),
            89 => Self::CrashOwner(owner),
            90..=91 => Self::StartDraining(owner),
            92..=94 => Self::StopDraining(owner),
            95..=96 => Self::StopOwner(owner),
            _ => Self::RestartOwner(owner),
        }
    }
}
