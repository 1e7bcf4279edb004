//! How long a prefill's state may be held, whatever becomes of the attempts at decode workers: a send over a connection
//! that has fallen silent reaches nobody, no error tells of it, and it does not stop the clock.

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

/// The least time that an attempt has to arrive before its state is released, where it is sent within the limit.
const ARRIVAL: Duration = Duration::from_millis(150);

fn ended(attempt: u32, outcome: Outcome) -> DriverInput {
    DriverInput::AttemptEnded {
        request: RequestId(1),
        attempt: AttemptIndex(attempt),
        outcome,
        cached_tokens: 0,
        report: None,
    }
}

impl DriverHarness {
    /// A driver with a request whose prompt was read just now, and which a decode worker was sent.
    async fn sent_to_decode() -> DriverHarness {
        let driver = DriverHarness::start(settings(), 600_000_000).await;
        driver.end(0, Outcome::PrefillCompleted).await;
        assert_eq!(driver.attempts(), 2);
        driver
    }

    async fn end(&self, attempt: u32, outcome: Outcome) {
        self.handle.submit(ended(attempt, outcome));
        settle().await;
    }

    fn attempts(&self) -> usize {
        self.notes.attempts.borrow().len()
    }

    fn releases(&self) -> usize {
        self.notes.releases.borrow().len()
    }
}

async fn milliseconds(time: u64) {
    sleep(Duration::from_millis(time)).await;
    settle().await;
}

#[tokio::test(start_paused = true)]
async fn a_send_that_is_not_answered_does_not_hold_a_state_past_its_limit() {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(640).await;
        assert_eq!(driver.releases(), 0);
        milliseconds(20).await;
        assert_eq!(driver.releases(), 1);
        milliseconds(2_000).await;
        assert_eq!(driver.releases(), 1, "once is enough");
    };
    LocalSet::new().run_until(story).await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_has_begun_has_taken_its_state() {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(100).await;
        let (_source, feed) = response_stream(None);
        driver.handle.submit(DriverInput::StreamStarted {
            request: RequestId(1),
            attempt: AttemptIndex(1),
            stream: feed,
        });
        milliseconds(2_000).await;
        assert_eq!(driver.releases(), 0);
    };
    LocalSet::new().run_until(story).await;
}

/// Guards against limits that began anew with each attempt that may have reached nobody.
#[rstest]
#[case::that_timed_out(Outcome::TimedOut)]
#[case::that_broke(Outcome::ConnectionLost)]
#[tokio::test(start_paused = true)]
async fn the_limit_is_not_renewed_by_an_attempt(#[case] outcome: Outcome) {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(300).await;
        driver.end(1, outcome).await;
        milliseconds(360).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(story).await;
}

/// An answer proves that the attempt had arrived, and was out until then.
#[tokio::test(start_paused = true)]
async fn the_limit_is_renewed_by_an_answer() {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(300).await;
        driver.end(1, Outcome::Rejected).await;
        milliseconds(600).await;
        assert_eq!(driver.releases(), 0);
        milliseconds(100).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(story).await;
}

/// A release must not overtake an attempt that is on its way and would find nothing.
#[tokio::test(start_paused = true)]
async fn an_attempt_just_sent_has_time_to_arrive() {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(450).await;
        driver.end(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempts(), 3);
        sleep(ARRIVAL - Duration::from_millis(10)).await;
        assert_eq!(driver.releases(), 0);
        milliseconds(70).await;
        assert_eq!(driver.releases(), 1);
    };
    LocalSet::new().run_until(story).await;
}

/// Behind a release there is a state only if the attempt had arrived: then its limit begins with the attempt's end.
#[tokio::test(start_paused = true)]
async fn behind_a_release_the_limit_begins_anew() {
    let story = async {
        let driver = DriverHarness::sent_to_decode().await;
        milliseconds(660).await;
        assert_eq!(driver.releases(), 1);
        driver.end(1, Outcome::TimedOut).await;
        assert_eq!(driver.attempts(), 3);
        milliseconds(640).await;
        assert_eq!(driver.releases(), 1);
        milliseconds(20).await;
        assert_eq!(driver.releases(), 2);
    };
    LocalSet::new().run_until(story).await;
}
