/*!
All roles of cicadagate in one process.

A gateway accepts requests and batch jobs from callers (whoever sends requests
or jobs to the fleet), sends them to replicas, stores what must outlive the
process in the platform's store, and returns the addresses of the gateways to
use. A gateway can run alone; several gateways
share the load and take over each other's batch items.

The crate does not depend on a platform's encodings: [`platform`] has the traits
that an adapter implements, and [`settings`] the values that it must supply.
Decisions are made in `cicadagate-policy`; this crate carries them out.

A process runs on a single thread. State is shared with `Rc` and `RefCell`, and
no borrow is held across an `await`.

* [`platform`]: traits for the platform's store and encodings.
* [`process`]: state and tasks of the process.
* [`request`]: requests, and requests about batch jobs.
*/

pub mod platform;
pub mod process;
pub mod request;
pub mod settings;
