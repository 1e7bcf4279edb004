//! A request on its way to workers, and what is known of its client meanwhile.

use bytes::Bytes;
use hyper::HeaderMap;
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// A request as it is forwarded to workers, unchanged.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The id under which workers know it.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The client's connection.
    pub client: ClientConnection,
    /// What the request occupies, such as its id and its share of memory: freed by the drop of the last
    /// reference, which may be after the final answer, when the last attempt or release of the request has
    /// ended.
    pub resources: Option<Rc<dyn Any>>,
}

/// The state of a client's connection, for whoever is about to send something on the client's behalf.
#[derive(Clone, Default)]
pub struct ClientConnection(Option<Rc<dyn Fn() -> bool>>);

impl ClientConnection {
    /// A connection of which `is_closed` says whether the client has closed it.
    pub fn new(is_closed: Rc<dyn Fn() -> bool>) -> Self {
        ClientConnection(Some(is_closed))
    }

    /// Whether the client has closed the connection by now.
    pub fn is_closed(&self) -> bool {
        self.0.as_ref().is_some_and(|is_closed| is_closed())
    }
}

impl fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClientConnection")
    }
}

/// Whether a request still waits for its final answer, for all that act on its behalf. It is closed at the
/// moment in which an answer is given, by whomever, or in which the client is known to have disconnected.
#[derive(Clone, Debug)]
pub struct RequestState(Rc<Cell<bool>>);

impl RequestState {
    /// Whether there is no final answer yet.
    pub fn is_open(&self) -> bool {
        self.0.get()
    }

    pub(super) fn close(&self) {
        self.0.set(false);
    }
}

impl Default for RequestState {
    fn default() -> Self {
        RequestState(Rc::new(Cell::new(true)))
    }
}
