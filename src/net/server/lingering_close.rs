//! Lingering close: closes a connection without losing a response that its client has not read yet.
//!
//! Closing a socket with unread bytes resets the connection, and the client loses what it has not read yet.
//! So only the sending side is shut down first, and the client has some time to close the connection itself.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::gated_socket::GatedSocket;
use crate::net::server::received_request::MAX_BODY_BYTES;
use crate::net::socket::Socket;
use crate::rules::close::Eviction;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;

/// The time limit for the client to close after the sending side is shut down.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for an evicted connection; it covers a round trip on any ordinary network.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum number of bytes of a request's body that are read and discarded after its response.
const MAX_DISCARDED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// Shuts down the sending side, and waits until the client has closed, the linger timeout has passed or the
/// connection is evicted.
pub async fn close_lingering(client: &Rc<ClientSocket>) {
    client.begin_closing();
    // All branches end the connection in the same way; the order of polling makes no difference.
    tokio::select! {
        () = shut_down_and_wait_for_client(client) => {}
        () = tokio::time::sleep(LINGER_TIMEOUT) => {}
        () = eviction_due(client) => {}
    }
}

/// Shuts down the sending side, then waits until the client has closed. The rest of a request that
/// already has its response is read and discarded, since a client that is still sending might be reset
/// otherwise. Nothing after that request is read.
///
/// If the future is dropped early, the sending side stays shut down.
async fn shut_down_and_wait_for_client(client: &Rc<ClientSocket>) {
    let _ = Socket::new(client.stream().clone()).shutdown_write();
    // The second branch never resolves: it only reads while the client is connected.
    tokio::select! {
        () = client.disconnected() => {}
        () = discard_request_body(client) => {}
    }
    // A client that has shut down only its sending side may still be reading: closing with unread bytes would
    // reset it. The caller's timeout ends the wait.
    if client.has_unread_bytes() {
        std::future::pending().await
    }
}

/// Reads and discards the rest of the body of a request that already has its response. Never resolves.
async fn discard_request_body(client: &Rc<ClientSocket>) {
    let mut socket = GatedSocket::new(client.clone());
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut remaining = MAX_DISCARDED_BYTES;
    while client.is_within_body() && remaining > 0 {
        match socket.read(&mut buffer).await {
            Ok(bytes) if bytes > 0 => remaining = remaining.saturating_sub(bytes),
            _ => break,
        }
    }
    std::future::pending().await
}

/// Resolves when the connection is evicted: after a shorter linger timeout if gracefully, at once if
/// immediately.
async fn eviction_due(client: &ClientSocket) {
    while client.eviction() == Eviction::None {
        client.changed().await;
    }
    // Both branches make the eviction due; the order of polling makes no difference.
    tokio::select! {
        () = tokio::time::sleep(EVICTED_LINGER_TIMEOUT) => {}
        () = immediate_eviction(client) => {}
    }
}

/// Resolves when the connection is evicted without time for the client to close first.
async fn immediate_eviction(client: &ClientSocket) {
    while client.eviction() < Eviction::Immediate {
        client.changed().await;
    }
}
