//! The records that links add of the calls that they forward.

use fleet_emulator::clock;
use fleet_emulator::history::History;
use fleet_emulator::link::Link;
use fleet_emulator::record::{Record, Role};
use fleet_emulator::worker::{CacheReservations, Worker, WorkerSettings};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A loopback address that no other test listens on.
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const CONNECT_DELAY: Duration = Duration::from_millis(300);
const ATTEMPT: &[u8] = b"POST /v1/chat/completions HTTP/1.1\r\nx-request-id: q\r\nx-deadline: 5000m\r\n\
    content-length: 0\r\n\r\n";

fn worker(history: &History) -> std::sync::Arc<Worker> {
    let settings = WorkerSettings {
        index: 0,
        role: Role::Prefill,
        zone: 0,
        cell: 0,
        slots: 1,
        queue_capacity: 1,
        base_latency: Duration::from_millis(1),
        prefill_tokens_per_second: 1_000_000,
        event_interval: Duration::from_millis(1),
    };
    Worker::new(settings, CacheReservations::default(), history.clone())
}

/// Guards against link delays that are attributed to the router: the start of a call is the time at which the
/// router wrote it, not the time at which a delayed link forwards it.
#[tokio::test]
async fn the_start_of_a_call_on_a_delayed_link_is_its_first_write_by_the_router() {
    let free = TcpListener::bind(SocketAddr::from((ADDRESS, 0))).unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let history = History::default();
    let link = Link::start(address, 0, worker(&history), history.clone()).unwrap();
    link.update(|state| state.connect_delay = CONNECT_DELAY);
    let mut stream = TcpStream::connect(address).await.unwrap();
    let write_time = clock::now();
    stream.write_all(ATTEMPT).await.unwrap();
    stream.read_u8().await.unwrap();
    let response_time = clock::now();
    let entries = history.entries();
    let is_start = |record: &Record| matches!(record, Record::CallStarted { .. });
    let started = entries.iter().find(|entry| is_start(&entry.record)).unwrap().at;
    assert!(response_time.since(write_time) >= CONNECT_DELAY);
    assert!(started.since(write_time) < CONNECT_DELAY / 2, "{:?}", started.since(write_time));
}
