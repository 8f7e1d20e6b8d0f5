/*!
What every process of cicadagate needs.

Settings, logs, metrics, clients of the platform, membership, the fold of the
configuration, contact, and links to other processes. A binary crate adds its
role on top: it starts a [`process::Node`], serves its own interface, and
stops through the node's shutdown.

All of a process runs on one thread. State is shared by `Rc` and `RefCell`,
never borrowed across an `await`.

* [`connection`]: links to and from other processes, and HTTP.
* [`process`]: the node itself and its tasks.
* [`request`]: running a request at the endpoints, over attempts.
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
