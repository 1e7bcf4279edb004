//! Attempts and cache releases that are cancelled, time out, or are in flight when the pool closes its idle
//! connections.

use crate::harness::*;
use crate::unreachable_workers::{FullListener, SlowWorker};
use llm_router::interface::{Micros, Outcome, WorkerId};
use llm_router::runtime::{Outbound, ReleaseProgress};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// Guards against an abandoned request that still reaches its worker: the kernel delivers its send buffer
/// even after a close, and the worker starts to process the request when its last byte arrives.
#[rstest]
#[case::client_disconnected(None, Outcome::Cancelled)]
#[case::timed_out(Some(SECOND / 4), Outcome::TimedOut)]
#[tokio::test]
async fn an_abandoned_request_is_not_delivered_from_the_send_buffer(
    #[case] timeout: Option<Micros>,
    #[case] expected: Outcome,
) {
    run_local(async {
        let worker = SlowWorker::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.listener.local_addr().unwrap())], 4);
        let mut attempt = worker.attempt(&mut upstream);
        attempt.deadline = upstream.now() + timeout.unwrap_or(10 * SECOND);
        let write_started = attempt.write_started.clone();
        upstream.client.send(attempt);
        for _ in 0..MAX_SCHEDULER_TURNS {
            if write_started.get() {
                break;
            }
            tokio::task::yield_now().await;
        }
        if timeout.is_none() {
            upstream.cancel = None;
        }
        assert_eq!(upstream.next_outcome().await, expected);
        upstream.wait_until_all_closed(4).await;
        let received = worker.receive();
        assert!(received < worker.body.len(), "the worker received {received} bytes");
    })
    .await;
}

/// Guards against a cache release that is sent after the next prefill of its request: it would remove the KV
/// cache of that prefill.
#[tokio::test]
async fn a_cancelled_release_writes_nothing_more() {
    run_local(async {
        let listener = FullListener::start();
        let upstream = UpstreamHarness::start(&[(WORKER, listener.address)], 1);
        let (release, request) = (Rc::<ReleaseProgress>::default(), Rc::new(forwarded_request("id-1")));
        upstream.client.release_cache(request.clone(), release.clone());
        // While the release connects, it holds the only permit of the pool.
        while upstream.client.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        release.cancel();
        // All tasks run on this thread and need no I/O to end, so 100 scheduler turns are sufficient.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(Rc::strong_count(&request), 1, "the release is still running");
        assert_eq!(upstream.client.pool.available_connections(), 1, "the release is still connecting");
    })
    .await;
}

/// Guards against an attempt that is sent on a connection established after its client has disconnected.
#[tokio::test]
async fn an_attempt_cancelled_while_connecting_ends_immediately() {
    run_local(async {
        let listener = FullListener::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, listener.address)], 1);
        let attempt = upstream.attempt(WORKER, "id-1");
        let write_started: Rc<Cell<bool>> = attempt.write_started.clone();
        upstream.client.send(attempt);
        while upstream.client.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        upstream.cancel = None;
        assert_eq!(upstream.next_outcome().await, Outcome::Cancelled);
        assert!(!write_started.get() && upstream.client.pool.available_connections() == 1);
    })
    .await;
}

/// Guards against a late response to a timed-out attempt that is taken for the response to the next one: the
/// connection is closed, and the next attempt uses a new one.
#[tokio::test]
async fn a_late_response_to_a_timed_out_attempt_is_discarded() {
    run_local(async {
        let (proceed, gate) = mpsc::channel::<()>();
        let (report_closed, closed) = mpsc::channel();
        let channels = Mutex::new((gate, report_closed));
        let (worker, received) = recording_worker(move |message, conn| {
            if message.header("x-request-id") == Some("id-1") {
                let channels = channels.lock().unwrap();
                let (gate, report_closed) = &*channels;
                gate.recv().unwrap();
                conn.respond("500 Error", "", "");
                report_closed.send(conn.wait_for_close()).unwrap();
                return false;
            }
            conn.respond("202 Accepted", "", "{}");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        let mut first = upstream.attempt(WORKER, "id-1");
        first.deadline = upstream.now() + SECOND / 4;
        assert_eq!(upstream.outcome_of(first).await, Outcome::TimedOut);
        let second = upstream.attempt(WORKER, "id-2");
        assert_eq!(upstream.outcome_of(second).await, Outcome::PrefillCompleted);
        proceed.send(()).unwrap();
        assert!(closed.recv().unwrap());
        assert!(upstream.inputs.try_recv().is_err(), "the late response reached the driver");
        assert_eq!(received.try_iter().count(), 2);
    })
    .await;
}

/// Guards against an attempt that loses its connection when the pool closes its idle connections.
#[tokio::test]
async fn closing_idle_connections_does_not_affect_an_attempt_in_flight() {
    run_local(async {
        let (proceed, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let (worker, received) = recording_worker(move |_, conn| {
            gate.lock().unwrap().recv().unwrap();
            conn.respond("202 Accepted", "", "{}");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        for id in ["id-1", "id-2"] {
            let attempt = upstream.attempt(WORKER, id);
            let write_started = attempt.write_started.clone();
            upstream.client.send(attempt);
            while !write_started.get() {
                tokio::task::yield_now().await;
            }
            upstream.client.pool.close_all_idle();
            upstream.client.pool.close_idle_connections(&WorkerId(WORKER.into()));
            proceed.send(()).unwrap();
            assert_eq!(upstream.next_outcome().await, Outcome::PrefillCompleted);
        }
        assert_eq!(received.try_iter().count(), 2);
    })
    .await;
}
