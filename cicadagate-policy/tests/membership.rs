//! Membership over a network that loses, delays and doubles datagrams, with
//! killed, restarted, paused and cut-off processes.

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
            "doubled",
            "delayed",
            "killed",
            "restarted",
            "paused",
            "cut",
            "left",
            "declared dead",
            "refuted",
        ],
    );
}
