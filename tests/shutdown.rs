//! Graceful shutdown: every received request is answered, and a request that arrives while its connection is
//! being closed is neither reset nor forwarded.

mod support;

use llm_router::net::server::shutdown_phase::ShutdownPhase;
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::{Arc, Mutex, mpsc};
use support::server::{HEALTH_CHECK_REQUEST, Server};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A router with a client whose response is being streamed. The decode worker has sent the first event, and
/// waits before it sends the rest.
struct PausedStream {
    client: BufReader<std::net::TcpStream>,
    router: RouterProcess,
    /// Lets the decode worker end the stream.
    resume: mpsc::Sender<()>,
    _workers: [Peer; 2],
}

impl PausedStream {
    fn start() -> PausedStream {
        let (start_sender, start_receiver) = mpsc::channel();
        let (resume, gate) = mpsc::channel::<()>();
        let (start_sender, gate) = (Mutex::new(start_sender), Mutex::new(gate));
        let decode_worker = Peer::start(move |_, conn| {
            conn.begin_stream();
            conn.send_delta("one");
            start_sender.lock().unwrap().send(()).unwrap();
            let _ = gate.lock().unwrap().recv();
            conn.end_stream();
            true
        });
        let workers = [Peer::prefill_worker(), decode_worker];
        let file = operator_file(&[workers[0].address], &[workers[1].address], "");
        let router = RouterProcess::start(&file);
        let mut client = BufReader::new(router.connect());
        client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        start_receiver.recv().unwrap();
        PausedStream { client, router, resume, _workers: workers }
    }
}

/// Guards against the loss of a request that has been partially received when the closing phase begins. It is
/// rejected, since the process may end before its deadline.
#[rstest]
#[case::in_its_head(20)]
#[case::in_its_body(3)]
fn a_partially_received_request_is_rejected_in_the_closing_phase_and_not_forwarded(#[case] missing: usize) {
    let (line_sender, request_lines) = mpsc::channel();
    let line_sender = Mutex::new(line_sender);
    let worker = Peer::start(move |message, _| {
        line_sender.lock().unwrap().send(message.start_line.clone()).unwrap();
        false
    });
    let router = RouterProcess::start(&operator_file(&[worker.address], &[worker.address], ""));
    let text = request("id-1", "send", "hello");
    let (first, rest) = text.split_at(text.len() - missing);
    let mut client = BufReader::new(router.connect());
    // After its first response the connection is idle.
    client.get_mut().write_all(HEALTH_CHECK_REQUEST).unwrap();
    assert_eq!(Message::read(&mut client).unwrap().status(), 200);
    router.signal("-TERM");
    router.wait_for_log_line("stopping: accepting");
    client.get_mut().write_all(first.as_bytes()).unwrap();
    router.wait_for_log_line("stopping: idle connections are closed");
    client.get_mut().write_all(rest.as_bytes()).unwrap();
    let response = Message::read(&mut client).unwrap();
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(response.header("retry-after").is_some());
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert_eq!(Counters(router.wait_for_log_line("stopped")).get("rejected_at_shutdown"), 1);
    drop(router);
    assert_eq!(request_lines.try_iter().count(), 0);
}

/// Guards against the reset of a connection whose client writes a request while the router closes it, and
/// against forwarding a request whose response can no longer be sent.
#[test]
fn a_request_that_races_with_the_close_of_an_idle_connection_is_not_reset_and_not_forwarded() {
    let (line_sender, request_lines) = mpsc::channel();
    let line_sender = Mutex::new(line_sender);
    let worker = Peer::start(move |message, conn| {
        line_sender.lock().unwrap().send(message.start_line.clone()).unwrap();
        conn.respond("202 Accepted", "", "{}");
        true
    });
    let router = RouterProcess::start(&operator_file(&[worker.address], &[worker.address], ""));
    let mut client = router.connect();
    client.write_all(HEALTH_CHECK_REQUEST).unwrap();
    assert_eq!(Message::read(&mut BufReader::new(client.try_clone().unwrap())).unwrap().status(), 200);
    router.signal("-TERM");
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    for _ in 0..3 {
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        assert!(client.take_error().unwrap().is_none());
    }
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    drop(client);
    assert_eq!(Counters(router.wait_for_log_line("stopped")).get("requests_received"), 0);
    drop(router);
    assert_eq!(request_lines.try_iter().count(), 0);
}

/// Guards against the loss of a pipelined request when its connection is closed: it is rejected after the
/// streamed response.
#[test]
fn a_request_pipelined_after_a_streaming_one_is_rejected_after_it() {
    let PausedStream { mut client, router, resume, _workers } = PausedStream::start();
    client.fill_buf().unwrap();
    client.get_mut().write_all(request("id-2", "send", "hello").as_bytes()).unwrap();
    router.signal("-TERM");
    router.wait_for_log_line("stopping: idle connections are closed");
    resume.send(()).unwrap();
    let responses = [Message::read(&mut client).unwrap(), Message::read(&mut client).unwrap()];
    assert_eq!((responses[0].status(), responses[0].is_complete), (200, true));
    assert_eq!((responses[1].status(), responses[1].header("connection")), (503, Some("close")));
    let counters = Counters(router.wait_for_log_line("stopped"));
    assert_eq!(["attempts_completed", "requests_received"].map(|name| counters.get(name)), [1, 1]);
}

/// Guards against a second signal that terminates the process while a request is in flight.
#[test]
fn a_second_sigterm_does_not_interrupt_a_stream() {
    let PausedStream { mut client, router, resume, _workers } = PausedStream::start();
    for _ in 0..2 {
        router.signal("-TERM");
    }
    router.wait_for_log_line("stopping: idle connections are closed");
    router.signal("-TERM");
    router.signal("-INT");
    resume.send(()).unwrap();
    assert!(Message::read(&mut client).unwrap().is_complete);
    assert_eq!(Counters(router.wait_for_log_line("stopped")).get("attempts_completed"), 1);
}

/// Guards against a process that exits before a slow client has read the last part of a finished stream.
#[test]
fn the_last_bytes_of_a_finished_stream_reach_a_slow_client() {
    const EVENTS: usize = 200;
    let event = "x".repeat(32 * 1024);
    let (prefill_worker, text) = (Peer::prefill_worker(), event.clone());
    let decode_worker = Peer::start(move |_, conn| {
        conn.begin_stream();
        (0..EVENTS).for_each(|_| conn.send_event(&text));
        conn.end_stream();
        true
    });
    let file = operator_file(&[prefill_worker.address], &[decode_worker.address], "");
    let router = RouterProcess::start(&file);
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    client.fill_buf().unwrap();
    router.signal("-TERM");
    router.wait_for_log_line("stopping: idle connections are closed");
    let response = Message::read(&mut client).unwrap();
    assert!(response.is_complete && response.body.len() > EVENTS * event.len());
    router.wait_for_log_line("stopped");
}

/// Guards against a process that exits while a KV cache is held. The client has disconnected, but its prefill
/// is still in flight because the settings do not allow cancellation.
#[test]
fn the_cache_of_a_prefill_is_released_before_the_process_exits() {
    let (prefill_sender, prefills) = mpsc::channel();
    let (resume, gate) = mpsc::channel::<()>();
    let (release_sender, releases) = mpsc::channel();
    let channels = Mutex::new((prefill_sender, gate, release_sender));
    let worker = Peer::start(move |message, conn| {
        if message.start_line.starts_with("DELETE") {
            channels.lock().unwrap().2.send(message.start_line.clone()).unwrap();
            conn.respond("204 No Content", "", "");
            return true;
        }
        let (prefill_sender, gate, _) = &*channels.lock().unwrap();
        prefill_sender.send(()).unwrap();
        let _ = gate.recv();
        conn.respond("202 Accepted", "", "{}");
        true
    });
    let file = operator_file(&[worker.address], &[worker.address], "");
    let router = RouterProcess::start(&file.replace("may_cancel = true", "may_cancel = false"));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    prefills.recv().unwrap();
    drop(client);
    router.signal("-TERM");
    router.wait_for_log_line("stopping: idle connections are closed, 0 are open");
    resume.send(()).unwrap();
    router.wait_for_log_line("stopped");
    assert!(releases.try_iter().any(|line| line.starts_with("DELETE /internal/reservations/id-1")));
}

/// Reads everything that the server writes until it closes the connection.
async fn read_to_close(client: &mut TcpStream) -> String {
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.unwrap();
    String::from_utf8(text).unwrap()
}

/// Guards against a reset of connections in the accept queue when the listener closes.
#[tokio::test]
async fn connections_in_the_accept_queue_in_the_closing_phase_are_answered() {
    let scenario = async {
        let server = Server::bind().await;
        let mut clients = Vec::new();
        for _ in 0..5 {
            let mut client = server.connect().await;
            client.write_all(HEALTH_CHECK_REQUEST).await.unwrap();
            clients.push(client);
        }
        // The connections are in the accept queue: none has been accepted yet.
        server.shutdown.send(ShutdownPhase::Closing).unwrap();
        server.listener.accept(server.socket).await;
        for client in &mut clients {
            let response = read_to_close(client).await;
            assert!(
                response.starts_with("HTTP/1.1 200") && response.contains("connection: close"),
                "{response}"
            );
        }
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against the close of a connection whose next request has arrived but has not been reported by the
/// async runtime yet.
#[tokio::test]
async fn a_request_that_has_arrived_when_an_idle_connection_is_closed_is_answered() {
    let scenario = async {
        let Server { socket, listener, shutdown, .. } = Server::bind().await;
        let mut client = TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
        tokio::task::spawn_local(listener.accept(socket));
        client.write_all(HEALTH_CHECK_REQUEST).await.unwrap();
        let mut first_response = [0; 256];
        assert!(client.read(&mut first_response).await.unwrap() > 0);
        // There is no await in between, so the server sees the closing phase before it can see the bytes.
        let mut blocking = client.into_std().unwrap();
        blocking.set_nonblocking(false).unwrap();
        shutdown.send(ShutdownPhase::Closing).unwrap();
        blocking.write_all(HEALTH_CHECK_REQUEST).unwrap();
        blocking.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(blocking).unwrap();
        let response = read_to_close(&mut client).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}

/// Guards against a SIGHUP that interrupts a graceful shutdown.
#[test]
fn sighup_during_a_shutdown_reloads_the_configuration() {
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    router.signal("-TERM");
    router.wait_for_log_line("stopping");
    router.signal("-HUP");
    router.wait_for_log_line("reload: discovery stays");
    assert_eq!(router.stop().get("reloads"), 1);
}

/// Guards against a shutdown that loses requests: SIGTERM lets them finish, and new connections are still
/// accepted.
#[test]
fn sigterm_finishes_requests_in_flight_and_exits_with_success() {
    let (report_stream_start, stream_starts) = shared_channel();
    let lock = Arc::new(Mutex::new(()));
    let stream_paused = lock.lock().unwrap();
    let gate = lock.clone();
    let decode_worker = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.send_delta("one");
        report_stream_start("".into());
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
    stream_starts.recv().unwrap();
    // The router has started to stream the response.
    client.fill_buf().unwrap();
    router.signal("-USR1");
    assert_eq!(Counters(router.wait_for_log_line("counters:")).get("responses_streamed"), 1);
    router.signal("-TERM");
    router.wait_for_log_line("stopping");
    assert!(router.send_raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").start_line.contains("503"));
    // The stream is resumed only after idle connections are closed.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    drop(stream_paused);
    assert!(Message::read(&mut client).unwrap().is_complete);
    let line = router.wait_for_log_line("stopped");
    assert_eq!(Counters(line).get("attempts_completed"), 1);
}
