//! The life cycle of one client connection, from its accept to its close.
//!
//! hyper reads requests and writes responses; this module decides when the connection ends. No request is
//! read once the sending side is shut down: the client may safely retry a request that crosses the close on
//! the wire only if it was not read.

use crate::net::buffer_limit::BufferLimit;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection_handler::ConnectionHandler;
use crate::net::server::gated_socket::GatedSocket;
use crate::net::server::handler::RequestHandler;
use crate::net::server::lingering_close::close_lingering;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::net::sleep_until;
use crate::rules::close::{
    CloseReason, ConnectionPhase, close_deadline, is_idle_between_requests, may_close,
};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The delay after which a close deferred because of unread bytes is reconsidered. Within this time hyper
/// usually reads them. In a flood hundreds of connections may wait for their turn to read, so it is not shorter.
const UNREAD_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The response to a request that was not received completely in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves a connection until it has ended. If the future is dropped early, the socket closes at once, which
/// resets the connection if received bytes are unread.
pub async fn serve<H: RequestHandler>(handler: ConnectionHandler<H>, buffer_limit: BufferLimit) {
    let (client, counters) = (handler.client.clone(), handler.counters.clone());
    let _ = client.stream().set_nodelay(true);
    let reason = serve_requests(handler, &client, buffer_limit).await;
    log::debug!("connection {}: ends: {reason}", client.number());
    match reason {
        // hyper has already sent a 4xx response to malformed HTTP.
        CloseReason::MalformedRequest => counters.requests_malformed.increment(),
        CloseReason::RequestTimeout => {
            counters.requests_timed_out.increment();
            let _ = client.stream().try_write(REQUEST_TIMEOUT_RESPONSE);
        }
        // The client reads nothing more, so there is no response to protect from a reset.
        CloseReason::WriteTimeout | CloseReason::ClientDisconnected => return,
        CloseReason::Completed
        | CloseReason::StreamBroken
        | CloseReason::ConnectionError
        | CloseReason::Silent
        | CloseReason::Idle
        | CloseReason::Evicted
        | CloseReason::Shutdown => {}
    }
    close_lingering(&client).await;
}

/// Serves requests with hyper until the connection has to end. Returns the reason.
async fn serve_requests<H: RequestHandler>(
    handler: ConnectionHandler<H>,
    client: &Rc<ClientSocket>,
    buffer_limit: BufferLimit,
) -> CloseReason {
    let mut shutdown = handler.shutdown.clone();
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer_limit.bytes())
        .serve_connection(TokioIo::new(GatedSocket::new(client.clone())), handler);
    let mut recheck_at: Option<Instant> = None;
    loop {
        let is_closing = *shutdown.borrow_and_update() == ShutdownPhase::Closing;
        let snapshot = client.snapshot(is_closing);
        if is_closing && is_idle_between_requests(&snapshot) && !client.has_pending_bytes() {
            return CloseReason::Shutdown;
        }
        let wake_at = recheck_at.take().or_else(|| close_deadline(&snapshot).map(|(at, _)| at));
        tokio::select! {
            // hyper is polled first, to read the requests received so far before any deadline is checked, and
            // the deadline last, to take into account the changes of the other branches.
            biased;
            result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                return close_reason_from_hyper(client, result);
            }
            Ok(()) = shutdown.changed() => {}
            () = client.changed() => {}
            // Only while streaming: a client that disconnects before its response begins still gets it,
            // since it may have shut down only its sending side.
            () = client.disconnected(), if client.phase() == ConnectionPhase::Streaming => {
                return CloseReason::ClientDisconnected;
            }
            () = sleep_until(wake_at) => {
                // Polling hyper may have changed the deadline.
                let due = close_deadline(&client.snapshot(is_closing));
                let Some((_, reason)) = due.filter(|(at, _)| *at <= Instant::now()) else { continue };
                if reason == CloseReason::WriteTimeout
                    || may_close(client.phase(), client.has_pending_bytes())
                {
                    return reason;
                }
                // The unread bytes begin a request that hyper has not been woken for yet: the connection is
                // not idle.
                recheck_at = Some(Instant::now() + UNREAD_RECHECK_INTERVAL);
            }
        }
    }
}

/// The close reason for the result of hyper's connection future. All but
/// [`MalformedRequest`](CloseReason::MalformedRequest) differ only in the log.
fn close_reason_from_hyper(client: &ClientSocket, result: hyper::Result<()>) -> CloseReason {
    let Err(error) = result else { return CloseReason::Completed };
    log::debug!("connection {}: {error}", client.number());
    if error.is_parse() || error.is_parse_too_large() {
        CloseReason::MalformedRequest
    } else if error.is_user() {
        // The service is infallible, so a user error can only be that of a response body.
        CloseReason::StreamBroken
    } else {
        CloseReason::ConnectionError
    }
}
