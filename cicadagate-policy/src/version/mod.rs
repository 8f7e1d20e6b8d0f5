/*!
State that outlives processes, computed from the streams of the log.

The log alone determines the order. Each state is a pure function of the
records in log order, where the first valid record takes effect, so that all
readers reach the same verdict on every record without communicating.
*/

pub mod config;
pub mod intents;
pub mod job_index;
pub mod jobs;
pub mod reader;
pub mod serving;
pub mod token_limit;
