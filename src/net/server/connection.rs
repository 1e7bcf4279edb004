//! The life of one client connection, from its accept to its close.
//!
//! hyper reads requests and writes responses; this module decides when the connection ends. From the moment in which its
//! sending side is shut down no request is read any more: a request that crosses the close on the wire may be sent again
//! elsewhere only if it was not read.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection_handler::ConnectionHandler;
use crate::net::server::gated_socket::GatedSocket;
use crate::net::server::handler::RequestHandler;
use crate::net::server::lingering_close::close_lingering;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::rules::close::{
    CloseReason, ConnectionPhase, close_deadline, is_idle_between_requests, may_close,
};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The most bytes that hyper buffers of one connection; no longer head is accepted.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// hyper learns of bytes that have been received within this time.
const UNREAD_RECHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The response to a request that did not arrive completely in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves a connection until it has ended. Dropped early, it closes the socket at once, which resets a client
/// whose bytes have not all been read.
pub async fn serve<H: RequestHandler>(handler: ConnectionHandler<H>) {
    let (client, counters) = (handler.client.clone(), handler.counters.clone());
    let _ = client.stream().set_nodelay(true);
    let reason = serve_requests(handler, &client).await;
    log::debug!("connection {}: ends: {reason}", client.number());
    match reason {
        // hyper has answered what was not HTTP with a 4xx of its own.
        CloseReason::MalformedRequest => counters.requests_malformed.increment(),
        CloseReason::RequestTimeout => {
            counters.requests_timed_out.increment();
            let _ = client.stream().try_write(REQUEST_TIMEOUT_RESPONSE);
        }
        // The client takes nothing more: there is no response to protect from a reset.
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

/// Lets hyper read requests and answer them until the connection has to end; returns why.
async fn serve_requests<H: RequestHandler>(
    handler: ConnectionHandler<H>,
    client: &Rc<ClientSocket>,
) -> CloseReason {
    let mut shutdown = handler.shutdown.clone();
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(GatedSocket::new(client.clone())), handler);
    let mut recheck_at: Option<Instant> = None;
    loop {
        let is_closing = *shutdown.borrow_and_update() == ShutdownPhase::Closing;
        let snapshot = client.snapshot(is_closing);
        if is_closing && is_idle_between_requests(&snapshot) && !client.has_unread_bytes() {
            return CloseReason::Shutdown;
        }
        let wake_at = recheck_at.take().or_else(|| close_deadline(&snapshot).map(|(at, _)| at));
        tokio::select! {
            // hyper first: requests that have been received by now are read before any deadline is considered. The
            // deadline last: it decides on what all the others have changed.
            biased;
            result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                return close_reason_of_http(client, result);
            }
            Ok(()) = shutdown.changed() => {}
            () = client.changed() => {}
            // Only in a stream: a client that disconnects before its response begins is answered all the same, since
            // it may only have ended its sending.
            () = client.disconnected(), if client.phase() == ConnectionPhase::Streaming => return CloseReason::ClientDisconnected,
            () = sleep_until(wake_at) => {
                // Polling hyper may have changed what is due.
                let due = close_deadline(&client.snapshot(is_closing));
                let Some((_, reason)) = due.filter(|(at, _)| *at <= Instant::now()) else { continue };
                if reason == CloseReason::WriteTimeout || may_close(client.phase(), client.has_unread_bytes()) {
                    return reason;
                }
                // A request has been received that hyper has not been told of: the connection is no longer idle.
                recheck_at = Some(Instant::now() + UNREAD_RECHECK_INTERVAL);
            }
        }
    }
}

/// Sleeps until this moment; forever without one.
async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

/// Why the connection ends after hyper has finished with it. What is no malformed request differs in the log alone.
fn close_reason_of_http(client: &ClientSocket, result: hyper::Result<()>) -> CloseReason {
    let Err(error) = result else { return CloseReason::Completed };
    log::debug!("connection {}: {error}", client.number());
    if error.is_parse() || error.is_parse_too_large() {
        CloseReason::MalformedRequest
    } else if error.is_user() {
        // The only error of the service that hyper meets: the handler itself is infallible.
        CloseReason::StreamBroken
    } else {
        CloseReason::ConnectionError
    }
}
