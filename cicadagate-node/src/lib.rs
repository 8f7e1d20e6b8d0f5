/*!
Common parts of the processes of cicadagate.

The crate provides settings, logging, metrics, clients of the platform's
services, membership, the replicated configuration, contact (the lease on the
configuration in force), and connections to other processes. The binary of each
role builds on it: it starts a [`process::Node`], serves its own interface, and
stops through the node's graceful shutdown.

Everything in a process runs on one thread, except that [`stdout`] writes log
lines from a thread of its own. State is shared through `Rc` and `RefCell` and
is never borrowed across an `await`.

* [`connection`]: connections to and from other processes, and HTTP.
* [`process`]: the node and its tasks.
* [`request`]: running a request at the endpoints, with retries.
* [`platform`]: the log and the instance list, behind traits.
*/

pub mod clock;
pub mod command;
pub mod connection;
pub mod events;
pub mod metrics;
pub mod platform;
pub mod process;
pub mod request;
pub mod settings;
pub mod stdout;
pub mod trace;
