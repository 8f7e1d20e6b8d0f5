//! Load patterns at a replica that names a request rate, from members that exchange
//! messages with losses and delays.

use cicadagate_policy::{
    fault_injection::{Fault, inject},
    ids::{EndpointId, mix64},
    process::{
        replica_rates::{
            NamedRate, RateChange, RateDecision, ReplicaRates, RequestRate, usable_slots_milli,
        },
        replicas::{Registration, ReplicaSet},
        slot_ledger::Purpose,
    },
    request::overload::{MAX_RELATIVE_PRIORITY, ServiceLoad, admit},
    time::Time,
};

const REPLICA: EndpointId = EndpointId::from_raw(1);
const STARTED_MS: u64 = 1;
const BATCH: Purpose = Purpose::Batch { reserve: 0 };
/// Time after which a named rate must be kept, in milliseconds: the bound of the
/// platform.
const NAMED_BOUND_MS: u64 = 3_000;
/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after which the requests of a member that was told of the rate count, in
/// milliseconds.
const TOLD_MS: u64 = 500;
/// Time from a request to the head of its response, in milliseconds.
const RESPONSE_MS: u64 = 30;
/// How long two members consider themselves the owner after a change, in
/// milliseconds.
const TWO_OWNERS_MS: u64 = 1_500;
/// Longest wait of a request for a token, in milliseconds.
const MAX_WAIT_MS: u64 = 200;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

/// A fleet whose members send to one replica. One message in ten is lost.
struct Fleet {
    members: Vec<ReplicaRates>,
    /// Time at which each member was first told of the rate.
    told_at: Vec<Option<Time>>,
    /// Members that some consider the owner, and since when the last does.
    owners: (usize, usize, Time),
    per_s: f64,
    random: u64,
    now: Time,
    /// Responses that are under way: time, member, time of sending.
    responses: Vec<(Time, usize, Time)>,
    /// Requests that are granted and wait until they are sent.
    waiting: Vec<(Time, usize)>,
    /// Arrivals at the replica that count.
    arrivals: Vec<Time>,
}

impl Fleet {
    fn new(members: usize, per_s: f64, seed: u64) -> Self {
        Self {
            members: vec![ReplicaRates::default(); members],
            told_at: vec![None; members],
            owners: (0, 0, Time(0)),
            per_s,
            random: seed,
            now: Time(1_000),
            responses: Vec::new(),
            waiting: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random = mix64(self.random, 0x5eed);
        self.random % bound
    }

    fn is_lost(&mut self) -> bool {
        self.below(10) == 0
    }

    fn member(&mut self) -> usize {
        let count = self.members.len() as u64;
        usize::try_from(self.below(count)).expect("small")
    }

    /// The owner in the view of a member.
    fn owner(&mut self) -> usize {
        let (old, new, since) = self.owners;
        let is_changing = self.now.since(since) < TWO_OWNERS_MS;
        if is_changing && self.below(2) == 0 {
            old
        } else {
            new
        }
    }

    fn change_owner(&mut self) {
        let owner = self.member();
        self.owners = (self.owners.1, owner, self.now);
    }

    fn restart(&mut self, member: usize) {
        self.members[member] = ReplicaRates::default();
        self.told_at[member] = None;
        self.responses.retain(|(_, to, _)| *to != member);
    }

    /// A request arrives at a random member.
    fn request(&mut self, purpose: Purpose) {
        let (member, owner, now) = (self.member(), self.owner(), self.now);
        let named = self.members[member].named(now, REPLICA);
        let is_limited = self.members[member].rate(REPLICA).is_some();
        if member != owner && (self.is_lost() || self.is_lost()) {
            if !is_limited {
                self.send(member);
            }
            return;
        }
        if let Some(named) = named {
            let _ = self.members[owner].apply(now, REPLICA, named);
        }
        let max_wait_ms = if is_limited { MAX_WAIT_MS } else { 0 };
        let decision = self.members[owner].check(now, REPLICA, purpose, max_wait_ms);
        if let Some(named) = self.members[owner].named(now, REPLICA) {
            let _ = self.members[member].apply(now, REPLICA, named);
        }
        match decision {
            RateDecision::Unlimited => self.send(member),
            RateDecision::After(wait_ms) => {
                self.members[owner].take(REPLICA);
                self.waiting.push((now.plus(wait_ms), member));
            }
            RateDecision::Denied(_) => {}
        }
    }

    fn send(&mut self, member: usize) {
        let now = self.now;
        let is_told = self.told_at[member].is_some_and(|at| now.since(at) >= TOLD_MS);
        if is_told {
            self.arrivals.push(now);
        }
        self.responses.push((now.plus(RESPONSE_MS), member, now));
    }

    fn step(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
        let now = self.now;
        let due: Vec<_> = self.waiting.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, member) in due {
            self.send(member);
        }
        let due: Vec<_> = self
            .responses
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, member, sent_at) in due {
            let per_s = rate(self.per_s);
            let rates = &mut self.members[member];
            let _ = rates.note_response(now, REPLICA, STARTED_MS, sent_at, Some(per_s));
            self.told_at[member].get_or_insert(now);
            let owner = self.owner();
            let named = self.members[member].named(now, REPLICA);
            if let Some(named) = named.filter(|_| !self.is_lost()) {
                let _ = self.members[owner].apply(now, REPLICA, named);
            }
        }
    }

    /// Runs for a while with `per_step` online requests and one item every 10 ms.
    fn run(&mut self, ms: u64, per_step: u64) {
        for _ in 0..ms / 10 {
            for _ in 0..per_step {
                self.request(Purpose::Online);
            }
            self.request(BATCH);
            self.step(10);
        }
    }

    /// Returns the most counted arrivals in a window that begins at `since` or later.
    fn most_in_window(&self, since: Time) -> usize {
        let counted: Vec<Time> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect();
        let in_window = |start: &Time| {
            let window = *start..start.plus(WINDOW_MS);
            counted.iter().filter(|at| window.contains(at)).count()
        };
        counted.iter().map(in_window).max().unwrap_or_default()
    }
}

/// Requests that a replica may get in a window, as the platform counts them.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * 4.0) as usize + 5
}

/// Runs a fleet under load for 30 s, with these changes of the owner; returns the most
/// counted arrivals in a window.
fn run_fleet(members: usize, per_s: f64, seed: u64, owner_changes: u32, restarts: bool) -> usize {
    let mut fleet = Fleet::new(members, per_s, seed);
    let named_at = fleet.now;
    fleet.run(NAMED_BOUND_MS, 3);
    for _ in 0..owner_changes {
        fleet.run(8_000, 3);
        if restarts {
            let member = fleet.member();
            fleet.restart(member);
            let owner = fleet.owners.1;
            fleet.restart(owner);
        }
        fleet.change_owner();
    }
    fleet.run(8_000, 3);
    fleet.most_in_window(named_at.plus(NAMED_BOUND_MS))
}

// Guards against a rate that is kept by each member for itself, so that the sum over the
// fleet exceeds it, at each size of a fleet.
#[test]
fn all_members_together_keep_the_rate_of_a_replica() {
    for (members, per_s) in [
        (11, 2.5),
        (78, 2.5),
        (195, 2.5),
        (11, 0.0),
        (195, 0.5),
        (410, 1.0),
        (195, 40.0),
    ] {
        for seed in 0..3 {
            let most = run_fleet(members, per_s, seed, 0, false);
            assert!(
                most <= allowed(per_s),
                "{members}, {per_s}, {seed}: {most}, allowed {}",
                allowed(per_s)
            );
        }
    }
}

// Guards against an owner that doesn't know of the rate, or grants it a second time,
// when the owner of a replica changes or members restart.
#[test]
fn changing_owners_keep_the_rate_of_a_replica() {
    for (members, per_s) in [
        (11, 2.5),
        (78, 2.5),
        (195, 2.5),
        (195, 0.5),
        (410, 1.0),
        (195, 40.0),
    ] {
        for seed in 0..3 {
            for restarts in [false, true] {
                let most = run_fleet(members, per_s, seed, 3, restarts);
                assert!(
                    most <= allowed(per_s),
                    "{members}, {per_s}, {seed}, {restarts}: {most}, allowed {}",
                    allowed(per_s)
                );
            }
        }
    }
}

// Guards against a saved burst at each of two owners, after a time without requests.
#[test]
fn owners_that_change_after_an_idle_time_keep_the_rate_of_a_replica() {
    for (members, per_s) in [
        (11, 0.0),
        (11, 0.5),
        (195, 1.0),
        (78, 2.5),
        (11, 8.0),
        (195, 40.0),
    ] {
        for seed in 0..10 {
            let mut fleet = Fleet::new(members, per_s, seed);
            let named_at = fleet.now;
            fleet.run(NAMED_BOUND_MS, 3);
            for _ in 0..3 {
                (0..1_000).for_each(|_| fleet.step(10));
                fleet.change_owner();
                fleet.run(6_000, 3);
            }
            let most = fleet.most_in_window(named_at.plus(NAMED_BOUND_MS));
            assert!(
                most <= allowed(per_s),
                "{members}, {per_s}, {seed}: {most}, allowed {}",
                allowed(per_s)
            );
        }
    }
}

// Guards against a limit that denies what the replica would take.
#[test]
fn online_load_uses_the_rate_of_a_replica() {
    let mut fleet = Fleet::new(11, 10.0, 1);
    fleet.run(NAMED_BOUND_MS, 3);
    let before = fleet.arrivals.len();
    fleet.run(10_000, 3);
    let used = fleet.arrivals.len() - before;
    assert!((90..=110).contains(&used), "{used} of 100");
}

#[test]
fn detects_a_rate_that_is_not_kept() {
    inject(Some(Fault::IgnoreNamedRate));
    let most = run_fleet(11, 2.5, 0, 0, false);
    assert!(most > allowed(2.5), "{most}");
}

#[test]
fn detects_a_rate_that_the_owner_is_not_told_of() {
    inject(Some(Fault::SkipRateReports));
    let most = (0..3).map(|seed| run_fleet(195, 2.5, seed, 3, true));
    assert!(most.max() > Some(allowed(2.5)));
}

// Guards against items of jobs that take the tokens that online requests need.
#[test]
fn items_use_only_what_online_requests_leave() {
    let mut owner = ReplicaRates::default();
    let start = Time(1_000);
    let _ = owner.note_response(start, REPLICA, STARTED_MS, start, Some(rate(4.0)));
    let now = start.plus(300);
    assert_eq!(
        owner.check(now, REPLICA, BATCH, 0),
        RateDecision::Denied(200)
    );
    assert_eq!(
        owner.check(now, REPLICA, Purpose::Online, 0),
        RateDecision::After(0)
    );
    let now = start.plus(500);
    assert_eq!(owner.check(now, REPLICA, BATCH, 0), RateDecision::After(0));
    owner.take(REPLICA);
    assert_eq!(
        owner.check(now, REPLICA, BATCH, 0),
        RateDecision::Denied(250)
    );
}

// Guards against online requests that ask for a token again and again, and overtake
// each other.
#[test]
fn online_requests_reserve_tokens_in_order() {
    let mut owner = ReplicaRates::default();
    let now = Time(1_000);
    let _ = owner.note_response(now, REPLICA, STARTED_MS, now, Some(rate(10.0)));
    for wait_ms in [100, 200] {
        let decision = owner.check(now, REPLICA, Purpose::Online, 200);
        assert_eq!(decision, RateDecision::After(wait_ms));
        owner.take(REPLICA);
    }
    let decision = owner.check(now, REPLICA, Purpose::Online, 200);
    assert_eq!(decision, RateDecision::Denied(300));
}

// Guards against a rate that outlives what the replica says, and one that is ended by a
// response that was overtaken.
#[test]
fn a_rate_ends_with_a_response_to_a_later_request() {
    let mut rates = ReplicaRates::default();
    let limited = RateChange::Limited(rate(3.0));
    let named = |rates: &mut ReplicaRates, at, sent_at, per_s: Option<f64>, started_ms| {
        rates.note_response(
            Time(at),
            REPLICA,
            started_ms,
            Time(sent_at),
            per_s.map(rate),
        )
    };
    assert_eq!(named(&mut rates, 100, 90, None, 1), RateChange::None);
    assert_eq!(named(&mut rates, 200, 190, Some(3.0), 1), limited);
    assert_eq!(named(&mut rates, 210, 150, None, 1), RateChange::None);
    assert_eq!(rates.rate(REPLICA), Some(rate(3.0)));
    assert_eq!(named(&mut rates, 230, 205, None, 1), RateChange::Lifted);
    assert_eq!(named(&mut rates, 240, 230, Some(3.0), 1), limited);
    // A new incarnation.
    assert_eq!(named(&mut rates, 250, 150, None, 2), RateChange::Lifted);
    assert_eq!(named(&mut rates, 260, 255, Some(3.0), 1), RateChange::None);
}

// Guards against too many requests to a replica that has lowered its rate, since a response
// from before, which comes a second time, names the higher one.
#[test]
fn a_late_response_does_not_raise_a_rate() {
    let mut rates = ReplicaRates::default();
    let mut named = |at, sent_at, per_s| {
        let _ = rates.note_response(
            Time(at),
            REPLICA,
            STARTED_MS,
            Time(sent_at),
            Some(rate(per_s)),
        );
        rates.rate(REPLICA)
    };
    assert_eq!(named(100, 90, 50.0), Some(rate(50.0)));
    assert_eq!(named(200, 190, 5.0), Some(rate(5.0)));
    assert_eq!(named(210, 0, 50.0), Some(rate(5.0)), "it is late");
    assert_eq!(named(220, 0, 3.0), Some(rate(3.0)), "a lower one counts");
    assert_eq!(named(240, 230, 50.0), Some(rate(50.0)), "it is raised");
}

// Guards against a rate that never gets older since members tell each other of it, so
// that it can't be ended.
#[test]
fn a_rate_that_is_told_back_and_forth_gets_older() {
    let (mut one, mut other) = (ReplicaRates::default(), ReplicaRates::default());
    let _ = one.note_response(Time(0), REPLICA, STARTED_MS, Time(0), Some(rate(3.0)));
    for round in 0..1_000 {
        let now = Time(round * 2);
        let named = one.named(now, REPLICA).expect("known");
        let _ = other.apply(now.plus(1), REPLICA, named);
        let named = other.named(now.plus(1), REPLICA).expect("known");
        let _ = one.apply(now.plus(2), REPLICA, named);
    }
    let age_ms = one.named(Time(2_000), REPLICA).expect("known").age_ms;
    assert!(age_ms > 1_800, "{age_ms}");
}

#[test]
fn only_numbers_from_zero_are_rates() {
    assert_eq!(RequestRate::new(-1.0), None);
    assert_eq!(RequestRate::new(f64::NAN), None);
    assert_eq!(RequestRate::new(f64::INFINITY), None);
    assert_eq!(rate(2.5).to_string(), "2.500/s");
    // Without any request there is no response that ends the rate.
    assert!(rate(0.0).milli() > 0);
    assert!(rate(f64::MAX).milli() < u64::MAX);
    let named = NamedRate {
        started_ms: 1,
        rate: None,
        age_ms: 0,
    };
    let mut rates = ReplicaRates::default();
    assert_eq!(rates.apply(Time(5), REPLICA, named), RateChange::None);
    assert_eq!(rates.limited_count(), 0);
}

/// Delay before an item asks the next replica, in milliseconds.
const ITEM_RETRY_MS: u64 = 50;
/// Longest time for which an item leaves a replica alone that denied it, in milliseconds.
const MAX_LEFT_ALONE_MS: u64 = 1_000;

/// One item asks one replica after the other that have all named a rate once; returns after how
/// long one takes it, in milliseconds.
fn wait_of_a_single_item(replicas: u64, per_s: f64, idle_ms: u64) -> Option<u64> {
    let mut owner = ReplicaRates::default();
    let named_at = Time(1_000);
    for replica in 0..replicas {
        let endpoint = EndpointId::from_raw(replica);
        let named = Some(rate(per_s));
        let _ = owner.note_response(named_at, endpoint, STARTED_MS, named_at, named);
    }
    let asked_at = named_at.plus(idle_ms);
    let mut denied_until = vec![Time(0); usize::try_from(replicas).expect("few")];
    let mut now = asked_at;
    while now.since(asked_at) < 60_000 {
        let next = denied_until.iter().enumerate().min_by_key(|(_, at)| **at);
        let (index, _) = next.expect("a replica");
        let endpoint = EndpointId::from_raw(index as u64);
        match owner.check(now, endpoint, BATCH, 0) {
            RateDecision::Denied(wait_ms) => {
                denied_until[index] = now.plus(wait_ms.min(MAX_LEFT_ALONE_MS));
            }
            RateDecision::After(_) | RateDecision::Unlimited => return Some(now.since(asked_at)),
        }
        now = now.plus(ITEM_RETRY_MS);
    }
    None
}

// Guards against an accepted item that never runs beside idle replicas that named a rate once: it
// came back to each of them after the time in which a bucket forgets its tokens (review/14).
#[test]
fn a_single_item_reaches_an_idle_replica_at_any_rate_and_number_of_replicas() {
    for replicas in [1, 3, 18, 20, 40, 90, 500] {
        for per_s in [0.0, 0.3, 1.0, 2.0, 8.0, 9.0, 40.0, 1_000.0] {
            for idle_ms in [0, 500, 999, 1_000, 60_000] {
                let waited_ms = wait_of_a_single_item(replicas, per_s, idle_ms);
                // Two tokens of the lowest rate that is used.
                let bound_ms = 2_000_000 / rate(per_s).milli() + MAX_LEFT_ALONE_MS;
                assert!(
                    waited_ms.is_some_and(|ms| ms <= bound_ms),
                    "{replicas} replicas, {per_s}/s, {idle_ms} ms: {waited_ms:?}"
                );
            }
        }
    }
}

/// The load of a service without requests whose replicas name a rate.
fn idle_load(replicas: u8, per_s: f64, slot_hold_ms: u64) -> ServiceLoad {
    let mut set = ReplicaSet::default();
    for index in 0..replicas {
        let _ = set.register(Registration {
            id: format!("i{index}"),
            service: "llm".to_owned(),
            addr: ([127, 0, 0, index + 1], 8080).into(),
            data_centre: "a".to_owned(),
            software_version: "v1".to_owned(),
            slots: 8,
            is_draining: false,
            started_ms: STARTED_MS,
        });
    }
    let slots = set.usable_slots(Time(1_000), "llm", |replica| {
        usable_slots_milli(replica.registration.slots, Some(rate(per_s)), slot_hold_ms)
    });
    ServiceLoad {
        online: 0,
        slots,
        slot_hold_ms,
    }
}

// Guards against a service that refuses every request for good after its replicas have named a
// rate: less than a slot in all counted as none (review/13).
#[test]
fn an_idle_service_admits_a_request_at_any_rate() {
    for replicas in [1, 3, 9] {
        for per_s in [0.0, 0.3, 1.0, 3.0] {
            for hold_ms in [0, 3, 50, 300, 2_500, 20_000] {
                let load = idle_load(replicas, per_s, hold_ms);
                for rank in 0..=MAX_RELATIVE_PRIORITY {
                    let admitted = admit(load, 300, rank, 0, 1);
                    assert!(admitted.is_ok(), "{replicas}, {per_s}, {hold_ms}: {load:?}");
                }
            }
        }
    }
}

// Guards against requests that a member refuses for good by a rate which ended unnoticed: others
// keep the service busy, and only a request of its own would tell it.
#[test]
fn a_rate_that_was_not_named_lately_is_kept_but_refuses_no_request() {
    let mut rates = ReplicaRates::default();
    let now = Time(1_000);
    let _ = rates.note_response(now, REPLICA, STARTED_MS, now, Some(rate(1.0)));
    assert_eq!(rates.recent_rate(now.plus(1_000), REPLICA), Some(rate(1.0)));
    let later = now.plus(3_000);
    assert_eq!(rates.recent_rate(later, REPLICA), None);
    assert_eq!(rates.rate(REPLICA), Some(rate(1.0)));
    let _ = rates.note_response(later, REPLICA, STARTED_MS, later, Some(rate(1.0)));
    assert_eq!(rates.recent_rate(later, REPLICA), Some(rate(1.0)));
}
