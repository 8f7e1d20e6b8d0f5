//! When a large configuration is in force, and how long other reads take meanwhile, in simulated
//! fleets of several sizes that share a store's read limit.

use {
    cicadagate_policy::{
        fault_injection::{Fault, inject},
        ids::mix64,
        process::large_reads::{FleetReads, LargeReads, MAX_BURST_MS},
        time::Time,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

const BYTES_PER_S: u64 = 80_000_000;
const IN_FORCE_MS: u64 = 4_000;
/// A configuration with 1,400 routes.
const CONFIG_BYTES: u64 = 256_000;
/// Registrations that a member reads at once.
const SMALL_READ_BYTES: u64 = 16_000;
const SMALL_READ_INTERVAL_MS: u64 = 800;
/// Time after which a response isn't awaited any more. The store sends it nevertheless.
const OPERATION_TIMEOUT_MS: u64 = 800;
const CHANGES: u64 = 25;
const CHANGE_INTERVAL_MS: u64 = 60;
const FIRST_CHANGE_MS: u64 = 2_000;
const END_MS: u64 = 30_000;
const FLEET_SIZES: [usize; 4] = [12, 195, 300, 410];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A member begins its next look at the records.
    Look(usize),
    /// A member reads records.
    Read(usize),
    /// A response has arrived: the version in it, and when its read began.
    Received(usize, u64, u64),
    /// A response was not awaited.
    TimedOut(usize),
    /// A member reads registrations.
    SmallRead(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Longest time from the append of a version until each member has it or a later one.
    in_force_ms: u64,
    /// Longest time of a read of registrations.
    small_read_ms: u64,
}

struct Fleet {
    reads: Vec<LargeReads>,
    versions: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Time at which the store has sent all responses, in microseconds.
    sent_until_us: u64,
    shared: FleetReads,
    random: u64,
    /// Times at which the members have each version.
    in_force: Vec<Vec<Option<u64>>>,
}

/// Returns the latest version that the store holds; the first one is 0.
fn version_at(now: u64) -> u64 {
    match now.checked_sub(FIRST_CHANGE_MS) {
        Some(since) => (since / CHANGE_INTERVAL_MS + 1).min(CHANGES),
        None => 0,
    }
}

impl Fleet {
    fn new(members: usize, seed: u64) -> Self {
        let mut fleet = Self {
            reads: vec![LargeReads::default(); members],
            versions: vec![0; members],
            events: BinaryHeap::new(),
            sent_until_us: 0,
            shared: FleetReads {
                members,
                bytes_per_s: Some(BYTES_PER_S),
                in_force_ms: IN_FORCE_MS,
            },
            random: seed,
            in_force: vec![vec![None; members]; usize::try_from(CHANGES).unwrap() + 1],
        };
        for member in 0..members {
            fleet.reads[member].note_size(CONFIG_BYTES);
            let at = fleet.next_random() % SMALL_READ_INTERVAL_MS;
            fleet.at(at, Event::Look(member));
            fleet.at(at, Event::SmallRead(member));
        }
        fleet
    }

    fn next_random(&mut self) -> u64 {
        self.random = mix64(self.random, 1);
        self.random
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    /// Sends a response; returns when it has arrived, in milliseconds.
    fn send(&mut self, now: u64, bytes: u64) -> u64 {
        let time_us = bytes * 1_000_000 / BYTES_PER_S;
        self.sent_until_us = self.sent_until_us.max(now * 1_000) + time_us;
        self.sent_until_us.div_ceil(1_000)
    }

    fn read(&mut self, now: u64, member: usize, records: u64) {
        let version = version_at(now);
        let arrival = self.send(now, records * CONFIG_BYTES);
        if arrival > now + OPERATION_TIMEOUT_MS {
            self.at(now + OPERATION_TIMEOUT_MS, Event::TimedOut(member));
        } else {
            let received = Event::Received(member, version, now);
            self.at(arrival, received);
        }
    }

    fn run(mut self) -> Outcome {
        let mut outcome = Outcome::default();
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now >= END_MS {
                break;
            }
            match event {
                Event::Look(member) => self.look(now, member),
                Event::Read(member) => self.read(now, member, 1),
                Event::TimedOut(member) => {
                    let random = self.next_random();
                    let delay = self.reads[member].next_backoff_ms(random);
                    self.at(now + delay, Event::Look(member));
                }
                Event::Received(member, version, started) => {
                    self.reads[member].note_read(Time(started), CONFIG_BYTES, self.shared);
                    self.reads[member].note_success();
                    let newer = self.versions[member] + 1..=version;
                    for version in newer {
                        let version = usize::try_from(version).unwrap();
                        self.in_force[version][member].get_or_insert(now);
                    }
                    self.versions[member] = self.versions[member].max(version);
                    self.at(now, Event::Look(member));
                }
                Event::SmallRead(member) => {
                    let arrival = self.send(now, SMALL_READ_BYTES);
                    outcome.small_read_ms = outcome.small_read_ms.max(arrival - now);
                    let next = arrival.min(now + OPERATION_TIMEOUT_MS) + SMALL_READ_INTERVAL_MS;
                    self.at(next, Event::SmallRead(member));
                }
            }
        }
        for (version, times) in (0_u64..).zip(&self.in_force).skip(1) {
            let appended = FIRST_CHANGE_MS + (version - 1) * CHANGE_INTERVAL_MS;
            for time in times {
                let in_force_ms = time.unwrap_or(END_MS) - appended;
                outcome.in_force_ms = outcome.in_force_ms.max(in_force_ms);
            }
        }
        outcome
    }

    fn look(&mut self, now: u64, member: usize) {
        let newer = version_at(now) - self.versions[member];
        if self.reads[member].may_wait_at_store(self.shared) {
            if newer == 0 {
                // The response is sent with the next append.
                self.at(now + 1, Event::Look(member));
            } else {
                self.read(now, member, newer);
            }
            return;
        }
        if newer == 0 {
            let interval = self.shared.check_interval_ms();
            self.at(now + interval, Event::Look(member));
            return;
        }
        let random = self.next_random();
        let planned = self.reads[member].note_available(Time(now), self.shared, random);
        self.at(planned.0.max(now), Event::Read(member));
    }
}

#[test]
fn a_series_of_large_configurations_is_in_force_in_time_and_delays_no_other_reads() {
    for members in FLEET_SIZES {
        for seed in 1..=5 {
            let outcome = Fleet::new(members, seed).run();
            eprintln!("{members} members, seed {seed}: {outcome:?}");
            assert!(outcome.in_force_ms < IN_FORCE_MS, "{members}: {outcome:?}");
            let small_read_ms = outcome.small_read_ms;
            assert!(
                small_read_ms < OPERATION_TIMEOUT_MS,
                "{members}: {outcome:?}"
            );
        }
    }
}

// Each member waited at the store for each version of a large configuration; their reads kept the
// store busy, and neither the configuration nor the registrations were read in time (issue 58).
#[test]
fn waiting_at_the_store_for_large_configurations_is_detected() {
    inject(Some(Fault::WaitForLargeRecords));
    let outcome = Fleet::new(195, 1).run();
    inject(None);
    eprintln!("{outcome:?}");
    assert!(outcome.in_force_ms > IN_FORCE_MS, "{outcome:?}");
    assert!(outcome.small_read_ms > OPERATION_TIMEOUT_MS, "{outcome:?}");
}

#[test]
fn members_wait_at_the_store_if_the_reads_of_all_are_short() {
    let fleet = |members, bytes_per_s| FleetReads {
        members,
        bytes_per_s,
        in_force_ms: IN_FORCE_MS,
    };
    let mut reads = LargeReads::default();
    assert!(reads.may_wait_at_store(fleet(12, Some(BYTES_PER_S))));
    assert!(reads.may_wait_at_store(fleet(410, None)));
    // A first large configuration is no burst either.
    assert!(!reads.may_wait_at_store(fleet(195, Some(BYTES_PER_S))));
    reads.note_size(4_000_000);
    let few = fleet(12, Some(BYTES_PER_S));
    assert!(few.transfer_ms(4_000_000) > MAX_BURST_MS);
    assert!(!reads.may_wait_at_store(few));
}

#[test]
fn repeated_failures_delay_the_next_read_up_to_a_limit() {
    let mut reads = LargeReads::default();
    let mut longest = Vec::new();
    for _ in 0..8 {
        longest.push(reads.next_backoff_ms(u64::MAX));
    }
    assert!(longest.iter().all(|delay| (100..=1_700).contains(delay)));
    reads.note_success();
    assert!(reads.next_backoff_ms(99) <= 200);
}
