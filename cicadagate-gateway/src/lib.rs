/*!
All roles of cicadagate in one process.

A gateway takes requests and batch jobs of callers, sends them to replicas,
keeps what must last in the platform's store, and tells callers which
instances to use. It needs no other process of its own kind, but shares load
and takes over work where there are some.

What the platform speaks stays outside: [`platform`] has the traits that an
adapter implements, and [`settings`] what it must supply. Every decision is
taken in `cicadagate-policy`; this crate carries them out.

All of a process runs on one thread. State is shared by `Rc` and `RefCell`,
never borrowed across an `await`.

* [`platform`]: the store and the codecs of the platform, as traits.
* [`process`]: what lives as long as the process.
* [`connection`]: connections to replicas.
* [`request`]: requests and calls about jobs.
*/

pub mod connection;
pub mod platform;
pub mod process;
pub mod request;
pub mod settings;
