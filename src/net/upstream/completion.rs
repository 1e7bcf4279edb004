//! Reports the result of an attempt to the driver.

use crate::interface::{AttemptIndex, Outcome, RequestId};
use crate::runtime::{Attempt, AttemptResult, DriverHandle, DriverInput};

/// Whether a connection is reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionDisposition {
    /// The response was read to its end, so the connection returns to the pool.
    Reuse,
    /// The end of the response was not seen, or can't be relied on, so the connection is closed.
    Close,
}

/// Reports the result of an attempt to the driver when dropped.
///
/// The driver gets exactly one [`DriverInput::AttemptEnded`] however the attempt's task ends, including by a
/// panic. Without a call of [`finish`](Self::finish) the outcome is [`Outcome::ConnectionLost`], because the
/// request may have run.
pub(super) struct AttemptCompletion {
    driver: DriverHandle,
    request: RequestId,
    attempt: AttemptIndex,
    result: Option<AttemptResult>,
}

impl AttemptCompletion {
    pub fn new(driver: DriverHandle, attempt: &Attempt) -> Self {
        AttemptCompletion { driver, request: attempt.request, attempt: attempt.index, result: None }
    }

    /// Reports `result`.
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
