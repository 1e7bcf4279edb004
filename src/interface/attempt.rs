//! Attempts of requests at workers: their stage, their end, and the load that workers report with it.

use super::{Micros, RequestId};

/// The index of an attempt within its request, counted from 0 in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

/// What an attempt asks of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To process the prompt only, and to keep the KV cache for a decode worker.
    Prefill,
    /// To stream the answer: from a KV cache that waits at a prefill worker, else after its own prefill.
    Decode,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer reached the client.
    Completed,
    /// The prompt was processed; its KV cache waits at the prefill worker.
    PrefillCompleted,
    /// The worker returned an error; the request may have run.
    WorkerError,
    /// The worker had no capacity or is draining; the request did not run.
    Rejected,
    /// There was no KV cache to fetch; the request did not run.
    CacheMissing,
    /// No response in time; the request may have run.
    TimedOut,
    /// Not delivered in full, so that the request did not run: the connection could not be established, it
    /// broke or writing was stopped before the request's last byte, or time ran out before it. Counts against
    /// the worker.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionLost,
    /// Cancelled by the router; the request may have run.
    Cancelled,
    /// Withheld by the router before the first byte, or this machine could not send it: the request did not
    /// run. Does not count against the worker.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn had_no_effect(self) -> bool {
        use Outcome::*;
        matches!(self, PrefillCompleted | Rejected | CacheMissing | ConnectFailed | NotSent)
    }
}

/// A worker's report of its load; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight there, waiting KV caches included.
    pub active_requests: Option<f64>,
    /// Requests that wait in its queue.
    pub queued_requests: Option<f64>,
    /// Share of its KV cache memory in use.
    pub kv_cache_utilization: Option<f64>,
    /// Prompt tokens that wait to be processed or fetched.
    pub queued_tokens: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Prompt tokens that the worker found in its cache, with [`Outcome::PrefillCompleted`] and [`Outcome::Completed`].
    pub cached_tokens: u64,
    /// The worker's load, if reported.
    pub report: Option<LoadReport>,
}
