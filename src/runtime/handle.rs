//! How other parts reach the driver: its inputs, and the handle that submits them.

use super::clock::Clock;
use super::exchange::{ForwardedRequest, PendingResponse, Responder, ResponseStream, open_exchange};
use crate::interface::{
    AttemptIndex, Endpoint, LoadReport, Micros, Outcome, RequestId, RequestSpec, UpdateKind, WorkerId,
};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// How an attempt ended, and what its worker reported.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Prompt tokens that the worker found in its cache.
    pub cached_tokens: u64,
    /// The worker's load, if reported.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    /// The result of an attempt whose worker reported nothing.
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, cached_tokens: 0, report: None }
    }
}

/// An input of the driver: something that happened.
pub enum DriverInput {
    /// A request was received.
    RequestReceived {
        /// What the policy is told of it.
        spec: RequestSpec,
        /// When it was submitted to the driver.
        received_at: Micros,
        /// What is forwarded to workers.
        forwarded: Rc<ForwardedRequest>,
        /// Gives the final answer.
        responder: Responder,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// The first event of a stream was received from a worker.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The stream.
        stream: ResponseStream,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// How it ended, and what its worker reported.
        result: AttemptResult,
    },
    /// The endpoint list was updated, or could not be.
    EndpointsUpdated {
        /// What the update contains.
        kind: UpdateKind,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A decode worker has answered a reservation.
    SlotReservationAnswered {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// The result of a health check.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// [`Outcome::Completed`], or what went wrong.
        outcome: Outcome,
        /// The worker's load, if reported.
        report: Option<LoadReport>,
    },
}

/// A handle to the driver. The driver runs for as long as there is one.
#[derive(Clone)]
pub struct DriverHandle {
    inputs: mpsc::UnboundedSender<DriverInput>,
    next_request: Rc<Cell<u64>>,
    /// The clock that the driver uses.
    pub clock: Clock,
}

impl DriverHandle {
    /// A handle and the driver's end of the queue. The queue itself is unbounded: it is bounded by the
    /// requests in flight, which are limited where they are received.
    pub fn channel(clock: Clock) -> (Self, mpsc::UnboundedReceiver<DriverInput>) {
        let (inputs, driver_end) = mpsc::unbounded_channel();
        (DriverHandle { inputs, next_request: Rc::new(Cell::new(1)), clock }, driver_end)
    }

    /// Submits an input. It is dropped if the driver has ended, which happens only at the end of the process.
    pub fn submit(&self, input: DriverInput) {
        let _ = self.inputs.send(input);
    }

    /// Submits a request, under a number that is filled in here. Dropping the pending response tells the
    /// driver that the client has disconnected.
    pub fn submit_request(&self, mut spec: RequestSpec, forwarded: ForwardedRequest) -> PendingResponse {
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        spec.request = request;
        let inputs = self.inputs.clone();
        let on_disconnect = move || _ = inputs.send(DriverInput::ClientDisconnected(request));
        let (pending, responder) = open_exchange(Rc::new(on_disconnect));
        let (received_at, forwarded) = (self.clock.now(), Rc::new(forwarded));
        self.submit(DriverInput::RequestReceived { spec, received_at, forwarded, responder });
        pending
    }
}
