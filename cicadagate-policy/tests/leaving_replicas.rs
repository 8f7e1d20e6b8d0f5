//! Replicas that are leaving, as told by their responses, their registrations and other
//! members, against a naive oracle over random sequences.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::{EndpointId, mix64},
        process::replicas::{
            LeavingReplica, LeavingSource, Registration, ReplicaLoad, ReplicaSet, TOLD_LEAVING_MS,
            VersionProof, Wanted,
        },
        time::Time,
    },
    std::collections::HashMap,
};

const REPLICAS: u64 = 3;
const SEQUENCES: u64 = 300;
const STEPS: u64 = 200;

fn registration(index: u64, started_ms: u64, is_draining: bool) -> Registration {
    Registration {
        id: format!("i{index}"),
        service: "llm".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".to_owned(),
        slots: 8,
        software_version: "v1".to_owned(),
        is_draining,
        started_ms,
    }
}

fn endpoint(index: u64) -> EndpointId {
    EndpointId::of(&format!("i{index}"))
}

/// What the oracle remembers of a replica: every fact that was ever told.
#[derive(Default)]
struct Facts {
    registration: Option<Registration>,
    /// Incarnations that said in a response that they leave.
    said: Vec<u64>,
    /// Incarnations of which a member said so last, and until when it is believed.
    told: Option<(u64, Time)>,
}

impl Facts {
    fn source(&self, now: Time) -> Option<LeavingSource> {
        let registration = self.registration.as_ref()?;
        let started_ms = registration.started_ms;
        let is_told = self
            .told
            .is_some_and(|(told, until)| started_ms <= told && now < until);
        if self.said.iter().any(|said| started_ms <= *said) {
            Some(LeavingSource::Response)
        } else if registration.is_draining {
            Some(LeavingSource::Registration)
        } else {
            is_told.then_some(LeavingSource::Member)
        }
    }
}

/// Runs one random sequence; returns the first difference from the oracle.
fn run_sequence(seed: u64) -> Result<(), String> {
    let mut random = mix64(seed, 0x5eed);
    let mut below = |bound: u64| {
        random = mix64(random, 7);
        random % bound
    };
    let mut set = ReplicaSet::default();
    let mut facts: HashMap<u64, Facts> = HashMap::new();
    let mut now = Time(1_000);
    for step in 0..STEPS {
        now = now.plus(below(900));
        let index = below(REPLICAS);
        let started_ms = 1 + below(4);
        let known = facts.entry(index).or_default();
        match below(6) {
            0 | 1 => {
                let registration = registration(index, started_ms, below(4) == 0);
                known.registration = Some(registration.clone());
                let _ = set.register(registration);
            }
            2 => {
                // The store is reachable, so that entries do not lapse.
                known.registration = None;
                let _ = set.remove(now, &format!("i{index}"));
            }
            3 => {
                known.said.push(started_ms);
                let _ = set.note_leaving(&registration(index, started_ms, false));
            }
            _ => {
                let told = LeavingReplica {
                    started_ms,
                    left_ms: below(2 * TOLD_LEAVING_MS),
                };
                let until = now.plus(told.left_ms.min(TOLD_LEAVING_MS));
                known.told = Some((started_ms, until));
                let _ = set.note_told_leaving(now, endpoint(index), told);
            }
        }
        for index in 0..REPLICAS {
            let expected = facts.get(&index).and_then(|facts| facts.source(now));
            let found = set.leaving_source(now, endpoint(index));
            if expected != found {
                return Err(format!(
                    "{seed}, step {step}: {expected:?}, found {found:?}"
                ));
            }
        }
        let chosen = set.choose(now, &Wanted::of("llm"), below(1_000), |_| {
            ReplicaLoad::default()
        });
        let usable = facts.values().filter(|facts| facts.registration.is_some());
        let sources: Vec<_> = usable.map(|facts| facts.source(now)).collect();
        let expected = if sources.contains(&None) {
            Some(None)
        } else {
            sources
                .contains(&Some(LeavingSource::Member))
                .then_some(Some(LeavingSource::Member))
        };
        let found = chosen.map(|replica| set.leaving_source(now, replica.endpoint));
        if expected != found {
            return Err(format!(
                "{seed}, step {step}: chose {found:?}, not {expected:?}"
            ));
        }
    }
    Ok(())
}

// Guards against a leaving replica that gets requests again, since an older entry, or one
// that is read again, undoes what it said; and against a member's word that makes a sound
// replica unusable.
#[test]
fn no_order_of_news_undoes_what_a_replica_said() {
    for seed in 0..SEQUENCES {
        assert_eq!(run_sequence(seed), Ok(()));
    }
}

#[test]
fn detects_a_registration_that_undoes_what_a_replica_said() {
    inject(Some(Fault::ForgetLeavingOnRegistration));
    assert!((0..SEQUENCES).any(|seed| run_sequence(seed).is_err()));
}

// Guards against members that keep each other believing that a sound replica leaves.
#[test]
fn members_do_not_prolong_what_they_tell_each_other() {
    let mut sets = [ReplicaSet::default(), ReplicaSet::default()];
    let start = Time(1_000);
    for set in &mut sets {
        let _ = set.register(registration(0, 1, false));
    }
    let told = LeavingReplica {
        started_ms: 1,
        left_ms: u64::MAX,
    };
    assert!(sets[0].note_told_leaving(start, endpoint(0), told));
    for ms in 0..TOLD_LEAVING_MS / 10 {
        let now = start.plus(ms * 10);
        let (from, to) = if ms % 2 == 0 { (0, 1) } else { (1, 0) };
        if let Some(told) = sets[from].leaving_replica(now, endpoint(0)) {
            let _ = sets[to].note_told_leaving(now, endpoint(0), told);
        }
    }
    let end = start.plus(TOLD_LEAVING_MS);
    for set in &sets {
        assert_eq!(set.leaving_source(end, endpoint(0)), None);
    }
}

// Guards against items and requests that ask the owner of a leaving replica for a slot again
// and again, since contact with all other replicas was lost once.
#[test]
fn a_replica_that_is_leaving_is_not_preferred_for_its_version() {
    let now = Time(1_000);
    let mut set = ReplicaSet::default();
    for index in 0..REPLICAS {
        let _ = set.register(registration(index, 1, false));
    }
    for index in 1..REPLICAS {
        set.note_lost_contact(endpoint(index), false);
    }
    let told = LeavingReplica {
        started_ms: 1,
        left_ms: TOLD_LEAVING_MS,
    };
    let _ = set.note_told_leaving(now, endpoint(0), told);
    let wanted = Wanted {
        proof: VersionProof::Preferred,
        ..Wanted::of("llm")
    };
    for seed in 0..SEQUENCES {
        let chosen = set.choose(now, &wanted, seed, |_| ReplicaLoad::default());
        let chosen = chosen.map(|replica| replica.endpoint);
        assert_ne!(chosen, Some(endpoint(0)));
    }
}
