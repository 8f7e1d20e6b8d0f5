/*!
Decisions whose state lives as long as one process.
*/

pub mod batch_share;
pub mod cold_replicas;
pub mod contact;
pub mod demand_swing;
pub mod evacuation;
pub mod freshness;
pub mod hold_times;
pub mod item_order;
pub mod item_scan;
pub mod large_reads;
pub mod last_replica;
pub mod membership;
pub mod memory_account;
pub mod placement;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod registration_readers;
pub mod replica_queue;
pub mod replica_rates;
pub mod replicas;
pub mod reports;
pub mod roster;
pub mod share_holder;
pub mod shutdown;
pub mod slot_ledger;
pub mod slot_queue;
pub mod stalled_items;
pub mod stream_origins;
pub mod unresolved_jobs;
pub mod version_record;
