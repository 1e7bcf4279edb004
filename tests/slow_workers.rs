//! Workers that read requests and write responses slowly.

mod support;

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The time that clients wait for the start of a response, and the rule's slack for a final response.
const DEADLINE: Duration = Duration::from_millis(1_500);
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

fn request_with_deadline(class: &str, body: &str) -> String {
    request("id-1", class, body).replace("8000m", &format!("{}m", DEADLINE.as_millis()))
}

/// Guards against an answer that is cut off while its worker still writes it, in pieces of a few bytes and for much
/// longer than the deadline of its request.
#[rstest]
fn an_answer_that_is_written_slowly_is_completed(#[values(3, 40)] piece_bytes: usize) {
    const ANSWER_TIME: Duration = Duration::from_secs(10);
    let delta = "data: {\"choices\":[{\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n";
    let events = format!("{}data: [DONE]\n\n", delta.repeat(8));
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        let body = format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
        let pieces: Vec<&[u8]> = body.as_bytes().chunks(piece_bytes).collect();
        for piece in &pieces {
            let _ = conn.stream.write_all(piece);
            thread::sleep(ANSWER_TIME / pieces.len() as u32);
        }
        true
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let response = router.send_raw(request_with_deadline("send", "hello").as_bytes());
    assert_eq!((response.status(), response.is_complete), (200, true));
    assert_eq!(response.text().matches("word ").count(), 8);
}

/// Starts a worker that reads each request in small parts with pauses, and never responds.
fn slowly_reading_worker() -> SocketAddr {
    const READ_BYTES: usize = 1024;
    const READ_INTERVAL: Duration = Duration::from_millis(50);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * READ_BYTES).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.listen(64).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let read_slowly = |mut stream: TcpStream| {
        while matches!(stream.read(&mut [0; READ_BYTES]), Ok(1..)) {
            thread::sleep(READ_INTERVAL);
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || read_slowly(stream));
        }
    });
    address
}

/// Guards against a final response that comes late because a worker has not read the request yet.
#[rstest]
fn a_worker_that_reads_slowly_does_not_delay_the_final_response(
    #[values("send", "explain")] class: &str,
    #[values(true, false)] is_prefill: bool,
    #[values(20_000, 250_000)] body_bytes: usize,
) {
    let (slow, prefill) = (slowly_reading_worker(), Peer::prefill_worker());
    let prefill_address = if is_prefill { slow } else { prefill.address };
    let router = RouterProcess::start(&operator_file(&[prefill_address], &[slow], ""));
    let started = Instant::now();
    let response = router.send_raw(request_with_deadline(class, &"x".repeat(body_bytes)).as_bytes());
    let elapsed = started.elapsed();
    assert!(matches!(response.status(), 502 | 503), "status {}", response.status());
    assert!(elapsed <= DEADLINE + RESPONSE_SLACK, "answered after {elapsed:?}");
}
