//! The input of a request handler.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::shutdown_phase::ShutdownPhase;
use hyper::Request;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::watch;

/// The maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A request whose head has been read, and the connection on which it is received.
pub struct ReceivedRequest {
    /// The request; its body may not have been received completely.
    pub request: Request<Incoming>,
    /// The state of the client's connection.
    pub client: Rc<ClientSocket>,
    /// The current phase of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
}
