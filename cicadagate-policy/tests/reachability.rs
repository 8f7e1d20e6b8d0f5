//! Members that are cut off from the replicas of a service: when they notice, which members
//! they send requests through, and which are advertised.

use cicadagate_policy::{
    ids::{EndpointId, MemberId, ServiceId, mix64},
    process::{
        reachability::{
            CutOffMembers, CutOffMessage, MIN_ADVERTISED_PERCENT, REACHED_MS, Reach,
            members_to_advertise,
        },
        replicas::{PROBE_INTERVAL_MS, Registration, ReplicaSet},
    },
    time::Time,
};

const SERVICE: &str = "llm";
const START: Time = Time(10_000);
/// Time for which the word of a member is believed, in the tests.
const TTL_MS: u64 = 600;

fn replicas(count: usize) -> ReplicaSet {
    let mut set = ReplicaSet::default();
    for at in 0..count {
        let _ = set.register(Registration {
            id: format!("i{at}"),
            service: SERVICE.to_owned(),
            addr: "10.0.0.1:80".parse().expect("an address"),
            data_centre: "a".to_owned(),
            slots: 8,
            software_version: "v1".to_owned(),
            is_draining: false,
            started_ms: 1,
        });
    }
    set
}

fn endpoint(at: usize) -> EndpointId {
    EndpointId::of(&format!("i{at}"))
}

// Guards against an instance that serves no one, since it takes the loss of all its paths
// for a few crashes, and against one that sends requests elsewhere after a few crashes.
#[test]
fn an_instance_is_cut_off_if_it_reaches_few_of_the_replicas_it_has_tried() {
    let cases = [
        // reached, unreachable, total, is cut off
        (0, 0, 18, false),
        (0, 1, 18, false),
        (0, 2, 18, false),
        (0, 3, 18, true),
        (3, 3, 18, false),
        (2, 3, 18, true),
        (14, 4, 18, false),
        (4, 14, 18, true),
        (0, 1, 1, true),
        (0, 4, 4, true),
        (2, 2, 4, false),
        (0, 16, 740, true),
        (40, 16, 740, false),
    ];
    for (reached, unreachable, total, expected) in cases {
        let reach = Reach {
            reached,
            unreachable,
            total,
        };
        assert_eq!(reach.is_cut_off(), expected, "{reach:?}");
    }
}

// Guards against an instance that counts as cut off, or as not, by replicas that it reached
// long ago, and against one that stays cut off after its paths are back.
#[test]
fn connections_begin_and_end_the_state() {
    let mut set = replicas(6);
    for at in 0..6 {
        set.note_success(START, endpoint(at));
    }
    assert_eq!(set.untested(START, SERVICE, 300, 16).len(), 0);
    let cut = START.plus(400);
    assert_eq!(set.untested(cut, SERVICE, 300, 16).len(), 6);
    assert_eq!(set.untested(cut, SERVICE, 300, 4).len(), 4);
    for at in 0..3 {
        assert!(!set.reach(cut, SERVICE).is_cut_off());
        set.note_unreachable(cut, endpoint(at));
    }
    assert!(
        !set.reach(cut, SERVICE).is_cut_off(),
        "three of six are reached"
    );
    set.note_unreachable(cut, endpoint(3));
    assert!(set.reach(cut, SERVICE).is_cut_off());
    assert!(set.reach(START.plus(REACHED_MS), SERVICE).is_cut_off());
    let back = cut.plus(12_000);
    assert_eq!(set.due_probes(back).len(), 4);
    for at in 0..4 {
        assert!(set.note_reachable(back, endpoint(at)));
    }
    assert!(!set.reach(back, SERVICE).is_cut_off());
    assert!(set.due_probes(back.plus(PROBE_INTERVAL_MS)).is_empty());
}

// Guards against all load at the few replicas that a member which is cut off has not tried:
// the others were suspected by its word.
#[test]
fn a_member_that_is_cut_off_suspects_no_replica() {
    let mut set = replicas(60);
    set.note_unreachable(START, endpoint(7));
    assert_eq!(set.suspects(START), [endpoint(7)]);
    for at in 0..18 {
        set.note_unreachable(START, endpoint(at));
    }
    assert!(set.reach(START, SERVICE).is_cut_off());
    assert_eq!(set.suspects(START), []);
    for at in 8..18 {
        let _ = set.note_reachable(START, endpoint(at));
    }
    assert!(!set.reach(START, SERVICE).is_cut_off());
    assert_eq!(set.suspects(START).len(), 8);
}

// Guards against a member that is avoided for good after it was cut off, also if the
// message that says otherwise is lost.
#[test]
fn the_word_of_a_member_ends_with_the_next_or_with_time() {
    let member = MemberId::of("m");
    let (llm, map) = (ServiceId::of(SERVICE), ServiceId::of("map"));
    let message = |services: &[ServiceId], is_complete| CutOffMessage {
        member,
        services: services.to_vec(),
        is_complete,
    };
    let mut members = CutOffMembers::default();
    members.apply(START, message(&[llm], false), TTL_MS);
    assert!(members.is_cut_off(START, member, llm));
    assert!(!members.is_cut_off(START, member, map));
    assert!(!members.is_cut_off_from_all(START, member));
    members.apply(START, message(&[llm, map], true), TTL_MS);
    assert!(members.is_cut_off_from_all(START, member));
    let end = START.plus(TTL_MS);
    assert!(members.is_cut_off(START.plus(TTL_MS - 1), member, map));
    assert!(!members.is_cut_off(end, member, map));
    assert!(!members.is_cut_off_from_all(end, member));
    members.apply(end, message(&[llm], false), TTL_MS);
    members.apply(end, message(&[], false), TTL_MS);
    assert!(!members.is_cut_off(end, member, llm));
}

// Guards against callers who are all sent to the few instances that are left, or to none.
#[test]
fn members_that_are_cut_off_are_advertised_only_if_few_others_are_left() {
    for members in [1_usize, 3, 11, 195] {
        for cut_off in 0..=members {
            let all: Vec<(usize, bool)> = (0..members).map(|at| (at, at < cut_off)).collect();
            let advertised = members_to_advertise(&all);
            let left = members - cut_off;
            let expected = if left * 100 >= members * MIN_ADVERTISED_PERCENT {
                left
            } else {
                members
            };
            assert_eq!(advertised.len(), expected, "{cut_off} of {members}");
            assert!(!advertised.is_empty());
        }
    }
}

/// A burst of requests at all members while some are cut off from all replicas. Returns the
/// shares of the requests that were served at members that are cut off and at the others, in percent,
/// from the moment at which each member knows its own state.
fn simulate(
    members: usize,
    cut_off_percent: usize,
    lost_percent: u64,
    believes: bool,
) -> (u64, u64) {
    const REQUESTS: u64 = 4_000;
    const MAX_MEMBERS: usize = 3;
    let service = ServiceId::of(SERVICE);
    let ids: Vec<MemberId> = (0..members)
        .map(|at| MemberId::of(&format!("{at}")))
        .collect();
    let is_cut_off = |at: usize| at * 100 < members * cut_off_percent;
    let mut views = vec![CutOffMembers::default(); members];
    let mut random = 1_u64;
    let mut below = |bound: u64| {
        random = mix64(random, 5);
        random % bound
    };
    for from in (0..members).filter(|at| is_cut_off(*at)) {
        for view in &mut views {
            if believes && below(100) >= lost_percent {
                let message = CutOffMessage {
                    member: ids[from],
                    services: vec![service],
                    is_complete: true,
                };
                view.apply(START, message, TTL_MS);
            }
        }
    }
    let mut counts = [(0, 0); 2];
    for _ in 0..REQUESTS {
        let at = usize::try_from(below(members as u64)).expect("an index");
        let mut is_served = !is_cut_off(at);
        let mut tried = vec![at];
        while !is_served && tried.len() <= MAX_MEMBERS {
            let usable: Vec<usize> = (0..members)
                .filter(|it| !tried.contains(it))
                .filter(|it| !views[at].is_cut_off(START, ids[*it], service))
                .collect();
            if usable.is_empty() {
                break;
            }
            let picked = usable[usize::try_from(below(usable.len() as u64)).expect("an index")];
            tried.push(picked);
            is_served = !is_cut_off(picked);
        }
        let (served, all) = &mut counts[usize::from(is_cut_off(at))];
        *served += u64::from(is_served);
        *all += 1;
    }
    let percent = |(served, all): (u64, u64)| served * 100 / all.max(1);
    (percent(counts[1]), percent(counts[0]))
}

// Guards against callers of members that are cut off who are served far worse than the
// others, with most of the members cut off and datagrams lost.
#[test]
fn members_that_are_cut_off_serve_their_callers_through_others() {
    for members in [11, 80, 195, 410] {
        for cut_off_percent in [10, 30, 60, 80] {
            let (cut_off, others) = simulate(members, cut_off_percent, 5, true);
            let what = format!("{members} members, {cut_off_percent} % cut off");
            assert_eq!(others, 100, "{what}");
            assert!(cut_off >= 95, "{what}: {cut_off} %");
        }
    }
}

#[test]
fn detects_members_that_do_not_tell_each_other() {
    assert!(simulate(195, 80, 5, false).0 < 67);
}
