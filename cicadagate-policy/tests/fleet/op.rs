//! Operations and faults.

use {
    super::{CUSTOMERS, NODES},
    quickcheck::{Arbitrary, Gen},
};

/// An operation or fault; the first number is the node unless said otherwise.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Advances true time, in milliseconds.
    Advance(u16),
    ReadLog(usize),
    ReadLogOnAll,
    /// Reads the log; the reply arrives with [`Op::DeliverPending`].
    ReadLogSlowly(usize),
    QueryWitnesses(usize),
    /// Queries witnesses; their replies arrive with [`Op::DeliverPending`].
    QueryWitnessesSlowly(usize),
    DeliverPending,
    /// Tries to admit requests of a customer at an entry.
    Serve(usize, usize),
    /// The same; grants arrive with [`Op::DeliverPending`].
    ServeWithDelayedGrants(usize, usize),
    /// Proposes a roster of the live nodes in a bit mask.
    ProposeRoster(usize, u8),
    SettleRoster(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Partitions two nodes from each other.
    Partition(usize, usize),
    HealPartitions,
    PartitionFromLog(usize),
    HealLogPartitions,
    LogDown,
    LogUp,
    PutCustomer {
        node: usize,
        customer: usize,
        /// Whether the burst is [`LARGE_BURST`](super::LARGE_BURST).
        large: bool,
        /// Whether the same id is sent twice.
        repeat: bool,
    },
    /// Withdraws a key at a node.
    WithdrawKey(usize, usize),
    PutKey(usize, usize),
    UseKey(usize, usize),
    Gossip(usize, usize),
    AppendSnapshot(usize),
    ExpireLog,
}

fn pick(g: &mut Gen, count: usize) -> usize {
    usize::arbitrary(g) % count
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = pick(g, NODES);
        let other = pick(g, NODES);
        let customer = pick(g, CUSTOMERS);
        match pick(g, 100) {
            0..=11 => {
                let choices = [
                    1, 40, 99, 101, 150, 500, 1_000, 1_000, 2_500, 2_500, 3_900, 4_300,
                ];
                Self::Advance(*g.choose(&choices).unwrap_or(&1))
            }
            12..=19 => Self::ReadLog(node),
            20..=25 => Self::ReadLogOnAll,
            26..=28 => Self::ReadLogSlowly(node),
            29..=34 => Self::QueryWitnesses(node),
            35..=37 => Self::QueryWitnessesSlowly(node),
            38..=41 => Self::DeliverPending,
            42..=47 => Self::Serve(node, customer),
            // Mostly the often idle customer: with its full buckets, a grant
            // that is used too late exceeds the limit.
            48..=51 => Self::ServeWithDelayedGrants(node, if other < 4 { 1 } else { customer }),
            52..=56 => Self::ProposeRoster(node, u8::arbitrary(g) & 31),
            57..=62 => Self::SettleRoster(node),
            63..=64 => Self::Kill(node),
            65..=67 => Self::Restart(node),
            68..=69 => Self::Pause(node),
            70..=72 => Self::Resume(node),
            73..=74 => Self::Partition(node, other),
            75 => Self::HealPartitions,
            76..=77 => Self::PartitionFromLog(node),
            78 => Self::HealLogPartitions,
            79 => Self::LogDown,
            80..=81 => Self::LogUp,
            // Mostly the customer whose number of holders changes.
            82..=84 => Self::PutCustomer {
                node,
                customer: if other < 3 { 2 } else { customer },
                large: bool::arbitrary(g),
                repeat: bool::arbitrary(g),
            },
            85..=87 => Self::WithdrawKey(node, customer),
            88..=89 => Self::PutKey(node, customer),
            90..=94 => Self::UseKey(node, customer),
            95..=96 => Self::Gossip(node, other),
            97..=98 => Self::AppendSnapshot(node),
            _ => Self::ExpireLog,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Advance(ms) => Box::new(ms.shrink().filter(|ms| *ms > 0).map(Self::Advance)),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
