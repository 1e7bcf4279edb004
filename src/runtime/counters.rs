//! The router's counters. They are printed on SIGUSR1 and at exit as `name=value` pairs, which operators'
//! tools parse: the printed name of a counter is its field name.

use crate::rules::Violations;
use std::cell::Cell;
use std::fmt;

/// Defines [`Counters`], so that the printed names cannot differ from the fields.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of one router.
        #[derive(Debug, Default)]
        pub struct Counters {
            /// Violations of invariants, prevented ones included.
            pub violations: Violations,
            $($(#[$doc])* pub $name: Counter),*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "violations={}", self.violations.total())?;
                $(
                    write!(f, " {}={}", stringify!($name), self.$name.get())?;
                )*
                Ok(())
            }
        }
    };
}

/// A counter of one kind of occurrence since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter by one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The number of increments so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    /// Client connections accepted.
    client_connections,
    /// Failed accept calls.
    accept_errors,
    /// Client connections accepted beyond the connection limit, whose requests are rejected.
    connections_rejected,
    /// Requests that reached the driver.
    requests_received,
    /// Requests that got a 4xx status because they are malformed.
    requests_malformed,
    /// Client connections, idle or with an incomplete request, that were closed to free slots for others.
    connections_evicted,
    /// Requests that were not received completely in time (status 408). Requests past their deadline are not
    /// counted.
    requests_timed_out,
    /// Requests shed before the policy saw them, for lack of capacity.
    requests_shed,
    /// Requests rejected in the closing phase of a graceful shutdown.
    rejected_at_shutdown,
    /// Connections opened to workers.
    upstream_connections,
    /// Pooled connections that the worker reset when a request was written to them.
    stale_connections,
    /// Attempts of which at least one byte was written to a worker.
    attempts_sent,
    /// Attempts withheld directly before a write, for instance because the worker is draining or removed.
    attempts_withheld,
    /// Attempts that ended with a completed prefill.
    attempts_prefill_completed,
    /// Attempts that ended with a completely streamed response.
    attempts_completed,
    /// Attempts that a worker rejected, missing KV caches included.
    attempts_rejected,
    /// Attempts that never reached their worker.
    attempts_connect_failed,
    /// Attempts whose connection was lost.
    attempts_connection_lost,
    /// Attempts without a response before their deadline.
    attempts_timed_out,
    /// Attempts that ended with a worker error.
    attempts_worker_error,
    /// Attempts that were cancelled.
    attempts_cancelled,
    /// Attempts of which nothing was sent.
    attempts_not_sent,
    /// Responses that started to stream to clients.
    responses_streamed,
    /// Requests rejected by the policy or the driver, except those in `requests_shed` and
    /// `rejected_at_shutdown`.
    responses_rejected,
    /// Requests that failed.
    responses_failed,
    /// Clients that disconnected before the end of their response.
    client_disconnects,
    /// Streams that were interrupted after their first event.
    streams_broken,
    /// Releases of held KV caches, forced ones included.
    cache_releases,
    /// Releases of KV caches at their hold limit, including those while an attempt awaits its response.
    cache_releases_forced,
    /// Releases that no worker acknowledged.
    cache_releases_failed,
    /// Timers of the policy that fired late: the process was suspended, or is short of CPU time.
    late_timers,
    /// Endpoint list updates that reached the driver, failed ones included.
    endpoint_updates,
    /// Discovery watches that were disconnected or timed out.
    watches_lost,
    /// Configurations loaded on SIGHUP.
    reloads,
    /// Configurations that could not be loaded on SIGHUP.
    reloads_failed,
    /// Tool calls requested by decode workers.
    tool_calls,
    /// Tool calls of which at least one byte was written to the tool server.
    tool_executions,
    /// Tool calls whose outcome came from the replay buffer.
    tool_replays,
    /// Tool calls that got an error from the JSON-RPC frontend itself.
    tool_errors,
    /// Panics that were caught.
    panics,
}
