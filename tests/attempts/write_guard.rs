//! The check of an attempt's write guard directly before its first byte.

use crate::harness::*;
use crate::support::Peer;
use llm_router::interface::Outcome;
use llm_router::runtime::exchange::{ClientConnection, ForwardedRequest, open_exchange};
use llm_router::runtime::{Outbound, ReleaseProgress};
use rstest::rstest;
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

/// A change between the decision on an attempt and its first byte.
#[derive(Clone, Copy, Debug)]
enum StateChange {
    None,
    RequestAnswered,
    ClientDisconnected,
    DeadlinePassed,
    DeduplicationWindowExpired,
    WorkerDraining,
}

/// Guards against sending an attempt whose preconditions have ceased to hold since it was decided.
#[rstest]
#[case(StateChange::None, Outcome::PrefillCompleted)]
#[case(StateChange::RequestAnswered, Outcome::Cancelled)]
#[case(StateChange::ClientDisconnected, Outcome::Cancelled)]
#[case(StateChange::DeduplicationWindowExpired, Outcome::NotSent)]
#[case(StateChange::WorkerDraining, Outcome::NotSent)]
#[tokio::test]
async fn an_attempt_is_checked_again_before_its_first_byte(
    #[case] change: StateChange,
    #[case] expected: Outcome,
) {
    run_local(async {
        let (worker, received) = recording_worker(complete_prefill);
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        match change {
            StateChange::ClientDisconnected => {
                let client = ClientConnection::new(Rc::new(|| true));
                attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
            }
            StateChange::RequestAnswered => {
                let (_pending, responder) = open_exchange(Rc::new(|| {}));
                attempt.request_state = responder.request_state();
                responder.reject(None);
            }
            StateChange::DeduplicationWindowExpired => attempt.deduplication_deadline = Some(upstream.now()),
            StateChange::WorkerDraining => {
                let update = format!(
                    r#"{{"seq":2,"hosts":[{{"host":"a","dial":"{}","health":"draining"}}]}}"#,
                    worker.address
                );
                let message: llm_router::net::discovery::EndpointListMessage =
                    serde_json::from_str(&update).unwrap();
                upstream.client.directory.apply(&message.into());
            }
            StateChange::None | StateChange::DeadlinePassed => {}
        }
        assert_eq!(upstream.outcome_of(attempt).await, expected);
        let sent = received.try_iter().count();
        assert_eq!(sent, usize::from(expected == Outcome::PrefillCompleted));
    })
    .await;
}

/// Tests the guard directly for time limits, which can't be hit exactly over a socket.
#[rstest]
#[case(StateChange::None, Ok(()))]
#[case(StateChange::DeadlinePassed, Err(Outcome::ConnectFailed))]
#[case(StateChange::DeduplicationWindowExpired, Err(Outcome::NotSent))]
#[tokio::test]
async fn an_attempt_is_withheld_at_its_time_limits(
    #[case] change: StateChange,
    #[case] expected: Result<(), Outcome>,
) {
    let mut upstream = UpstreamHarness::start(&[(WORKER, Peer::refusing_address())], 4);
    let mut attempt = upstream.attempt(WORKER, "id-1");
    let now = upstream.now();
    match change {
        StateChange::DeadlinePassed => attempt.deadline = now,
        StateChange::DeduplicationWindowExpired => attempt.deduplication_deadline = Some(now),
        _ => attempt.deduplication_deadline = Some(now + 1),
    }
    assert_eq!(upstream.client.check_write_guard(&attempt, now), expected);
}

/// Guards against other tasks that run between the last check of an attempt and its first byte and delay it.
#[tokio::test]
async fn no_task_runs_between_the_last_check_of_an_attempt_and_its_first_byte() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let checked = Rc::<Cell<bool>>::default();
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let set_checked = checked.clone();
        let client = ClientConnection::new(Rc::new(move || {
            set_checked.set(true);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
        upstream.client.send(attempt);
        // This task runs after every turn of any other task.
        let watch = async move {
            for _ in 0..MAX_SCHEDULER_TURNS {
                if checked.get() {
                    break;
                }
                yield_to_all_tasks().await;
            }
            let (peer, _) = listener.accept().unwrap();
            peer.set_nonblocking(true).unwrap();
            peer.peek(&mut [0])
        };
        let peeked = tokio::task::spawn_local(watch).await.unwrap();
        assert!(peeked.is_ok_and(|bytes| bytes > 0), "nothing was written yet");
    })
    .await;
}

/// Guards against an `x-deadline` header that is computed before the wait for a cache release.
#[tokio::test]
async fn the_deadline_header_is_computed_after_the_wait_for_a_release() {
    run_local(async {
        let (worker, received) = recording_worker(complete_prefill);
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let deadline = attempt.deadline;
        let (release, sent_at) = (Rc::<ReleaseProgress>::default(), upstream.now());
        attempt.pending_release = Some(release.clone());
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::PrefillCompleted);
        let remaining = stated_remaining_time(&received.recv().unwrap());
        // The release is never acknowledged, so the attempt waits for the whole `RELEASE_WAIT_TIMEOUT`.
        assert!(remaining <= deadline - sent_at - 100_000, "{remaining} us of {}", deadline - sent_at);
    })
    .await;
}
