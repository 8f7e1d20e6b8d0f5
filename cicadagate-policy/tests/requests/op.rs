//! Operations and faults.

use {
    super::{CUSTOMERS, HOMES},
    cicadagate_policy::process::dispatch::Class,
    quickcheck::{Arbitrary, Gen},
};

#[derive(Clone, Copy, Debug)]
pub enum Op {
    Advance(u16),
    Submit {
        customer: usize,
        class: Class,
        idempotent: bool,
    },
    Token(usize),
    BreakStream(usize),
    Deliver(usize),
    Double(usize),
    Drop(usize),
    Cross(usize),
    LoseHome(usize),
    Leave(usize),
    Return(usize),
    Stop(usize),
    Restart(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let home = usize::arbitrary(g) % HOMES;
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
            25..=44 => Self::Token(home),
            45..=46 => Self::BreakStream(home),
            // Mostly in order.
            47..=74 => Self::Deliver(0),
            75..=78 => Self::Deliver(index),
            79..=82 => Self::Double(index),
            83..=84 => Self::Drop(index),
            85..=88 => Self::Cross(index),
            89 => Self::LoseHome(home),
            90..=91 => Self::Leave(home),
            92..=94 => Self::Return(home),
            95..=96 => Self::Stop(home),
            _ => Self::Restart(home),
        }
    }
}
