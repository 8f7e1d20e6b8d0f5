/*!
Messages between cicadagate's processes, and the operators' RPC.

The protocols between our own processes are [`peer`] (TCP, requests and
answers) and [`datagram`] (UDP, membership). Both are `postcard` messages
under a keyed MAC; without the fleet's key nothing is decoded, so a stray or
hostile byte can reach no deciding code. [`rpc`] is the operators' gRPC
interface, generated from `schema/operator.proto`.

The crate does no I/O: it turns messages into bytes and back.
*/

pub mod datagram;
pub mod key;
pub mod peer;
pub mod rpc;
pub mod seal;
