//! One client connection, from its accept to its end: reading, in hand, answering, idle, closing.
//!
//! hyper reads requests and writes answers; when the connection ends is decided here. From the moment in which its
//! sending side is shut down nothing that still arrives is handed on, and it is read and dropped until the client has
//! closed too: a socket closed over unread bytes is reset, and what the client has not read is lost with it.

use super::Local;
use super::framing::{Standing, Watch, Watched};
use super::server::{Answering, MOST_BODY, Stage};
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
/// Bytes that are read and dropped meanwhile.
const MOST_LINGER: usize = 2 * MOST_BODY;
/// Bytes that have arrived reach hyper within this.
const UNREAD_RECHECK: Duration = Duration::from_millis(1);
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
    /// The client has closed before its answer.
    ClientLeft,
}

/// When a connection is to be ended as it stands.
fn due(watch: &Watch, accepted: Instant, stage: Stage) -> Option<Instant> {
    match watch.standing() {
        Standing::InHand => None,
        Standing::Idle(since) if watch.is_blocked() => Some(since + CLIENT_STALLED),
        _ if watch.is_unwanted() => Some(accepted),
        Standing::Idle(since) if stage == Stage::Closing && watch.has_answered() => Some(since),
        Standing::Idle(since) if watch.has_answered() => Some(since + IDLE_CLIENT),
        Standing::Idle(_) if stage == Stage::Closing => Some(accepted + SILENT_CLIENT_AT_SHUTDOWN),
        Standing::Idle(since) => Some(since + SILENT_CLIENT),
        Standing::Arriving(_) if !watch.has_answered() => Some(accepted + ARRIVE),
        Standing::Arriving(since) => Some(since + ARRIVE),
    }
}

/// Whether a connection is between two requests, with its last answer written out.
fn is_at_rest(watch: &Watch) -> bool {
    matches!(watch.standing(), Standing::Idle(_)) && watch.has_answered() && !watch.is_blocked()
}

/// Serves a connection until it has ended.
pub async fn serve<S>(
    service: S,
    stage: watch::Receiver<Stage>,
    watch: &Rc<Watch>,
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
    let _ = watch.stream().set_nodelay(true);
    let ended = run(service, stage, watch, accepted).await;
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
            let _ = watch.stream().try_write(TOO_SLOW);
        }
        Ended::ByHttp(Ok(())) | Ended::Idle => {}
        Ended::Stalled | Ended::ClientLeft => return,
    }
    watch.finish();
    tokio::select! {
        () = close_and_discard(Socket(watch.stream().clone())) => {}
        () = tokio::time::sleep(LINGER) => {}
        () = evicted(watch) => {}
    }
}

/// Lets hyper read requests and answer them until the connection has to end.
async fn run<S>(service: S, mut stage: watch::Receiver<Stage>, watch: &Rc<Watch>, accepted: Instant) -> Ended
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
        .serve_connection(TokioIo::new(Watched::new(watch.clone())), service);
    let mut recheck: Option<Instant> = None;
    loop {
        let now_stage = *stage.borrow_and_update();
        let due = recheck.take().or_else(|| due(watch, accepted, now_stage));
        // At once: a request that comes while a timer runs out would have to be taken.
        if now_stage == Stage::Closing && is_at_rest(watch) && !watch.has_unread() {
            return Ended::Idle;
        }
        tokio::select! {
            biased;
            // First: what has come by now is looked at before any deadline is.
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => return Ended::ByHttp(ended),
            Ok(()) = stage.changed() => {}
            () = watch.changed() => {}
            () = watch.left(), if watch.standing() == Standing::InHand => return Ended::ClientLeft,
            () = async { tokio::time::sleep_until(due.unwrap_or(accepted)).await }, if due.is_some() => {
                match watch.standing() {
                    Standing::InHand => {}
                    Standing::Idle(_) if watch.is_blocked() => return Ended::Stalled,
                    // A request has come that hyper has not been told of: it is no longer idle.
                    Standing::Idle(_) if watch.has_unread() => recheck = Some(Instant::now() + UNREAD_RECHECK),
                    Standing::Idle(_) => return Ended::Idle,
                    Standing::Arriving(_) if watch.is_blocked() => return Ended::Stalled,
                    Standing::Arriving(_) => return Ended::RequestOverdue,
                }
            }
        }
    }
}

/// Resolves when the connection's place is wanted for others, and the client has had a moment to close.
async fn evicted(watch: &Watch) {
    while !watch.is_unwanted() {
        watch.changed().await;
    }
    tokio::time::sleep(LINGER_EVICTED).await;
}

/// Ends the sending side, then reads and drops what arrives until the client has closed.
async fn close_and_discard(mut socket: Socket) {
    let _ = socket.end();
    let (mut scrap, mut left) = (vec![0; 8 * 1024], MOST_LINGER);
    while left > 0 {
        match socket.read(&mut scrap).await {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
    }
    // Past that its sending is left to stand.
    std::future::pending().await
}
