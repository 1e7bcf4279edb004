//! Tests of the router between scripted workers on loopback sockets: forwarding, retries, cancellation and
//! rejections.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use support::*;

/// Starts a router with one prefill and one decode worker.
fn start_router(prefill_worker: &Peer, decode_worker: &Peer) -> RouterProcess {
    RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""))
}

#[test]
fn a_request_is_prefilled_then_decoded_and_forwarded_unchanged() {
    let ((decode, messages), prefill) = (recording_decode_worker(), Peer::prefill_worker());
    let router = start_router(&prefill, &decode);
    assert!(router.send_raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").start_line.contains("200"));
    let response = router.request("id-1", "send");
    let message = messages.recv().unwrap();
    assert_eq!(message.start_line, "POST /v1/chat/completions?x=1 HTTP/1.1");
    assert_eq!((message.header("x-request-id"), message.text().as_str()), (Some("id-1"), "hello"));
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    let first_event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one\"},\"finish_reason\":null}]}\n\n";
    assert!(
        response.is_complete
            && response.text().starts_with(first_event)
            && response.text().ends_with("data: [DONE]\n\n")
    );
    let counters = router.stop();
    let counts = [
        "requests_received",
        "attempts_sent",
        "attempts_prefill_completed",
        "attempts_completed",
        "responses_streamed",
        "client_disconnects",
    ];
    assert_eq!(counts.map(|c| counters.get(c)), [1, 2, 1, 1, 1, 0]);
}

/// Workers may need any of a request's headers, such as an idempotency key. Hop-by-hop headers are not
/// forwarded, and the deadline is rewritten.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    let ((decode, messages), prefill) = (recording_decode_worker(), Peer::prefill_worker());
    let router = start_router(&prefill, &decode);
    let headers = "idempotency-key: k-1\r\nx-other: a\r\nx-other: b\r\ncontent-type: application/json\r\n\
                connection: x-hop\r\nx-hop: c\r\nkeep-alive: timeout=5\r\nte: trailers\r\ncontent-length";
    let response =
        router.send_raw(request("id-1", "send", "hello").replace("content-length", headers).as_bytes());
    assert_eq!(response.status(), 200);
    let message = messages.recv().unwrap();
    let values =
        |name: &str| message.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str()).collect();
    let forwarded: [Vec<&str>; 7] =
        ["idempotency-key", "x-other", "content-type", "x-hop", "keep-alive", "te", "connection"].map(values);
    let expected: [&[&str]; 7] = [&["k-1"], &["a", "b"], &["application/json"], &[], &[], &[], &[]];
    assert_eq!(forwarded, expected);
    let deadlines: Vec<&str> = values("x-deadline");
    assert!(
        deadlines.len() == 1 && deadlines[0].ends_with('u') && deadlines[0] != "8000000u",
        "{deadlines:?}"
    );
}

/// Guards against requests written to pooled connections that their workers have silently dropped. After one
/// stale connection the others are not reused, and a non-idempotent request is not retried on another one.
#[test]
fn after_a_stale_connection_no_pooled_connection_is_reused() {
    // A worker that answers the first request of each connection, and closes the connection on the second.
    let worker_responding_once = |respond: fn(&mut PeerConnection)| {
        let seen_peers = Mutex::new(std::collections::HashSet::new());
        Peer::start(move |message, conn| {
            // There is no peer address if the router has already closed the connection.
            let Ok(peer) = conn.stream.peer_addr() else { return false };
            let is_first = seen_peers.lock().unwrap().insert(peer);
            if message.start_line.starts_with("DELETE") {
                conn.respond("204 No Content", "", "");
            } else if is_first {
                respond(conn);
            }
            is_first
        })
    };
    let prefill = worker_responding_once(|conn| conn.respond("202 Accepted", "", r#"{"cached_tokens":4}"#));
    let decode = worker_responding_once(|conn| {
        conn.begin_stream();
        conn.send_delta("one");
        conn.end_stream();
    });
    let router = start_router(&prefill, &decode);
    for i in 0..10 {
        assert_eq!(router.request(&format!("id-{i}"), "send").status(), 200, "request {i}");
        // A connection is reused only after a wait in which no bytes followed the last response.
        std::thread::sleep(2 * llm_router::net::upstream::pool::REUSE_DELAY);
    }
    assert_eq!(router.stop().get("stale_connections"), 1);
}

#[rstest]
#[case::unreachable("")]
#[case::rejected("503 Service Unavailable")]
fn a_non_idempotent_request_that_had_no_effect_is_retried_at_another_decode_worker(
    #[case] status: &'static str,
) {
    let rejecting = Peer::start(move |_, conn| {
        conn.respond(status, "x-not-run: 1\r\n", "");
        true
    });
    let (decode, prefill) = (decode_worker(), Peer::prefill_worker());
    let first = if status.is_empty() { Peer::refusing_address() } else { rejecting.address };
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[first, decode.address], ""));
    for i in 0..8 {
        assert_eq!(router.request(&format!("id-{i}"), "send").status(), 200);
    }
}

/// Guards against a late release: sent while the second prefill attempt is in flight, it would release that
/// attempt's cache, and the decode worker would not find it.
#[test]
fn the_cache_of_a_failed_prefill_is_released_before_the_next_attempt() {
    let attempts = AtomicU32::new(0);
    let (prefill, lines) = recording_peer(move |_, conn| {
        if attempts.fetch_add(1, Ordering::SeqCst) == 0 {
            return false;
        }
        conn.respond("202 Accepted", "", r#"{"cached_tokens":0}"#);
        true
    });
    // This worker accepts no release, so the release has to go to the prefill worker.
    let decode = Peer::start(decode_worker_without_release);
    let router = start_router(&prefill, &decode);
    assert_eq!(router.request("id-1", "send").status(), 200);
    let lines: Vec<String> = lines.try_iter().collect();
    let expected = ["POST /v1/chat", "DELETE /internal/reservations/id-1", "POST /v1/chat"];
    assert!(lines.len() == 3 && lines.iter().zip(expected).all(|(l, e)| l.starts_with(e)), "{lines:?}");
}

/// Guards against accepting a request whose id belongs to a response that is still being streamed: other
/// clients may choose the same id.
#[test]
fn an_id_is_active_until_its_stream_has_ended() {
    let (decode, prefill) = (GatedDecodeWorker::start(), Peer::prefill_worker());
    let router = start_router(&prefill, &decode.peer);
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    decode.wait_for_stream();
    // The response head has been received: the request has its final response, which is still being
    // streamed.
    client.fill_buf().unwrap();
    assert_eq!(router.request("id-1", "send").status(), 409);
    let _decode = decode.open_gate();
    assert!(Message::read(&mut client).unwrap().is_complete);
    while router.request("id-1", "send").status() == 409 {}
    assert_eq!(router.stop().get("requests_received"), 2);
}

/// Guards against a request that runs twice because its id comes again after its client has left.
#[rstest]
fn an_id_that_its_client_left_at_a_worker_is_not_run_again(
    #[values("send", "explain")] class: &str,
    #[values(HangingWorker::start(), HangingWorker::start_streaming())] decode: HangingWorker,
) {
    let prefill = Peer::prefill_worker();
    let router = start_router(&prefill, &decode.peer);
    let mut client = router.connect();
    client.write_all(request("id-1", class, "hello").as_bytes()).unwrap();
    decode.wait_for_request();
    drop(client);
    assert!(decode.router_closed_connection());
    assert_eq!(router.request("id-1", class).status(), 409);
    assert_eq!(decode.requests_received(), 1);
}

/// Guards against an id that is refused although no worker has received it.
#[test]
fn an_id_that_reached_no_worker_may_be_used_again() {
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    drop(client);
    // The first request is active until its attempts have failed.
    let mut statuses = (0..100).map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        router.request("id-1", "send").status()
    });
    assert_eq!(statuses.find(|status| *status != 409), Some(503));
}

#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled_and_its_cache_released() {
    // A release may go to either worker of a request, so one worker has both roles here.
    let worker = HangingWorker::start();
    let router = start_router(&worker.peer, &worker.peer);
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    worker.wait_for_request();
    client.shutdown(Shutdown::Both).unwrap();
    assert!(worker.router_closed_connection());
    assert!(worker.wait_for_request_line("DELETE /internal/reservations/id-1"));
}

/// A half-closed connection can't be distinguished from a disconnect: the request gets no further attempt,
/// and the client is told at once whether a retry is safe.
#[rstest]
#[case::idempotent("explain", 503)]
#[case::non_idempotent("send", 502)]
fn a_client_that_half_closes_gets_the_outcome_of_its_request(#[case] class: &str, #[case] status: u16) {
    let worker = HangingWorker::start();
    let router = start_router(&worker.peer, &worker.peer);
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", class, "hello").as_bytes()).unwrap();
    worker.wait_for_request();
    client.get_mut().shutdown(Shutdown::Write).unwrap();
    let response = Message::read(&mut client).unwrap();
    assert_eq!((response.status(), response.header("connection")), (status, Some("close")));
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert_eq!(router.stop().get("client_disconnects"), 1);
    assert_eq!(worker.requests_received(), 1);
}

/// Guards against work for a disconnected client: if the close is detected only after the pipelined requests
/// ahead of it have been read, they are all forwarded one after another.
#[test]
fn a_disconnect_behind_pipelined_requests_is_detected_at_once_and_cancels_them_all() {
    let worker = HangingWorker::start();
    let router = start_router(&worker.peer, &worker.peer);
    let mut client = router.connect();
    let pipelined = ["id-1", "id-2", "id-3"].map(|id| request(id, "send", "hello")).concat();
    client.write_all(pipelined.as_bytes()).unwrap();
    worker.wait_for_request();
    client.shutdown(Shutdown::Both).unwrap();
    assert!(worker.router_closed_connection());
    let counters = router.stop();
    assert_eq!(
        ["requests_received", "attempts_sent", "client_disconnects"].map(|c| counters.get(c)),
        [1, 1, 1]
    );
    assert_eq!(worker.requests_received(), 1);
}

/// Guards against delayed rejections: a request that the policy gives up is rejected at once, with
/// `Retry-After`.
#[test]
fn a_request_without_a_worker_is_rejected_with_retry_after_long_before_its_deadline() {
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    let response = router.request("id-1", "send");
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=2.0).contains(&retry_after), "{retry_after}");
}

#[rstest]
#[case::invalid_toml("listen = ", "line 1")]
#[case::missing_settings("listen = \"127.0.0.1:0\"", "settings")]
#[case::incomplete_settings("listen = \"127.0.0.1:0\"\n[settings]\nmy_zone = \"z\"", "classes.count")]
fn an_invalid_configuration_ends_the_process_with_a_one_line_error(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let file =
        std::env::temp_dir().join(format!("llm-router-broken-{}-{}.toml", std::process::id(), text.len()));
    std::fs::write(&file, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_llm-router")).arg("serve").arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && error.lines().count() == 1 && error.contains(expected), "{error}");
}
