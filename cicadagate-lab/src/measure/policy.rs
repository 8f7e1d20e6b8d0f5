/*!
The compared policies: the system as shipped, variants of it, baselines, and
reference runs that give upper bounds.
*/

use serde_json::{Value, json};

/// A policy to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The system with default settings.
    Cicadagate,
    /// Random replica selection, and no queues but those of the engines; batch
    /// work is sent without a limit.
    EngineQueues,
    /// Each entry admits an equal share of a customer's rate and burst.
    EqualParts,
    /// One queue per replica in order of arrival, without priorities.
    FirstCome,
    /// Selection of the least loaded replica, without prefix affinity.
    LeastLoaded,
    /// Reference: online requests without batch work.
    OnlineAlone,
    /// Reference: batch work without online requests.
    BatchAlone,
    /// Default settings, but without streams reserved for online requests.
    NoReserve,
    /// Default settings; a replica and an instance are killed during the load.
    Faults,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 9] = [
        Self::Cicadagate,
        Self::EngineQueues,
        Self::EqualParts,
        Self::FirstCome,
        Self::LeastLoaded,
        Self::OnlineAlone,
        Self::BatchAlone,
        Self::NoReserve,
        Self::Faults,
    ];

    /// Returns the name used in reports and on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cicadagate => "cicadagate",
            Self::EngineQueues => "engine-queues",
            Self::EqualParts => "equal-parts",
            Self::FirstCome => "first-come",
            Self::LeastLoaded => "least-loaded",
            Self::OnlineAlone => "online-alone",
            Self::BatchAlone => "batch-alone",
            Self::NoReserve => "no-reserve",
            Self::Faults => "faults",
        }
    }

    /// Returns the policy with the given name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Returns the settings of the entry role.
    pub(super) fn entry_settings(self) -> Value {
        match self {
            Self::EngineQueues => json!({"routing": "random"}),
            Self::EqualParts => json!({"limiting": "equal_parts"}),
            Self::LeastLoaded => json!({"routing": "least_loaded"}),
            _ => Value::Null,
        }
    }

    /// Returns the settings of the dispatch role.
    pub(super) fn dispatch_settings(self) -> Value {
        match self {
            Self::EngineQueues => json!({"engine_queues_only": true}),
            Self::FirstCome => json!({"priorities": false}),
            Self::NoReserve => json!({"reserve_streams": 0}),
            _ => Value::Null,
        }
    }

    pub(super) const fn has_online(self) -> bool {
        !matches!(self, Self::BatchAlone)
    }

    pub(super) const fn has_batch(self) -> bool {
        !matches!(self, Self::OnlineAlone)
    }

    pub(super) const fn injects_faults(self) -> bool {
        matches!(self, Self::Faults)
    }
}
