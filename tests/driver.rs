//! The driver, with an upstream client that only records the calls made through it.

#[path = "support/driver.rs"]
mod driver;

use driver::*;
use llm_router::interface::*;
use llm_router::runtime::exchange::FinalResponse;
use rstest::rstest;
use tokio::sync::oneshot::error::TryRecvError;

/// Guards against an attempt that starts after its client has disconnected, for instance on a connection that
/// is established late. The settings do not allow cancellation here: an attempt that has been written
/// continues.
#[rstest]
#[case::not_written(false, TryRecvError::Closed)]
#[case::written(true, TryRecvError::Empty)]
#[tokio::test]
async fn a_client_disconnect_cancels_only_an_attempt_that_was_not_written(
    #[case] write_started: bool,
    #[case] expected: TryRecvError,
) {
    let scenario = async {
        let driver = DriverHarness::start(settings(), 600_000_000).await;
        let DriverHarness { upstream, client, handle: _handle } = driver;
        upstream.attempts.borrow()[0].write_started.set(write_started);
        drop(client);
        run_pending_tasks().await;
        assert_eq!(upstream.attempts.borrow_mut()[0].cancelled.try_recv(), Err(expected));
        assert!(!upstream.attempts.borrow()[0].request_state.is_open());
        assert_eq!(upstream.attempts.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against an attempt that starts after the final response of its request. The response comes from the
/// policy or, if the policy decides too late, from the driver at the response deadline.
#[rstest]
#[case::by_the_policy(60_000_000)]
#[case::by_the_driver(0)]
#[tokio::test(start_paused = true)]
async fn the_final_response_cancels_an_attempt_that_was_not_written(#[case] response_grace: Micros) {
    let scenario = async {
        let driver = DriverHarness::start(Settings { response_grace, ..settings() }, 1_000_000).await;
        assert_eq!(driver.cancellation(), TryRecvError::Empty);
        let state = driver.upstream.attempts.borrow()[0].request_state.clone();
        assert!(state.is_open());
        let DriverHarness { upstream, client, handle: _handle } = driver;
        assert!(matches!(client.wait().await.0, FinalResponse::Rejected { .. }));
        assert!(!state.is_open());
        run_pending_tasks().await;
        assert_eq!(upstream.attempts.borrow_mut()[0].cancelled.try_recv(), Err(TryRecvError::Closed));
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against late final responses when hundreds of requests with attempts in flight share one deadline.
#[tokio::test(start_paused = true)]
async fn many_requests_with_one_deadline_all_get_their_final_response_in_time() {
    const REQUESTS: usize = 500;
    const RESPONSE_GRACE: Micros = 16_000;
    let scenario = async {
        let driver =
            DriverHarness::start(Settings { response_grace: RESPONSE_GRACE, ..settings() }, 600_000_000)
                .await;
        let handle = driver.handle.clone();
        let deadline = handle.clock.now() + 2_000_000;
        let mut clients = Vec::new();
        for _ in 0..REQUESTS {
            let (client, clock) =
                (handle.submit_request(request_spec(deadline), forwarded_request()), handle.clock);
            clients.push(tokio::task::spawn_local(async move {
                let (response, _guard) = client.wait().await;
                (matches!(response, FinalResponse::Rejected { .. }), clock.now())
            }));
        }
        for client in clients {
            let (is_rejected, at) = client.await.unwrap();
            // Tokio's timers have a resolution of one millisecond.
            assert!(is_rejected && at <= deadline + RESPONSE_GRACE + 1_000, "{} us late", at - deadline);
        }
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}
