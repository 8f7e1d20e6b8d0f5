/*!
Responses that have arrived from peers and are not consumed yet.

# Problem

A connection to a peer is shared by all requests, so it is read without regard to how fast
each response is consumed: one slow caller must not delay the others. An endpoint that sends
faster than the caller reads, or sends without end, would fill the memory of the process.

# Choice

All responses together hold at most [`MAX_HELD_BYTES`]. If a message doesn't fit, the
response that holds the most is given up, and what it holds is released at once. So the
process goes on with all others, whatever the caller of that one does.

# Cost

Two counters a message. The largest holder is searched among all responses, but only when
a message doesn't fit. A caller that reads slowly loses a long response if many others are
held too.
*/

use {
    cicadagate_wire::peer::FromServer,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
        rc::{Rc, Weak},
    },
    tokio::sync::Notify,
};

/// Most bytes that all responses of a process hold.
pub const MAX_HELD_BYTES: usize = 64 * 1024 * 1024;

/// An event of a running attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The peer sent a message about the attempt.
    Message(FromServer),
    /// The connection ended; the attempt may have run.
    Lost,
    /// There was no memory to hold the response, which is given up.
    Overflow,
}

/// The bytes of all responses that a process holds.
#[derive(Debug, Default)]
pub struct HeldResponses {
    bytes: Cell<usize>,
    next_number: Cell<u64>,
    queues: RefCell<BTreeMap<u64, Weak<ResponseQueue>>>,
}

impl HeldResponses {
    /// Returns an empty reservation.
    #[must_use]
    pub fn hold(self: &Rc<Self>) -> HeldBytes {
        HeldBytes {
            all: Rc::clone(self),
            bytes: Cell::new(0),
        }
    }

    /// Adds an empty queue.
    #[must_use]
    pub fn queue(self: &Rc<Self>) -> Rc<ResponseQueue> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let queue = Rc::new(ResponseQueue {
            number,
            events: RefCell::default(),
            arrived: Notify::new(),
            held: self.hold(),
            is_given_up: Cell::new(false),
        });
        self.queues
            .borrow_mut()
            .insert(number, Rc::downgrade(&queue));
        queue
    }

    fn largest(&self) -> Option<Rc<ResponseQueue>> {
        let queues = self.queues.borrow();
        let queues = queues.values().filter_map(Weak::upgrade);
        queues.max_by_key(|queue| queue.held.bytes.get())
    }
}

/// Bytes that are held. They are released when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    all: Rc<HeldResponses>,
    bytes: Cell<usize>,
}

impl HeldBytes {
    /// Returns the bytes that are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Reserves further bytes; returns whether they may be held.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> bool {
        let all = self.all.bytes.get().saturating_add(bytes);
        if all > MAX_HELD_BYTES {
            return false;
        }
        self.all.bytes.set(all);
        self.bytes.set(self.bytes.get() + bytes);
        true
    }

    /// Releases bytes that were reserved.
    pub fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        self.all.bytes.set(self.all.bytes.get() - bytes);
    }

    /// Releases all bytes that were reserved.
    pub fn release_all(&self) {
        self.release(self.bytes.get());
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// The events of one attempt that are not consumed yet.
#[derive(Debug)]
pub struct ResponseQueue {
    number: u64,
    events: RefCell<VecDeque<AttemptEvent>>,
    arrived: Notify,
    held: HeldBytes,
    is_given_up: Cell<bool>,
}

impl ResponseQueue {
    /// Adds a message. Returns `false` if the response is given up, so that the attempt can
    /// be cancelled.
    #[must_use]
    pub fn push(&self, message: FromServer) -> bool {
        let bytes = message.held_bytes();
        while !self.is_given_up.get() && !self.held.reserve(bytes) {
            match self.held.all.largest() {
                Some(largest) if largest.held.bytes.get() > self.held.bytes.get() => {
                    largest.give_up();
                }
                _ => self.give_up(),
            }
        }
        if self.is_given_up.get() {
            return false;
        }
        self.events
            .borrow_mut()
            .push_back(AttemptEvent::Message(message));
        self.arrived.notify_one();
        true
    }

    /// Adds the event that the connection has ended.
    pub fn push_lost(&self) {
        self.events.borrow_mut().push_back(AttemptEvent::Lost);
        self.arrived.notify_one();
    }

    /// Waits for the next event.
    pub async fn next(&self) -> AttemptEvent {
        loop {
            let event = self.events.borrow_mut().pop_front();
            if let Some(event) = event {
                if let AttemptEvent::Message(message) = &event {
                    self.held.release(message.held_bytes());
                }
                return event;
            }
            self.arrived.notified().await;
        }
    }

    fn give_up(&self) {
        self.is_given_up.set(true);
        *self.events.borrow_mut() = VecDeque::from([AttemptEvent::Overflow]);
        self.held.release_all();
        self.arrived.notify_one();
    }
}

impl Drop for ResponseQueue {
    fn drop(&mut self) {
        self.held.all.queues.borrow_mut().remove(&self.number);
    }
}
