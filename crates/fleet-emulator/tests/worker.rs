//! Reservation, fetch and release of KV caches by workers, over in-memory connections.

use fleet_emulator::history::History;
use fleet_emulator::http::MessageReader;
use fleet_emulator::record::{Record, Role};
use fleet_emulator::worker::{CacheReservations, Worker, WorkerSettings};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};

const ATTEMPT: &[u8] = b"POST /v1/chat/completions HTTP/1.1\r\nx-request-id: q\r\nx-deadline: 5000m\r\n\
    content-length: 0\r\n\r\n";
const RELEASE: &[u8] = b"DELETE /internal/reservations/q HTTP/1.1\r\n\r\n";

/// The router's side of a connection to a worker.
struct Connection {
    input: MessageReader<ReadHalf<DuplexStream>>,
    output: WriteHalf<DuplexStream>,
}

impl Connection {
    fn to(worker: &Arc<Worker>, number: u64) -> Connection {
        let (near, far) = tokio::io::duplex(64 * 1024);
        tokio::spawn(worker.clone().serve(far, number));
        let (input, output) = tokio::io::split(near);
        Connection { input: MessageReader::new(input), output }
    }

    /// Sends a request and returns the status of the response.
    async fn call(&mut self, request: &[u8]) -> u16 {
        self.output.write_all(request).await.unwrap();
        let head = self.input.read_response().await.unwrap().unwrap();
        self.input.read_body(head.content_length()).await.unwrap();
        head.status
    }
}

/// A prefill worker and a decode worker that share reservations, and their history.
fn workers() -> (Arc<Worker>, Arc<Worker>, History) {
    let (reservations, history) = (CacheReservations::default(), History::default());
    let worker = |index, role| {
        let settings = WorkerSettings {
            index,
            role,
            zone: 0,
            cell: 0,
            slots: 1,
            queue_capacity: 4,
            base_latency: Duration::from_millis(10),
            prefill_tokens_per_second: 1_000,
            event_interval: Duration::from_millis(1),
        };
        Worker::new(settings, reservations.clone(), history.clone())
    };
    let (prefill, decode) = (worker(0, Role::Prefill), worker(1, Role::Decode));
    (prefill, decode, history)
}

#[tokio::test(start_paused = true)]
async fn a_cache_can_be_fetched_only_once() {
    let (prefill, decode, _) = workers();
    assert_eq!(Connection::to(&decode, 1).call(ATTEMPT).await, 410);
    assert_eq!(Connection::to(&prefill, 2).call(ATTEMPT).await, 202);
    assert_eq!(Connection::to(&decode, 3).call(ATTEMPT).await, 200);
    assert_eq!(Connection::to(&decode, 4).call(ATTEMPT).await, 410);
}

#[tokio::test(start_paused = true)]
async fn a_release_at_any_worker_frees_an_unclaimed_cache() {
    let (prefill, decode, history) = workers();
    assert_eq!(Connection::to(&prefill, 1).call(ATTEMPT).await, 202);
    assert_eq!(Connection::to(&decode, 2).call(RELEASE).await, 204);
    assert!(
        history.entries().iter().any(|entry| matches!(entry.record, Record::CacheReservationEnded { .. }))
    );
    assert_eq!(Connection::to(&decode, 3).call(ATTEMPT).await, 410);
}

#[tokio::test(start_paused = true)]
async fn a_crashed_worker_loses_its_reservations_and_connections() {
    let (prefill, decode, _) = workers();
    let mut connection = Connection::to(&prefill, 1);
    assert_eq!(connection.call(ATTEMPT).await, 202);
    prefill.crash();
    assert!(connection.input.read_response().await.unwrap().is_none());
    assert_eq!(Connection::to(&decode, 2).call(ATTEMPT).await, 410);
}
