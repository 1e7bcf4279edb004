//! The graceful shutdown: what was taken is answered, what crosses a close is neither reset nor sent on.

mod support;

use llm_router::net::server::accept::ShutdownPhase;
use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::{Arc, Mutex, mpsc};
use support::server::{HEALTH, Server};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A writer that streams one answer, and waits between its events until it is told to go on.
fn writer_that_waits(begun: mpsc::Sender<()>) -> (Peer, mpsc::Sender<()>) {
    let (go, gate) = mpsc::channel::<()>();
    let (begun, gate) = (Mutex::new(begun), Mutex::new(gate));
    let writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        begun.lock().unwrap().send(()).unwrap();
        let _ = gate.lock().unwrap().recv();
        conn.end_stream();
        true
    });
    (writer, go)
}

/// Guards against a request lost because it was half read when the shutdown came: it is refused, since the process may
/// end before its deadline.
#[rstest]
#[case::in_its_head(20)]
#[case::in_its_body(3)]
fn a_request_half_read_at_the_closing_stage_is_refused_and_not_sent_on(#[case] from_the_end: usize) {
    let (seen, messages) = mpsc::channel();
    let seen = Mutex::new(seen);
    let worker = Peer::start(move |message, _| {
        seen.lock().unwrap().send(message.line.clone()).unwrap();
        false
    });
    let router = RouterProcess::start(&operator_file(&[worker.address], &[worker.address], ""));
    let text = request("id-1", "send", "hello");
    let (first, rest) = text.split_at(text.len() - from_the_end);
    let mut client = BufReader::new(router.connect());
    // One answer before: the connection is one that rests between requests.
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

/// Guards against the reset of a connection whose client writes a request in the moment of the close, and against
/// sending on what nobody can answer any more.
#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_not_reset_and_not_sent_on() {
    let (seen, messages) = mpsc::channel();
    let seen = Mutex::new(seen);
    let reader = Peer::start(move |message, conn| {
        seen.lock().unwrap().send(message.line.clone()).unwrap();
        conn.answer("202 Accepted", "", "{}");
        true
    });
    let router = RouterProcess::start(&operator_file(&[reader.address], &[reader.address], ""));
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

/// Guards against a later request lost with the close: one that had arrived behind the streaming one is refused.
#[test]
fn a_request_pipelined_behind_a_streaming_one_is_refused_after_it() {
    let (reader, (begun, begins)) = (Peer::prefill_worker(), mpsc::channel());
    let (writer, go) = writer_that_waits(begun);
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    begins.recv().unwrap();
    client.fill_buf().unwrap();
    client.get_mut().write_all(request("id-2", "send", "hello").as_bytes()).unwrap();
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed");
    go.send(()).unwrap();
    let answers = [Message::read(&mut client).unwrap(), Message::read(&mut client).unwrap()];
    assert_eq!((answers[0].status(), answers[0].whole), (200, true));
    assert_eq!((answers[1].status(), answers[1].header("connection")), (503, Some("close")));
    let counters = Counters(router.wait_for("stopped"));
    assert_eq!(["attempts_completed", "requests_received"].map(|name| counters.get(name)), [1, 1]);
}

/// Guards against a second signal that ends the process over what is in hand.
#[test]
fn a_second_sigterm_does_not_cut_a_stream_off() {
    let (reader, (begun, begins)) = (Peer::prefill_worker(), mpsc::channel());
    let (writer, go) = writer_that_waits(begun);
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    begins.recv().unwrap();
    for _ in 0..2 {
        router.signal("-TERM");
    }
    router.wait_for("stopping: idle connections are closed");
    router.signal("-TERM");
    router.signal("-INT");
    go.send(()).unwrap();
    assert!(Message::read(&mut client).unwrap().whole);
    assert_eq!(Counters(router.wait_for("stopped")).get("attempts_completed"), 1);
}

/// Guards against the last part of a finished stream lost with the end of the process: its client reads slowly.
#[test]
fn the_last_bytes_of_a_finished_stream_reach_a_slow_client() {
    const EVENTS: usize = 200;
    let event = "x".repeat(32 * 1024);
    let (reader, text) = (Peer::prefill_worker(), event.clone());
    let writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        (0..EVENTS).for_each(|_| conn.event(&text));
        conn.end_stream();
        true
    });
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    client.fill_buf().unwrap();
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed");
    let answer = Message::read(&mut client).unwrap();
    assert!(answer.whole && answer.body.len() > EVENTS * event.len());
    router.wait_for("stopped");
}

/// Guards against an end of the process over a state that is still held: its read is out for a client that has left,
/// where attempts may not be dropped.
#[test]
fn what_a_read_leaves_is_released_before_the_process_ends() {
    let (read, reads) = mpsc::channel();
    let (go, gate) = mpsc::channel::<()>();
    let (released, releases) = mpsc::channel();
    let script = Mutex::new((read, gate, released));
    let host = Peer::start(move |message, conn| {
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
    let file = operator_file(&[host.address], &[host.address], "");
    let router = RouterProcess::start(&file.replace("may_cancel = true", "may_cancel = false"));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    reads.recv().unwrap();
    drop(client);
    router.signal("-TERM");
    router.wait_for("stopping: idle connections are closed, 0 are open");
    go.send(()).unwrap();
    router.wait_for("stopped");
    assert!(releases.try_iter().any(|line| line.starts_with("DELETE /internal/reservations/id-1")));
}

/// All that a server writes until it closes.
async fn whole_answer(client: &mut TcpStream) -> String {
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.unwrap();
    String::from_utf8(text).unwrap()
}

/// Guards against connections reset in the system's queue as the listener closes.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_at_the_closing_stage_are_answered() {
    let story = async {
        let server = Server::start().await;
        let mut clients = Vec::new();
        for _ in 0..5 {
            let mut client = server.connect().await;
            client.write_all(HEALTH).await.unwrap();
            clients.push(client);
        }
        // They wait in the queue: nothing has been accepted yet.
        server.shutdown.send(ShutdownPhase::Closing).unwrap();
        server.listener.accept(server.socket).await;
        for client in &mut clients {
            let answer = whole_answer(client).await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
        }
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Guards against a close over a request that has arrived, though the runtime has not told of it yet.
#[tokio::test]
async fn a_request_that_has_arrived_when_a_resting_connection_is_closed_is_answered() {
    let story = async {
        let Server { socket, listener, shutdown, .. } = Server::start().await;
        let mut client = TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
        tokio::task::spawn_local(listener.accept(socket));
        client.write_all(HEALTH).await.unwrap();
        let mut first = [0; 256];
        assert!(client.read(&mut first).await.unwrap() > 0);
        // In one step: the server learns of the stage before it can learn of the bytes.
        let mut blocking = client.into_std().unwrap();
        blocking.set_nonblocking(false).unwrap();
        shutdown.send(ShutdownPhase::Closing).unwrap();
        blocking.write_all(HEALTH).unwrap();
        blocking.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(blocking).unwrap();
        let answer = whole_answer(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Guards against a SIGHUP during an orderly end that breaks it off.
#[test]
fn sighup_while_stopping_does_no_harm() {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    router.signal("-TERM");
    router.wait_for("stopping");
    router.signal("-HUP");
    router.wait_for("reload: discovery stays");
    assert_eq!(router.stop().get("reloads"), 1);
}

/// Guards against a stop that loses what was taken: SIGTERM lets it finish, and new connections still come.
#[test]
fn sigterm_finishes_what_was_taken_and_exits_in_order() {
    let (begun, begins) = shared_channel();
    let go = Arc::new(Mutex::new(()));
    let held = go.lock().unwrap();
    let gate = go.clone();
    let writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        begun("".into());
        drop(gate.lock());
        conn.end_stream();
        true
    });
    let reader = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = BufReader::new(router.connect());
    let mut idle = router.connect();
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    begins.recv().unwrap();
    // The router has begun to answer, too.
    client.fill_buf().unwrap();
    router.signal("-USR1");
    assert_eq!(Counters(router.wait_for("counters:")).get("responses_streamed"), 1);
    router.signal("-TERM");
    router.wait_for("stopping");
    assert!(router.raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").line.contains("503"));
    // Idle ones are closed, and only then is the stream let go on.
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    drop(held);
    assert!(Message::read(&mut client).unwrap().whole);
    let line = router.wait_for("stopped");
    assert_eq!(Counters(line).get("attempts_completed"), 1);
}
