//! Misbehaving clients: each gets an error or a close, none of what they send reaches a worker, and other clients are
//! served meanwhile.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, mpsc};
use std::time::Duration;
use support::*;

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
                    x-deadline: 1000m\r\n";

/// A worker that answers every request with a stream, and records the id of each.
fn id_recording_worker() -> (Peer, mpsc::Receiver<String>) {
    let (record_id, ids) = mpsc::channel();
    let record_id = Mutex::new(record_id);
    let peer = Peer::start(move |message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        record_id
            .lock()
            .unwrap()
            .send(message.header("x-request-id").unwrap_or_default().to_owned())
            .unwrap();
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    });
    (peer, ids)
}

fn statuses(client: &mut BufReader<std::net::TcpStream>, answers: usize) -> Vec<u16> {
    (0..answers).map_while(|_| Message::read(client)).map(|answer| answer.status()).collect()
}

#[rstest]
#[case::in_the_first_line("POST /v1/chat")]
#[case::in_the_head(HEAD)]
#[case::in_the_body("{HEAD}content-length: 900\r\n\r\nhalf")]
#[case::in_a_chunk("{HEAD}transfer-encoding: chunked\r\n\r\nfff\r\nhalf")]
fn half_a_request_followed_by_a_close_reaches_no_worker(#[case] half: &str) {
    let ((decode_worker, ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let router =
        RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""));
    for how in [Shutdown::Write, Shutdown::Both] {
        let mut client = router.connect();
        client.write_all(half.replace("{HEAD}", HEAD).as_bytes()).unwrap();
        client.shutdown(how).unwrap();
        // Nothing or an error, and then a close.
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(router.stop().get("requests_received"), 1);
    assert_eq!(ids.try_iter().collect::<Vec<_>>(), ["id-1"]);
}

#[rstest]
#[case::endless_line("x-long: ", "a")]
#[case::endless_lines("", "x-many: a\r\n")]
fn an_endless_head_gets_an_error_and_a_close(#[case] first: &str, #[case] again: &str) {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    let mut client = router.connect();
    let mut sending = client.try_clone().unwrap();
    let head = format!("{HEAD}{first}");
    let part = again.repeat(4096);
    let sent = std::thread::spawn(move || {
        sending.write_all(head.as_bytes()).is_ok()
            && (0..2000).all(|_| sending.write_all(part.as_bytes()).is_ok())
    });
    let answer = Message::read(&mut BufReader::new(&mut client)).unwrap_or_default();
    assert!(answer.status() == 0 || (400..500).contains(&answer.status()), "{}", answer.line);
    drop(client);
    assert!(!sent.join().unwrap(), "the whole head was read");
    assert_eq!(router.stop().get("requests_received"), 0);
}

/// Many pipelined requests on one connection are answered in order, each once.
#[test]
fn many_pipelined_requests_are_each_answered_once() {
    const REQUESTS: usize = 100;
    let ((decode_worker, ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let router =
        RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""));
    let mut client = BufReader::new(router.connect());
    let all: String = (0..REQUESTS).map(|i| request(&format!("id-{i}"), "send", "hello")).collect();
    let mut sending = client.get_ref().try_clone().unwrap();
    let sent = std::thread::spawn(move || sending.write_all(all.as_bytes()).unwrap());
    assert_eq!(statuses(&mut client, REQUESTS), [200; REQUESTS]);
    sent.join().unwrap();
    assert_eq!(router.stop().get("attempts_completed"), REQUESTS as u64);
    let expected: Vec<String> = (0..REQUESTS).map(|i| format!("id-{i}")).collect();
    assert_eq!(ids.try_iter().collect::<Vec<_>>(), expected);
}

/// Every request of a flood is served or rejected; none is left without a response.
#[test]
fn a_flood_of_requests_is_answered_within_the_limit_on_descriptors() {
    const CLIENTS: usize = 300;
    let ((decode_worker, _ids), prefill_worker) = (id_recording_worker(), Peer::prefill_worker());
    let file = operator_file(
        &[prefill_worker.address],
        &[decode_worker.address],
        "limits = { sockets = 256, memory_mb = 64 }",
    );
    let router = RouterProcess::start_within(256, &file);
    let send = |i| {
        let mut client = router.connect();
        let _ = client.write_all(request(&format!("id-{i}"), "explain", "hello").as_bytes());
        BufReader::new(client)
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(send).collect();
    let answers: Vec<u16> =
        clients.iter_mut().map(|client| Message::read(client).map_or(0, |answer| answer.status())).collect();
    assert!(answers.iter().all(|status| [0, 200, 408, 503].contains(status)), "{answers:?}");
    assert!(answers.iter().filter(|status| **status == 200).count() > CLIENTS / 4, "{answers:?}");
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
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a/../b\r\nx-class: send\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::unknown_class(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: nope\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::deadline_without_unit(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 100\r\n\r\n",
    400
)]
#[case::negative_deadline(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: -1m\r\n\r\n",
    400
)]
#[case::deadline_overflow(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 99999999999999999999m\r\n\r\n",
    400
)]
#[case::malformed_extras(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1m\r\nx-extras: prompt_len=-4\r\n\r\n",
    400
)]
#[case::body_too_long(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1m\r\ncontent-length: 262145\r\n\r\n",
    413
)]
#[case::malformed_length("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", 400)]
#[case::not_http("\u{16}\u{3}\u{1}\r\n\r\n", 400)]
#[case::bad_chunk(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1m\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    400
)]
#[case::length_then_coding(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    400
)]
#[case::coding_then_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
    400
)]
#[case::other_coding(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ntransfer-encoding: gzip\r\n\r\nhello",
    400
)]
#[case::negative_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: -5\r\n\r\nhello",
    400
)]
#[case::length_too_short(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 5\r\n\r\nhello, all of you",
    400
)]
fn bad_input_is_a_plain_4xx_and_is_never_forwarded(#[case] bytes: &str, #[case] status: u16) {
    let (peer, messages) = recording_peer(|_, _| false);
    let router = RouterProcess::start(&operator_file(&[peer.address], &[peer.address], ""));
    assert_eq!(router.raw(bytes.as_bytes()).status(), status);
    // The bytes behind such a request, or in its body, may be answered with a 4xx of their own.
    assert!((1..=2).contains(&router.stop().get("requests_malformed")));
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against connections taken by hundreds of clients that send nothing, or never a complete request: others are
/// served meanwhile, and no descriptors run out.
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

/// Guards against connections held open for good: a request that does not arrive completely in time is answered with a
/// timeout, even if bytes keep dripping in.
#[rstest]
#[case::nothing("", 0)]
#[case::half_a_head("POST /v1/chat/completions HTTP/1.1\r\nhost:", 408)]
#[case::half_a_body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 900\r\n\r\nhalf",
    408
)]
#[case::an_unfinished_chunk(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ntransfer-encoding: chunked\r\n\r\nfff\r\n",
    408
)]
fn a_request_that_does_not_arrive_in_time_is_closed_though_bytes_drip_in(
    #[case] bytes: &str,
    #[case] status: u16,
) {
    let (peer, messages) = recording_peer(|_, _| false);
    let router = RouterProcess::start(&operator_file(&[peer.address], &[peer.address], ""));
    let mut client = router.connect();
    client.write_all(bytes.as_bytes()).unwrap();
    if status != 0 {
        let mut dripping = client.try_clone().unwrap();
        std::thread::spawn(move || {
            while dripping.write_all(b"x").is_ok() {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        });
    }
    let answer = Message::read(&mut BufReader::new(client)).unwrap_or_default();
    assert_eq!(answer.status(), status);
    drop(router);
    assert_eq!(messages.try_iter().count(), 0);
}

/// Guards against a response lost to the reset of a socket that is closed over unread bytes, and against reading for
/// as long as a client sends.
#[test]
fn a_body_that_is_far_too_long_is_rejected_and_not_read_to_its_end() {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    let mut client = router.connect();
    let mut sending = client.try_clone().unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\n";
    let sent = std::thread::spawn(move || {
        let started = sending.write_all(format!("{head}content-length: 60000000\r\n\r\n").as_bytes());
        started.is_ok() && (0..60).all(|_| sending.write_all(&[b'a'; 1_000_000]).is_ok())
    });
    let answer = Message::read(&mut BufReader::new(&mut client)).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (413, Some("close")));
    assert!(!sent.join().unwrap());
}

/// Guards against new connections that the system dropped: its queue held 128, and clients beyond them, in a burst or
/// while the process was suspended, retried a second later.
#[test]
fn a_burst_of_connections_waits_in_the_systems_queue() {
    const BURST: usize = 400;
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    router.signal("-STOP");
    let connect = |_| TcpStream::connect_timeout(&router.address, Duration::from_millis(500));
    let connected: Vec<_> = (0..BURST).map(connect).take_while(Result::is_ok).collect();
    router.signal("-CONT");
    assert_eq!(connected.len(), BURST);
}
