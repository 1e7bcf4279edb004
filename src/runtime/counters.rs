//! The router's counters. They are printed on SIGUSR1 and at exit as `name=value` pairs, which operators'
//! tooling reads: a counter's name is its field's name.

use crate::rules::Violations;
use std::cell::Cell;
use std::fmt;

/// Defines [`Counters`], so that the printed names cannot differ from the fields.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of one router.
        #[derive(Debug, Default)]
        pub struct Counters {
            /// Invariants that were found broken, or would have been.
            pub violations: Violations,
            $($(#[$doc])* pub $name: Count),*
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

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The present count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    /// Client connections accepted.
    client_connections,
    /// Accepts that failed.
    accept_errors,
    /// Client connections that were accepted over the connection limit, to reject what they send.
    connections_rejected,
    /// Requests handed to the driver.
    requests_received,
    /// Requests answered with a 4xx status because they are malformed.
    requests_malformed,
    /// Client connections, idle or with an incomplete request, that were closed to make room for others.
    connections_evicted,
    /// Requests that did not arrive completely in time (status 408). Requests past their deadline are not counted here.
    requests_timed_out,
    /// Requests shed before the policy saw them, for lack of capacity.
    requests_shed,
    /// Requests rejected because they came in the closing phase of a graceful shutdown.
    rejected_at_shutdown,
    /// Connections opened to workers.
    upstream_connections,
    /// Pooled connections that were reset as soon as a request was written to them.
    stale_connections,
    /// Attempts of which something was written to a worker.
    attempts_sent,
    /// Attempts withheld at the moment of writing: the worker is draining or removed, say.
    attempts_withheld,
    /// Attempts that ended with a processed prompt.
    attempts_prefill_completed,
    /// Attempts that ended with a completely streamed answer.
    attempts_completed,
    /// Attempts that a worker rejected, missing KV caches included.
    attempts_rejected,
    /// Attempts that never reached their worker.
    attempts_connect_failed,
    /// Attempts whose connection was lost.
    attempts_connection_lost,
    /// Attempts that had no response in time.
    attempts_timed_out,
    /// Attempts that ended with an error of the worker.
    attempts_worker_error,
    /// Attempts that were cancelled.
    attempts_cancelled,
    /// Attempts of which nothing was sent.
    attempts_not_sent,
    /// Answers that began to stream to clients.
    responses_streamed,
    /// Requests rejected by the policy or the driver, without those in `requests_shed` and `rejected_at_shutdown`.
    responses_rejected,
    /// Requests failed.
    responses_failed,
    /// Clients that disconnected before the end of their answer.
    client_disconnects,
    /// Streams that broke after their first event.
    streams_broken,
    /// Releases of held KV caches.
    cache_releases,
    /// Releases at the hold limit, whether or not an attempt was unanswered.
    cache_releases_forced,
    /// Releases that no worker executed.
    cache_releases_failed,
    /// Timers of the policy that fired so late that requests suffer: the router was held up, or is short of CPU time.
    late_timers,
    /// Updates of the endpoint list, and failures to get one, that reached the driver.
    endpoint_updates,
    /// Watches of discovery that broke or fell silent.
    watches_lost,
    /// Configurations loaded on SIGHUP.
    reloads,
    /// Configurations that could not be loaded on SIGHUP.
    reloads_failed,
    /// Tool calls that decode workers asked for.
    tool_calls,
    /// Tool calls of which something was written to the tool server.
    tool_executions,
    /// Tool calls answered from the replay buffer.
    tool_replays,
    /// Tool calls answered with an error of the JSON-RPC frontend itself.
    tool_errors,
    /// Panics that were caught.
    panics,
}
