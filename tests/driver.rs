//! The driver between a module and a client side that only notes what it is asked.

#[path = "support/driver.rs"]
mod driver;

use driver::*;
use llm_router::interface::*;
use llm_router::runtime::exchange::FinalResponse;
use rstest::rstest;
use tokio::sync::oneshot::error::TryRecvError;

/// Guards against an attempt that begins after its client has left, from a connection that comes up late, say: also
/// where attempts may not be dropped. What has begun there goes on.
#[rstest]
#[case::that_has_not_begun_ends(false, TryRecvError::Closed)]
#[case::that_has_begun_goes_on(true, TryRecvError::Empty)]
#[tokio::test]
async fn when_the_client_leaves_an_attempt(#[case] begun: bool, #[case] wanted: TryRecvError) {
    let story = async {
        let driver = DriverHarness::start(settings(), 600_000_000).await;
        let DriverHarness { notes, client, handle: _handle } = driver;
        notes.attempts.borrow()[0].begun.set(begun);
        drop(client);
        settle().await;
        assert_eq!(notes.attempts.borrow_mut()[0].cancelled.try_recv(), Err(wanted));
        assert!(!notes.attempts.borrow()[0].state.is_open());
        assert_eq!(notes.attempts.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Guards against an attempt that begins for a request that has its final answer: by the module, or by the driver's own
/// guard where the module decides too late.
#[rstest]
#[case::of_the_module(60_000_000)]
#[case::of_the_guard(0)]
#[tokio::test(start_paused = true)]
async fn the_final_answer_ends_an_attempt_that_has_not_begun(#[case] answer_grace: Micros) {
    let story = async {
        let driver = DriverHarness::start(Settings { answer_grace, ..settings() }, 1_000_000).await;
        assert_eq!(driver.cancelled(), TryRecvError::Empty);
        let state = driver.notes.attempts.borrow()[0].state.clone();
        assert!(state.is_open());
        let DriverHarness { notes, client, handle: _handle } = driver;
        assert!(matches!(client.answer().await.0, FinalResponse::Rejected { .. }));
        assert!(!state.is_open());
        settle().await;
        assert_eq!(notes.attempts.borrow_mut()[0].cancelled.try_recv(), Err(TryRecvError::Closed));
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Hundreds of requests whose time ends in one instant, with attempts out that never end: each has its answer by then.
#[tokio::test(start_paused = true)]
async fn many_requests_that_end_in_one_instant_are_each_answered_in_time() {
    const REQUESTS: usize = 500;
    const ANSWER_SLACK: Micros = 16_000;
    let story = async {
        let driver =
            DriverHarness::start(Settings { answer_grace: ANSWER_SLACK, ..settings() }, 600_000_000).await;
        let handle = driver.handle.clone();
        let deadline = handle.clock.now() + 2_000_000;
        let mut waiting = Vec::new();
        for _ in 0..REQUESTS {
            let (client, clock) = (handle.submit_request(ask(deadline), call()), handle.clock);
            waiting.push(tokio::task::spawn_local(async move {
                let (answer, _presence) = client.answer().await;
                (matches!(answer, FinalResponse::Rejected { .. }), clock.now())
            }));
        }
        for client in waiting {
            let (is_refused, at) = client.await.unwrap();
            // The runtime's timers are good to a millisecond.
            assert!(is_refused && at <= deadline + ANSWER_SLACK + 1_000, "{} us late", at - deadline);
        }
    };
    tokio::task::LocalSet::new().run_until(story).await;
}
