/*!
Wire protocols between cicadagate's processes, and the operators' gRPC API.

Processes talk to each other through [`peer`] (TCP, requests and responses)
and [`datagram`] (UDP, membership, load reports, slots and rate limits). Both
carry `postcard` messages with a keyed MAC. The MAC is verified before a message
is decoded, so bytes from a sender without the fleet's key never reach the
decoder or any code behind it. [`rpc`] is the operators' gRPC API, generated
from `schema/operator.proto`.

The crate does no I/O; it only encodes and decodes messages.
*/

pub mod datagram;
pub mod key;
pub mod mac;
pub mod peer;
pub mod rpc;
