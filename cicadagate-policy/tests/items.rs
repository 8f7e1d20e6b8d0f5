//! What claimants may do with the items of a job.

use cicadagate_policy::{
    ids::{JobId, Offset},
    version::jobs::{Data, ItemStatus, Items, Outcome},
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
