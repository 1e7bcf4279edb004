//! A response body that notifies its connection when hyper drops it.

use crate::net::server::client_socket::ClientSocket;
use crate::net::server::handler::HandlerBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of a response in progress. hyper drops it when the body has been passed on completely or has
/// failed; from then on the connection may read its next request.
pub struct TrackedBody<B> {
    body: B,
    client: Rc<ClientSocket>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response on this connection.
    pub fn new(body: B, client: Rc<ClientSocket>) -> Self {
        TrackedBody { body, client }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.client.finish_response();
    }
}

impl<B: HandlerBody> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
