//! Retries that may arrive only inside the deduplication window of an earlier attempt.

use crate::harness::*;
use crate::unreachable_workers::{FullListener, SlowWorker};
use llm_router::interface::{Micros, Outcome};
use std::io::Write;
use std::time::Duration;

/// The time until the end of the deduplication window.
const WINDOW_REST: Micros = SECOND / 4;

/// Guards against a request that runs twice: a retry that was written inside its window and is held up on
/// its way arrives after the window, when workers no longer recognize it as a duplicate.
#[tokio::test]
async fn a_retry_that_has_not_arrived_is_abandoned_at_the_end_of_its_window() {
    run_local(async {
        let worker = SlowWorker::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.listener.local_addr().unwrap())], 4);
        let mut attempt = worker.attempt(&mut upstream);
        let window_end = upstream.now() + WINDOW_REST;
        attempt.deduplication_deadline = Some(window_end);
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::Cancelled);
        assert!(upstream.now() >= window_end, "abandoned too early");
        upstream.wait_until_all_closed(4).await;
        let received = worker.receive();
        assert!(received < worker.body.len(), "the worker received {received} bytes");
    })
    .await;
}

/// A retry that is still connecting at the end of its window was not sent, and is no failure of its worker.
#[tokio::test]
async fn a_retry_without_a_connection_ends_with_its_window() {
    run_local(async {
        let listener = FullListener::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.address)], 1);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        attempt.deduplication_deadline = Some(upstream.now() + WINDOW_REST);
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::NotSent);
        assert_eq!(upstream.client.pool.available_connections(), 1, "the attempt is still connecting");
    })
    .await;
}

/// Guards against abandoning a retry whose worker has begun to respond: it has arrived inside the window.
#[tokio::test]
async fn a_retry_with_a_response_outlives_its_window() {
    run_local(async {
        let (worker, _received) = recording_worker(|_, conn| {
            let _ = conn.stream.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n");
            std::thread::sleep(Duration::from_micros(WINDOW_REST + SECOND / 10));
            let _ = conn.stream.write_all(b"{}");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        let window_end = upstream.now() + WINDOW_REST;
        attempt.deduplication_deadline = Some(window_end);
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::PrefillCompleted);
        assert!(upstream.now() >= window_end, "the response ended inside the window");
    })
    .await;
}

/// Guards against an `x-deadline` header that promises to wait longer than the router waits for a retry.
#[tokio::test]
async fn the_deadline_header_of_a_retry_ends_with_its_window() {
    run_local(async {
        let (worker, received) = recording_worker(complete_prefill);
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        attempt.deduplication_deadline = Some(upstream.now() + WINDOW_REST);
        assert_eq!(upstream.outcome_of(attempt).await, Outcome::PrefillCompleted);
        let remaining = stated_remaining_time(&received.recv().unwrap());
        assert!(remaining <= WINDOW_REST, "{remaining} us of {WINDOW_REST}");
    })
    .await;
}
