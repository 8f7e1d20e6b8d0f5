/*!
Callers: HTTP requests to entries, and checks of the responses.
*/

pub mod caller;
pub mod http;

pub use caller::{Caller, ChatResult, Outcome};
