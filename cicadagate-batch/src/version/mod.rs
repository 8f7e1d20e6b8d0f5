/*!
The batch streams of the log, as this process reads and writes them.
*/

mod data;
mod fold;

pub(crate) use {
    data::{DataStream, Position},
    fold::{JOBS_STREAM, JobsFold},
};
