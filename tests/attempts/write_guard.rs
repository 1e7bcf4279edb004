//! The write guard of an attempt is checked directly before its first byte.

use crate::harness::*;
use crate::support::Peer;
use llm_router::interface::{Micros, Outcome};
use llm_router::runtime::exchange::{ClientConnection, ForwardedRequest, open_exchange};
use llm_router::runtime::{Outbound, ReleaseProgress};
use rstest::rstest;
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

/// What happens between the decision on an attempt and the moment in which its connection is established.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Nothing,
    RequestAnswered,
    ClientLeft,
    DeadlinePassed,
    DeduplicationWindowEnded,
    WorkerDrains,
}

/// Guards against sending what was right when it was decided and is no longer.
#[rstest]
#[case(Meanwhile::Nothing, Outcome::PrefillCompleted)]
#[case(Meanwhile::RequestAnswered, Outcome::Cancelled)]
#[case(Meanwhile::ClientLeft, Outcome::Cancelled)]
#[case(Meanwhile::DeduplicationWindowEnded, Outcome::NotSent)]
#[case(Meanwhile::WorkerDrains, Outcome::NotSent)]
#[tokio::test]
async fn at_its_first_byte_an_attempt_is_checked_again(
    #[case] meanwhile: Meanwhile,
    #[case] expected: Outcome,
) {
    run_local(async {
        let (worker, received) = recording_worker(complete_prefill);
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        match meanwhile {
            Meanwhile::ClientLeft => {
                let client = ClientConnection::new(Rc::new(|| true));
                attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
            }
            Meanwhile::RequestAnswered => {
                let (_pending, responder) = open_exchange(Rc::new(|| {}));
                attempt.request_state = responder.request_state();
                responder.reject(None);
            }
            Meanwhile::DeduplicationWindowEnded => attempt.deduplication_deadline = Some(upstream.now()),
            Meanwhile::WorkerDrains => {
                let update = format!(
                    r#"{{"seq":2,"hosts":[{{"host":"a","dial":"{}","health":"draining"}}]}}"#,
                    worker.address
                );
                let message: llm_router::net::discovery::EndpointListMessage =
                    serde_json::from_str(&update).unwrap();
                upstream.client.directory.apply(&message.into());
            }
            Meanwhile::Nothing | Meanwhile::DeadlinePassed => {}
        }
        assert_eq!(upstream.outcome_of(attempt).await, expected);
        let sent = received.try_iter().count();
        assert_eq!(sent, usize::from(expected == Outcome::PrefillCompleted));
    })
    .await;
}

/// The same at the function that decides, for conditions that can't be forced on a socket.
#[rstest]
#[case(Meanwhile::Nothing, Ok(()))]
#[case(Meanwhile::DeadlinePassed, Err(Outcome::ConnectFailed))]
#[case(Meanwhile::DeduplicationWindowEnded, Err(Outcome::NotSent))]
#[tokio::test]
async fn an_attempt_may_not_begin_too_late(
    #[case] meanwhile: Meanwhile,
    #[case] expected: Result<(), Outcome>,
) {
    let mut upstream = UpstreamHarness::start(&[(WORKER, Peer::nobody())], 4);
    let mut attempt = upstream.attempt(WORKER, "id-1");
    let now = upstream.now();
    match meanwhile {
        Meanwhile::DeadlinePassed => attempt.deadline = now,
        Meanwhile::DeduplicationWindowEnded => attempt.deduplication_deadline = Some(now),
        _ => attempt.deduplication_deadline = Some(now + 1),
    }
    assert_eq!(upstream.client.check_write_guard(&attempt, now), expected);
}

/// Guards against other tasks that run between the last check of an attempt and its first byte: they may take
/// any time.
#[tokio::test]
async fn nothing_runs_between_the_last_check_of_an_attempt_and_its_first_byte() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let checked = Rc::<Cell<bool>>::default();
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let check = checked.clone();
        let client = ClientConnection::new(Rc::new(move || {
            check.set(true);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
        upstream.client.send(attempt);
        // Is scheduled between any two other tasks.
        let watch = async move {
            for _ in 0..MANY_TURNS {
                if checked.get() {
                    break;
                }
                next_turn().await;
            }
            let (peer, _) = listener.accept().unwrap();
            peer.set_nonblocking(true).unwrap();
            peer.peek(&mut [0])
        };
        let arrived = tokio::task::spawn_local(watch).await.unwrap();
        assert!(arrived.is_ok_and(|bytes| bytes > 0), "nothing was written yet");
    })
    .await;
}

/// Guards against a deadline header that was computed before a wait.
#[tokio::test]
async fn a_worker_gets_the_time_that_remains_after_the_wait_for_a_release() {
    run_local(async {
        let (worker, received) = recording_worker(complete_prefill);
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let deadline = attempt.deadline;
        let (release, decided) = (Rc::<ReleaseProgress>::default(), upstream.now());
        attempt.pending_release = Some(release.clone());
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::PrefillCompleted);
        let message = received.recv().unwrap();
        let remaining: Micros = message.header("x-deadline").unwrap().trim_end_matches('u').parse().unwrap();
        // The release is never acknowledged, so the attempt waits for it as long as it may.
        assert!(remaining <= deadline - decided - 100_000, "{remaining} us of {}", deadline - decided);
    })
    .await;
}
