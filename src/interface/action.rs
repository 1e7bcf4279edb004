//! Actions: what the policy wants done.

use super::{AttemptIndex, Micros, RequestId, Stage, TimerId, WorkerId};

/// Why a request ends without a worker's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline is too close for anything to begin.
    DeadlineTooClose,
    /// Its deadline has passed with an attempt in flight.
    DeadlineExceeded,
    /// It has had all the attempts that it may have.
    AttemptsExhausted,
    /// It may have run, and no worker may be sent it again.
    NotRetryable,
    /// Decode workers timed out on it, and it is past its latency objective.
    DecodeUnresponsive,
    /// By what its stages take, its answer cannot begin before its client gives up.
    CannotStartInTime,
    /// By what its stages take, it cannot meet its latency objective any more.
    ObjectiveUnreachable,
    /// Its tenant has used up its quota, and there is no capacity left.
    OverQuota,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// What the worker is to do.
        stage: Stage,
        /// The attempt's timeout; `None`: the client's deadline.
        timeout: Option<Micros>,
        /// Its first byte must be written before this, so that it arrives inside its deduplication window.
        /// `None`: at any time.
        deduplication_deadline: Option<Micros>,
    },
    /// Reject the request: retrying is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Option<Micros>,
        /// Why.
        reason: EndReason,
    },
    /// Fail the request: no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Reserve a slot at a decode worker while a prefill is in flight. The present policy never does: it
    /// chooses the decode worker after the prefill.
    ReserveSlot {
        /// The request.
        request: RequestId,
        /// The decode worker.
        worker: WorkerId,
    },
    /// Release every KV cache and slot held for the request.
    ReleaseCache {
        /// The request.
        request: RequestId,
    },
    /// End a running stream so that its client resumes it elsewhere. The present policy never does.
    MigrateStream {
        /// The request.
        request: RequestId,
    },
    /// Hand a timer back at that moment.
    SetTimer {
        /// When.
        at: Micros,
        /// Which.
        timer: TimerId,
    },
    /// Check a worker's health.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
    },
    /// Close idle connections to a worker. The present policy never does.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to one router, or to all.
    Gossip {
        /// The receiver's replica index; `None`: all.
        to: Option<u32>,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// Watch discovery for updates of the endpoint list.
    WatchEndpoints,
    /// Poll discovery once for the complete list. The present policy never does.
    PollEndpoints,
    /// A line for the operators' log. The present policy writes none.
    Log(String),
}
