/*!
What one process decides for as long as it lives.
*/

pub mod contact;
pub mod dispatch;
pub mod holder;
pub mod homes;
pub mod membership;
pub mod roster;
pub mod shutdown;
