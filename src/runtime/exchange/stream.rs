//! A worker's stream on its way to the client, and messages from the server side back to the worker.

use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// Frames of a stream that may wait for a slow client before the worker's connection is no longer read.
const MAX_WAITING_FRAMES: usize = 16;

/// A part of a stream.
#[derive(Debug)]
pub enum Frame {
    /// Bytes as the worker sent them.
    Data(Bytes),
    /// The complete stream has been passed on. A stream that closes without this frame is broken.
    End,
}

/// A message from the server side to the worker that streams.
#[derive(Debug)]
pub struct Reply {
    /// Its body.
    pub body: Bytes,
    /// To be told whether the worker accepted it.
    pub accepted: oneshot::Sender<bool>,
}

/// The server side's end of a stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub struct ResponseStream {
    /// The stream's content type, as the worker stated it.
    pub content_type: Option<String>,
    frames: mpsc::Receiver<Frame>,
    replies: mpsc::Sender<Reply>,
    awaiting_reply: Rc<Cell<bool>>,
}

impl ResponseStream {
    /// Marks the worker as waiting for a reply: meanwhile its silence is no fault.
    pub fn set_awaiting_reply(&self, awaiting_reply: bool) {
        self.awaiting_reply.set(awaiting_reply);
    }

    /// The next frame; `None` when the stream is broken. Cancel safe.
    pub async fn next(&mut self) -> Option<Frame> {
        self.frames.recv().await
    }

    /// Polls for the next frame; `None` when the stream is broken.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        self.frames.poll_recv(cx)
    }

    /// Sends a message to the worker that streams; whether the worker accepted it. Dropping the future may
    /// leave the message sent.
    pub async fn reply(&self, body: Bytes) -> bool {
        let (accepted, acceptance) = oneshot::channel();
        self.replies.send(Reply { body, accepted }).await.is_ok() && acceptance.await.unwrap_or(false)
    }
}

/// The upstream client's end of a stream. Dropping it before [`Frame::End`] was sent breaks the stream.
#[derive(Debug)]
pub struct ResponseStreamSender {
    /// Frames for the client.
    pub frames: mpsc::Sender<Frame>,
    /// Messages to the worker.
    pub replies: mpsc::Receiver<Reply>,
    /// Whether the worker is known to wait for a reply.
    pub awaiting_reply: Rc<Cell<bool>>,
}

/// The two ends of a new stream.
pub fn response_stream(content_type: Option<String>) -> (ResponseStreamSender, ResponseStream) {
    let (frame_sender, frames) = mpsc::channel(MAX_WAITING_FRAMES);
    let (replies, reply_receiver) = mpsc::channel(1);
    let awaiting_reply = Rc::new(Cell::new(false));
    let sender = ResponseStreamSender {
        frames: frame_sender,
        replies: reply_receiver,
        awaiting_reply: awaiting_reply.clone(),
    };
    (sender, ResponseStream { content_type, frames, replies, awaiting_reply })
}
