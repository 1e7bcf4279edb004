//! What the server asks of the protocol above it.
//!
//! The server accepts and limits connections, finds the boundaries between requests and decides when a connection
//! closes. What a request means is the concern of the [`RequestHandler`] that the listener is built with.

use crate::net::server::received_request::ReceivedRequest;
use bytes::Bytes;
use hyper::Response;
use hyper::body::Body;
use std::convert::Infallible;
use tower::{BoxError, Service};

/// Answers the requests of all connections.
///
/// The listener clones it for each request. The future of a call is dropped when its connection ends first.
pub trait RequestHandler:
    Service<
        ReceivedRequest,
        Response = Response<<Self as RequestHandler>::Body>,
        Error = Infallible,
        Future: 'static,
    > + Clone
    + Unpin
    + 'static
{
    /// The body of its responses.
    type Body: HandlerBody;

    /// The response to a request that is not handled because the server is over one of its limits.
    fn overload_response(&self) -> Response<Self::Body>;
}

/// A response body that the server can send.
pub trait HandlerBody: Body<Data = Bytes, Error: Into<BoxError>> + Unpin + 'static {
    /// Whether the body is produced while it is being sent. A client that disconnects from such a response ends its
    /// connection at once.
    fn is_stream(&self) -> bool;
}
