//! Clients that send what no client should: each gets an error or a close, nothing of it reaches a worker that should
//! not, and the others are served meanwhile.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::Shutdown;
use std::sync::{Mutex, mpsc};
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
    let ((worker, told), reader) = (worker(), Peer::reader());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[worker.address], ""));
    for how in [Shutdown::Write, Shutdown::Both] {
        let mut client = conductor.connect();
        client.write_all(half.replace("{HEAD}", HEAD).as_bytes()).unwrap();
        client.shutdown(how).unwrap();
        // An error or nothing, and a close.
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    assert_eq!(conductor.ask("id-1", "send").status(), 200);
    assert_eq!(conductor.stop().get("taken"), 1);
    assert_eq!(told.try_iter().collect::<Vec<_>>(), ["id-1"]);
}

#[rstest]
#[case::one_line_without_end("x-long: ", "a")]
#[case::lines_without_end("", "x-many: a\r\n")]
fn an_endless_head_gets_an_error_and_a_close(#[case] first: &str, #[case] again: &str) {
    let conductor = Conductor::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    let mut client = conductor.connect();
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
    assert_eq!(conductor.stop().get("taken"), 0);
}

/// Many commands at once on one connection are answered one after another, each once.
#[test]
fn many_commands_at_once_are_each_answered_once() {
    const COMMANDS: usize = 100;
    let ((worker, told), reader) = (worker(), Peer::reader());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[worker.address], ""));
    let mut client = BufReader::new(conductor.connect());
    let all: String = (0..COMMANDS).map(|i| request(&format!("id-{i}"), "send", "hello")).collect();
    let mut sending = client.get_ref().try_clone().unwrap();
    let sent = std::thread::spawn(move || sending.write_all(all.as_bytes()).unwrap());
    assert_eq!(statuses(&mut client, COMMANDS), [200; COMMANDS]);
    sent.join().unwrap();
    assert_eq!(conductor.stop().get("ended_served"), COMMANDS as u64);
    let wanted: Vec<String> = (0..COMMANDS).map(|i| format!("id-{i}")).collect();
    assert_eq!(told.try_iter().collect::<Vec<_>>(), wanted);
}

/// A flood of requests is served or refused, and none is left without an answer.
#[test]
fn a_flood_of_requests_is_answered_and_takes_no_more_than_the_descriptors() {
    const CLIENTS: usize = 300;
    let ((worker, _told), reader) = (worker(), Peer::reader());
    let file =
        operator_file(&[reader.address], &[worker.address], "limits = { sockets = 256, memory_mb = 64 }");
    let conductor = Conductor::start_within(256, &file);
    let ask = |i| {
        let mut client = conductor.connect();
        let _ = client.write_all(request(&format!("id-{i}"), "explain", "hello").as_bytes());
        BufReader::new(client)
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(ask).collect();
    let answers: Vec<u16> =
        clients.iter_mut().map(|client| Message::read(client).map_or(0, |answer| answer.status())).collect();
    assert!(answers.iter().all(|status| [0, 200, 408, 503].contains(status)), "{answers:?}");
    assert!(answers.iter().filter(|status| **status == 200).count() > CLIENTS / 4, "{answers:?}");
    drop(clients);
    while conductor.ask("id-last", "send").status() != 200 {}
}
