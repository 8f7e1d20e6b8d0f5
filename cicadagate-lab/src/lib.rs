/*!
Starts fleets of real processes on loopback, sends load, and measures.

The process tests, the demonstration and the experiments share this crate; it is
not deployed. [`fleet`] starts, kills, suspends and restarts the binaries and
stand-ins; [`load`] is a caller that checks every response byte by byte.
*/

pub mod demo;
pub mod fleet;
pub mod hops;
pub mod load;
pub mod measure;
pub mod slopes;
