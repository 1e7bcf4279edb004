//! The bodies of responses to clients.

use crate::net::server::handler::HandlerBody;
use crate::runtime::exchange::{DisconnectGuard, Frame, ResponseStream};
use bytes::Bytes;
use hyper::body::{Body, Frame as BodyFrame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of a response: a fixed one or a stream.
pub enum ResponseBody {
    /// Bytes that are known when the response begins; `None` once they are sent, or if there are none.
    Fixed(Option<Bytes>),
    /// A worker's stream, forwarded unchanged. Dropped before its end, it reports that the client has disconnected.
    Stream(ResponseStream, DisconnectGuard),
    /// A stream that the frontend writes itself.
    Lines(mpsc::Receiver<Frame>),
    /// A stream that has broken, and fails at the next poll.
    Breaking,
}

/// A worker's stream broke: the client's connection ends without the last chunk.
#[derive(Debug, thiserror::Error)]
#[error("the worker's stream broke")]
pub struct StreamBroken;

impl HandlerBody for ResponseBody {
    fn is_stream(&self) -> bool {
        !matches!(self, ResponseBody::Fixed(_))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, StreamBroken>>> {
        let body = self.get_mut();
        let next = match body {
            ResponseBody::Fixed(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(BodyFrame::data(b)))),
            ResponseBody::Stream(stream, disconnect_guard) => match stream.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => {
                    // At its end, complete or broken, the driver knows already that the stream is over.
                    if !matches!(frame, Some(Frame::Data(_))) {
                        disconnect_guard.disarm();
                    }
                    frame
                }
            },
            ResponseBody::Lines(lines) => match lines.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            },
            ResponseBody::Breaking => return Poll::Ready(Some(Err(StreamBroken))),
        };
        match next {
            Some(Frame::Data(data)) => Poll::Ready(Some(Ok(BodyFrame::data(data)))),
            Some(Frame::End) => Poll::Ready(None),
            None => {
                // When a body fails, hyper drops what it has not written yet, even the head: a stream that broke right
                // after its first event would look like no response at all. If the body is pending once, hyper writes
                // everything out first.
                *body = ResponseBody::Breaking;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Fixed(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Fixed(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            _ => SizeHint::default(),
        }
    }
}

/// A response of plain text.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Fixed(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
