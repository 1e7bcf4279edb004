//! Attempts and releases that are cancelled, time out, or lose their pool while in progress.

use crate::harness::*;
use bytes::Bytes;
use llm_router::interface::{Micros, Outcome, WorkerId};
use llm_router::runtime::exchange::ForwardedRequest;
use llm_router::runtime::{Outbound, ReleaseProgress};
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// A worker whose receive buffer holds only a few bytes until they are read.
struct SlowWorker {
    listener: TcpListener,
    body: Bytes,
}

impl SlowWorker {
    fn start() -> SlowWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4 * 1024).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(8).unwrap();
        SlowWorker { listener: socket.into(), body: vec![b'x'; 256 * 1024].into() }
    }

    /// How many bytes reach it, up to the end of the connection.
    fn received(&self) -> usize {
        let (mut connection, _) = self.listener.accept().unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes);
        bytes.len()
    }
}

/// Guards against a request that reaches its worker after it was given up: bytes in the kernel's send buffer
/// are delivered later, even after a close, and a worker begins with the last of them.
#[rstest]
#[case::client_left(None, Outcome::Cancelled)]
#[case::timed_out(Some(SECOND / 4), Outcome::TimedOut)]
#[tokio::test]
async fn what_a_worker_has_not_received_of_a_given_up_request_never_reaches_it(
    #[case] timeout: Option<Micros>,
    #[case] expected: Outcome,
) {
    run_local(async {
        let worker = SlowWorker::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.listener.local_addr().unwrap())], 4);
        let mut attempt = upstream.attempt(WORKER, "id-1");
        attempt.forwarded =
            Rc::new(ForwardedRequest { body: worker.body.clone(), ..forwarded_request("id-1") });
        attempt.deadline = upstream.now() + timeout.unwrap_or(10 * SECOND);
        let begun = attempt.begun.clone();
        upstream.client.send(attempt);
        for _ in 0..MANY_TURNS {
            if begun.get() {
                break;
            }
            tokio::task::yield_now().await;
        }
        if timeout.is_none() {
            upstream.cancel = None;
        }
        assert_eq!(upstream.next_outcome().await, expected);
        while upstream.client.pool.available_connections() < 4 {
            tokio::task::yield_now().await;
        }
        let received = worker.received();
        assert!(received < worker.body.len(), "{received} bytes came");
    })
    .await;
}

/// A listener whose accept queue is full: connections to it are not established.
struct FullQueue {
    address: SocketAddr,
    _listener: TcpListener,
    _filling: Vec<Socket>,
}

impl FullQueue {
    fn start() -> FullQueue {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let fill = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        FullQueue { address, _filling: (0..3).map(|_| fill()).collect(), _listener: listener }
    }
}

/// Guards against a release that is sent after the next prefill: it would remove the KV cache which that one
/// leaves.
#[tokio::test]
async fn a_release_that_was_stopped_writes_nothing_any_more() {
    run_local(async {
        let full = FullQueue::start();
        let upstream = UpstreamHarness::start(&[(WORKER, full.address)], 1);
        let (release, request) = (Rc::<ReleaseProgress>::default(), Rc::new(forwarded_request("id-1")));
        upstream.client.release_cache(request.clone(), release.clone());
        // Its call occupies the only connection while it connects.
        while upstream.client.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        release.stop();
        // All tasks share this thread and wait for nothing else: by then those that were to end have ended.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(Rc::strong_count(&request), 1, "the release goes on");
        assert_eq!(upstream.client.pool.available_connections(), 1, "the call still connects");
    })
    .await;
}

/// Guards against an attempt that begins on a connection which is established after its client has left.
#[tokio::test]
async fn an_attempt_cancelled_while_it_connects_ends_at_once() {
    run_local(async {
        let full = FullQueue::start();
        let mut upstream = UpstreamHarness::start(&[(WORKER, full.address)], 1);
        let attempt = upstream.attempt(WORKER, "id-1");
        let begun: Rc<Cell<bool>> = attempt.begun.clone();
        upstream.client.send(attempt);
        while upstream.client.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        upstream.cancel = None;
        assert_eq!(upstream.next_outcome().await, Outcome::Cancelled);
        assert!(!begun.get() && upstream.client.pool.available_connections() == 1);
    })
    .await;
}

/// A late response to an attempt that was given up goes nowhere: its connection is closed, and the next
/// attempt has another.
#[tokio::test]
async fn a_late_response_to_a_given_up_attempt_goes_nowhere() {
    run_local(async {
        let (proceed, gate) = mpsc::channel::<()>();
        let (report_closed, closed) = mpsc::channel();
        let script = Mutex::new((gate, report_closed));
        let (worker, received) = recording_worker(move |message, conn| {
            if message.header("x-request-id") == Some("id-1") {
                let script = script.lock().unwrap();
                script.0.recv().unwrap();
                conn.answer("500 Error", "", "");
                script.1.send(conn.is_closed()).unwrap();
                return false;
            }
            conn.answer("202 Accepted", "", "{}");
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
        assert!(upstream.inputs.try_recv().is_err(), "the driver gets nothing more from it");
        assert_eq!(received.try_iter().count(), 2);
    })
    .await;
}

/// Clearing the pool while a connection is in use does not affect the attempt on it.
#[tokio::test]
async fn an_attempt_survives_a_pool_cleared_meanwhile() {
    run_local(async {
        let (proceed, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let (worker, received) = recording_worker(move |_, conn| {
            gate.lock().unwrap().recv().unwrap();
            conn.answer("202 Accepted", "", "{}");
            true
        });
        let mut upstream = UpstreamHarness::start(&[(WORKER, worker.address)], 4);
        for id in ["id-1", "id-2"] {
            let attempt = upstream.attempt(WORKER, id);
            let begun = attempt.begun.clone();
            upstream.client.send(attempt);
            while !begun.get() {
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
