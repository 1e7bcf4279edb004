//! The inputs that wait for the driver.

use super::handle::DriverInput;
use std::collections::VecDeque;
use tokio::sync::mpsc::UnboundedReceiver;

/// The driver's end of the queue of inputs.
///
/// New requests go last: what happens to the requests in progress may have to be acted upon within fractions
/// of a second, and a new request that waits can still be rejected. Otherwise inputs keep their order.
pub(super) struct InputQueue {
    arriving: UnboundedReceiver<DriverInput>,
    events: VecDeque<DriverInput>,
    requests: VecDeque<DriverInput>,
}

impl InputQueue {
    /// The queue behind these inputs.
    pub fn new(arriving: UnboundedReceiver<DriverInput>) -> Self {
        InputQueue { arriving, events: VecDeque::new(), requests: VecDeque::new() }
    }

    /// Takes the next input that has arrived, if there is one.
    pub fn try_recv(&mut self) -> Option<DriverInput> {
        while let Ok(input) = self.arriving.try_recv() {
            self.add(input);
        }
        self.events.pop_front().or_else(|| self.requests.pop_front())
    }

    /// Waits for the next input; `None` once every handle is dropped and nothing is left.
    ///
    /// Cancel safe: an input that has arrived stays in the queue.
    pub async fn recv(&mut self) -> Option<DriverInput> {
        if let Some(input) = self.try_recv() {
            return Some(input);
        }
        let input = self.arriving.recv().await?;
        self.add(input);
        self.try_recv()
    }

    fn add(&mut self, input: DriverInput) {
        let queue = match input {
            DriverInput::RequestReceived { .. } => &mut self.requests,
            _ => &mut self.events,
        };
        queue.push_back(input);
    }
}

#[cfg(test)]
mod tests;
