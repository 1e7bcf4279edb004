//! The driver's inputs, and the handle through which other modules submit them.

use super::clock::Clock;
use super::exchange::{ForwardedRequest, PendingResponse, Responder, ResponseStream, open_exchange};
use crate::interface::{
    AttemptIndex, Endpoint, LoadReport, Micros, Outcome, RequestId, RequestSpec, UpdateKind, WorkerId,
};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The number of prompt tokens that the worker found in its KV cache.
    pub cached_tokens: u64,
    /// The load of the worker, if it was reported.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    /// The result of an attempt without a report of the worker.
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, cached_tokens: 0, report: None }
    }
}

/// An input of the driver.
pub enum DriverInput {
    /// A request was received from a client.
    RequestReceived {
        /// The request as the policy sees it.
        spec: RequestSpec,
        /// When the request was submitted to the driver.
        received_at: Micros,
        /// The request as it is forwarded to workers.
        forwarded: Rc<ForwardedRequest>,
        /// Sends the final response.
        responder: Responder,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// The first event of a stream was received from a worker.
    StreamStarted {
        /// The request that the stream responds to.
        request: RequestId,
        /// The index of the attempt whose response is streamed.
        attempt: AttemptIndex,
        /// Yields the events of the response.
        stream: ResponseStream,
    },
    /// An attempt has ended, with or without success.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The index of the attempt that ended.
        attempt: AttemptIndex,
        /// The outcome, with the values that the worker reported.
        result: AttemptResult,
    },
    /// The endpoint list was updated, or an update failed.
    EndpointsUpdated {
        /// Whether the endpoints are changes or the complete list, or whether the update failed.
        kind: UpdateKind,
        /// The entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A decode worker has responded to a request to reserve a slot.
    SlotReservationAnswered {
        /// The request that the slot was to be reserved for.
        request: RequestId,
        /// The decode worker that responded.
        worker: WorkerId,
        /// Whether the worker has reserved the slot.
        reserved: bool,
    },
    /// A worker has responded to a health check, or the health check has failed.
    HealthChecked {
        /// The worker that was checked.
        worker: WorkerId,
        /// [`Outcome::Completed`] if the worker is healthy, else the kind of failure.
        outcome: Outcome,
        /// The load that the worker reported in its response; `None` without a report.
        report: Option<LoadReport>,
    },
}

/// A handle to the driver. The driver runs until the last handle is dropped.
#[derive(Clone)]
pub struct DriverHandle {
    inputs: mpsc::UnboundedSender<DriverInput>,
    next_request: Rc<Cell<u64>>,
    /// The clock that the driver uses.
    pub clock: Clock,
}

impl DriverHandle {
    /// Creates a handle and the receiving end of the driver's channel. The channel needs no bound of its own,
    /// since the server limits the requests in flight.
    pub fn channel(clock: Clock) -> (Self, mpsc::UnboundedReceiver<DriverInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        (DriverHandle { inputs, next_request: Rc::new(Cell::new(1)), clock }, receiver)
    }

    /// Submits an input. It is discarded if the driver has ended, which happens only at process exit.
    pub fn submit(&self, input: DriverInput) {
        let _ = self.inputs.send(input);
    }

    /// Assigns the next request number and submits the request. Dropping the pending response reports the
    /// client as disconnected.
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
