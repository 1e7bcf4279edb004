//! The hold limit of a KV cache at a prefill worker, for all outcomes of attempts at decode workers. An
//! attempt on a stalled connection reaches no worker, causes no error, and must not extend the limit.
//!
//! The hold limit is 500 ms in these tests, and 650 ms while an attempt is unanswered.

#[path = "support/driver.rs"]
mod driver;

use driver::*;
use llm_router::interface::*;
use llm_router::runtime::DriverInput;
use llm_router::runtime::exchange::response_stream;
use rstest::rstest;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The minimum time between an attempt that is sent within the hold limit and the release of the cache.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(150);

fn attempt_ended(attempt: u32, outcome: Outcome) -> DriverInput {
    DriverInput::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptIndex(attempt),
        result: outcome.into(),
    }
}

impl DriverHarness {
    /// A driver with one request, whose prefill has just completed and whose decode attempt is in flight.
    async fn with_decode_attempt() -> DriverHarness {
        let driver = DriverHarness::start(settings(), 600_000_000).await;
        driver.end_attempt(0, Outcome::PrefillCompleted).await;
        assert_eq!(driver.attempt_count(), 2);
        driver
    }

    async fn end_attempt(&self, attempt: u32, outcome: Outcome) {
        self.handle.submit(attempt_ended(attempt, outcome));
        run_pending_tasks().await;
    }

    fn attempt_count(&self) -> usize {
        self.upstream.attempts.borrow().len()
    }

    fn release_count(&self) -> usize {
        self.upstream.releases.borrow().len()
    }
}

async fn advance_ms(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
    run_pending_tasks().await;
}

#[tokio::test(start_paused = true)]
async fn a_cache_is_released_at_its_hold_limit_despite_an_unanswered_attempt() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(640).await;
        assert_eq!(driver.release_count(), 0);
        advance_ms(20).await;
        assert_eq!(driver.release_count(), 1);
        advance_ms(2_000).await;
        assert_eq!(driver.release_count(), 1, "the cache was released twice");
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn a_cache_is_not_released_after_its_stream_has_started() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(100).await;
        let (_sender, stream) = response_stream(None);
        driver.handle.submit(DriverInput::StreamStarted {
            request: RequestId(1),
            attempt: AttemptIndex(1),
            stream,
        });
        advance_ms(2_000).await;
        assert_eq!(driver.release_count(), 0);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a hold limit that restarts with each attempt that may not have reached its worker.
#[rstest]
#[case::that_timed_out(Outcome::TimedOut)]
#[case::that_lost_its_connection(Outcome::ConnectionLost)]
#[tokio::test(start_paused = true)]
async fn the_hold_limit_is_not_restarted_by_an_attempt(#[case] outcome: Outcome) {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(300).await;
        driver.end_attempt(1, outcome).await;
        advance_ms(360).await;
        assert_eq!(driver.release_count(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// A response proves that the attempt had arrived and was in flight until then.
#[tokio::test(start_paused = true)]
async fn the_hold_limit_is_restarted_by_a_response() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(300).await;
        driver.end_attempt(1, Outcome::Rejected).await;
        advance_ms(600).await;
        assert_eq!(driver.release_count(), 0);
        advance_ms(100).await;
        assert_eq!(driver.release_count(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a release that overtakes an attempt: the attempt would find no cache.
#[tokio::test(start_paused = true)]
async fn an_attempt_sent_shortly_before_the_hold_limit_has_time_to_arrive() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(450).await;
        driver.end_attempt(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempt_count(), 3);
        sleep(MIN_ARRIVAL_TIME - Duration::from_millis(10)).await;
        assert_eq!(driver.release_count(), 0);
        advance_ms(70).await;
        assert_eq!(driver.release_count(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// After a release, the cache still exists only if the attempt had arrived before the release. The hold limit
/// then starts at the end of the attempt.
#[tokio::test(start_paused = true)]
async fn after_a_release_the_hold_limit_starts_at_the_end_of_the_attempt() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(660).await;
        assert_eq!(driver.release_count(), 1);
        driver.end_attempt(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempt_count(), 3);
        advance_ms(640).await;
        assert_eq!(driver.release_count(), 1);
        advance_ms(20).await;
        assert_eq!(driver.release_count(), 2);
    };
    LocalSet::new().run_until(scenario).await;
}
