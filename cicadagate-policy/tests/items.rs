//! What claimants may do with the items of a job.

use cicadagate_policy::{
    ids::{CustomerId, JobId, Offset},
    process::replica_queue::{Class, Config, ReplicaQueue, Request},
    time::Time,
    version::jobs::{Data, ItemStatus, Items, Outcome, request_id},
};

const JOB: JobId = JobId::from_raw(1);

/// Guards against an item that is given up as "outcome unknown" by a claimant
/// that lost its claim, while a later claim runs the item to its end.
#[test]
fn a_superseded_claimant_gives_no_item_an_outcome() {
    let (earlier, later) = (Offset(5), Offset(9));
    let mut items = Items::new(JOB, 1);
    // The earlier claimant's intent is appended after that of the later one.
    for (offset, fence) in [(1, later), (2, earlier)] {
        let intent = Data::Intent {
            job: JOB,
            fence,
            items: vec![0],
        };
        items.apply(Offset(offset), &intent);
    }
    assert_eq!(items.status(0, later, false), ItemStatus::Run);
    if items.status(0, earlier, false) == ItemStatus::Unknown {
        let results = vec![(0, Outcome::Unknown)];
        let (job, fence) = (JOB, earlier);
        let data = Data::Results {
            job,
            fence,
            results,
        };
        items.apply(Offset(3), &data);
    }
    let results = vec![(0, Outcome::Completed(Vec::new()))];
    let data = Data::Results {
        job: JOB,
        fence: later,
        results,
    };
    items.apply(Offset(4), &data);
    assert_eq!(items.failed(), 0, "the item completed");
    assert_eq!(items.result_offset(0), Some(Offset(4)));
}

/// Guards against an item that its replica refuses as a duplicate while the
/// request of a lost claimant still waits or runs there.
#[test]
fn a_request_of_a_lost_claimant_does_not_hold_up_that_of_the_next() {
    let mut queue = ReplicaQueue::new(Config::default());
    let request = |fence, item, try_number| Request {
        id: request_id(JOB, Offset(fence), item, try_number),
        customer: CustomerId::of("c"),
        class: Class::Batch,
        cost: 1,
        start_by: Time(u64::MAX),
        may_repeat: true,
    };
    for (fence, item, try_number) in [(5, 0, 0), (9, 0, 0), (9, 0, 1), (9, 1, 0)] {
        let queued = queue.submit(Time(1), request(fence, item, try_number));
        assert_eq!(
            queued,
            Ok(()),
            "item {item}, claim {fence}, try {try_number}"
        );
    }
}
