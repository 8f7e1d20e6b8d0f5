//! Operations and faults.

use {
    super::{CUSTOMERS, NODES},
    quickcheck::{Arbitrary, Gen},
};

#[derive(Clone, Copy, Debug)]
pub enum Op {
    Advance(u16),
    Read(usize),
    ReadAll,
    SlowRead(usize),
    Ask(usize),
    SlowAsk(usize),
    Deliver,
    Serve(usize, usize),
    SlowServe(usize, usize),
    Propose(usize, u8),
    Settle(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Heal,
    CutLog(usize),
    HealLog,
    LogDown,
    LogUp,
    Put {
        node: usize,
        customer: usize,
        large: bool,
        repeat: bool,
    },
    Withdraw(usize, usize),
    PutKey(usize, usize),
    UseKey(usize, usize),
    Gossip(usize, usize),
    Snapshot(usize),
    Expire,
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
            12..=19 => Self::Read(node),
            20..=25 => Self::ReadAll,
            26..=28 => Self::SlowRead(node),
            29..=34 => Self::Ask(node),
            35..=37 => Self::SlowAsk(node),
            38..=41 => Self::Deliver,
            42..=47 => Self::Serve(node, customer),
            // Mostly the customer that is often idle: late grants show there.
            48..=51 => Self::SlowServe(node, if other < 4 { 1 } else { customer }),
            52..=56 => Self::Propose(node, u8::arbitrary(g) & 31),
            57..=62 => Self::Settle(node),
            63..=64 => Self::Kill(node),
            65..=67 => Self::Restart(node),
            68..=69 => Self::Pause(node),
            70..=72 => Self::Resume(node),
            73..=74 => Self::Cut(node, other),
            75 => Self::Heal,
            76..=77 => Self::CutLog(node),
            78 => Self::HealLog,
            79 => Self::LogDown,
            80..=81 => Self::LogUp,
            // Mostly the customer whose number of holders changes.
            82..=84 => Self::Put {
                node,
                customer: if other < 3 { 2 } else { customer },
                large: bool::arbitrary(g),
                repeat: bool::arbitrary(g),
            },
            85..=87 => Self::Withdraw(node, customer),
            88..=89 => Self::PutKey(node, customer),
            90..=94 => Self::UseKey(node, customer),
            95..=96 => Self::Gossip(node, other),
            97..=98 => Self::Snapshot(node),
            _ => Self::Expire,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Advance(ms) => Box::new(ms.shrink().filter(|ms| *ms > 0).map(Self::Advance)),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
