//! Events: the input of the policy.

use super::{
    AttemptEnd, AttemptIndex, Endpoint, LoadReport, Micros, Outcome, RequestId, RequestSpec, TimerId,
    UpdateKind, WorkerId,
};

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list, or the failure to get one.
    EndpointsUpdated {
        /// The kind of update.
        kind: UpdateKind,
        /// The endpoints in the update.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received from a client.
    RequestReceived(RequestSpec),
    /// A worker started to stream the response.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A decode worker responded to the reservation of a slot. Ignored by the current policy, which never
    /// reserves slots.
    SlotReservationAnswered {
        /// The request.
        request: RequestId,
        /// The decode worker.
        worker: WorkerId,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// The client disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    Timer(TimerId),
    /// A health check ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// [`Outcome::Completed`] if the worker is healthy, else the kind of failure.
        outcome: Outcome,
        /// The load reported by the worker.
        report: Option<LoadReport>,
    },
    /// A gossip message from another router.
    GossipReceived {
        /// The sender's replica index.
        from: u32,
        /// The encoded message.
        payload: Vec<u8>,
    },
}
