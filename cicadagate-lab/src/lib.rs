/*!
Starts fleets of real processes on loopback, sends load, and measures.

Not deployed. The process tests, the demonstration and the experiments share
what is here: [`fleet`] starts the binaries and stand-ins, breaks and restarts
them; [`load`] is a caller that checks every answer byte by byte.
*/

pub mod demo;
pub mod fleet;
pub mod hops;
pub mod load;
pub mod measure;
pub mod slopes;
