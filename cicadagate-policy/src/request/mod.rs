/*!
What is decided about one request.
*/

pub mod attempt;
pub mod choice;
pub mod events;
pub mod limit;
pub mod overload;
