//! Closes a connection without losing the response that its client has not read yet.
//!
//! A socket closed over unread bytes is reset, and what the client has not read is lost with the reset. So only the
//! sending side is shut down first, and the client has some time to close the connection itself.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::gated_socket::GatedSocket;
use crate::net::server::received_request::MAX_BODY_BYTES;
use crate::net::socket::Socket;
use crate::rules::close::Eviction;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;

/// How long the client has to close after the sending side is shut down.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for an evicted connection: a round trip on any ordinary network.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The most bytes of an answered request that are read and discarded meanwhile.
const MAX_DISCARDED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// The size of one read of bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// Shuts down the sending side, and waits until the client has closed, its time is up or its slot is needed.
pub async fn close_lingering(client: &Rc<ClientSocket>) {
    client.begin_closing();
    // Whichever comes first ends the connection in the same way; the order of polling makes no difference.
    tokio::select! {
        () = shut_down_and_wait_for_client(client) => {}
        () = tokio::time::sleep(LINGER_TIMEOUT) => {}
        () = evicted(client) => {}
    }
}

/// Shuts down the sending side, then waits until the client has closed. The rest of a request that has been answered is
/// read and discarded, or the client might be reset while it sends; nothing behind that request is read.
///
/// Dropped early, it leaves the sending side shut down.
async fn shut_down_and_wait_for_client(client: &Rc<ClientSocket>) {
    let _ = Socket::new(client.stream().clone()).shutdown_write();
    // The second branch never resolves: it only reads for as long as the client is there.
    tokio::select! {
        () = client.disconnected() => {}
        () = discard_answered_request(client) => {}
    }
    // A client that has only ended its sending may still be reading: closing over unread bytes would reset it. The
    // caller's timeout ends the wait.
    if client.has_unread_bytes() {
        std::future::pending().await
    }
}

/// Reads and discards the rest of a body whose request has been answered. Never resolves.
async fn discard_answered_request(client: &Rc<ClientSocket>) {
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

/// Resolves when the connection's slot is needed for others, after a shorter linger if there is time for one.
async fn evicted(client: &ClientSocket) {
    while client.eviction() == Eviction::None {
        client.changed().await;
    }
    // Either way the eviction is due; the order of polling makes no difference.
    tokio::select! {
        () = tokio::time::sleep(EVICTED_LINGER_TIMEOUT) => {}
        () = evicted_at_once(client) => {}
    }
}

/// Resolves when there is no time left for the client to close first.
async fn evicted_at_once(client: &ClientSocket) {
    while client.eviction() < Eviction::Immediate {
        client.changed().await;
    }
}
