/*!
Running one item of a job.
*/

mod line;
mod run;

pub(crate) use {
    line::Line,
    run::{is_idempotent, run_item},
};
