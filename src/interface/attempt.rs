//! Attempts at workers: stage, outcome, and the load reports that come with the outcome.

use super::{Micros, RequestId};

/// The index of an attempt within its request, from 0 in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

/// The part of a request that an attempt executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Process the prompt and keep the KV cache for a decode worker to fetch.
    Prefill,
    /// Stream the response: from a KV cache held at a prefill worker, else after a prefill of its own.
    Decode,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response reached the client.
    Completed,
    /// The prompt was processed; the prefill worker holds the KV cache.
    PrefillCompleted,
    /// The worker returned an error; the request may have run.
    WorkerError,
    /// The worker had no capacity or is draining; the request did not run.
    Rejected,
    /// There was no KV cache to fetch; the request did not run.
    CacheMissing,
    /// The worker did not respond in time; the request may have run.
    TimedOut,
    /// The request was not delivered in full, so it did not run: the connection could not be established, or
    /// it broke, the router stopped writing or the attempt timed out before the request's last byte was
    /// written. Counts as a failure of the worker.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionLost,
    /// Cancelled by the router; the request may have run.
    Cancelled,
    /// The router withheld the attempt before its first byte, or a local fault prevented it; the request did
    /// not run. Does not count as a failure of the worker.
    NotSent,
}

impl Outcome {
    /// Whether this outcome guarantees that the attempt had no effect.
    pub fn had_no_effect(self) -> bool {
        use Outcome::*;
        matches!(self, PrefillCompleted | Rejected | CacheMissing | ConnectFailed | NotSent)
    }
}

/// The load of a worker as reported by the worker; `None` for values that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, held KV caches included.
    pub active_requests: Option<f64>,
    /// Requests in the worker's queue.
    pub queued_requests: Option<f64>,
    /// Fraction of the worker's KV cache in use.
    pub kv_cache_utilization: Option<f64>,
    /// Prompt tokens in the worker's queue, to be processed or fetched.
    pub queued_tokens: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index of the attempt that ended.
    pub attempt: AttemptIndex,
    /// Whether the attempt succeeded, and if not, why.
    pub outcome: Outcome,
    /// The time from the sending of the attempt to its end.
    pub elapsed: Micros,
    /// Whether the request has received its final response.
    pub request_finished: bool,
    /// Prompt tokens found in the worker's prefix cache, for [`Outcome::PrefillCompleted`] and
    /// [`Outcome::Completed`].
    pub cached_tokens: u64,
    /// The load reported by the worker with the outcome.
    pub report: Option<LoadReport>,
}
