//! Events: what the policy is told.

use super::{
    AttemptEnd, AttemptIndex, Endpoint, LoadReport, Micros, Outcome, RequestId, RequestSpec, TimerId,
    UpdateKind, WorkerId,
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was updated, or could not be.
    EndpointsUpdated {
        /// What the update contains.
        kind: UpdateKind,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request was received.
    RequestReceived(RequestSpec),
    /// An answer has begun to stream.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// A decode worker has answered a reservation. The present policy reserves nothing and ignores it.
    SlotReservationAnswered {
        /// The request.
        request: RequestId,
        /// The worker asked.
        worker: WorkerId,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has fired.
    Timer(TimerId),
    /// The result of a health check.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// [`Outcome::Completed`], or what went wrong.
        outcome: Outcome,
        /// The worker's load, if reported.
        report: Option<LoadReport>,
    },
    /// A message of another router.
    GossipReceived {
        /// The sender's replica index.
        from: u32,
        /// Its bytes.
        payload: Vec<u8>,
    },
}
