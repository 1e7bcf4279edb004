//! One client connection, from its accept to its end: reading, in hand, answering, idle, closing.
//!
//! hyper reads requests and writes answers; when the connection ends is decided here. From the moment in which its
//! sending side is shut down nothing is read any more: a request that crosses the close may be sent again elsewhere only
//! if it was not read. A socket closed over unread bytes is reset, and what the client has not read is lost with it, so
//! the client has some time to close first.

use super::Local;
use super::client_socket::{ClientSocket, Eviction, GatedSocket, Phase};
use super::server::{Answering, Stage};
use super::service::MAX_BODY_BYTES;
use super::socket::Socket;
use crate::counters::Counters;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;
use tokio::time::Instant;

/// A request has this long to come whole, from its first byte and, the first on a connection, from the accept on.
/// Progress doesn't renew it: half a head, half a body and a drip without end all hold a place.
const ARRIVE: Duration = Duration::from_millis(2_400);
/// A client that has said nothing since it connected is let go after this.
const SILENT_CLIENT: Duration = Duration::from_millis(2_200);
/// The same during a graceful shutdown: time for the request of a client that has just connected.
const SILENT_CLIENT_AT_SHUTDOWN: Duration = Duration::from_millis(500);
/// One that was answered before may come again: a session's next turn, and this conductor knows where its text is
/// kept. It is let go after this, or as soon as its place is wanted.
const IDLE_CLIENT: Duration = Duration::from_secs(30);
/// A client that takes nothing of its answer for this long is gone.
const CLIENT_STALLED: Duration = Duration::from_secs(30);
/// After the sending side is shut down, the client has this long to close.
const LINGER: Duration = Duration::from_secs(1);
/// The same where the place is wanted for others: a round trip on any ordinary way.
const LINGER_EVICTED: Duration = Duration::from_millis(200);
/// Bytes that have arrived reach hyper within this.
const UNREAD_RECHECK: Duration = Duration::from_millis(1);
/// Bytes of an answered request that are read and dropped meanwhile.
const MAX_DISCARDED: usize = 2 * MAX_BODY_BYTES;
/// For a request that did not come in time.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why hyper's part in a connection is over.
enum Ended {
    /// hyper has closed: an answer that ends the connection, an error, or a client that closed first.
    ByHttp(hyper::Result<()>),
    /// It was idle for too long, or must be by now.
    Idle,
    /// A request did not come whole in time.
    RequestOverdue,
    /// The client takes nothing of its answer.
    Stalled,
    /// The client has closed in the middle of its stream.
    ClientLeft,
}

/// When a connection is to be ended as it stands.
fn due(client: &ClientSocket, accepted: Instant, stage: Stage) -> Option<Instant> {
    match client.phase() {
        Phase::InHand | Phase::Streaming | Phase::Closing(_) => None,
        Phase::Idle(since) if client.is_write_blocked() => Some(since + CLIENT_STALLED),
        _ if client.eviction() > Eviction::None => Some(accepted),
        Phase::Idle(since) if stage == Stage::Closing && client.has_answered() => Some(since),
        Phase::Idle(since) if client.has_answered() => Some(since + IDLE_CLIENT),
        Phase::Idle(_) if stage == Stage::Closing => Some(accepted + SILENT_CLIENT_AT_SHUTDOWN),
        Phase::Idle(since) => Some(since + SILENT_CLIENT),
        Phase::Arriving(_) if !client.has_answered() => Some(accepted + ARRIVE),
        Phase::Arriving(since) => Some(since + ARRIVE),
    }
}

/// Whether a connection is between two requests, with its last answer written out.
fn is_at_rest(client: &ClientSocket) -> bool {
    matches!(client.phase(), Phase::Idle(_)) && client.has_answered() && !client.is_write_blocked()
}

/// Serves a connection until it has ended.
pub async fn serve<S>(
    service: S,
    stage: watch::Receiver<Stage>,
    client: &Rc<ClientSocket>,
    counters: &Counters,
    accepted: Instant,
) where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<Answering>,
            Error = Infallible,
            Future = Local<Result<Response<Answering>, Infallible>>,
        > + Unpin,
{
    let _ = client.stream().set_nodelay(true);
    let ended = run(service, stage, client, accepted).await;
    match &ended {
        Ended::ByHttp(Err(error)) => {
            log::debug!("client connection: {error}");
            // hyper has answered what was no HTTP with a 4xx of its own.
            if error.is_parse() || error.is_parse_too_large() {
                counters.bad_requests.up();
            }
        }
        Ended::RequestOverdue => {
            counters.slow_clients.up();
            let _ = client.stream().try_write(TOO_SLOW);
        }
        Ended::ByHttp(Ok(())) | Ended::Idle => {}
        Ended::Stalled | Ended::ClientLeft => return,
    }
    client.closes();
    tokio::select! {
        () = close(client) => {}
        () = tokio::time::sleep(LINGER) => {}
        () = evicted(client) => {}
    }
}

/// Lets hyper read requests and answer them until the connection has to end.
async fn run<S>(
    service: S,
    mut stage: watch::Receiver<Stage>,
    client: &Rc<ClientSocket>,
    accepted: Instant,
) -> Ended
where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<Answering>,
            Error = Infallible,
            Future = Local<Result<Response<Answering>, Infallible>>,
        > + Unpin,
{
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(GatedSocket::new(client.clone())), service);
    let mut recheck: Option<Instant> = None;
    loop {
        let now_stage = *stage.borrow_and_update();
        let due = recheck.take().or_else(|| due(client, accepted, now_stage));
        // At once: a request that comes while a timer runs out would have to be taken.
        if now_stage == Stage::Closing && is_at_rest(client) && !client.has_unread() {
            return Ended::Idle;
        }
        tokio::select! {
            biased;
            // First: what has come by now is looked at before any deadline is.
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => return Ended::ByHttp(ended),
            Ok(()) = stage.changed() => {}
            () = client.changed() => {}
            // One that leaves before is answered all the same: it may only have ended its sending.
            () = client.left(), if client.phase() == Phase::Streaming => return Ended::ClientLeft,
            () = async { tokio::time::sleep_until(due.unwrap_or(accepted)).await }, if due.is_some() => {
                match client.phase() {
                    Phase::InHand | Phase::Streaming | Phase::Closing(_) => {}
                    Phase::Idle(_) if client.is_write_blocked() => return Ended::Stalled,
                    // A request has come that hyper has not been told of: it is no longer idle.
                    Phase::Idle(_) if client.has_unread() => recheck = Some(Instant::now() + UNREAD_RECHECK),
                    Phase::Idle(_) => return Ended::Idle,
                    Phase::Arriving(_) if client.is_write_blocked() => return Ended::Stalled,
                    Phase::Arriving(_) => return Ended::RequestOverdue,
                }
            }
        }
    }
}

/// Resolves when the connection's place is wanted for others, and the client has had a moment to close if there is one.
async fn evicted(client: &ClientSocket) {
    while client.eviction() == Eviction::None {
        client.changed().await;
    }
    tokio::select! {
        () = tokio::time::sleep(LINGER_EVICTED) => {}
        () = async {
            while client.eviction() < Eviction::AtOnce {
                client.changed().await;
            }
        } => {}
    }
}

/// Ends the sending side, then waits until the client has closed. What is left of a request that has been answered is
/// read and dropped, or its client might be reset while it sends; nothing behind it is read.
async fn close(client: &Rc<ClientSocket>) {
    let _ = Socket::new(client.stream().clone()).end();
    tokio::select! {
        () = client.left() => {}
        () = discard_answered_request(client) => {}
    }
    // A client that has only ended its sending may still be reading: over unread bytes it would be reset.
    if client.has_unread() {
        std::future::pending().await
    }
}

/// Reads and drops the rest of a body whose request has been answered; does not end by itself.
async fn discard_answered_request(client: &Rc<ClientSocket>) {
    let mut socket = GatedSocket::new(client.clone());
    let (mut scrap, mut left) = (vec![0; 8 * 1024], MAX_DISCARDED);
    while client.is_spent() && left > 0 {
        match socket.read(&mut scrap).await {
            Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
            _ => break,
        }
    }
    std::future::pending().await
}
