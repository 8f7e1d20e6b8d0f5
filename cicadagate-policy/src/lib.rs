/*!
The deciding functions of cicadagate.

Everything that cicadagate decides is decided here: whether a request is
admitted, which replica gets it, whether it may be tried again, which record
of the log wins, which member is alive. The crate has no I/O, no clock and no
global randomness. The present time and every seed are arguments, so that a
fuzzer can drive several nodes through any order of events and faults, and so
that every reader of the log that folds the same records reaches the same
state.

The price is that callers must carry results out themselves: a deciding
function returns what to send or start, and a process crate does it.

Modules are laid out by the life span of what they decide about:

* [`request`]: one request: admission, attempts, choice of a replica.
* [`process`]: one process: membership, contact with the log, queues, shares.
* [`version`]: what outlives processes: the folds of the log.
*/

pub mod ids;
pub mod planted;
pub mod process;
pub mod request;
pub mod time;
pub mod version;
