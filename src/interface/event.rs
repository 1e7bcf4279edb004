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
        /// Whether the endpoints are changes or the complete list, or whether the update failed.
        kind: UpdateKind,
        /// The entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received from a client.
    RequestReceived(RequestSpec),
    /// A worker started to stream the response.
    StreamStarted {
        /// The request that the stream responds to.
        request: RequestId,
        /// The index of the attempt whose response is streamed.
        attempt: AttemptIndex,
        /// The time from the sending of the attempt to the start of the stream.
        elapsed: Micros,
    },
    /// An attempt ended, with or without success.
    AttemptEnded(AttemptEnd),
    /// A decode worker responded to the reservation of a slot. Ignored by the current policy, which never
    /// reserves slots.
    SlotReservationAnswered {
        /// The request that the slot was to be reserved for.
        request: RequestId,
        /// The decode worker that responded.
        worker: WorkerId,
        /// Whether the worker has reserved the slot.
        reserved: bool,
    },
    /// A request needs no response any more: its client disconnected, or the runtime ended the request at its
    /// response deadline.
    ClientDisconnected {
        /// The request that needs no response.
        request: RequestId,
    },
    /// A timer fired that the policy has set.
    Timer(TimerId),
    /// A worker responded to a health check, or the health check failed.
    HealthChecked {
        /// The worker that was checked.
        worker: WorkerId,
        /// [`Outcome::Completed`] if the worker is healthy, else the kind of failure.
        outcome: Outcome,
        /// The load that the worker reported in its response; `None` without a report.
        report: Option<LoadReport>,
    },
    /// A gossip message from another router.
    GossipReceived {
        /// The sender's replica index.
        from: u32,
        /// The message as the sender encoded it.
        payload: Vec<u8>,
    },
}
