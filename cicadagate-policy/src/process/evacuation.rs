/*!
Data centres that the operators have evacuated.

# Problem

Operators take a data centre out of service. From then on no new work may go to
its replicas, while work that runs there ends undisturbed.

# Choice

The operators' records are the only state: each process keeps the set that it has
read, and [`ReplicaSet`](super::replicas::ReplicaSet) leaves the replicas of these data
centres out of every choice. A read of the latest records replaces the set, since an
evacuation that is not among them has ended; later records change it one by one.

# Cost

A process that can't read the operators' records keeps the last set.
*/

use std::collections::BTreeSet;

/// Most data centres that can be evacuated at a time. Operators write one key for each.
pub const MAX_EVACUATED: usize = 256;

/// The data centres that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    data_centres: BTreeSet<String>,
}

/// What a record about an evacuation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Nothing.
    None,
    /// The evacuation is in force from now on.
    Begun,
    /// The evacuation has ended.
    Ended,
    /// The evacuation is ignored, since [`MAX_EVACUATED`] others are in force.
    TooMany,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the evacuated data centres.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.data_centres.iter().map(String::as_str)
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// Begins or ends the evacuation of a data centre.
    pub fn set(&mut self, data_centre: &str, is_in_force: bool) -> EvacuationChange {
        if !is_in_force {
            return if self.data_centres.remove(data_centre) {
                EvacuationChange::Ended
            } else {
                EvacuationChange::None
            };
        }
        if self.contains(data_centre) {
            EvacuationChange::None
        } else if self.len() >= MAX_EVACUATED {
            EvacuationChange::TooMany
        } else {
            self.data_centres.insert(data_centre.to_owned());
            EvacuationChange::Begun
        }
    }
}
