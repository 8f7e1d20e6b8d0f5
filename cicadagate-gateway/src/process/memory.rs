/*!
Bytes held for callers.

[`memory_account`](cicadagate_policy::process::memory_account) decides whether further bytes
may be held.
*/

use {
    super::Gateway,
    cicadagate_node::event,
    cicadagate_policy::{ids::CustomerId, process::memory_account::Pressure},
    std::rc::Rc,
};

/// Bytes held for a request. Dropping it releases them.
pub struct HeldBytes {
    gateway: Rc<Gateway>,
    customer: Option<CustomerId>,
    bytes: usize,
}

impl HeldBytes {
    /// Creates a guard that holds nothing yet.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, customer: Option<CustomerId>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            customer,
            bytes: 0,
        }
    }

    /// Reserves further bytes; returns whether they may be held.
    pub fn reserve(&mut self, request: &str, bytes: usize) -> bool {
        let reserved = self
            .gateway
            .memory
            .borrow_mut()
            .reserve(self.customer, bytes);
        match reserved {
            Ok(pressure) => {
                self.bytes += bytes;
                log(&self.gateway, pressure, request);
                true
            }
            Err(_) => false,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let released = self
            .gateway
            .memory
            .borrow_mut()
            .release(self.customer, self.bytes);
        log(&self.gateway, released, "");
    }
}

/// Updates the metric, and logs a change of the state of memory.
fn log(gateway: &Gateway, pressure: Pressure, request: &str) {
    let (held, bound) = {
        let memory = gateway.memory.borrow();
        (memory.held(), memory.bound())
    };
    gateway.metrics.set_state("held_bytes", held);
    match pressure {
        Pressure::Unchanged => {}
        Pressure::Short => event!(MEMORY_SHORT, held, bound, request),
        Pressure::Relieved => event!(MEMORY_RELIEVED, held, bound),
    }
}
