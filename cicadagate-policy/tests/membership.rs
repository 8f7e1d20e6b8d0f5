//! Fuzz test of membership over a network that loses, delays and duplicates
//! datagrams, with killed, restarted, paused and partitioned processes.

#[path = "support/mod.rs"]
mod support;

#[path = "membership/mod.rs"]
mod membership;

use {
    membership::MembershipSimulation,
    support::{FuzzPlan, assert_all_occurred, check_guarantees},
};

#[test]
fn views_agree_after_faults() {
    let counts = check_guarantees::<MembershipSimulation>(FuzzPlan::from_env(1, 150, 60));
    assert_all_occurred(
        &counts,
        &[
            "lost",
            "duplicated",
            "delayed",
            "killed",
            "restarted",
            "paused",
            "partitioned",
            "left",
            "declared dead",
            "refuted",
        ],
    );
}
