//! The exchange: the one object in which the server side and the client side of a request meet.
//!
//! [`open`] gives a [`PendingResponse`] to whoever took the request, and an [`Responder`] that travels to whoever
//! ends it. The handle is consumed by its use, so there is one final answer by construction; dropped unused,
//! it fails the request rather than losing it.

use crate::interface::Micros;
use bytes::Bytes;
use hyper::HeaderMap;
use std::any::Any;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Frames of a stream that may wait for a slow client before the model host is made to wait.
const FRAMES: usize = 16;

/// A request as it is passed on to model hosts, unchanged.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The id under which model hosts know it.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether its client is still there.
    pub client: ClientConnection,
    /// What lasts for as long as anything of the request does, after its answer too: its id, the room it takes.
    pub resources: Option<Rc<dyn Any>>,
}

/// A look at a client's connection, for whoever is about to send something for it.
#[derive(Clone, Default)]
pub struct ClientConnection(Option<Rc<dyn Fn() -> bool>>);

impl ClientConnection {
    /// A connection of which `has_left` tells whether the client has closed it.
    pub fn new(has_left: Rc<dyn Fn() -> bool>) -> Self {
        ClientConnection(Some(has_left))
    }

    /// Whether the client has closed it by now.
    pub fn has_left(&self) -> bool {
        self.0.as_ref().is_some_and(|has_left| has_left())
    }
}

impl std::fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClientConnection")
    }
}

/// Whether a request still waits for its final answer, for all that act for it. It ends in the moment in which an answer
/// is given, by whomever, or its client is known to have left.
#[derive(Clone, Debug)]
pub struct RequestState(Rc<Cell<bool>>);

impl RequestState {
    /// Whether there is no final answer yet.
    pub fn is_open(&self) -> bool {
        self.0.get()
    }

    fn end(&self) {
        self.0.set(false);
    }
}

impl Default for RequestState {
    fn default() -> Self {
        RequestState(Rc::new(Cell::new(true)))
    }
}

/// The final answer, or the beginning of one.
#[derive(Debug)]
pub enum FinalResponse {
    /// Trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// No promise about the effect.
    Failed,
    /// A model host's stream; it belongs to the client from here on.
    Stream(ResponseStream),
}

/// A part of a stream.
#[derive(Debug)]
pub enum Frame {
    /// Bytes, as they came.
    Data(Bytes),
    /// The whole stream has passed. A feed that closes without this one is broken.
    End,
}

/// What a server side sends back to the model host that streams: the body of a message about this request.
#[derive(Debug)]
pub struct Reply {
    /// Its body.
    pub body: Bytes,
    /// Told whether the model host took it.
    pub done: oneshot::Sender<bool>,
}

/// The server side's end of a stream.
#[derive(Debug)]
pub struct ResponseStream {
    /// The stream's type, as the model host named it.
    pub content_type: Option<String>,
    frames: mpsc::Receiver<Frame>,
    replies: mpsc::Sender<Reply>,
    paused: Rc<Cell<bool>>,
}

impl ResponseStream {
    /// Whether the model host is being waited for, or itself waits for a reply: then its silence is no failure.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// The next frame; `None` when the stream is broken.
    pub async fn next(&mut self) -> Option<Frame> {
        self.frames.recv().await
    }

    /// The same, for callers that poll.
    pub fn poll_next(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Frame>> {
        self.frames.poll_recv(cx)
    }

    /// Sends a message back to the model host that streams; whether it took it.
    pub async fn reply(&self, body: Bytes) -> bool {
        let (done, taken) = oneshot::channel();
        self.replies.send(Reply { body, done }).await.is_ok() && taken.await.unwrap_or(false)
    }
}

/// The client side's end of a stream.
#[derive(Debug)]
pub struct ResponseStreamSender {
    /// Frames for the server side.
    pub frames: mpsc::Sender<Frame>,
    /// What comes back.
    pub replies: mpsc::Receiver<Reply>,
    /// Whether the model host is known to wait for a reply.
    pub paused: Rc<Cell<bool>>,
}

/// A stream's two ends.
pub fn response_stream(content_type: Option<String>) -> (ResponseStreamSender, ResponseStream) {
    let (tx, frames) = mpsc::channel(FRAMES);
    let (replies, back) = mpsc::channel(1);
    let paused = Rc::new(Cell::new(false));
    let source = ResponseStreamSender { frames: tx, replies: back, paused: paused.clone() };
    (source, ResponseStream { content_type, frames, replies, paused })
}

/// Gives the final answer. Every way of giving one consumes it.
#[derive(Debug)]
pub struct Responder {
    answer: Option<oneshot::Sender<FinalResponse>>,
    request: RequestState,
}

impl Responder {
    /// Whether the request still waits for this handle's use.
    pub fn request(&self) -> RequestState {
        self.request.clone()
    }

    /// Refuses: trying again is harmless.
    pub fn reject(self, retry_after: Option<Micros>) {
        self.give(FinalResponse::Rejected { retry_after });
    }

    /// Fails: no promise about the effect.
    pub fn fail(self) {
        self.give(FinalResponse::Failed);
    }

    /// Hands a stream over; whether anybody was there to take it.
    pub fn stream(self, feed: ResponseStream) -> bool {
        self.give(FinalResponse::Stream(feed))
    }

    fn give(mut self, answer: FinalResponse) -> bool {
        self.request.end();
        self.answer.take().is_some_and(|tx| tx.send(answer).is_ok())
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.request.end();
        // Whoever held it has gone wrong (a panic, say): the client hears of a failure, not of nothing.
        if let Some(tx) = self.answer.take() {
            let _ = tx.send(FinalResponse::Failed);
        }
    }
}

/// Tells the core, when dropped before [`DisconnectGuard::finished`], that the client has left.
pub struct DisconnectGuard {
    left: Option<Rc<dyn Fn()>>,
    request: RequestState,
}

impl DisconnectGuard {
    /// The client has its whole answer.
    pub fn finished(&mut self) {
        self.left = None;
    }

    /// The client has left.
    fn leave(&mut self) {
        if let Some(left) = self.left.take() {
            self.request.end();
            left();
        }
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.leave();
    }
}

/// The end that waits for the answer. Dropping it, or the presence taken from it, tells that the client left.
pub struct PendingResponse {
    answer: oneshot::Receiver<FinalResponse>,
    presence: DisconnectGuard,
}

impl PendingResponse {
    /// Waits for the answer; the presence must live as long as the client is being answered.
    pub async fn answer(self) -> (FinalResponse, DisconnectGuard) {
        self.response_unless_disconnected(std::future::pending()).await
    }

    /// The same for a client that may leave meanwhile. The core is told, and still gives the final answer: a client that
    /// has only ended its sending hears it.
    pub async fn response_unless_disconnected(
        mut self,
        left: impl Future<Output = ()>,
    ) -> (FinalResponse, DisconnectGuard) {
        let answer = tokio::select! {
            biased;
            answer = &mut self.answer => answer,
            () = left => {
                self.presence.leave();
                (&mut self.answer).await
            }
        };
        let answer = answer.unwrap_or(FinalResponse::Failed);
        if !matches!(answer, FinalResponse::Stream(_)) {
            self.presence.finished();
        }
        (answer, self.presence)
    }
}

/// Opens an exchange; `left` is called if the client leaves early.
pub fn open(left: Rc<dyn Fn()>) -> (PendingResponse, Responder) {
    let (tx, answer) = oneshot::channel();
    let request = RequestState::default();
    let presence = DisconnectGuard { left: Some(left), request: request.clone() };
    (PendingResponse { answer, presence }, Responder { answer: Some(tx), request })
}

#[cfg(test)]
mod tests;
