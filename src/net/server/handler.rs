//! The interface between the server and the application protocol on top of it.
//!
//! The server accepts and limits connections, finds the boundaries between requests and decides when a
//! connection closes. Requests are interpreted by the [`RequestHandler`] of the listener.

use crate::net::server::received_request::ReceivedRequest;
use bytes::Bytes;
use hyper::Response;
use hyper::body::Body;
use std::convert::Infallible;
use tower::{BoxError, Service};

/// Handles the requests of all connections.
///
/// The handler is cloned for each request. The future of a call is dropped if its connection ends first.
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
    /// The type of response bodies.
    type Body: HandlerBody;

    /// The response to a request that is rejected because the server is above one of its limits.
    fn overload_response(&self) -> Response<Self::Body>;
}

/// A response body that the server can send.
pub trait HandlerBody: Body<Data = Bytes, Error: Into<BoxError>> + Unpin + 'static {
    /// Whether the body is streamed, that is, produced while it is being sent. If the client disconnects
    /// during a streamed response, the connection closes at once.
    fn is_stream(&self) -> bool;
}
