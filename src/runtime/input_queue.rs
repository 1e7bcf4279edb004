//! The queue of the driver's inputs.

use super::handle::DriverInput;
use std::collections::VecDeque;
use tokio::sync::mpsc::UnboundedReceiver;

/// The receiving end of the driver's input queue.
///
/// New requests have the lowest priority: events of requests in progress may have to be handled within
/// fractions of a second, while a new request that waits can still be rejected. Otherwise inputs keep their
/// order.
pub(super) struct InputQueue {
    receiver: UnboundedReceiver<DriverInput>,
    events: VecDeque<DriverInput>,
    requests: VecDeque<DriverInput>,
}

impl InputQueue {
    pub fn new(receiver: UnboundedReceiver<DriverInput>) -> Self {
        InputQueue { receiver, events: VecDeque::new(), requests: VecDeque::new() }
    }

    /// Takes the next pending input without waiting.
    pub fn try_recv(&mut self) -> Option<DriverInput> {
        while let Ok(input) = self.receiver.try_recv() {
            self.enqueue(input);
        }
        self.events.pop_front().or_else(|| self.requests.pop_front())
    }

    /// Waits for the next input; `None` once every handle is dropped and the queue is empty.
    ///
    /// Cancel safe: a received input stays in the queue.
    pub async fn recv(&mut self) -> Option<DriverInput> {
        if let Some(input) = self.try_recv() {
            return Some(input);
        }
        let input = self.receiver.recv().await?;
        self.enqueue(input);
        self.try_recv()
    }

    fn enqueue(&mut self, input: DriverInput) {
        let queue = match input {
            DriverInput::RequestReceived { .. } => &mut self.requests,
            _ => &mut self.events,
        };
        queue.push_back(input);
    }
}

#[cfg(test)]
mod tests;
