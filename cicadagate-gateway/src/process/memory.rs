/*!
Bytes held for callers: bodies of requests, and what is held of responses.

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

/// What is held of a response that a replica sends. Dropping it releases it.
pub struct HeldResponse {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl HeldResponse {
    /// Creates a guard that holds nothing yet.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            bytes: 0,
        }
    }

    /// Releases all but some bytes.
    pub fn release_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.resize("", bytes);
        }
    }

    /// Sets how many bytes are held; returns whether they may be. If not, the response must
    /// end.
    pub fn resize(&mut self, request: &str, bytes: usize) -> bool {
        if bytes == self.bytes {
            return true;
        }
        let resized = self
            .gateway
            .memory
            .borrow_mut()
            .resize_response(self.bytes, bytes);
        match resized {
            Ok(pressure) => {
                self.bytes = bytes;
                log(&self.gateway, pressure, request);
                true
            }
            Err(err) => {
                event!(RESPONSE_EXCEEDS_MEMORY, request, own = self.bytes, reason: = err);
                false
            }
        }
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.release_to(0);
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
