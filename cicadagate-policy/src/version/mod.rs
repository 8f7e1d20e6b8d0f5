/*!
What outlives every process: folds of the log's streams.

Order comes from the log alone. Each fold is a pure function of the records
in log order, "first valid record wins", so that every reader reaches the
same verdict on every record without talking to another.
*/

pub mod config;
pub mod intents;
pub mod job_index;
pub mod jobs;
pub mod reader;
pub mod serving;
