/*!
Decisions about a single request.
*/

pub mod attempt;
pub mod choice;
pub mod events;
pub mod limit;
pub mod overload;
