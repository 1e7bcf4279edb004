//! Clients that send further requests before they have the response to the first one.

mod support;

use llm_router::net::server::shutdown_phase::ShutdownPhase;
use rstest::rstest;
use std::io::Write;
use std::time::Duration;
use support::request;
use support::server::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Nothing may begin for a client that closed its connection this long ago.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);

/// Requests with the ids `id-1`, `id-2` and so on, and bodies of this length.
fn pipelined_requests(count: usize, body_length: usize) -> Vec<u8> {
    let body = "x".repeat(body_length);
    (1..=count).flat_map(|number| request(&format!("id-{number}"), "send", &body).into_bytes()).collect()
}

/// Writes all bytes in the background, as far as the server reads them.
fn send_in_background(client: TcpStream, bytes: Vec<u8>) -> tokio::io::ReadHalf<TcpStream> {
    let (reader, mut writer) = tokio::io::split(client);
    tokio::task::spawn_local(async move {
        let _ = writer.write_all(&bytes).await;
        // Dropping this half does not shut down the sending side.
    });
    reader
}

/// The end of the body of a rejection.
const REJECTION_END: &str = "refused\n";

/// Reads until `count` requests have been rejected, and returns everything received.
async fn read_rejections(client: &mut (impl AsyncReadExt + Unpin), count: usize) -> String {
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while received.matches(REJECTION_END).count() < count {
        let length = client.read(&mut buffer).await.unwrap();
        assert!(length > 0, "the connection ended after {received}");
        received += std::str::from_utf8(&buffer[..length]).unwrap();
    }
    received
}

/// Guards against an attempt for a client that sent many requests at once and has left: its close waits behind
/// bytes that do not fit the receive buffer.
#[rstest]
#[case::many_small_requests(301, 400)]
#[case::two_large_requests(2, 200_000)]
#[tokio::test]
async fn a_close_behind_pipelined_requests_is_detected(#[case] count: usize, #[case] body_length: usize) {
    run_local(async {
        let options = ServerOptions { read_ahead_memory: 4 << 20, ..ServerOptions::default() };
        let mut server = Server::bind_with(options).await.run();
        let client = server.connect().await;
        // The kernel takes all bytes, and the close behind them, before the server has read any.
        socket2::SockRef::from(&client).set_send_buffer_size(2 << 20).unwrap();
        let mut client = into_blocking(client);
        let sent = std::thread::spawn(move || {
            client.write_all(&pipelined_requests(count, body_length)).unwrap();
            client
        });
        let submitted = server.next_request().await;
        let client = tokio::task::spawn_blocking(|| sent.join().unwrap()).await.unwrap();
        assert!(!submitted.forwarded.client.has_disconnected());
        drop(client);
        let detected = tokio::time::timeout(DISCONNECT_LIMIT, server.next_disconnected()).await;
        assert_eq!(detected, Ok(submitted.spec.request), "the close was not detected");
        assert!(submitted.forwarded.client.has_disconnected());
    })
    .await;
}

/// Guards against requests that are lost or damaged when they are read ahead: each one is passed on in its
/// turn, complete and with its own body.
#[rstest]
#[case::many_small_requests(301, 400)]
#[case::several_large_requests(6, 100_000)]
#[tokio::test]
async fn pipelined_requests_are_all_served(#[case] count: usize, #[case] body_length: usize) {
    run_local(async {
        let options = ServerOptions { read_ahead_memory: 4 << 20, ..ServerOptions::default() };
        let mut server = Server::bind_with(options).await.run();
        let bytes = pipelined_requests(count, body_length);
        let mut client = send_in_background(server.connect().await, bytes);
        for number in 1..=count {
            let submitted = server.next_request().await;
            // Leaves the server time to read ahead.
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(submitted.forwarded.id, format!("id-{number}"));
            assert_eq!(submitted.forwarded.body.len(), body_length);
            assert!(submitted.forwarded.body.to_contiguous().iter().all(|byte| *byte == b'x'));
            assert!(!submitted.forwarded.client.has_disconnected());
            submitted.responder.reject(None);
        }
        read_rejections(&mut client, count).await;
    })
    .await;
}

/// Guards against an attempt whose client may have left unseen, and against requests that are dropped when a
/// client sends more than may be read ahead: the requests in front are rejected, and the last ones, behind
/// which a close is visible, are served.
#[tokio::test]
async fn a_request_with_too_many_bytes_behind_it_is_rejected() {
    const REQUESTS: usize = 20;
    run_local(async {
        let options = ServerOptions { read_ahead_memory: 256 << 10, ..ServerOptions::default() };
        let mut server = Server::bind_with(options).await.run();
        let bytes = pipelined_requests(REQUESTS, 100_000);
        let mut client = send_in_background(server.connect().await, bytes);
        let served = tokio::task::spawn_local(async move {
            let mut served = Vec::new();
            while served.last().is_none_or(|id| *id != format!("id-{REQUESTS}")) {
                let submitted = server.next_request().await;
                served.push(submitted.forwarded.id.clone());
                // The client still sends while the request is active.
                tokio::time::sleep(Duration::from_millis(5)).await;
                submitted.responder.reject(None);
            }
            served
        });
        let responses = read_rejections(&mut client, REQUESTS).await;
        let served = served.await.unwrap();
        assert_eq!(responses.matches("HTTP/1.1 503").count(), REQUESTS, "{responses}");
        assert!(served.len() < REQUESTS, "all of {served:?} were submitted");
        assert!(responses.matches("retry-after").count() >= REQUESTS - served.len(), "{responses}");
    })
    .await;
}

/// Guards against requests that are read ahead and dropped by a shutdown: each one is rejected.
#[tokio::test]
async fn requests_read_ahead_are_rejected_in_a_shutdown() {
    const REQUESTS: usize = 100;
    run_local(async {
        let mut server = Server::bind().await.run();
        let mut client = server.connect().await;
        client.write_all(&pipelined_requests(REQUESTS, 400)).await.unwrap();
        let submitted = server.next_request().await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        server.shutdown.send(ShutdownPhase::Closing).unwrap();
        submitted.responder.reject(None);
        let mut responses = String::new();
        client.read_to_string(&mut responses).await.unwrap();
        assert_eq!(responses.matches("HTTP/1.1 503").count(), REQUESTS, "{responses}");
        assert_eq!(responses.matches("connection: close").count(), 1);
    })
    .await;
}

/// Guards against a deadline that starts when a pipelined request is read: the client has been waiting since
/// it sent the request, whether or not it was read ahead.
#[rstest]
#[case::unread(5)]
#[case::read_ahead(40_000)]
#[tokio::test(start_paused = true)]
async fn the_deadline_of_a_pipelined_request_includes_its_wait(#[case] body_length: usize) {
    run_local(async {
        let body = "x".repeat(body_length);
        let mut server = Server::bind().await.run();
        let mut client = server.connect().await;
        client.write_all(request("id-1", "send", &body).as_bytes()).await.unwrap();
        let first = server.next_request().await;
        let (sent_at, first_deadline) = (Instant::now(), first.spec.deadline);
        client.write_all(request("id-2", "send", &body).as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_secs(3)).await;
        first.responder.reject(None);
        let second = server.next_request().await;
        assert!(sent_at.elapsed() >= Duration::from_secs(3));
        // Both have a deadline of eight seconds and were sent at almost the same time.
        let difference_us = second.spec.deadline - first_deadline;
        assert!(difference_us <= 150_000, "{difference_us} us later than the client's deadline");
    })
    .await;
}
