//! The end of an attempt and its report to the driver.

use crate::interface::{AttemptIndex, Outcome, RequestId};
use crate::runtime::{Attempt, AttemptResult, DriverHandle, DriverInput};

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionDisposition {
    /// The response was read to its end: the connection goes back to the pool.
    Reuse,
    /// The connection is closed.
    Close,
}

/// Reports an attempt's end to the driver when dropped.
///
/// However the attempt's task ends, by a panic too, the driver gets exactly one
/// [`DriverInput::AttemptEnded`]: without a result from [`finish`](Self::finish) it says that the connection
/// was lost, since the request may have run.
pub(super) struct AttemptCompletion {
    driver: DriverHandle,
    request: RequestId,
    attempt: AttemptIndex,
    result: Option<AttemptResult>,
}

impl AttemptCompletion {
    /// The completion of an attempt that begins now.
    pub fn new(driver: DriverHandle, attempt: &Attempt) -> Self {
        AttemptCompletion { driver, request: attempt.request, attempt: attempt.index, result: None }
    }

    /// Reports this result.
    pub fn finish(mut self, result: AttemptResult) {
        self.result = Some(result);
    }
}

impl Drop for AttemptCompletion {
    fn drop(&mut self) {
        let result = self.result.take().unwrap_or(Outcome::ConnectionLost.into());
        self.driver.submit(DriverInput::AttemptEnded {
            request: self.request,
            attempt: self.attempt,
            result,
        });
    }
}
