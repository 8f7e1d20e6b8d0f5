//! Membership over a network that loses, delays and doubles datagrams, with
//! killed, restarted, paused and cut-off processes.

#[path = "support/mod.rs"]
mod support;

#[path = "membership/mod.rs"]
mod membership;

use {
    membership::MembershipWorld,
    support::{Plan, assert_took_effect, check},
};

#[test]
fn views_agree_after_faults() {
    let counts = check::<MembershipWorld>(Plan::from_env(1, 150, 60));
    assert_took_effect(
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
