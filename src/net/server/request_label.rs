//! How log lines of the server name a request.

use crate::net::is_valid_id;
use hyper::Request;
use hyper::header::HeaderValue;
use std::fmt;

/// The header in which clients of the platform's protocol state a request's id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request in a log line: `request ID`, or `request` alone where its head states no valid id.
///
/// It is taken before the request is handed over, since a rejection is logged when the request itself is gone.
pub struct RequestLabel(Option<HeaderValue>);

impl RequestLabel {
    /// The label of this request.
    pub fn new<B>(request: &Request<B>) -> Self {
        RequestLabel(request.headers().get(REQUEST_ID_HEADER).cloned())
    }
}

impl fmt::Display for RequestLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.0.as_ref().and_then(|value| value.to_str().ok()).map(str::trim);
        match id.filter(|id| is_valid_id(id)) {
            Some(id) => write!(f, "request {id}"),
            None => f.write_str("request"),
        }
    }
}
