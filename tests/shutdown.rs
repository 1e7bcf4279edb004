//! Graceful shutdown: every request that was received is answered, and a request that crosses the close of
//! its connection is neither reset nor forwarded.

mod support;

use llm_router::net::server::shutdown_phase::ShutdownPhase;
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::{Arc, Mutex, mpsc};
use support::server::{HEALTH, Server};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A router with a client whose request is being streamed: the decode worker has sent the first event, and
/// waits.
struct PausedStream {
    client: BufReader<std::net::TcpStream>,
    router: RouterProcess,
    /// Lets the decode worker end the stream.
    go_on: mpsc::Sender<()>,
    _workers: [Peer; 2],
}

impl PausedStream {
    fn start() -> PausedStream {
        let (started, starts) = mpsc::channel();
        let (go_on, gate) = mpsc::channel::<()>();
        let (started, gate) = (Mutex::new(started), Mutex::new(gate));
        let decode_worker = Peer::start(move |_, conn| {
            conn.begin_stream();
            conn.delta("one");
            started.lock().unwrap().send(()).unwrap();
            let _ = gate.lock().unwrap().recv();
            conn.end_stream();
            true
        });
        let workers = [Peer::prefill_worker(), decode_worker];
        let file = operator_file(&[workers[0].address], &[workers[1].address], "");
        let router = RouterProcess::start(&file);
        let mut client = BufReader::new(router.connect());
        client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        starts.recv().unwrap();
        PausedStream { client, router, go_on, _workers: workers }
    }
}

/// Guards against a request lost because it was received in part when the closing phase began: it is
/// rejected, since the process may end before its deadline.
#[rstest]
#[case::in_its_head(20)]
#[case::in_its_body(3)]
fn a_request_received_in_part_at_the_closing_phase_is_rejected_and_not_forwarded(#[case] missing: usize) {
    let (seen, messages) = mpsc::channel();
    let seen = Mutex::new(seen);
    let worker = Peer::start(move |message, _| {
        seen.lock().unwrap().send(message.line.clone()).unwrap();
        false
    });
    let router = RouterProcess::start(&operator_file(&[worker.address], &[worker.address], ""));
    let text = request("id-1", "send", "hello");
    let (first, rest) = text.split_at(text.len() - missing);
    let mut client = BufReader::new(router.connect());
    // After one answer the connection is idle between two requests.
    client.get_mut().write_all(HEALTH).unwrap();
    assert_eq!(Message::read(&mut client).unwrap().status(), 200);
    router.signal("-TERM");
    router.wait_for("stopping: accepting");
    client.get_mut().write_all(first.as_bytes()).unwrap();
    router.wait_for("stopping: idle connections are closed");
    client.get_mut().write_all(rest.as_bytes()).unwrap();
    let answer = Message::read(&mut client).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert_eq!(Counters(router.wait_for("stopped")).get("rejected_at_shutdown"), 1);
    drop(router);
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against the reset of a connection whose client writes a request at the moment of the close, and
/// against forwarding a request that can't be answered any more.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_reset_and_not_forwarded() {
    let (seen, messages) = mpsc::channel();
    let seen = Mutex::new(seen);
    let worker = Peer::start(move |message, conn| {
        seen.lock().unwrap().send(message.line.clone()).unwrap();
        conn.answer("202 Accepted", "", "{}");
        true
    });
    let router = RouterProcess::start(&operator_file(&[worker.address], &[worker.address], ""));
    let mut client = router.connect();
    client.write_all(HEALTH).unwrap();
    assert_eq!(Message::read(&mut BufReader::new(client.try_clone().unwrap())).unwrap().status(), 200);
    router.signal("-TERM");
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    for _ in 0..3 {
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        assert!(client.take_error().unwrap().is_none());
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    drop(client);
    assert_eq!(Counters(router.wait_for("stopped")).get("requests_received"), 0);
    drop(router);
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against a request lost with the close: one that had arrived after the streaming one is rejected.
#[test]
fn a_request_pipelined_after_a_streaming_one_is_rejected_after_it() {
    let PausedStream { mut client, router, go_on, _workers } = PausedStream::start();
    client.fill_buf().unwrap();
    client.get_mut().write_all(request("id-2", "send", "hello").as_bytes()).unwrap();
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed");
    go_on.send(()).unwrap();
    let answers = [Message::read(&mut client).unwrap(), Message::read(&mut client).unwrap()];
    assert_eq!((answers[0].status(), answers[0].whole), (200, true));
    assert_eq!((answers[1].status(), answers[1].header("connection")), (503, Some("close")));
    let counters = Counters(router.wait_for("stopped"));
    assert_eq!(["attempts_completed", "requests_received"].map(|name| counters.get(name)), [1, 1]);
}

/// Guards against a second signal that ends the process while a request is in flight.
#[test]
fn a_second_sigterm_does_not_cut_a_stream_off() {
    let PausedStream { mut client, router, go_on, _workers } = PausedStream::start();
    for _ in 0..2 {
        router.signal("-TERM");
    }
    router.wait_for("stopping: idle connections are closed");
    router.signal("-TERM");
    router.signal("-INT");
    go_on.send(()).unwrap();
    assert!(Message::read(&mut client).unwrap().whole);
    assert_eq!(Counters(router.wait_for("stopped")).get("attempts_completed"), 1);
}

/// Guards against the loss of a finished stream's last part to a slow client when the process ends.
#[test]
fn the_last_bytes_of_a_finished_stream_reach_a_slow_client() {
    const EVENTS: usize = 200;
    let event = "x".repeat(32 * 1024);
    let (prefill_worker, text) = (Peer::prefill_worker(), event.clone());
    let decode_worker = Peer::start(move |_, conn| {
        conn.begin_stream();
        (0..EVENTS).for_each(|_| conn.event(&text));
        conn.end_stream();
        true
    });
    let file = operator_file(&[prefill_worker.address], &[decode_worker.address], "");
    let router = RouterProcess::start(&file);
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    client.fill_buf().unwrap();
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed");
    let answer = Message::read(&mut client).unwrap();
    assert!(answer.whole && answer.body.len() > EVENTS * event.len());
    router.wait_for("stopped");
}

/// Guards against the end of the process while a KV cache is held: its prefill is in flight for a client that
/// has disconnected, where attempts may not be cancelled.
#[test]
fn the_cache_of_a_prefill_is_released_before_the_process_ends() {
    let (prefill, prefills) = mpsc::channel();
    let (go_on, gate) = mpsc::channel::<()>();
    let (released, releases) = mpsc::channel();
    let script = Mutex::new((prefill, gate, released));
    let worker = Peer::start(move |message, conn| {
        if message.line.starts_with("DELETE") {
            script.lock().unwrap().2.send(message.line.clone()).unwrap();
            conn.answer("204 No Content", "", "");
            return true;
        }
        let script = script.lock().unwrap();
        script.0.send(()).unwrap();
        let _ = script.1.recv();
        conn.answer("202 Accepted", "", "{}");
        true
    });
    let file = operator_file(&[worker.address], &[worker.address], "");
    let router = RouterProcess::start(&file.replace("may_cancel = true", "may_cancel = false"));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    prefills.recv().unwrap();
    drop(client);
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed, 0 are open");
    go_on.send(()).unwrap();
    router.wait_for("stopped");
    assert!(releases.try_iter().any(|line| line.starts_with("DELETE /internal/reservations/id-1")));
}

/// Everything that a server writes until it closes.
async fn read_to_close(client: &mut TcpStream) -> String {
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.unwrap();
    String::from_utf8(text).unwrap()
}

/// Guards against connections that are reset in the accept queue when the listener closes.
#[tokio::test]
async fn connections_in_the_accept_queue_at_the_closing_phase_are_answered() {
    let scenario = async {
        let server = Server::start().await;
        let mut clients = Vec::new();
        for _ in 0..5 {
            let mut client = server.connect().await;
            client.write_all(HEALTH).await.unwrap();
            clients.push(client);
        }
        // They wait in the accept queue: nothing has been accepted yet.
        server.shutdown.send(ShutdownPhase::Closing).unwrap();
        server.listener.accept(server.socket).await;
        for client in &mut clients {
            let answer = read_to_close(client).await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
        }
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against a close despite a request that has arrived but that the async runtime has not reported yet.
#[tokio::test]
async fn a_request_that_has_arrived_when_an_idle_connection_is_closed_is_answered() {
    let scenario = async {
        let Server { socket, listener, shutdown, .. } = Server::start().await;
        let mut client = TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
        tokio::task::spawn_local(listener.accept(socket));
        client.write_all(HEALTH).await.unwrap();
        let mut first = [0; 256];
        assert!(client.read(&mut first).await.unwrap() > 0);
        // Without an await in between: the server learns of the phase before it can learn of the bytes.
        let mut blocking = client.into_std().unwrap();
        blocking.set_nonblocking(false).unwrap();
        shutdown.send(ShutdownPhase::Closing).unwrap();
        blocking.write_all(HEALTH).unwrap();
        blocking.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(blocking).unwrap();
        let answer = read_to_close(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against a SIGHUP that breaks off a graceful shutdown.
#[test]
fn sighup_while_stopping_does_no_harm() {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    router.signal("-TERM");
    router.wait_for("stopping");
    router.signal("-HUP");
    router.wait_for("reload: discovery stays");
    assert_eq!(router.stop().get("reloads"), 1);
}

/// Guards against a shutdown that loses requests: SIGTERM lets them finish, and new connections are still
/// accepted.
#[test]
fn sigterm_finishes_requests_in_flight_and_exits_with_success() {
    let (started, starts) = shared_channel();
    let lock = Arc::new(Mutex::new(()));
    let paused = lock.lock().unwrap();
    let gate = lock.clone();
    let decode_worker = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        started("".into());
        drop(gate.lock());
        conn.end_stream();
        true
    });
    let prefill_worker = Peer::prefill_worker();
    let file = operator_file(&[prefill_worker.address], &[decode_worker.address], "");
    let router = RouterProcess::start(&file);
    let mut client = BufReader::new(router.connect());
    let mut idle = router.connect();
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    starts.recv().unwrap();
    // The router has started to answer, too.
    client.fill_buf().unwrap();
    router.signal("-USR1");
    assert_eq!(Counters(router.wait_for("counters:")).get("responses_streamed"), 1);
    router.signal("-TERM");
    router.wait_for("stopping");
    assert!(router.raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").line.contains("503"));
    // The stream goes on only after idle connections are closed.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    drop(paused);
    assert!(Message::read(&mut client).unwrap().whole);
    let line = router.wait_for("stopped");
    assert_eq!(Counters(line).get("attempts_completed"), 1);
}
