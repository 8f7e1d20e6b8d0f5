/*!
Decisions about a single request.
*/

pub mod attempt;
pub mod item_tries;
pub mod overload;
pub mod replica_selection;
pub mod sse;
pub mod token_grants;
