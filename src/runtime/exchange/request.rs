//! A request as it is forwarded to workers, and the state of the request and of its client's connection.

use super::SegmentedBytes;
use hyper::HeaderMap;
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// A request as it is forwarded to workers, unchanged.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request id that is sent to workers.
    pub id: String,
    /// The path and query of the request to a worker.
    pub target: String,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body of the request to a worker.
    pub body: SegmentedBytes,
    /// The number of tokens that the answer may have; `None` if the client does not state it.
    pub max_output_tokens: Option<u64>,
    /// Tells whether the client that sent the request has disconnected.
    pub client: ClientConnection,
    /// Records whether the request was abandoned.
    pub abandonment: Abandonment,
    /// Resources that the request occupies, such as its id and its share of memory. They are freed with the
    /// last reference, which may be after the final response: at the end of the request's last attempt or
    /// cache release.
    pub resources: Option<Rc<dyn Any>>,
}

/// The state of a client's connection. It is checked before each write of an attempt.
#[derive(Clone, Default)]
pub struct ClientConnection(Option<Rc<dyn Fn() -> bool>>);

impl ClientConnection {
    /// A connection whose state `has_disconnected` returns.
    pub fn new(has_disconnected: Rc<dyn Fn() -> bool>) -> Self {
        ClientConnection(Some(has_disconnected))
    }

    /// Whether the client has disconnected.
    pub fn has_disconnected(&self) -> bool {
        self.0.as_ref().is_some_and(|has_disconnected| has_disconnected())
    }
}

impl fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClientConnection")
    }
}

/// Whether a request was abandoned: its client disconnected before the end of the response, and a worker may have
/// received the request.
#[derive(Clone, Debug, Default)]
pub struct Abandonment(Rc<Cell<bool>>);

impl Abandonment {
    /// Records that the request was abandoned.
    pub fn record(&self) {
        self.0.set(true);
    }

    /// Whether the request was abandoned.
    pub fn is_recorded(&self) -> bool {
        self.0.get()
    }
}

/// Whether a request still awaits its final response; shared by all tasks that work on the request. It is
/// closed when a final response is sent or when the client is known to have disconnected.
#[derive(Clone, Debug)]
pub struct RequestState(Rc<Cell<bool>>);

impl RequestState {
    /// Whether the request still awaits its final response.
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
