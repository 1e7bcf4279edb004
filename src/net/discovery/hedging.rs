//! Hedged calls: while an agent does not answer, it is called again beside the calls in progress.
//!
//! A call without a response may never be answered, or be answered late. If it were abandoned for the next one,
//! an agent that answers each call late would never be heard; if it were waited for, a change would come late
//! where only that call is lost.

use super::error::DiscoveryError;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// When and how often a call is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgingPolicy {
    /// Time without any activity after which another call starts.
    pub delay: Duration,
    /// The maximum number of calls in progress at once; with 1, calls are not hedged.
    pub max_calls: usize,
}

/// The time of the last activity of any of the hedged calls: the start of a call, or a part of a response.
pub struct CallActivity(Cell<Instant>);

impl CallActivity {
    pub fn start() -> Self {
        CallActivity(Cell::new(Instant::now()))
    }

    pub fn record(&self) {
        self.0.set(Instant::now());
    }

    /// Waits until the last activity is as long ago as `duration`.
    async fn wait_until_idle_for(&self, duration: Duration) {
        loop {
            let idle_at = self.0.get() + duration;
            if idle_at <= Instant::now() {
                return;
            }
            sleep_until(idle_at).await;
        }
    }
}

/// Runs the call that `start_call` creates, and starts it again beside those in progress each time that there was
/// no activity for the delay of the policy. Returns the first success, or the last error once all calls in
/// progress have failed. The log refers to the call by `name`.
///
/// Dropping the future cancels the calls.
pub async fn call_with_hedging<T, F>(
    name: &str,
    policy: HedgingPolicy,
    activity: &CallActivity,
    start_call: impl Fn() -> F,
) -> Result<T, DiscoveryError>
where
    F: Future<Output = Result<T, DiscoveryError>>,
{
    let mut calls = PendingCalls { calls: vec![Box::pin(start_call())] };
    // A silence may be long, so only the first hedge is logged as a warning.
    let mut level = log::Level::Warn;
    loop {
        tokio::select! {
            biased;
            result = calls.next_result() => match result {
                Err(error) if !calls.is_empty() => log::debug!("discovery: {name}: a hedged call failed: {error}"),
                result => return result,
            },
            () = activity.wait_until_idle_for(policy.delay), if policy.max_calls > 1 => {
                log::log!(level, "discovery: {name}: no data for {:?}; calling again", policy.delay);
                level = log::Level::Debug;
                calls.make_room(policy.max_calls);
                calls.push(start_call());
                activity.record();
            }
        }
    }
}

/// The calls in progress, oldest first.
struct PendingCalls<F> {
    calls: Vec<Pin<Box<F>>>,
}

impl<T, F: Future<Output = Result<T, DiscoveryError>>> PendingCalls<F> {
    fn push(&mut self, call: F) {
        self.calls.push(Box::pin(call));
    }

    fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Cancels the second oldest call if there is no room for another. The oldest call stays for an agent that
    /// answers very late, while the others are renewed for one that has lost its calls.
    fn make_room(&mut self, max_calls: usize) {
        if self.calls.len() >= max_calls {
            self.calls.remove(1);
        }
    }

    /// Waits for the next call that ends, and removes it.
    async fn next_result(&mut self) -> Result<T, DiscoveryError> {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Result<T, DiscoveryError>> {
        for index in 0..self.calls.len() {
            if let Poll::Ready(result) = self.calls[index].as_mut().poll(context) {
                drop(self.calls.remove(index));
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    }
}
