//! Carries the bytes of one connection between a router and a worker.

use super::scanner::{RequestScanner, ScannedRequest};
use super::{Link, LinkState, Reachability};
use crate::clock::{self, Timestamp};
use crate::protocol::{classify_call, propagated_timeout};
use crate::record::{ConnectionId, Record};
use rand::Rng;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::watch;

const READ_BYTES: usize = 16 * 1024;
/// The size of the largest fragment of a fragmented response.
const MAX_FRAGMENT_BYTES: usize = 64;
/// The share of fragments that are followed by a pause, and the length of the pause.
const FRAGMENT_PAUSE_SHARE: f64 = 0.1;
const FRAGMENT_PAUSE: Duration = Duration::from_millis(3);
/// A connection that is reset under a request is reset within this time after the request started.
const RESET_WITHIN: Duration = Duration::from_millis(300);

/// How a link ends a connection to its router.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Close,
    Reset,
}

/// One connection.
pub(super) struct Carrier<'a> {
    link: &'a Link,
    state: watch::Receiver<LinkState>,
    connection: ConnectionId,
    scanner: RequestScanner,
    /// The bytes that the router wrote and the worker has not got.
    undelivered: Vec<u8>,
    /// When the worker last sent something.
    last_received: Option<Timestamp>,
    /// When the connection is going to be reset.
    reset_at: Option<Timestamp>,
    is_closed_by_router: bool,
    /// Whether the connection has stalled at some time.
    was_stalled: bool,
}

impl<'a> Carrier<'a> {
    /// A carrier of a connection on which the router wrote its first byte already, if `first_byte_at` says when.
    pub(super) fn new(
        link: &'a Link,
        state: watch::Receiver<LinkState>,
        connection: ConnectionId,
        first_byte_at: Option<Timestamp>,
    ) -> Self {
        Carrier {
            link,
            state,
            connection,
            scanner: RequestScanner::new(first_byte_at),
            undelivered: Vec::new(),
            last_received: None,
            reset_at: None,
            is_closed_by_router: false,
            was_stalled: false,
        }
    }

    pub(super) fn is_closed_by_router(&self) -> bool {
        self.is_closed_by_router
    }

    /// Carries bytes in both directions until a side ends the connection. While the link is unresponsive, nothing is
    /// delivered in either direction, and the end of the connection by the router is not passed on.
    pub(super) async fn run(&mut self, stream: &TcpStream, worker: DuplexStream) -> End {
        let (mut from_worker, mut to_worker) = tokio::io::split(worker);
        let mut response = vec![0; READ_BYTES];
        loop {
            let state = *self.state.borrow_and_update();
            let is_responsive = state.reachability != Reachability::Unresponsive;
            if !is_responsive {
                self.record_stall();
            }
            if is_responsive
                && !self.undelivered.is_empty()
                && to_worker.write_all(&self.undelivered).await.is_ok()
            {
                self.undelivered.clear();
            }
            if is_responsive && self.is_closed_by_router {
                return End::Close;
            }
            let close_at = self.idle_since().zip(state.idle_close_after).map(|(since, after)| since + after);
            tokio::select! {
                // In this order, a change of the state and a close or reset that is due precede bytes that are ready.
                biased;
                _ = self.state.changed() => {}
                () = clock::sleep_until_or_forever(close_at), if is_responsive => return End::Close,
                () = clock::sleep_until_or_forever(self.reset_at) => return End::Reset,
                read = read_some(stream), if !self.is_closed_by_router => {
                    if let ControlFlow::Break(end) = self.take_from_router(read, &state) {
                        return end;
                    }
                }
                read = from_worker.read(&mut response), if is_responsive => {
                    let Some(length) = read.ok().filter(|length| *length > 0) else { return draw_end() };
                    self.last_received = Some(clock::now());
                    if write(stream, &response[..length], state.is_fragmenting).await.is_err() {
                        return End::Reset;
                    }
                }
            }
        }
    }

    fn record_stall(&mut self) {
        if !self.was_stalled {
            self.was_stalled = true;
            self.link.history.add(Record::ConnectionStalled { connection: self.connection });
        }
    }

    /// Since when the connection has been idle; `None` under a request and before the first response.
    fn idle_since(&self) -> Option<Timestamp> {
        self.last_received.filter(|_| self.scanner.is_between_requests())
    }

    fn is_dropped(&self, state: &LinkState) -> bool {
        let idle = self.idle_since().zip(state.idle_drop_after);
        idle.is_some_and(|(since, after)| clock::now().since(since) >= after)
    }

    /// Takes what the router wrote, or the end of the connection.
    fn take_from_router(&mut self, read: io::Result<Vec<u8>>, state: &LinkState) -> ControlFlow<End> {
        let bytes = match read {
            Ok(bytes) if !bytes.is_empty() => bytes,
            ended => {
                self.is_closed_by_router = true;
                let connection = self.connection;
                self.link.history.add(Record::ConnectionClosedByRouter { connection });
                // After a reset, undelivered bytes are lost. After a close they are still delivered.
                return if ended.is_err() {
                    ControlFlow::Break(End::Reset)
                } else {
                    ControlFlow::Continue(())
                };
            }
        };
        if self.is_dropped(state) {
            return ControlFlow::Break(End::Reset);
        }
        self.undelivered.extend_from_slice(&bytes);
        for request in self.scanner.scan(&bytes) {
            self.schedule_reset(state);
            self.record_call(&request);
        }
        ControlFlow::Continue(())
    }

    fn schedule_reset(&mut self, state: &LinkState) {
        let probability = state.reset_probability;
        if probability > 0.0 && rand::rng().random_bool(probability.min(1.0)) {
            let after = rand::rng().random_range(Duration::ZERO..RESET_WITHIN);
            self.reset_at = Some(clock::now() + after);
        }
    }

    fn record_call(&self, ScannedRequest { started, head }: &ScannedRequest) {
        let (call, request) = classify_call(head);
        let record = Record::CallStarted {
            call,
            request,
            router: self.link.router,
            worker: self.link.worker.settings.index,
            connection: self.connection,
            propagated_timeout: propagated_timeout(head),
        };
        self.link.history.add_at(*started, record);
    }
}

/// Draws how a connection ends that the worker has ended: a process that closes it sends a FIN and one that crashes a
/// reset, which look alike from here.
fn draw_end() -> End {
    if rand::rng().random_bool(0.5) { End::Close } else { End::Reset }
}

/// Reads the bytes that have arrived; none at the end of the stream. Nothing is lost when the future is dropped.
async fn read_some(stream: &TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; READ_BYTES];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(length) => {
                bytes.truncate(length);
                return Ok(bytes);
            }
        }
    }
}

async fn write(stream: &TcpStream, bytes: &[u8], is_fragmenting: bool) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let most = if is_fragmenting { rand::rng().random_range(1..=MAX_FRAGMENT_BYTES) } else { rest.len() };
        stream.writable().await?;
        match stream.try_write(&rest[..most.min(rest.len())]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(written) => rest = &rest[written..],
        }
        let is_paused = is_fragmenting && rand::rng().random_bool(FRAGMENT_PAUSE_SHARE);
        tokio::time::sleep(if is_paused { FRAGMENT_PAUSE } else { Duration::ZERO }).await;
    }
    Ok(())
}
