//! Responses that do not belong to the request in flight.

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

/// Guards against a surplus second response to a request: if it arrives some milliseconds after the first
/// one, when the next request has been sent on the connection, it is indistinguishable from the response to
/// that request.
#[tokio::test]
async fn a_late_second_response_is_not_taken_for_the_next_response() {
    run_local(async {
        let seen_peers = Mutex::new(HashSet::new());
        let (worker, received) = recording_worker(move |_, conn| {
            // On a reused connection, the surplus response to the first request precedes the expected one.
            if !seen_peers.lock().unwrap().insert(conn.stream.peer_addr().unwrap()) {
                let _ = conn.stream.write_all(b"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n");
            }
            conn.respond("202 Accepted", "", "{}");
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

/// Guards against accepting a response that belongs to the other stage. A request id in its headers is
/// ignored, because the protocol lets the worker choose whether to send one.
#[rstest]
#[case::prefill_completed(Stage::Prefill, "202 Accepted", "", Outcome::PrefillCompleted)]
#[case::stream_from_a_prefill_worker(Stage::Prefill, "200 OK", "", Outcome::WorkerError)]
#[case::no_stream_from_a_decode_worker(Stage::Decode, "202 Accepted", "", Outcome::WorkerError)]
#[case::request_id_echoed(
    Stage::Prefill,
    "202 Accepted",
    "x-request-id: id-1\r\n",
    Outcome::PrefillCompleted
)]
#[case::other_request_id(Stage::Prefill, "202 Accepted", "x-request-id: id-0\r\n", Outcome::PrefillCompleted)]
#[tokio::test]
async fn a_response_must_match_the_requested_stage(
    #[case] stage: Stage,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[case] expected: Outcome,
) {
    run_local(async {
        let (worker, _received) = recording_worker(move |_, conn| {
            conn.respond(status, headers, "data: {}\n\n");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        attempt.stage = stage;
        assert_eq!(upstream.outcome_of(attempt).await, expected);
    })
    .await;
}

/// Guards against bytes that arrived before the request was written and are taken for its response.
#[tokio::test]
async fn bytes_received_before_a_request_are_not_its_response() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let accepted = RefCell::new(Vec::new());
        // Called by the write guard directly before the first byte, so that the async runtime has not seen
        // the socket become readable.
        let client = ClientConnection::new(Rc::new(move || {
            let (mut worker, _) = listener.accept().unwrap();
            worker.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}").unwrap();
            accepted.borrow_mut().push(worker);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client, ..forwarded_request("id-1") });
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::ConnectFailed);
    })
    .await;
}
