//! The write guard of an attempt: the check directly before each write whether the attempt may begin or go on.
//!
//! An attempt was decided on before its release was awaited and its connection made. Since then the worker
//! may have been reported as draining, the client may have left, and time has passed. The rule itself is
//! [`rules::send::check_write`](crate::rules::send::check_write); the guard collects the facts that it decides on. An
//! attempt that the guard stops is said to be withheld.

use crate::interface::{Micros, Outcome, WorkerId};
use crate::net::discovery::Directory;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::write_progress::WriteGuard;
use crate::rules::send::{AttemptSnapshot, WithholdReason, check_write};
use crate::runtime::Attempt;
use crate::runtime::exchange::{ClientConnection, RequestState};
use std::rc::Rc;

/// The sources of the facts on which the guard of one attempt decides.
struct AttemptGuard {
    state: RequestState,
    client: ClientConnection,
    deadline: Micros,
    deduplication_deadline: Option<Micros>,
    worker: WorkerId,
    directory: Rc<Directory>,
}

impl AttemptGuard {
    fn new(attempt: &Attempt, directory: &Rc<Directory>) -> Self {
        AttemptGuard {
            state: attempt.request_state.clone(),
            client: attempt.forwarded.client.clone(),
            deadline: attempt.deadline,
            deduplication_deadline: attempt.deduplication_deadline,
            worker: attempt.worker.clone(),
            directory: directory.clone(),
        }
    }

    fn check(&self, now: Micros) -> Result<(), WithholdReason> {
        check_write(&AttemptSnapshot {
            is_request_open: self.state.is_open(),
            client_disconnected: self.client.is_closed(),
            now,
            deadline: self.deadline,
            deduplication_deadline: self.deduplication_deadline,
            worker_is_ready: self.directory.is_ready(&self.worker),
        })
    }
}

impl UpstreamClient {
    /// Checks the guard of an attempt of which nothing has been written.
    ///
    /// # Errors
    /// The outcome of an attempt that is withheld.
    pub fn check_write_guard(&self, attempt: &Attempt, now: Micros) -> Result<(), Outcome> {
        AttemptGuard::new(attempt, &self.directory).check(now).map_err(WithholdReason::outcome)
    }

    /// The guard of an attempt, for its first byte and for each further write if the worker takes the request in
    /// several parts. A worker begins with the last byte, so a request may be withheld until then.
    pub(super) fn write_guard(&self, attempt: &Attempt) -> WriteGuard {
        let guard = AttemptGuard::new(attempt, &self.directory);
        let (clock, counters, begun) =
            (self.driver.clock, self.counters.clone(), attempt.write_started.clone());
        let (request, index) = (attempt.forwarded.id.clone(), attempt.index);
        Box::new(move || {
            guard.check(clock.now()).map_err(|withheld| {
                log::debug!("request {request}: attempt {} is withheld: {withheld}", index.0);
                // A request that was written in part has not run: the worker never gets its last byte.
                if begun.get() { Outcome::ConnectFailed } else { withheld.outcome() }
            })?;
            if !begun.replace(true) {
                counters.attempts_sent.increment();
            }
            Ok(())
        })
    }
}
