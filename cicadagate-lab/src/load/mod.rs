/*!
Callers: HTTP requests to entries, and checks of their answers.
*/

pub mod caller;
pub mod http;

pub use caller::{Answered, Caller, Outcome};
