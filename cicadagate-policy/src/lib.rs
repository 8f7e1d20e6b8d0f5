/*!
Decision functions of cicadagate.

This crate makes every decision of the system: whether a request is admitted,
which replica runs it, whether it may be retried, which log record takes
effect, and which members are alive. It has no I/O, no clock and no global
randomness. The current time and every seed are arguments, so that a fuzzer
can drive several nodes through any order of events and faults, and so that
all readers that apply the same log records reach the same state.

In return, the calling code has to carry out the results: a decision function
returns what to send or start, and a process crate does it.

Modules are grouped by the lifetime of the state that they decide on:

* [`request`]: a single request: admission, attempts, selection of a replica.
* [`process`]: a single process: membership, contact with the log, queues,
  shares of rate limits.
* [`version`]: state that outlives processes, computed from the log.
*/

mod average;
pub mod fault_injection;
pub mod ids;
pub mod process;
pub mod request;
pub mod time;
pub mod version;
