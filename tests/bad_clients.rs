//! Misbehaving clients: each gets an error or a close, nothing that they send reaches a worker, and other
//! clients are served meanwhile.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, mpsc};
use std::time::Duration;
use support::*;

/// The head of a valid request, without the framing fields and the final blank line.
const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
                    x-deadline: 1000m\r\n";

/// A worker that answers every request with a stream and records its id.
fn id_recording_worker() -> (Peer, mpsc::Receiver<String>) {
    let (record_id, ids) = mpsc::channel();
    let record_id = Mutex::new(record_id);
    let peer = Peer::start(move |message, conn| {
        if message.start_line.starts_with("DELETE") {
            conn.respond("204 No Content", "", "");
            return true;
        }
        record_id
            .lock()
            .unwrap()
            .send(message.header("x-request-id").unwrap_or_default().to_owned())
            .unwrap();
        conn.begin_stream();
        conn.send_delta("one");
        conn.end_stream();
        true
    });
    (peer, ids)
}

/// Reads this many responses, or fewer if the connection ends before. Returns their statuses.
fn read_statuses(client: &mut BufReader<TcpStream>, responses: usize) -> Vec<u16> {
    (0..responses).map_while(|_| Message::read(client)).map(|response| response.status()).collect()
}

#[rstest]
#[case::in_the_request_line("POST /v1/chat")]
#[case::in_the_head(HEAD)]
#[case::in_the_body("{HEAD}content-length: 900\r\n\r\nhalf")]
#[case::in_a_chunk("{HEAD}transfer-encoding: chunked\r\n\r\nfff\r\nhalf")]
fn half_a_request_followed_by_a_close_reaches_no_worker(#[case] half_request: &str) {
    let ((decode_worker, ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let router =
        RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""));
    for shutdown in [Shutdown::Write, Shutdown::Both] {
        let mut client = router.connect();
        client.write_all(half_request.replace("{HEAD}", HEAD).as_bytes()).unwrap();
        client.shutdown(shutdown).unwrap();
        // The client gets a close, possibly after an error response.
        let mut response = Vec::new();
        let _ = client.read_to_end(&mut response);
        let response = String::from_utf8_lossy(&response);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{response}");
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(router.stop().get("requests_received"), 1);
    assert_eq!(ids.try_iter().collect::<Vec<_>>(), ["id-1"]);
}

#[rstest]
#[case::endless_line("x-long: ", "a")]
#[case::endless_lines("", "x-many: a\r\n")]
fn an_endless_head_gets_an_error_and_a_close(#[case] line_start: &str, #[case] repeated: &str) {
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    let mut client = router.connect();
    let mut sender = client.try_clone().unwrap();
    let head = format!("{HEAD}{line_start}");
    let part = repeated.repeat(4096);
    let sent_completely = std::thread::spawn(move || {
        sender.write_all(head.as_bytes()).is_ok()
            && (0..2000).all(|_| sender.write_all(part.as_bytes()).is_ok())
    });
    let response = Message::read(&mut BufReader::new(&mut client)).unwrap_or_default();
    assert!(response.status() == 0 || (400..500).contains(&response.status()), "{}", response.start_line);
    drop(client);
    assert!(!sent_completely.join().unwrap(), "the whole head was read");
    assert_eq!(router.stop().get("requests_received"), 0);
}

/// Pipelined requests on one connection are answered in order, each once.
#[test]
fn many_pipelined_requests_are_each_answered_once() {
    const REQUESTS: usize = 100;
    let ((decode_worker, ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let router =
        RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""));
    let mut client = BufReader::new(router.connect());
    let pipelined: String = (0..REQUESTS).map(|i| request(&format!("id-{i}"), "send", "hello")).collect();
    let mut sender = client.get_ref().try_clone().unwrap();
    let sending = std::thread::spawn(move || sender.write_all(pipelined.as_bytes()).unwrap());
    assert_eq!(read_statuses(&mut client, REQUESTS), [200; REQUESTS]);
    sending.join().unwrap();
    assert_eq!(router.stop().get("attempts_completed"), REQUESTS as u64);
    let expected: Vec<String> = (0..REQUESTS).map(|i| format!("id-{i}")).collect();
    assert_eq!(ids.try_iter().collect::<Vec<_>>(), expected);
}

/// Every request of a flood is served, rejected or closed within the file descriptor limit, and at least a
/// quarter of them are served.
#[test]
fn a_flood_of_requests_is_answered_within_the_file_descriptor_limit() {
    const CLIENTS: usize = 300;
    let ((decode_worker, _ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let file = operator_file(
        &[prefill_worker.address],
        &[decode_worker.address],
        "limits = { sockets = 256, memory_mb = 64 }",
    );
    let router = RouterProcess::start_with_descriptor_limit(256, &file);
    let send = |i| {
        let mut client = router.connect();
        let _ = client.write_all(request(&format!("id-{i}"), "explain", "hello").as_bytes());
        BufReader::new(client)
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(send).collect();
    let read_status =
        |client: &mut BufReader<TcpStream>| Message::read(client).map_or(0, |response| response.status());
    let statuses: Vec<u16> = clients.iter_mut().map(read_status).collect();
    assert!(statuses.iter().all(|status| [0, 200, 408, 503].contains(status)), "{statuses:?}");
    assert!(statuses.iter().filter(|status| **status == 200).count() > CLIENTS / 4, "{statuses:?}");
    drop(clients);
    while router.request("id-last", "send").status() != 200 {}
}

#[rstest]
#[case::unknown_path("POST /v1/other HTTP/1.1\r\nhost: a\r\n\r\n", 404)]
#[case::wrong_method("GET /v1/chat/completions HTTP/1.1\r\nhost: a\r\n\r\n", 405)]
#[case::no_id(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-class: send\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::malformed_id(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a/../b\r\nx-class: send\r\n\
     x-deadline: 1m\r\n\r\n",
    400
)]
#[case::unknown_class(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: nope\r\n\
     x-deadline: 1m\r\n\r\n",
    400
)]
#[case::deadline_without_unit(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 100\r\n\r\n",
    400
)]
#[case::negative_deadline(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: -1m\r\n\r\n",
    400
)]
#[case::deadline_overflow(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 99999999999999999999m\r\n\r\n",
    400
)]
#[case::malformed_extras(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1m\r\nx-extras: prompt_len=-4\r\n\r\n",
    400
)]
#[case::body_too_long(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1m\r\ncontent-length: 262145\r\n\r\n",
    413
)]
#[case::malformed_length("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", 400)]
#[case::not_http("\u{16}\u{3}\u{1}\r\n\r\n", 400)]
#[case::bad_chunk(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1m\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    400
)]
#[case::length_then_coding(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    400
)]
#[case::coding_then_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
    400
)]
#[case::other_coding(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ntransfer-encoding: gzip\r\n\r\nhello",
    400
)]
#[case::negative_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ncontent-length: -5\r\n\r\nhello",
    400
)]
#[case::length_too_short(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ncontent-length: 5\r\n\r\nhello, all of you",
    400
)]
fn a_malformed_request_is_answered_with_a_4xx_and_never_forwarded(#[case] bytes: &str, #[case] status: u16) {
    let (peer, messages) = recording_peer(|_, _| false);
    let router = RouterProcess::start(&operator_file(&[peer.address], &[peer.address], ""));
    assert_eq!(router.send_raw(bytes.as_bytes()).status(), status);
    // The bytes after such a request, or in its body, may be answered with another 4xx.
    assert!((1..=2).contains(&router.stop().get("requests_malformed")));
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against hundreds of clients that occupy connections and send nothing or only incomplete requests:
/// other clients are served meanwhile, and file descriptors do not run out.
#[rstest]
#[case::silent("")]
#[case::half_a_request("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")]
fn silent_clients_and_incomplete_requests_are_evicted_for_others(#[case] bytes: &str) {
    let (prefill_worker, decode_worker) = (Peer::prefill_worker(), decode_worker());
    let file = operator_file(
        &[prefill_worker.address],
        &[decode_worker.address],
        "limits = { sockets = 256, memory_mb = 64 }",
    );
    let router = RouterProcess::start(&file);
    let open_connection = |_| {
        let mut client = router.connect();
        let _ = client.write_all(bytes.as_bytes());
        client
    };
    let held_connections: Vec<_> = (0..300).map(open_connection).collect();
    let mut attempts = 0;
    while router.request(&format!("id-{attempts}"), "send").status() != 200 {
        attempts += 1;
    }
    drop(held_connections);
    assert!(router.stop().get("connections_evicted") >= 1);
}

/// Guards against slow clients that occupy connections forever: a request that is not received completely in
/// time is answered with a 408, even if the client keeps sending single bytes. A connection without a byte is
/// closed without a response.
#[rstest]
#[case::nothing("", 0)]
#[case::half_a_head("POST /v1/chat/completions HTTP/1.1\r\nhost:", 408)]
#[case::half_a_body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ncontent-length: 900\r\n\r\nhalf",
    408
)]
#[case::an_unfinished_chunk(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
     x-deadline: 1000m\r\ntransfer-encoding: chunked\r\n\r\nfff\r\n",
    408
)]
fn a_request_not_received_in_time_times_out_despite_progress(#[case] bytes: &str, #[case] status: u16) {
    let (peer, messages) = recording_peer(|_, _| false);
    let router = RouterProcess::start(&operator_file(&[peer.address], &[peer.address], ""));
    let mut client = router.connect();
    client.write_all(bytes.as_bytes()).unwrap();
    if status != 0 {
        let mut slow_sender = client.try_clone().unwrap();
        std::thread::spawn(move || {
            while slow_sender.write_all(b"x").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
    }
    let response = Message::read(&mut BufReader::new(client)).unwrap_or_default();
    assert_eq!(response.status(), status);
    drop(router);
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against a response that is lost because the socket is closed with unread bytes, and against reading
/// for as long as the client sends.
#[test]
fn a_body_far_above_the_limit_is_rejected_and_not_read_to_its_end() {
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    let mut client = router.connect();
    let mut sender = client.try_clone().unwrap();
    let sent_completely = std::thread::spawn(move || {
        let head_sent = sender.write_all(format!("{HEAD}content-length: 60000000\r\n\r\n").as_bytes());
        head_sent.is_ok() && (0..60).all(|_| sender.write_all(&[b'a'; 1_000_000]).is_ok())
    });
    let response = Message::read(&mut BufReader::new(&mut client)).unwrap();
    assert_eq!((response.status(), response.header("connection")), (413, Some("close")));
    assert!(!sent_completely.join().unwrap());
}

/// Guards against new connections that the kernel drops: with a listen backlog of 128, the clients above it,
/// in a burst or while the process is suspended, retry a second later.
#[test]
fn a_burst_of_connections_waits_in_the_listen_backlog() {
    const BURST: usize = 400;
    let router =
        RouterProcess::start(&operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], ""));
    router.signal("-STOP");
    let connect = |_| TcpStream::connect_timeout(&router.address, Duration::from_millis(500));
    let connected: Vec<_> = (0..BURST).map(connect).take_while(Result::is_ok).collect();
    router.signal("-CONT");
    assert_eq!(connected.len(), BURST);
}
