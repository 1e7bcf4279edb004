//! The input of a request handler.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::shutdown_phase::ShutdownPhase;
use hyper::Request;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::watch;

/// The longest request body that is accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A request whose head has been read, and the connection on which it arrives.
pub struct ReceivedRequest {
    /// The request; its body may still be arriving.
    pub request: Request<Incoming>,
    /// The client's connection.
    pub client: Rc<ClientSocket>,
    /// How far a graceful shutdown has progressed.
    pub shutdown: watch::Receiver<ShutdownPhase>,
}
