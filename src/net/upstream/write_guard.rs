//! The write guard of an attempt, which checks directly before each write whether the attempt may proceed.
//!
//! The policy decides on an attempt before a cache release is awaited and a connection is established. In
//! the meantime the worker may have started to drain, the client may have disconnected, or a deadline may
//! have passed. The rule is [`rules::send::check_write`](crate::rules::send::check_write); the guard supplies
//! its inputs. An attempt that fails the check is called withheld.

use crate::interface::{Micros, Outcome, WorkerId};
use crate::net::discovery::Directory;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::write_progress::WriteGuard;
use crate::rules::send::{AttemptSnapshot, WithholdReason, check_write};
use crate::runtime::Attempt;
use crate::runtime::exchange::{ClientConnection, RequestState};
use std::rc::Rc;

/// The inputs of the write guard of one attempt.
struct AttemptGuard {
    request_state: RequestState,
    client: ClientConnection,
    deadline: Micros,
    deduplication_deadline: Option<Micros>,
    worker: WorkerId,
    directory: Rc<Directory>,
}

impl AttemptGuard {
    fn new(attempt: &Attempt, directory: &Rc<Directory>) -> Self {
        AttemptGuard {
            request_state: attempt.request_state.clone(),
            client: attempt.forwarded.client.clone(),
            deadline: attempt.deadline,
            deduplication_deadline: attempt.deduplication_deadline,
            worker: attempt.worker.clone(),
            directory: directory.clone(),
        }
    }

    fn check(&self, now: Micros) -> Result<(), WithholdReason> {
        check_write(&AttemptSnapshot {
            is_request_open: self.request_state.is_open(),
            client_disconnected: self.client.has_disconnected(),
            now,
            deadline: self.deadline,
            deduplication_deadline: self.deduplication_deadline,
            worker_is_ready: self.directory.is_ready(&self.worker),
        })
    }
}

impl UpstreamClient {
    /// Checks whether the first byte of an attempt may be written at `now`.
    ///
    /// # Errors
    /// The outcome of the withheld attempt.
    pub fn check_write_guard(&self, attempt: &Attempt, now: Micros) -> Result<(), Outcome> {
        AttemptGuard::new(attempt, &self.directory).check(now).map_err(WithholdReason::outcome)
    }

    /// Creates the write guard of an attempt, called before the first write and, if the request takes several
    /// writes, before each further one. A worker starts to process a request when its last byte arrives, so a
    /// request can be withheld up to that byte.
    pub(super) fn write_guard(&self, attempt: &Attempt) -> WriteGuard {
        let guard = AttemptGuard::new(attempt, &self.directory);
        let (clock, counters, write_started) =
            (self.driver.clock, self.counters.clone(), attempt.write_started.clone());
        let (request, index) = (attempt.forwarded.id.clone(), attempt.index);
        Box::new(move || {
            guard.check(clock.now()).map_err(|reason| {
                log::debug!("request {request}: attempt {} withheld: {reason}", index.0);
                // A partly written request has not run, because the worker never receives its last byte.
                if write_started.get() { Outcome::ConnectFailed } else { reason.outcome() }
            })?;
            if !write_started.replace(true) {
                counters.attempts_sent.increment();
            }
            Ok(())
        })
    }
}
