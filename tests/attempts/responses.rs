//! Responses that must not be taken for the response to a request.

use crate::harness::*;
use llm_router::interface::{Outcome, Stage};
use llm_router::runtime::exchange::{ClientConnection, ForwardedRequest};
use rstest::rstest;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Mutex;

/// Guards against a second response to a request: if it comes some milliseconds after the first, when the
/// next request has been sent on that connection, it can't be told from the response to that one.
#[tokio::test]
async fn a_late_second_response_is_not_taken_for_the_next_one() {
    run_local(async {
        let seen = Mutex::new(HashSet::new());
        let (worker, received) = recording_worker(move |_, conn| {
            // On a connection that was used before, the late response to its first request comes first.
            if !seen.lock().unwrap().insert(conn.0.peer_addr().unwrap()) {
                let _ = conn.0.write_all(b"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n");
            }
            conn.answer("202 Accepted", "", "{}");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        for id in ["id-1", "id-2", "id-3"] {
            let attempt = upstream.attempt(WORKER, id);
            assert_eq!(upstream.outcome_of(attempt).await, Outcome::PrefillCompleted);
        }
        assert_eq!(received.try_iter().count(), 3);
    })
    .await;
}

/// Guards against a response that is accepted though it belongs to the other stage. The request id in its
/// headers says nothing: the protocol leaves that to the worker.
#[rstest]
#[case::prefill_completed(Stage::Prefill, "202 Accepted", "", Outcome::PrefillCompleted)]
#[case::a_stream_from_a_prefill_worker(Stage::Prefill, "200 OK", "", Outcome::WorkerError)]
#[case::no_stream_from_a_decode_worker(Stage::Decode, "202 Accepted", "", Outcome::WorkerError)]
#[case::request_id_echoed(
    Stage::Prefill,
    "202 Accepted",
    "x-request-id: id-1\r\n",
    Outcome::PrefillCompleted
)]
#[case::request_id_of_the_worker_s_own(
    Stage::Prefill,
    "202 Accepted",
    "x-request-id: id-0\r\n",
    Outcome::PrefillCompleted
)]
#[tokio::test]
async fn a_response_counts_only_for_the_stage_that_was_requested(
    #[case] stage: Stage,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[case] expected: Outcome,
) {
    run_local(async {
        let (worker, _received) = recording_worker(move |_, conn| {
            conn.answer(status, headers, "data: {}\n\n");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        attempt.stage = stage;
        assert_eq!(upstream.outcome_of(attempt).await, expected);
    })
    .await;
}

/// Guards against a response that arrived before the request was written: it can't belong to that request.
#[tokio::test]
async fn bytes_that_arrive_before_a_request_are_not_its_response() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let early = RefCell::new(Vec::new());
        // In the last moment before the first byte: the async runtime has not seen that the socket is
        // readable.
        let client = ClientConnection::new(Rc::new(move || {
            let (mut worker, _) = listener.accept().unwrap();
            worker.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}").unwrap();
            early.borrow_mut().push(worker);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::ConnectFailed);
    })
    .await;
}
