//! The response stream of a worker, and the replies from the server side to the worker.

use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// The capacity of a stream's channel. When a slow client fills it, the worker's connection is no longer
/// read.
const MAX_BUFFERED_FRAMES: usize = 2;

/// What the worker's side of a stream passes to the side of the client.
#[derive(Debug)]
pub enum Frame {
    /// Bytes in the form in which the worker sent them.
    Data(Bytes),
    /// The end of a complete stream. A stream that closes without this frame was interrupted.
    End,
}

/// A message from the server side to the worker of a stream, such as the result of a tool call.
#[derive(Debug)]
pub struct Reply {
    /// The content that the worker receives.
    pub body: Bytes,
    /// Receives whether the worker accepted the message.
    pub accepted: oneshot::Sender<bool>,
}

/// The server side's end of a stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub struct ResponseStream {
    /// The content type that the worker stated.
    pub content_type: Option<String>,
    frames: mpsc::Receiver<Frame>,
    replies: mpsc::Sender<Reply>,
    awaiting_reply: Rc<Cell<bool>>,
}

impl ResponseStream {
    /// Sets whether the worker awaits a reply. While it does, the event timeout does not apply.
    pub fn set_awaiting_reply(&self, awaiting_reply: bool) {
        self.awaiting_reply.set(awaiting_reply);
    }

    /// Receives the next frame; `None` if the stream was interrupted. Cancel safe.
    pub async fn next(&mut self) -> Option<Frame> {
        self.frames.recv().await
    }

    /// Polls for the next frame; `None` if the stream was interrupted.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        self.frames.poll_recv(cx)
    }

    /// Sends a message to the worker and returns whether the worker accepted it. The message may still be
    /// sent after the future is dropped.
    pub async fn reply(&self, body: Bytes) -> bool {
        let (accepted, acceptance) = oneshot::channel();
        self.replies.send(Reply { body, accepted }).await.is_ok() && acceptance.await.unwrap_or(false)
    }
}

/// The upstream client's end of a stream. Dropping it before [`Frame::End`] was sent interrupts the stream.
#[derive(Debug)]
pub struct ResponseStreamSender {
    /// Frames for the client.
    pub frames: mpsc::Sender<Frame>,
    /// Replies to the worker.
    pub replies: mpsc::Receiver<Reply>,
    /// Whether the worker awaits a reply.
    pub awaiting_reply: Rc<Cell<bool>>,
}

/// Creates a stream and returns its two ends.
pub fn response_stream(content_type: Option<String>) -> (ResponseStreamSender, ResponseStream) {
    let (frame_sender, frames) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let (replies, reply_receiver) = mpsc::channel(1);
    let awaiting_reply = Rc::new(Cell::new(false));
    let sender = ResponseStreamSender {
        frames: frame_sender,
        replies: reply_receiver,
        awaiting_reply: awaiting_reply.clone(),
    };
    (sender, ResponseStream { content_type, frames, replies, awaiting_reply })
}
