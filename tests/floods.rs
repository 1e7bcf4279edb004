//! Clients that send as fast as they can, and what other clients see of it.

mod support;

use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// A stream whose end is passed on later than this is lost.
const END_DELAY_LIMIT: Duration = Duration::from_secs(1);
const EVENTS: u32 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// The requests of other clients during the flood, and the time between two of them.
const REQUESTS: u32 = 30;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Held by the flood that runs: the others would take the CPU time of its router, which then rejects requests.
static FLOOD_RUNS: Mutex<()> = Mutex::new(());

/// When a worker has written the end of each stream, by the id of its request.
type StreamEnds = Arc<Mutex<HashMap<String, Instant>>>;

/// Starts a decode worker whose streams take [`EVENTS`] intervals.
fn timed_decode_worker() -> (Peer, StreamEnds) {
    let ends = StreamEnds::default();
    let recorded = ends.clone();
    let worker = Peer::start(move |message, conn| {
        conn.begin_stream();
        for _ in 0..EVENTS {
            conn.send_delta("word");
            thread::sleep(EVENT_INTERVAL);
        }
        conn.end_stream();
        let id = message.header("x-request-id").unwrap_or_default().to_owned();
        recorded.lock().unwrap().insert(id, Instant::now());
        true
    });
    (worker, ends)
}

/// A response, and when its last byte was received.
struct TimedResponse {
    id: String,
    response: Message,
    received_at: Instant,
}

/// Sends requests at a steady rate, each on a connection of its own, whatever happens to those before.
fn send_steadily(router: SocketAddr) -> Vec<TimedResponse> {
    let send = |number: u32| {
        thread::sleep(REQUEST_INTERVAL * number);
        let id = format!("usual-{number}");
        let response = exchange(router, request(&id, "explain", "hello").as_bytes());
        TimedResponse { id, response, received_at: Instant::now() }
    };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..REQUESTS).map(|number| scope.spawn(move || send(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

fn unknown_class(client: usize, number: u64) -> Vec<u8> {
    request(&format!("bad-{client}-{number}"), "unknown", "hello").into_bytes()
}

fn unknown_path(_: usize, _: u64) -> Vec<u8> {
    b"GET /unknown HTTP/1.1\r\nhost: a\r\n\r\n".to_vec()
}

fn large_body_of_an_unknown_class(client: usize, number: u64) -> Vec<u8> {
    request(&format!("bad-{client}-{number}"), "unknown", &"x".repeat(100_000)).into_bytes()
}

fn large_body_of_a_known_class(client: usize, number: u64) -> Vec<u8> {
    request(&format!("bad-{client}-{number}"), "send", &"x".repeat(100_000)).into_bytes()
}

/// A request of a known class with a session, a tenant and a prefix that no other request has.
fn new_names(client: usize, number: u64) -> Vec<u8> {
    let name = format!("{client}-{number}");
    let fields = format!("x-tenant: t-{name}\r\nx-extras: prefix=p-{name},prefix_len=50,");
    request(&format!("bad-{name}"), "explain", "hello").replace("x-extras: ", &fields).into_bytes()
}

fn malformed_deadline(client: usize, number: u64) -> Vec<u8> {
    request(&format!("bad-{client}-{number}"), "explain", "hello").replace("8000m", "soon").into_bytes()
}

/// Guards against clients whose requests are answered at once and take all turns of the event loop: the streams
/// of other clients are passed on seconds late, and their new requests are rejected.
#[rstest]
#[case::unknown_class(150, 300, unknown_class)]
#[case::unknown_path(300, 300, unknown_path)]
#[case::one_at_a_time(300, 1, unknown_class)]
#[case::large_bodies(150, 10, large_body_of_an_unknown_class)]
#[case::large_bodies_of_a_known_class(150, 10, large_body_of_a_known_class)]
#[case::one_connection(1, 10_000, unknown_class)]
#[case::one_connection_with_malformed_requests(1, 10_000, malformed_deadline)]
#[case::one_connection_with_new_names(1, 10_000, new_names)]
fn a_flood_delays_no_stream_of_other_clients(
    #[case] clients: usize,
    #[case] requests_at_once: usize,
    #[case] make_request: fn(usize, u64) -> Vec<u8>,
) {
    let _flood_runs = FLOOD_RUNS.lock().unwrap_or_else(PoisonError::into_inner);
    let (prefill_worker, (decode_worker, ends)) = (Peer::prefill_worker(), timed_decode_worker());
    let router =
        RouterProcess::start(&operator_file(&[prefill_worker.address], &[decode_worker.address], ""));
    let flood = Flood::start(router.address, clients, requests_at_once, make_request);
    let responses = send_steadily(router.address);
    drop(flood);
    let served: Vec<_> = responses.iter().filter(|timed| timed.response.status() == 200).collect();
    let ends = ends.lock().unwrap();
    let delay = |timed: &TimedResponse| timed.received_at.saturating_duration_since(ends[&timed.id]);
    let longest = served.iter().map(|timed| delay(timed)).max().unwrap_or_default();
    println!("{} of {REQUESTS} served, the end of a stream at most {longest:?} late", served.len());
    assert!(served.iter().all(|timed| timed.response.is_complete));
    assert!(longest <= END_DELAY_LIMIT, "the end of a stream was passed on after {longest:?}");
    assert!(served.len() >= REQUESTS as usize / 2, "{} of {REQUESTS} served", served.len());
}
