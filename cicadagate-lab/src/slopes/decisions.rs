/*!
Slopes of functions of `cicadagate-policy`, measured alone at up to the required
fleet size.
*/

use {
    super::{Slope, processes::resident_kib, to_f64},
    cicadagate_policy::{
        ids::{CustomerId, EndpointId, FileId, JobId, MemberId, Offset, RequestId, hash64},
        process::{
            membership::{Health, Info, Membership, Message, MessageKind, Role, Update},
            placement::{PlacementCandidate, preferred_member},
            replica_queue::{Action, Class, Config, ReplicaQueue, Request},
            share_holder::ShareHolder,
        },
        request::replica_selection::{ReplicaSelector, SelectionPolicy},
        time::Time,
        version::{
            config::{Change, Customer, Key, Record, Roster, RosterMember, State},
            jobs,
        },
    },
    cicadagate_wire::{datagram::DatagramCodec, key::FleetKey},
    std::{hint::black_box, time::Instant},
};

/// Measures the slopes of all functions.
pub(super) fn measure() -> Vec<Slope> {
    let mut slopes = membership_slopes();
    slopes.extend(config_slopes());
    slopes.extend(routing_slopes());
    slopes.extend(queue_slopes());
    slopes.extend(job_slopes());
    slopes.extend(result_slopes());
    slopes
}

/// Returns the mean time of an action over a number of runs, in microseconds.
///
/// One more run comes before, as a warm-up.
fn mean_us(runs: u32, mut action: impl FnMut()) -> f64 {
    action();
    let start = Instant::now();
    for _ in 0..runs {
        action();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn info(index: usize) -> Info {
    Info {
        id: MemberId::of(&format!("i{index}/entry#1")),
        instance: format!("instance-{index}"),
        data_centre: format!("dc-{}", index % 7),
        role: Role::Dispatch,
        udp: ([10, 0, 0, 1], u16::try_from(index % 60_000).unwrap_or(0)).into(),
        tcp: ([10, 0, 0, 1], u16::try_from(index % 60_000).unwrap_or(0)).into(),
        started: 1_700_000_000_000,
        version: Offset(100_000),
        leaving: false,
    }
}

fn membership(members: usize) -> Membership {
    let mut membership = Membership::new(info(0), 1);
    for index in 1..=members {
        let update = Update {
            info: info(index),
            incarnation: 1,
            health: Health::Alive,
        };
        let message = Message {
            kind: MessageKind::Ack {
                seq: 0,
                from: MemberId::default(),
            },
            updates: vec![update],
            withdrawn: Vec::new(),
        };
        membership.handle(Time(1), ([10, 0, 0, 1], 1).into(), message);
    }
    membership
}

/// CPU time of a probe period with its acknowledgement, and mean length of a
/// datagram.
fn membership_slopes() -> Vec<Slope> {
    let sizes = [50, 100, 400, 800, 1_640];
    let key = FleetKey::from_hex(&"ab".repeat(32)).ok();
    let codec = key.map(|key| DatagramCodec::new(&key));
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for members in sizes {
        let mut membership = membership(members);
        let mut now = Time(10);
        let mut sent = 0;
        let mut messages = 0;
        let us = mean_us(400, || {
            now = now.plus(500);
            let out = membership.tick(now);
            for (to, message) in out {
                if let Some(codec) = &codec {
                    sent += codec.encode(&message).len();
                    messages += 1;
                }
                // The acknowledgement ends the probe.
                if let MessageKind::Ping { seq } = message.kind {
                    let ack = Message {
                        kind: MessageKind::Ack {
                            seq,
                            from: MemberId::default(),
                        },
                        ..message
                    };
                    black_box(membership.handle(now, to, ack));
                }
            }
        });
        cpu.push((to_f64(members), us));
        bytes.push((to_f64(members), to_f64(sent) / to_f64(messages)));
    }
    vec![
        Slope {
            name: "probe period, CPU",
            unit: "us",
            per: "member",
            points: cpu,
        },
        Slope {
            name: "datagram",
            unit: "bytes",
            per: "member",
            points: bytes,
        },
    ]
}

fn customer(index: usize) -> Customer {
    Customer {
        name: format!("customer-{index}"),
        rate_milli: 3_000,
        burst: 20,
    }
}

fn apply_change(state: &mut State, change: Change) {
    let offset = state.version().next();
    let id = RequestId::of(&format!("{offset}"));
    state.apply(
        offset,
        &Record {
            id,
            based_on: Offset::NONE,
            change,
        },
    );
}

fn config(customers: usize) -> State {
    let mut state = State::default();
    for index in 0..customers {
        apply_change(&mut state, Change::PutCustomer(customer(index)));
        for key in 0..3 {
            let hash = hash_of(index * 3 + key);
            let id = format!("key-{index}-{key}");
            apply_change(
                &mut state,
                Change::PutKey(Key {
                    id,
                    customer: customer(index).name,
                    hash,
                }),
            );
        }
    }
    state
}

fn hash_of(index: usize) -> [u8; 32] {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&hash64(&[&index.to_le_bytes()]).to_le_bytes());
    hash
}

fn roster_members(count: usize) -> Vec<RosterMember> {
    let member = |index: usize| RosterMember {
        member: info(index).id,
        process: index as u64,
        data_centre: (index % 7) as u64,
    };
    let mut members: Vec<RosterMember> = (0..count).map(member).collect();
    members.sort_unstable();
    members
}

/// Size of the configuration, and CPU time to apply a change and to handle a
/// new roster at a share holder.
fn config_slopes() -> Vec<Slope> {
    let (mut bytes, mut apply_us, mut rosters) = (Vec::new(), Vec::new(), Vec::new());
    for customers in [50, 100, 210, 420] {
        let state = config(customers);
        let encoded = postcard::to_stdvec(&state).unwrap_or_default();
        bytes.push((to_f64(customers), to_f64(encoded.len())));
        let mut next = state.clone();
        let us = mean_us(200, || {
            let name = customer(customers / 2).name;
            apply_change(&mut next, Change::RemoveCustomer(name));
        });
        apply_us.push((to_f64(customers), us));
        let members = roster_members(410);
        let us = mean_us(3, || {
            let mut state = state.clone();
            let mut holder = ShareHolder::new(members[0].member);
            let roster = Roster {
                witnesses: members[..15].to_vec(),
                members: members.clone(),
            };
            apply_change(&mut state, Change::PutRoster(roster));
            holder.update(Time(1), &state);
            black_box(holder.customers().count());
        });
        rosters.push((to_f64(customers), us));
    }
    vec![
        Slope {
            name: "configuration",
            unit: "bytes",
            per: "customer with 3 keys",
            points: bytes,
        },
        Slope {
            name: "fold of a change, CPU",
            unit: "us",
            per: "customer",
            points: apply_us,
        },
        Slope {
            name: "new roster of 410 at a holder, CPU",
            unit: "us",
            per: "customer",
            points: rosters,
        },
    ]
}

/// CPU time to rank the replicas and to find the owner of one, for one request.
fn routing_slopes() -> Vec<Slope> {
    let (mut rank_us, mut owner_us) = (Vec::new(), Vec::new());
    for endpoints in [50, 185, 370, 740] {
        let ids: Vec<EndpointId> = (0..endpoints)
            .map(|i| EndpointId::of(&format!("e{i}")))
            .collect();
        let mut selector = ReplicaSelector::new(SelectionPolicy::Affinity);
        for id in &ids {
            selector.note_load(Time(1), *id, id.raw() % 8);
        }
        let mut prefix = 0;
        let us = mean_us(200, || {
            prefix += 1;
            black_box(selector.rank(Time(2), prefix, prefix, &ids));
        });
        rank_us.push((to_f64(endpoints), us));
    }
    for members in [50, 100, 205, 410] {
        let candidates: Vec<PlacementCandidate> = roster_members(members)
            .iter()
            .map(|member| PlacementCandidate {
                member: member.member,
                data_centre: member.data_centre,
            })
            .collect();
        let mut key = 0;
        let us = mean_us(500, || {
            key += 1;
            black_box(preferred_member(key, 3, &candidates));
        });
        owner_us.push((to_f64(members), us));
    }
    vec![
        Slope {
            name: "order of replicas, CPU",
            unit: "us",
            per: "replica",
            points: rank_us,
        },
        Slope {
            name: "home of a replica, CPU",
            unit: "us",
            per: "member",
            points: owner_us,
        },
    ]
}

/// CPU time of a request in a replica's queue.
fn queue_slopes() -> Vec<Slope> {
    let mut points = Vec::new();
    for queued in [10, 50, 100, 200] {
        let mut queue = ReplicaQueue::new(Config::default());
        let mut number = 0_u64;
        let mut submit = |queue: &mut ReplicaQueue| {
            number += 1;
            let id = RequestId::of(&number.to_string());
            let customer = CustomerId::from_raw(number % 16);
            let class = Class::Batch;
            let start_by = Time(u64::MAX);
            let request = Request {
                id,
                customer,
                class,
                cost: 20,
                start_by,
                may_repeat: true,
            };
            black_box(queue.submit(Time(1), request)).is_ok()
        };
        for _ in 0..queued + 16 {
            submit(&mut queue);
        }
        let mut running = Vec::new();
        let us = mean_us(500, || {
            submit(&mut queue);
            while let Some(action) = queue.next_action(Time(1)) {
                if let Action::Start(request) = action {
                    running.push(request.id);
                }
            }
            if let Some(id) = running.pop() {
                queue.remove(id);
            }
        });
        points.push((to_f64(queued), us));
    }
    vec![Slope {
        name: "request through a queue, CPU",
        unit: "us",
        per: "queued request",
        points,
    }]
}

/// Memory, encoded size and CPU time of the replicated state of jobs, for a job
/// from acceptance to its end.
fn job_slopes() -> Vec<Slope> {
    let (mut memory, mut encoded, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for count in [5_000, 10_000, 20_000, 40_000] {
        let before = resident_kib(std::process::id());
        let start = Instant::now();
        let mut state = jobs::State::default();
        for index in 0..count {
            apply_job(&mut state, index as u64 + 1);
        }
        let seconds = start.elapsed().as_secs_f64();
        memory.push((to_f64(count), resident_kib(std::process::id()) - before));
        encoded.push((
            to_f64(count),
            to_f64(postcard::to_stdvec(&state).unwrap_or_default().len()),
        ));
        cpu.push((to_f64(count), seconds * 1e6));
        // Not dropped yet, so that the next state gets newly allocated memory.
        kept.push(state);
    }
    black_box(kept);
    vec![
        Slope {
            name: "jobs' fold, memory",
            unit: "KiB",
            per: "job",
            points: memory,
        },
        Slope {
            name: "jobs' fold, encoded",
            unit: "bytes",
            per: "job",
            points: encoded,
        },
        Slope {
            name: "jobs' fold, CPU",
            unit: "us",
            per: "job",
            points: cpu,
        },
    ]
}

fn apply_job(state: &mut jobs::State, number: u64) {
    let (id, file) = (JobId::from_raw(number), FileId::from_raw(number));
    let customer = format!("customer-{}", number % 420);
    // The required mean job has 14,000 items: about 10 input chunks of 1 MiB
    // and 8 result records.
    let chunks = vec![Offset(number); 10];
    let records = [
        jobs::Record::File(jobs::File {
            id: file,
            customer: customer.clone(),
            name: "in.jsonl".to_owned(),
            bytes: 10 << 20,
            lines: 14_000,
            chunks,
            created: 1,
        }),
        jobs::Record::Accept(jobs::Job {
            id,
            customer,
            file,
            endpoint: "/v1/chat/completions".to_owned(),
            items: 14_000,
            data_from: Offset(number),
            created: 1,
            keep_until: 2,
        }),
        jobs::Record::Claim {
            job: id,
            claimant: MemberId::of("m"),
            incarnation: 1,
            after: Offset::NONE,
        },
    ];
    for record in records {
        state.apply(state.version().next(), &record);
    }
    let fence = state.version();
    let results = vec![Offset(number); 8];
    let close = jobs::Record::Close {
        job: id,
        fence,
        completed: 14_000,
        failed: 0,
        results,
    };
    state.apply(state.version().next(), &close);
}

/// Size of a result record by the number of its items.
fn result_slopes() -> Vec<Slope> {
    let body = "x".repeat(400).into_bytes();
    let mut points = Vec::new();
    for items in [64, 256, 1_024, 4_096] {
        let results = (0..items)
            .map(|item| (item, jobs::Outcome::Completed(body.clone())))
            .collect();
        let data = jobs::Data::Results {
            job: JobId::from_raw(1),
            fence: Offset(1),
            results,
        };
        let bytes = postcard::to_stdvec(&data).unwrap_or_default().len();
        points.push((f64::from(items), to_f64(bytes)));
    }
    vec![Slope {
        name: "record of results of 400 bytes",
        unit: "bytes",
        per: "item",
        points,
    }]
}
