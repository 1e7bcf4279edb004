//! Clients that send what no client should: each gets an error or a close, nothing of it reaches a worker that should
//! not, and the others are served meanwhile.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, mpsc};
use std::time::Duration;
use support::*;

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\n\
                    x-deadline: 1000m\r\n";

/// A worker that reads and writes whatever it is sent, and notes the id.
fn worker() -> (Peer, mpsc::Receiver<String>) {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let peer = Peer::start(move |message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        tell.lock().unwrap().send(message.header("x-request-id").unwrap_or_default().to_owned()).unwrap();
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    });
    (peer, told)
}

fn statuses(client: &mut BufReader<std::net::TcpStream>, answers: usize) -> Vec<u16> {
    (0..answers).map_while(|_| Message::read(client)).map(|answer| answer.status()).collect()
}

#[rstest]
#[case::in_the_first_line("POST /v1/chat")]
#[case::in_the_head(HEAD)]
#[case::in_the_body("{HEAD}content-length: 900\r\n\r\nhalf")]
#[case::in_a_chunk("{HEAD}transfer-encoding: chunked\r\n\r\nfff\r\nhalf")]
fn half_a_request_followed_by_a_close_reaches_nobody(#[case] half: &str) {
    let ((worker, told), reader) = (worker(), Peer::prefill_worker());
    let router = RouterProcess::start(&operator_file(&[reader.address], &[worker.address], ""));
    for how in [Shutdown::Write, Shutdown::Both] {
        let mut client = router.connect();
        client.write_all(half.replace("{HEAD}", HEAD).as_bytes()).unwrap();
        client.shutdown(how).unwrap();
        // An error or nothing, and a close.
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(router.stop().get("requests_received"), 1);
    assert_eq!(told.try_iter().collect::<Vec<_>>(), ["id-1"]);
}

#[rstest]
#[case::one_line_without_end("x-long: ", "a")]
#[case::lines_without_end("", "x-many: a\r\n")]
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
    assert!(!sent.join().unwrap(), "all of it was taken");
    assert_eq!(router.stop().get("requests_received"), 0);
}

/// Many commands at once on one connection are answered one after another, each once.
#[test]
fn many_commands_at_once_are_each_answered_once() {
    const COMMANDS: usize = 100;
    let ((worker, told), reader) = (worker(), Peer::prefill_worker());
    let router = RouterProcess::start(&operator_file(&[reader.address], &[worker.address], ""));
    let mut client = BufReader::new(router.connect());
    let all: String = (0..COMMANDS).map(|i| request(&format!("id-{i}"), "send", "hello")).collect();
    let mut sending = client.get_ref().try_clone().unwrap();
    let sent = std::thread::spawn(move || sending.write_all(all.as_bytes()).unwrap());
    assert_eq!(statuses(&mut client, COMMANDS), [200; COMMANDS]);
    sent.join().unwrap();
    assert_eq!(router.stop().get("attempts_completed"), COMMANDS as u64);
    let wanted: Vec<String> = (0..COMMANDS).map(|i| format!("id-{i}")).collect();
    assert_eq!(told.try_iter().collect::<Vec<_>>(), wanted);
}

/// A flood of requests is served or refused, and none is left without an answer.
#[test]
fn a_flood_of_requests_is_answered_and_takes_no_more_than_the_descriptors() {
    const CLIENTS: usize = 300;
    let ((worker, _told), reader) = (worker(), Peer::prefill_worker());
    let file =
        operator_file(&[reader.address], &[worker.address], "limits = { sockets = 256, memory_mb = 64 }");
    let router = RouterProcess::start_within(256, &file);
    let ask = |i| {
        let mut client = router.connect();
        let _ = client.write_all(request(&format!("id-{i}"), "explain", "hello").as_bytes());
        BufReader::new(client)
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(ask).collect();
    let answers: Vec<u16> =
        clients.iter_mut().map(|client| Message::read(client).map_or(0, |answer| answer.status())).collect();
    assert!(answers.iter().all(|status| [0, 200, 408, 503].contains(status)), "{answers:?}");
    assert!(answers.iter().filter(|status| **status == 200).count() > CLIENTS / 4, "{answers:?}");
    drop(clients);
    while router.request("id-last", "send").status() != 200 {}
}

#[rstest]
#[case::path("POST /v1/other HTTP/1.1\r\nhost: a\r\n\r\n", 404)]
#[case::method("GET /v1/chat/completions HTTP/1.1\r\nhost: a\r\n\r\n", 405)]
#[case::no_id(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-class: send\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::odd_id(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a/../b\r\nx-class: send\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::class(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: nope\r\nx-deadline: 1m\r\n\r\n",
    400
)]
#[case::no_unit(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 100\r\n\r\n",
    400
)]
#[case::negative(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: -1m\r\n\r\n",
    400
)]
#[case::overflow(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 99999999999999999999m\r\n\r\n",
    400
)]
#[case::extras(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1m\r\nx-extras: prompt_len=-4\r\n\r\n",
    400
)]
#[case::too_long(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1m\r\ncontent-length: 262145\r\n\r\n",
    413
)]
#[case::framing("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", 400)]
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
#[case::too_short_a_length(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 5\r\n\r\nhello, all of you",
    400
)]
fn bad_input_is_a_plain_4xx_and_is_never_forwarded(#[case] bytes: &str, #[case] status: u16) {
    let (peer, told) = recording_peer(|_, _| false);
    let router = RouterProcess::start(&operator_file(&[peer.address], &[peer.address], ""));
    assert_eq!(router.raw(bytes.as_bytes()).status(), status);
    // What stands behind such a request, or in its body, may be answered with a 4xx of its own.
    assert!((1..=2).contains(&router.stop().get("requests_malformed")));
    assert_eq!(told.try_iter().count(), 0);
}

/// Guards against places held by clients that connect by the hundred and say nothing, or never all: others are
/// served meanwhile, and nothing runs out.
#[rstest]
#[case::silent("")]
#[case::half_a_request("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")]
fn clients_that_hold_places_make_room_for_others(#[case] bytes: &str) {
    let (reader, writer) = (Peer::prefill_worker(), decode_worker());
    let file =
        operator_file(&[reader.address], &[writer.address], "limits = { sockets = 256, memory_mb = 64 }");
    let router = RouterProcess::start(&file);
    let hold = |_| {
        let mut client = router.connect();
        let _ = client.write_all(bytes.as_bytes());
        client
    };
    let holding: Vec<_> = (0..300).map(hold).collect();
    let mut tries = 0;
    while router.request(&format!("id-{tries}"), "send").status() != 200 {
        tries += 1;
    }
    drop(holding);
    assert!(router.stop().get("connections_evicted") >= 1);
}

/// Guards against connections held for good: what doesn't come whole in time is told so, however it dawdles.
#[rstest]
#[case::nothing("", 0)]
#[case::half_a_head("POST /v1/chat/completions HTTP/1.1\r\nhost:", 408)]
#[case::half_a_body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ncontent-length: 900\r\n\r\nhalf",
    408
)]
#[case::a_chunk_without_end(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\ntransfer-encoding: chunked\r\n\r\nfff\r\n",
    408
)]
fn what_does_not_come_whole_is_closed_though_it_drips(#[case] bytes: &str, #[case] status: u16) {
    let (peer, told) = recording_peer(|_, _| false);
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
    assert_eq!(told.try_iter().count(), 0);
}

/// Guards against an answer lost to the reset of a socket closed over unread bytes, and against reading on for as
/// long as a client sends.
#[test]
fn a_body_far_too_long_is_told_so_and_is_not_read_to_its_end() {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    let mut client = router.connect();
    let mut sending = client.try_clone().unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: a\r\nx-class: send\r\nx-deadline: 1000m\r\n";
    let sent = std::thread::spawn(move || {
        let begun = sending.write_all(format!("{head}content-length: 60000000\r\n\r\n").as_bytes());
        begun.is_ok() && (0..60).all(|_| sending.write_all(&[b'a'; 1_000_000]).is_ok())
    });
    let answer = Message::read(&mut BufReader::new(&mut client)).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (413, Some("close")));
    assert!(!sent.join().unwrap());
}

/// Guards against newcomers that the system turned away: its queue held 128 connections, and whoever came behind them, in a
/// burst or while the process was held up, tried again a second later.
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
