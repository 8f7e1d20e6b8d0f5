/*!
Reading and writing the batch streams of the log.
*/

mod data_stream;
mod jobs;

pub(crate) use {
    data_stream::{DataStream, Position},
    jobs::{JOBS_STREAM, ReplicatedJobs},
};
