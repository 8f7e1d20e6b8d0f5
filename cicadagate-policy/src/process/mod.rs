/*!
Decisions whose state lives as long as one process.
*/

pub mod batch_share;
pub mod contact;
pub mod dispatch;
pub mod holder;
pub mod homes;
pub mod membership;
pub mod rate_limit;
pub mod replicas;
pub mod reports;
pub mod roster;
pub mod shutdown;
pub mod slot_ledger;
