//! The life cycle of client connections: every request that is read is answered, and a request that cannot be
//! answered is not read.

mod support;

use llm_router::net::server::accept::RESERVED_CONNECTIONS;
use llm_router::net::server::client_socket::ClientSocket;
use llm_router::net::server::gated_socket::GatedSocket;
use llm_router::net::server::read_limits::ReadLimits;
use llm_router::net::server::shutdown_phase::ShutdownPhase;
use llm_router::rules::close::{CloseReason, ConnectionPhase, ConnectionSnapshot, Eviction, close_deadline};
use rstest::rstest;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use support::server::*;
use support::{MAX_DESCRIPTORS, Peer, RouterProcess, operator_file, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Why a connection is closed between two requests.
#[derive(Clone, Copy)]
enum CloseCause {
    Shutdown,
    Eviction,
}

async fn check_health(client: &mut TcpStream) {
    client.write_all(HEALTH_CHECK_REQUEST).await.unwrap();
    assert!(client.read(&mut [0; 256]).await.unwrap() > 0);
}

/// Guards against a request that is read after the router has shut down its sending side, and then dropped:
/// the client may safely retry only an unread request. The reset shows that it was not read.
#[rstest]
#[case::shutdown(CloseCause::Shutdown)]
#[case::eviction(CloseCause::Eviction)]
#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read(#[case] cause: CloseCause) {
    run_local(async {
        let server =
            Server::bind_with(ServerOptions { max_connections: 1, ..ServerOptions::default() }).await.run();
        let mut client = server.connect().await;
        check_health(&mut client).await;
        let mut new_connection = None;
        match cause {
            CloseCause::Shutdown => server.shutdown.send(ShutdownPhase::Closing).unwrap(),
            CloseCause::Eviction => {
                // Exceeds the minimum idle time before graceful eviction.
                tokio::time::sleep(Duration::from_millis(60)).await;
                let mut new_client = server.connect().await;
                check_health(&mut new_client).await;
                new_connection = Some(new_client);
            }
        }
        assert_eq!(client.read(&mut [0]).await.unwrap(), 0);
        client.write_all(request("id-1", "send", "hello").as_bytes()).await.unwrap();
        drop(new_connection);
        server.wait_until_all_closed().await;
        assert!(was_reset(&client), "the request was read");
    })
    .await;
}

/// Guards against reading a pipelined request together with the one before it, whose response is the
/// connection's last, and against a reset that discards this response before the client has read it.
#[tokio::test(start_paused = true)]
async fn a_request_pipelined_after_the_last_one_of_a_connection_is_not_read() {
    run_local(async {
        let server =
            Server::bind_with(ServerOptions { max_connections: 0, ..ServerOptions::default() }).await.run();
        let mut client = server.connect().await;
        let pipelined = ["id-1", "id-2"].map(|id| request(id, "send", "hello")).concat();
        client.write_all(pipelined.as_bytes()).await.unwrap();
        let mut response = String::new();
        client.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503") && response.contains("connection: close"), "{response}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1);
        server.wait_until_all_closed().await;
        assert!(was_reset(&client), "the second request was read");
    })
    .await;
}

/// Guards against a request that is read and never answered because the bytes after it cannot be parsed.
#[tokio::test(start_paused = true)]
async fn a_request_followed_by_malformed_bytes_is_answered() {
    run_local(async {
        let mut server = Server::bind().await.run();
        let mut client = server.connect().await;
        client.write_all(request("id-1", "send", "hello").as_bytes()).await.unwrap();
        let submitted = server.next_request().await;
        client.write_all(b"GARBAGE\r\n\r\n").await.unwrap();
        // Leaves the server enough time to read the bytes sent.
        tokio::time::sleep(Duration::from_millis(50)).await;
        submitted.responder.reject(None);
        let mut responses = String::new();
        client.read_to_string(&mut responses).await.unwrap();
        assert!(responses.starts_with("HTTP/1.1 503"), "{responses}");
        assert!(responses.contains("HTTP/1.1 400"), "{responses}");
    })
    .await;
}

/// Guards against a client that shuts down its sending side after its request and gets no response. It cannot
/// be distinguished from one that has disconnected, so no attempt is started for it.
#[tokio::test]
async fn a_client_that_shuts_down_its_sending_side_after_a_request_gets_a_final_response() {
    run_local(async {
        let mut server = Server::bind().await.run();
        let mut client = into_blocking(server.connect().await);
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        let submitted = server.next_request().await;
        client.shutdown(Shutdown::Write).unwrap();
        assert_eq!(server.next_disconnected().await, submitted.spec.request);
        // The driver, too, drops the request of a disconnected client.
        drop(submitted);
        server.wait_until_all_closed().await;
        let response = read_to_close(&mut client);
        assert!(response.starts_with("HTTP/1.1 502") && response.contains("connection: close"), "{response}");
    })
    .await;
}

/// Guards against forwarding a request after its client has closed the connection: the check queries the
/// kernel, whether or not unread bytes precede the close.
#[rstest]
#[case::nothing("")]
#[case::part_of_another_request("POST /v1/chat")]
#[tokio::test]
async fn a_close_is_detected_without_waiting_for_the_runtime(#[case] sent_before_close: &str) {
    run_local(async {
        // The memory budget leaves no room to read the next request ahead.
        let mut server =
            Server::bind_with(ServerOptions { request_memory: 2_048, ..ServerOptions::default() })
                .await
                .run();
        let mut client = into_blocking(server.connect().await);
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        let submitted = server.next_request().await;
        assert!(!submitted.forwarded.client.has_disconnected());
        // There is no await between the close and the check, so the runtime does not run.
        client.write_all(sent_before_close.as_bytes()).unwrap();
        drop(client);
        assert!(submitted.forwarded.client.has_disconnected(), "the close was not detected");
        assert_eq!(server.next_disconnected().await, submitted.spec.request);
    })
    .await;
}

/// Guards against new clients that get no response at the connection limit while other clients occupy all
/// slots, including the reserve: clients that send nothing or half a request, or stay connected after a
/// response.
#[rstest]
#[case::silent(b"")]
#[case::half_a_request(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")]
#[case::answered_and_still_connected(HEALTH_CHECK_REQUEST)]
#[tokio::test(start_paused = true)]
async fn a_new_client_is_answered_at_once_at_the_connection_limit(#[case] sent: &[u8]) {
    run_local(async {
        let server =
            Server::bind_with(ServerOptions { max_connections: 4, ..ServerOptions::default() }).await.run();
        let mut other_clients = Vec::new();
        for _ in 0..60 {
            let mut client = server.connect().await;
            client.write_all(sent).await.unwrap();
            other_clients.push(client);
        }
        let mut client = server.connect().await;
        let started = Instant::now();
        client.write_all(HEALTH_CHECK_REQUEST).await.unwrap();
        let mut response = [0; 256];
        let length = client.read(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.starts_with("HTTP/1.1 "), "{response}");
        assert!(started.elapsed() < Duration::from_millis(20), "answered after {:?}", started.elapsed());
        assert!(server.connections.count() <= 4 + RESERVED_CONNECTIONS + 1);
    })
    .await;
}

/// Guards against resetting a client that still sends the body of a rejected request: it would never read the
/// rejection. The rest of that body is read, and nothing after it.
#[tokio::test]
async fn a_client_that_reads_only_after_sending_its_whole_body_receives_the_rejection() {
    run_local(async {
        let server =
            Server::bind_with(ServerOptions { max_connections: 0, ..ServerOptions::default() }).await.run();
        let mut client = into_blocking(server.connect().await);
        // The client's send buffer must not hold the whole body.
        socket2::SockRef::from(&client).set_send_buffer_size(4 * 1024).unwrap();
        let body = "x".repeat(256 * 1024);
        let (result_sender, result) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let sent = client.write_all(request("id-1", "send", &body).as_bytes()).is_ok();
            let second_sent = client.write_all(request("id-2", "send", "hello").as_bytes()).is_ok();
            let response = read_to_close(&mut client);
            let _ = result_sender.send((sent && second_sent, response, client));
        });
        let (sent, response, client) = result.await.unwrap();
        assert!(sent && response.starts_with("HTTP/1.1 503"), "{response}");
        server.wait_until_all_closed().await;
        let error = client.take_error().unwrap();
        assert!(error.is_some(), "the second request was read");
    })
    .await;
}

/// Guards against a busy loop in the detection of disconnects: while the client stays connected and sends
/// nothing, the future is not woken.
#[tokio::test(start_paused = true)]
async fn a_connected_and_silent_client_is_not_polled_repeatedly() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let stream = Rc::new(listener.accept().await.unwrap().0);
    let socket = ClientSocket::new(1, stream, ReadLimits::new(0));
    client.write_all(HEALTH_CHECK_REQUEST).await.unwrap();
    let mut request = vec![0; HEALTH_CHECK_REQUEST.len()];
    GatedSocket::new(socket.clone()).read_exact(&mut request).await.unwrap();
    let (mut disconnected, mut polls) = (pin!(socket.disconnected()), 0);
    let waiting = poll_fn(|cx| {
        polls += 1;
        disconnected.as_mut().poll(cx)
    });
    assert!(
        tokio::time::timeout(Duration::from_secs(10), waiting).await.is_err(),
        "the client is still connected"
    );
    assert!(polls <= 3, "{polls} polls");
    drop(client);
    socket.disconnected().await;
}

/// A connection without a byte since its accept and one that is idle after a response have different timeouts
/// and close reasons.
#[rstest]
#[case::silent(false, Duration::from_millis(2_200), CloseReason::Silent)]
#[case::idle(true, Duration::from_secs(30), CloseReason::Idle)]
fn silent_and_idle_connections_have_different_timeouts_and_close_reasons(
    #[case] has_responded: bool,
    #[case] timeout: Duration,
    #[case] reason: CloseReason,
) {
    let now = Instant::now();
    let snapshot = ConnectionSnapshot {
        phase: ConnectionPhase::Idle(now),
        accepted_at: now,
        has_responded,
        is_write_blocked: false,
        eviction: Eviction::None,
        is_closing_phase: false,
    };
    assert_eq!(close_deadline(&snapshot), Some((now + timeout, reason)));
}

/// The behaviour of a client before its connection ends.
#[derive(Clone, Copy)]
enum ClientAction {
    CloseAfterResponse,
    CloseWithinHead,
    ReceiveBrokenStream,
    SendNothing,
}

/// Guards against log lines in which every close except that of a malformed request looks like a completed
/// one.
#[rstest]
#[case::between_requests(ClientAction::CloseAfterResponse, "completed")]
#[case::within_a_head(ClientAction::CloseWithinHead, "connection error")]
#[case::in_a_stream_broken_by_the_worker(ClientAction::ReceiveBrokenStream, "stream broken")]
#[case::without_a_byte(ClientAction::SendNothing, "silent")]
fn the_log_states_the_close_reason_of_a_connection(#[case] action: ClientAction, #[case] reason: &str) {
    let decode = Peer::start(|_, conn| {
        conn.begin_stream();
        conn.send_delta("one");
        false
    });
    let prefill = Peer::prefill_worker();
    let file = operator_file(&[prefill.address], &[decode.address], "");
    let router =
        RouterProcess::start_with_environment(MAX_DESCRIPTORS, &file, &[("RUST_LOG", Path::new("debug"))]);
    let mut client = router.connect();
    match action {
        ClientAction::CloseAfterResponse => {
            client.write_all(HEALTH_CHECK_REQUEST).unwrap();
            assert!(client.read(&mut [0; 256]).unwrap() > 0);
        }
        ClientAction::CloseWithinHead => client.write_all(&HEALTH_CHECK_REQUEST[..10]).unwrap(),
        ClientAction::ReceiveBrokenStream => {
            client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
            assert!(read_to_close(&mut client).contains("one"));
        }
        ClientAction::SendNothing => assert_eq!(client.read(&mut [0]).unwrap(), 0),
    }
    drop(client);
    let line = router.wait_for_log_line("connection 0: ends: ");
    assert!(line.ends_with(&format!("ends: {reason}")), "{line}");
}
