//! How long a KV cache may be held at a prefill worker, whatever becomes of the attempts at decode workers:
//! an attempt over a connection that has fallen silent reaches no worker, causes no error, and does not
//! extend the limit.

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

/// The least time that an attempt has to arrive before the cache is released, where it is sent within the
/// limit.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(150);

fn attempt_ended(attempt: u32, outcome: Outcome) -> DriverInput {
    DriverInput::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptIndex(attempt),
        result: outcome.into(),
    }
}

impl DriverHarness {
    /// A driver with a request whose prefill has just completed and of which a decode attempt is in flight.
    async fn with_decode_attempt() -> DriverHarness {
        let driver = DriverHarness::start(settings(), 600_000_000).await;
        driver.end_attempt(0, Outcome::PrefillCompleted).await;
        assert_eq!(driver.attempts(), 2);
        driver
    }

    async fn end_attempt(&self, attempt: u32, outcome: Outcome) {
        self.handle.submit(attempt_ended(attempt, outcome));
        run_pending_tasks().await;
    }

    fn attempts(&self) -> usize {
        self.upstream.attempts.borrow().len()
    }

    fn releases(&self) -> usize {
        self.upstream.releases.borrow().len()
    }
}

async fn advance_ms(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
    run_pending_tasks().await;
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_attempt_does_not_hold_a_cache_past_its_limit() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(640).await;
        assert_eq!(driver.releases(), 0);
        advance_ms(20).await;
        assert_eq!(driver.releases(), 1);
        advance_ms(2_000).await;
        assert_eq!(driver.releases(), 1, "once is enough");
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_has_started_has_fetched_its_cache() {
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
        assert_eq!(driver.releases(), 0);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against limits that restarted with each attempt that may not have reached its worker.
#[rstest]
#[case::that_timed_out(Outcome::TimedOut)]
#[case::that_lost_its_connection(Outcome::ConnectionLost)]
#[tokio::test(start_paused = true)]
async fn the_limit_is_not_restarted_by_an_attempt(#[case] outcome: Outcome) {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(300).await;
        driver.end_attempt(1, outcome).await;
        advance_ms(360).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// An answer proves that the attempt had arrived and was in flight until then.
#[tokio::test(start_paused = true)]
async fn the_limit_is_restarted_by_an_answer() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(300).await;
        driver.end_attempt(1, Outcome::Rejected).await;
        advance_ms(600).await;
        assert_eq!(driver.releases(), 0);
        advance_ms(100).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// A release must not overtake an attempt that is on its way: it would find no cache.
#[tokio::test(start_paused = true)]
async fn an_attempt_just_sent_has_time_to_arrive() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(450).await;
        driver.end_attempt(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempts(), 3);
        sleep(MIN_ARRIVAL_TIME - Duration::from_millis(10)).await;
        assert_eq!(driver.releases(), 0);
        advance_ms(70).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(scenario).await;
}

/// After a release, a cache remains only if the attempt had arrived before it: its limit starts with the
/// attempt's end.
#[tokio::test(start_paused = true)]
async fn after_a_release_the_limit_starts_with_the_end_of_the_attempt() {
    let scenario = async {
        let driver = DriverHarness::with_decode_attempt().await;
        advance_ms(660).await;
        assert_eq!(driver.releases(), 1);
        driver.end_attempt(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempts(), 3);
        advance_ms(640).await;
        assert_eq!(driver.releases(), 1);
        advance_ms(20).await;
        assert_eq!(driver.releases(), 2);
    };
    LocalSet::new().run_until(scenario).await;
}
