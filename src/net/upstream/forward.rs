//! Builds the HTTP request that is forwarded to a worker.

use crate::interface::Micros;
use crate::net::upstream::call::WORKER_HOST;
use crate::net::upstream::connection::UpstreamBody;
use crate::runtime::exchange::ForwardedRequest;
use hyper::Request;
use hyper::header::HeaderValue;

/// Builds the request for a worker, with the `remaining` time until its deadline in a header.
///
/// # Errors
/// The request's target or id is not valid in an HTTP request.
pub(super) fn forward_request(
    forwarded: &ForwardedRequest,
    remaining: Micros,
) -> hyper::http::Result<Request<UpstreamBody>> {
    let mut request = Request::post(&forwarded.target).body(UpstreamBody::new(forwarded.body.clone()))?;
    let headers = request.headers_mut();
    headers.clone_from(&forwarded.headers);
    headers.insert("host", HeaderValue::from_static(WORKER_HOST));
    headers.insert("x-request-id", HeaderValue::from_str(&forwarded.id)?);
    headers.insert("x-deadline", HeaderValue::from_str(&format!("{remaining}u"))?);
    Ok(request)
}
