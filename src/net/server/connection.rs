//! One client connection, from its accept to its end: reading, in hand, answering, idle, closing.
//!
//! hyper reads requests and writes answers; when the connection ends is decided here. From the moment in which its
//! sending side is shut down nothing is read any more: a request that crosses the close may be sent again elsewhere only
//! if it was not read. A socket closed over unread bytes is reset, and what the client has not read is lost with it, so
//! the client has some time to close first.

use crate::net::server::client_socket::{ClientSocket, GatedSocket};
use crate::net::server::connection_handler::ConnectionHandler;
use crate::net::server::handler::RequestHandler;
use crate::net::server::received_request::MAX_BODY_BYTES;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::net::socket::Socket;
use crate::rules::close::{CloseReason, Eviction, Phase, close_due, is_at_rest, may_close};
use crate::runtime::counters::Counters;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;
use tokio::time::Instant;

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

/// Serves a connection until it has ended.
pub async fn serve<H: RequestHandler>(
    handler: ConnectionHandler<H>,
    stage: watch::Receiver<ShutdownPhase>,
    client: &Rc<ClientSocket>,
    counters: &Counters,
) {
    let _ = client.stream().set_nodelay(true);
    let reason = run(handler, stage, client).await;
    log::debug!("connection {}: ends: {reason}", client.number());
    match reason {
        // hyper has answered what was no HTTP with a 4xx of its own.
        CloseReason::Unreadable => counters.requests_malformed.increment(),
        CloseReason::RequestOverdue => {
            counters.requests_timed_out.increment();
            let _ = client.stream().try_write(TOO_SLOW);
        }
        CloseReason::WriteBlocked | CloseReason::ClientLeft => return,
        CloseReason::ByHttp | CloseReason::Idle | CloseReason::Evicted | CloseReason::Shutdown => {}
    }
    client.closes();
    tokio::select! {
        () = close(client) => {}
        () = tokio::time::sleep(LINGER) => {}
        () = evicted(client) => {}
    }
}

/// Lets hyper read requests and answer them until the connection has to end.
async fn run<H: RequestHandler>(
    handler: ConnectionHandler<H>,
    mut stage: watch::Receiver<ShutdownPhase>,
    client: &Rc<ClientSocket>,
) -> CloseReason {
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(GatedSocket::new(client.clone())), handler);
    let mut recheck: Option<Instant> = None;
    loop {
        let is_closing_stage = *stage.borrow_and_update() == ShutdownPhase::Closing;
        let facts = client.facts(is_closing_stage);
        if is_closing_stage && is_at_rest(&facts) && !client.has_unread() {
            return CloseReason::Shutdown;
        }
        let due = close_due(&facts);
        let look_at = recheck.take().or_else(|| due.map(|(at, _)| at));
        tokio::select! {
            biased;
            // First: what has come by now is looked at before any deadline is.
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => return ended_by_http(client, ended),
            Ok(()) = stage.changed() => {}
            () = client.changed() => {}
            // One that leaves before is answered all the same: it may only have ended its sending.
            () = client.left(), if client.phase() == Phase::Streaming => return CloseReason::ClientLeft,
            () = until(look_at) => {
                // What hyper has done meanwhile may have changed it.
                let due = close_due(&client.facts(is_closing_stage));
                let Some((_, reason)) = due.filter(|(at, _)| *at <= Instant::now()) else { continue };
                if reason == CloseReason::WriteBlocked || may_close(client.phase(), client.has_unread()) {
                    return reason;
                }
                // A request has come that hyper has not been told of: the connection is no longer idle.
                recheck = Some(Instant::now() + UNREAD_RECHECK);
            }
        }
    }
}

async fn until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn ended_by_http(client: &ClientSocket, ended: hyper::Result<()>) -> CloseReason {
    let Err(error) = ended else { return CloseReason::ByHttp };
    log::debug!("connection {}: {error}", client.number());
    if error.is_parse() || error.is_parse_too_large() { CloseReason::Unreadable } else { CloseReason::ByHttp }
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
