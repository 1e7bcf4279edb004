//! The label of a request in the server's log lines.

use crate::net::is_valid_id;
use hyper::Request;
use std::fmt;

/// The header with the request id in the chat completion protocol.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Displays as `request ID`, or as `request` if its head has no valid id.
///
/// Created before the request is passed to the handler, since a rejection is logged after the request is
/// dropped.
pub struct RequestLabel(Option<Box<str>>);

impl RequestLabel {
    /// Creates the label of a request.
    pub fn new<B>(request: &Request<B>) -> Self {
        let id =
            request.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok()).map(str::trim);
        // A copy, since the header's value would keep the connection's read buffer alive.
        RequestLabel(id.filter(|id| is_valid_id(id)).map(Into::into))
    }
}

impl fmt::Display for RequestLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(id) => write!(f, "request {id}"),
            None => f.write_str("request"),
        }
    }
}
