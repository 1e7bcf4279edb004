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

/// The body of a response, fixed or streamed.
pub enum ResponseBody {
    /// A complete body; `None` once it is sent, or if it is empty.
    Fixed(Option<Bytes>),
    /// A worker's stream, forwarded unchanged. Dropping it early reports to the driver that the client has
    /// disconnected.
    Stream(ResponseStream, DisconnectGuard),
    /// JSON lines that the JSON-RPC frontend generates.
    JsonLines(mpsc::Receiver<Frame>),
    /// A stream that broke: the next poll returns the error.
    Broken,
}

/// The worker's stream broke off: hyper closes the client's connection without sending the last chunk.
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
                    // The driver already knows that the stream has ended or broken.
                    if !matches!(frame, Some(Frame::Data(_))) {
                        disconnect_guard.disarm();
                    }
                    frame
                }
            },
            ResponseBody::JsonLines(lines) => match lines.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            },
            ResponseBody::Broken => return Poll::Ready(Some(Err(StreamBroken))),
        };
        match next {
            Some(Frame::Data(data)) => Poll::Ready(Some(Ok(BodyFrame::data(data)))),
            Some(Frame::End) => Poll::Ready(None),
            None => {
                // When a body fails, hyper drops all unwritten output, even the response head: a stream that
                // broke right after its first event would look like no response at all. Returning `Pending`
                // once makes hyper flush its output first.
                *body = ResponseBody::Broken;
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

/// Builds a plain-text response.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Fixed(Some(text.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
