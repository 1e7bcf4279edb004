//! Decode workers whose streams never end, though nothing more of the answer comes.

mod support;

use rstest::rstest;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// A client whose stream is not complete is lost if it waits longer after the worker's last event.
const WAIT_LIMIT: Duration = Duration::from_secs(5);
/// How long a test waits for the end of a stream.
const HANG_LIMIT: Duration = Duration::from_secs(10);
/// The time between two writes of a worker that writes slowly, and between two reads of a client that reads
/// slowly.
const PAUSE: Duration = Duration::from_millis(50);
/// The size of a write of a worker at full speed.
const WRITE_BYTES: usize = 16 * 1024;
const READ_BYTES: usize = 64 * 1024;
/// The size line of a chunk of 3 GB.
const ENDLESS_CHUNK: &str = "b2d05e00\r\n";
const EVENT_STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How fast a worker writes or a client reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speed {
    Full,
    Slow,
}

impl Speed {
    fn pause(self) {
        if self == Speed::Slow {
            thread::sleep(PAUSE);
        }
    }
}

/// What a worker sends after the first event of its answer.
#[derive(Clone)]
struct EndlessTail {
    prefix: &'static str,
    /// Sent again and again; nothing if it is empty.
    repeated: String,
    speed: Speed,
}

impl EndlessTail {
    /// Sends it until the router closes the connection.
    fn send(&self, conn: &mut PeerConnection) {
        let _ = conn.stream.write_all(self.prefix.as_bytes());
        if self.repeated.is_empty() {
            conn.wait_for_close();
            return;
        }
        let repetitions =
            if self.speed == Speed::Full { WRITE_BYTES.div_ceil(self.repeated.len()) } else { 1 };
        let bytes = self.repeated.repeat(repetitions).into_bytes();
        while conn.stream.write_all(&bytes).is_ok() {
            self.speed.pause();
        }
    }
}

/// A decode worker that sends one event of an answer and then an endless tail.
struct EndlessWorker {
    peer: Peer,
    last_event: mpsc::Receiver<Instant>,
    closed: mpsc::Receiver<Instant>,
}

impl EndlessWorker {
    fn start(head: String, tail: EndlessTail) -> EndlessWorker {
        let (last_event_sender, last_event) = mpsc::sync_channel(1);
        let (closed_sender, closed) = mpsc::sync_channel(1);
        let peer = Peer::start(move |_, conn| {
            let _ = conn.stream.write_all(head.as_bytes());
            conn.send_delta("one");
            let _ = last_event_sender.send(Instant::now());
            tail.send(conn);
            let _ = closed_sender.send(Instant::now());
            false
        });
        EndlessWorker { peer, last_event, closed }
    }
}

/// Reads until the connection ends, at most for [`HANG_LIMIT`]. Returns the last bytes.
fn read_to_end(client: &mut TcpStream, speed: Speed) -> Vec<u8> {
    let started = Instant::now();
    client.set_read_timeout(Some(HANG_LIMIT)).unwrap();
    let mut buffer = vec![0; READ_BYTES];
    let mut last_bytes = Vec::new();
    while started.elapsed() < HANG_LIMIT {
        match client.read(&mut buffer) {
            Ok(length @ 1..) => {
                let tail_start = length.saturating_sub(LAST_CHUNK.len());
                last_bytes = buffer[tail_start..length].to_vec();
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => break,
        }
        speed.pause();
    }
    last_bytes
}

/// Plays a stream with this tail. Returns how long after the last event of the answer the client's and the
/// worker's connection ended.
fn play(tail: EndlessTail, client_speed: Speed) -> (Duration, Duration) {
    play_with_head(EVENT_STREAM_HEAD.to_owned(), tail, client_speed)
}

/// The same, for a response with this head.
fn play_with_head(head: String, tail: EndlessTail, client_speed: Speed) -> (Duration, Duration) {
    let (prefill, decode) = (Peer::prefill_worker(), EndlessWorker::start(head, tail));
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.peer.address], ""));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    let last_event = decode.last_event.recv().unwrap();
    let last_bytes = read_to_end(&mut client, client_speed);
    let client_wait = last_event.elapsed();
    assert_ne!(last_bytes, LAST_CHUNK, "a stream without its end marker was passed on as complete");
    drop(client);
    let worker_wait = decode.closed.recv_timeout(HANG_LIMIT).unwrap() - last_event;
    (client_wait, worker_wait)
}

/// Guards against a client that is left waiting on a stream whose worker sends something, but nothing more of
/// the answer.
#[rstest]
#[case::silence("", "")]
#[case::blank_lines("", "2\r\n\n\n\r\n")]
#[case::blank_lines_in_an_endless_chunk(ENDLESS_CHUNK, "\n")]
#[case::comments("", "8\r\n: ping\n\n\r\n")]
#[case::comments_in_an_endless_chunk(ENDLESS_CHUNK, ": ping\n\n")]
#[case::blocks_without_data("", "d\r\nevent: ping\n\n\r\n")]
#[case::events_without_data("", "7\r\ndata:\n\n\r\n")]
#[case::events_without_data_in_an_endless_chunk(ENDLESS_CHUNK, "data: \n\n")]
#[case::events_of_another_format("", "e\r\ndata: <ping>\n\n\r\n")]
#[case::events_without_choices("", "16\r\ndata: {\"choices\":[]}\n\n\r\n")]
#[case::events_without_output(
    ENDLESS_CHUNK,
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"}}]}\n\n"
)]
#[case::a_line_that_does_not_end(ENDLESS_CHUNK, "x")]
#[case::an_event_that_does_not_end("7\r\ndata: {\r\n", "1\r\n \r\n")]
#[case::lines_of_an_event_that_does_not_end("", "8\r\ndata: x\n\r\n")]
#[case::trailers("0\r\n", "data: x\r\n")]
#[case::a_chunk_size("", "0")]
#[case::a_chunk_extension("5;", "a")]
#[case::silence_after_the_end_marker("e\r\ndata: [DONE]\n\n\r\n", "")]
#[case::end_markers("", "e\r\ndata: [DONE]\n\n\r\n")]
fn a_stream_without_further_output_ends_in_time(
    #[case] prefix: &'static str,
    #[case] repeated: &str,
    #[values(Speed::Full, Speed::Slow)] speed: Speed,
) {
    let tail = EndlessTail { prefix, repeated: repeated.to_owned(), speed };
    let (client_wait, worker_wait) = play(tail, Speed::Full);
    assert!(client_wait <= WAIT_LIMIT, "the client waited for {client_wait:?}");
    assert!(worker_wait <= WAIT_LIMIT, "the worker's connection stayed open for {worker_wait:?}");
}

/// Guards against a flood whose transfer to a slow client counts as time in which the worker can't send.
#[rstest]
#[case::blank_lines(ENDLESS_CHUNK, "\n")]
#[case::comments(ENDLESS_CHUNK, ": ping\n\n")]
#[case::events_without_data(ENDLESS_CHUNK, "data: \n\n")]
#[case::events_without_choices(ENDLESS_CHUNK, "data: {\"choices\":[]}\n\n")]
fn a_flood_without_output_ends_in_time_if_its_client_reads_slowly(
    #[case] prefix: &'static str,
    #[case] repeated: &str,
) {
    let tail = EndlessTail { prefix, repeated: repeated.to_owned(), speed: Speed::Full };
    let (_, worker_wait) = play(tail, Speed::Slow);
    assert!(worker_wait <= WAIT_LIMIT, "the worker's connection stayed open for {worker_wait:?}");
}

/// Guards against a client that is left on a stream that can't be complete any more: its answer goes on in a chunk
/// that is too long to ever end.
#[rstest]
#[case::three_gigabytes("b2d05e00\r\n")]
#[case::three_gigabytes_with_an_extension("00b2d05e00 ; a=b\r\n")]
#[case::more_than_a_body_may_have("40001\r\n")]
fn an_answer_that_goes_on_in_an_endless_chunk_ends_in_time(#[case] prefix: &'static str) {
    let repeated = "data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n".to_owned();
    let (client_wait, worker_wait) = play(EndlessTail { prefix, repeated, speed: Speed::Slow }, Speed::Full);
    assert!(client_wait <= WAIT_LIMIT, "the client waited for {client_wait:?}");
    assert!(worker_wait <= WAIT_LIMIT, "the worker's connection stayed open for {worker_wait:?}");
}

/// Guards against a worker that repeats itself without end: no answer has more events than tokens were asked
/// for.
#[rstest]
#[case::separate_chunks("", "48\r\n{EVENT}\r\n")]
#[case::an_endless_chunk(ENDLESS_CHUNK, "{EVENT}")]
fn an_answer_longer_than_its_token_limit_ends(#[case] prefix: &'static str, #[case] repeated: &str) {
    let event = "data: {\"choices\":[{\"delta\":{\"content\":\"again \"},\"finish_reason\":null}]}\n\n";
    let repeated = repeated.replace("48", &format!("{:x}", event.len())).replace("{EVENT}", event);
    let (client_wait, _) = play(EndlessTail { prefix, repeated, speed: Speed::Full }, Speed::Full);
    assert!(client_wait <= WAIT_LIMIT, "the stream went on for {client_wait:?}");
}

/// Guards against a stream that is not recognised by its content type, so that any byte counts as progress.
#[rstest]
#[case::no_content_type("", "1\r\n\n\r\n")]
#[case::upper_case("content-type: Text/Event-Stream; charset=utf-8\r\n", "1\r\n\n\r\n")]
#[case::an_invalid_content_type("content-type: \u{1}\r\n", "1\r\n\n\r\n")]
fn a_stream_with_another_form_of_content_type_ends_in_time(
    #[case] header: &'static str,
    #[case] repeated: &str,
) {
    let tail = EndlessTail { prefix: "", repeated: repeated.to_owned(), speed: Speed::Slow };
    let head = format!("HTTP/1.1 200 OK\r\n{header}transfer-encoding: chunked\r\n\r\n");
    let (client_wait, worker_wait) = play_with_head(head, tail, Speed::Full);
    assert!(client_wait <= WAIT_LIMIT, "the client waited for {client_wait:?}");
    assert!(worker_wait <= WAIT_LIMIT, "the worker's connection stayed open for {worker_wait:?}");
}

/// The time that the client of an unanswered request waits, and the rule's slack.
const DEADLINE: Duration = Duration::from_millis(1_500);
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Sends a request with [`DEADLINE`] to a router whose workers respond like this, and returns the status of the
/// response, 0 without one, and when it arrived.
fn request_with_endless_responses(
    prefill: &'static str,
    decode: &'static str,
    speed: Speed,
    class: &str,
) -> (u16, Duration) {
    let start_worker = |response: &'static str| {
        Peer::start(move |message, conn| {
            if message.start_line.starts_with("DELETE") {
                conn.respond("204 No Content", "", "");
                return true;
            }
            let Some((prefix, repeated)) = response.split_once("{REPEATED}") else {
                let _ = conn.stream.write_all(response.as_bytes());
                return true;
            };
            EndlessTail { prefix, repeated: repeated.to_owned(), speed }.send(conn);
            false
        })
    };
    let (prefill, decode) = (start_worker(prefill), start_worker(decode));
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let request = request("id-1", class, "hello").replace("8000m", "1500m");
    let started = Instant::now();
    let response = router.send_raw(request.as_bytes());
    (response.status(), started.elapsed())
}

const PREFILL_RESPONSE: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\": 4}";

/// Guards against a request without a final response because its worker's response neither begins nor ends.
#[rstest]
#[case::informational_responses("{REPEATED}HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::head("HTTP/1.1 200 OK\r\n{REPEATED}x-a: b\r\n")]
#[case::status_line("HTTP/1.1 200 {REPEATED}OK")]
#[case::comments("{HEAD}{REPEATED}8\r\n: ping\n\n\r\n")]
#[case::events_without_data("{HEAD}{REPEATED}7\r\ndata:\n\n\r\n")]
#[case::half_an_event("{HEAD}7\r\ndata: {\r\n{REPEATED}1\r\n \r\n")]
#[case::line_ends("{REPEATED}\r\n")]
fn an_endless_response_leaves_no_request_unanswered(
    #[case] response: &str,
    #[values(Speed::Full, Speed::Slow)] speed: Speed,
    #[values("send", "explain")] class: &str,
    #[values(true, false)] is_prefill: bool,
) {
    let response: &'static str = response.replace("{HEAD}", EVENT_STREAM_HEAD).leak();
    let (prefill, decode) = if is_prefill { (response, "") } else { (PREFILL_RESPONSE, response) };
    let (status, elapsed) = request_with_endless_responses(prefill, decode, speed, class);
    assert!(matches!(status, 502 | 503), "status {status}");
    assert!(elapsed <= DEADLINE + ANSWER_SLACK, "answered after {elapsed:?}");
}
