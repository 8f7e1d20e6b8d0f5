//! Records of the configuration stream.

use {
    super::{Fold, member},
    cicadagate_policy::{
        ids::{Offset, RequestId},
        version::config::{
            Backend, Change, Customer, Key, ModelVersion, Record, Roster, RosterMember, Route,
            RouteKind, State, object_key,
        },
    },
};

impl Fold for State {
    type Record = Record;

    fn apply(&mut self, offset: Offset, record: &Record) {
        Self::apply(self, offset, record);
    }

    fn skip(&mut self, offset: Offset) {
        Self::skip(self, offset);
    }

    fn is_same(&self, other: &Self) -> bool {
        self == other
    }
}

/// Returns a record that a process with this state may append, and its kind.
pub fn record(state: &State, kind: u8, object: u8, number: u64) -> (&'static str, Record) {
    let (label, change) = change(state, kind, object, number);
    let based_on = object_key(&change).map_or(Offset::NONE, |key| state.object_version(&key));
    let id = match &change {
        // Every member uses the same id.
        Change::SettleRoster => RequestId::of(&format!("settle {based_on}")),
        _ => RequestId::of(&number.to_string()),
    };
    let record = Record {
        id,
        based_on,
        change,
    };
    (label, record)
}

fn change(state: &State, kind: u8, object: u8, number: u64) -> (&'static str, Change) {
    let name = format!("o{object}");
    match kind % 11 {
        0 => ("customer", Change::PutCustomer(customer(name, number))),
        1 => ("removed customer", Change::RemoveCustomer(name)),
        2 => ("key", Change::PutKey(key(name, number))),
        3 => ("withdrawn key", Change::WithdrawKey(name)),
        4 => ("drain", Change::Drain(name)),
        5 => ("end of a drain", Change::Undrain(name)),
        6 => ("roster", Change::PutRoster(roster(object))),
        7 => ("settled roster", Change::SettleRoster),
        8 => {
            let snapshot = Change::Snapshot(Box::new(state.clone()));
            ("snapshot of the configuration", snapshot)
        }
        9 => {
            let version = ModelVersion {
                deployment: name,
                version: number.to_string(),
            };
            ("model version", Change::PutModelVersion(version))
        }
        _ if number.is_multiple_of(2) => ("route", Change::PutRoute(route(name))),
        _ => ("removed route", Change::RemoveRoute(name)),
    }
}

fn customer(name: String, number: u64) -> Customer {
    Customer {
        name,
        rate_milli: 1_000 + number,
        burst: 1,
    }
}

fn key(id: String, number: u64) -> Key {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&number.to_le_bytes());
    Key {
        customer: id.clone(),
        id,
        hash,
    }
}

fn roster(number: u8) -> Roster {
    let member = RosterMember {
        member: member(number),
        process: number.into(),
        data_centre: 0,
    };
    Roster {
        members: vec![member],
        witnesses: vec![member],
    }
}

fn route(name: String) -> Route {
    let backend = Backend {
        deployment: "d".to_owned(),
        weight: 1,
    };
    Route {
        name,
        kind: RouteKind::Model,
        backends: vec![backend],
        open: false,
        non_idempotent: false,
    }
}
