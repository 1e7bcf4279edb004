//! Actions: the output of the policy.

use super::{AttemptIndex, Micros, RequestId, Stage, TimerId, WorkerId};

/// Why a request ends without a worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Too little time is left before the request's deadline to start an attempt.
    DeadlineTooClose,
    /// The request's deadline passed with an attempt in flight.
    DeadlineExceeded,
    /// All attempts that the settings allow have been made.
    AttemptsExhausted,
    /// The request may have run, and no worker may be sent a retry.
    NotRetryable,
    /// Decode workers timed out on the request, and its latency objective has passed.
    DecodeUnresponsive,
    /// By the estimated duration of the stages, the response cannot start before the client's deadline.
    CannotStartInTime,
    /// By the estimated duration of the stages, the request can no longer meet its latency objective.
    ObjectiveUnreachable,
    /// The request's tenant has used up its quota, and there is no capacity left.
    OverQuota,
}

/// An instruction of the policy to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to a worker.
    Send {
        /// The request that the attempt executes.
        request: RequestId,
        /// The worker that receives the attempt.
        worker: WorkerId,
        /// The stage that the worker executes.
        stage: Stage,
        /// The attempt's timeout, from the time it is sent; `None`: the client's deadline applies.
        timeout: Option<Micros>,
        /// The end of the deduplication window of the earlier attempts, inside which the attempt has to arrive:
        /// no byte of it may be written from this time on, and it is abandoned if no response has begun;
        /// `None`: no limit.
        deduplication_deadline: Option<Micros>,
    },
    /// Reject the request: the client may safely retry.
    Reject {
        /// The request that the client may retry.
        request: RequestId,
        /// How long the client should wait before it retries; `None`: unspecified.
        retry_after: Option<Micros>,
        /// The cause, for the log.
        reason: EndReason,
    },
    /// Fail the request: it may or may not have had an effect.
    Fail {
        /// The request whose effect is unknown.
        request: RequestId,
        /// The cause, for the log.
        reason: EndReason,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The index of the attempt to cancel.
        attempt: AttemptIndex,
    },
    /// Reserve a slot at a decode worker while a prefill is in flight. Never issued by the current policy,
    /// which chooses the decode worker after the prefill.
    ReserveSlot {
        /// The request whose response the slot is for.
        request: RequestId,
        /// The decode worker that is asked for the slot.
        worker: WorkerId,
    },
    /// Release all KV caches and slots that workers hold for the request.
    ReleaseCache {
        /// The request for which the workers hold them.
        request: RequestId,
    },
    /// End a stream in progress so that the client resumes it at another worker. Never issued by the current
    /// policy.
    MigrateStream {
        /// The request whose response is being streamed.
        request: RequestId,
    },
    /// Set a timer, which fires as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The time at which the timer fires.
        at: Micros,
        /// Identifies the timer in the event.
        timer: TimerId,
    },
    /// Check a worker's health.
    CheckHealth {
        /// The worker that receives the health check.
        worker: WorkerId,
    },
    /// Close idle connections to a worker. Never issued by the current policy.
    CloseIdleConnections {
        /// The worker at the other end of the connections.
        worker: WorkerId,
    },
    /// Send a gossip message to another router, or to all others.
    Gossip {
        /// The receiver's replica index; `None`: all other routers.
        to: Option<u32>,
        /// The encoded message, 256 bytes at most.
        payload: Vec<u8>,
    },
    /// Open a watch at discovery for updates of the endpoint list.
    WatchEndpoints,
    /// Poll discovery once for the complete endpoint list. Never issued by the current policy.
    PollEndpoints,
    /// Write a line to the log. Never issued by the current policy.
    Log(String),
}
