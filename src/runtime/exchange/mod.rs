//! The exchange: where the server side and the upstream side of one request meet.
//!
//! [`open_exchange`] returns a [`PendingResponse`] for whoever received the request, and a [`Responder`] that travels
//! to whoever answers it. A responder is consumed by its use, so a request has one final answer by
//! construction. A responder that is dropped unused fails the request, so that no client waits for an answer
//! that nobody will give.

mod request;
mod stream;

pub use request::{ClientConnection, ForwardedRequest, RequestState};
pub use stream::{Frame, Reply, ResponseStream, ResponseStreamSender, response_stream};

use crate::interface::Micros;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final answer, or its beginning.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request was rejected: retrying is harmless.
    Rejected {
        /// When the client should retry.
        retry_after: Option<Micros>,
    },
    /// The request failed: no promise about its effect.
    Failed,
    /// A worker's stream. It belongs to the client from here on.
    Stream(ResponseStream),
}

/// Gives the final answer. Each method consumes it; dropping it unused fails the request.
#[derive(Debug)]
pub struct Responder {
    response: Option<oneshot::Sender<FinalResponse>>,
    request_state: RequestState,
}

impl Responder {
    /// Whether the request still waits for its final answer, also after this responder is gone.
    pub fn request_state(&self) -> RequestState {
        self.request_state.clone()
    }

    /// Rejects the request: retrying is harmless.
    pub fn reject(self, retry_after: Option<Micros>) {
        self.respond(FinalResponse::Rejected { retry_after });
    }

    /// Fails the request: no promise about its effect.
    pub fn fail(self) {
        self.respond(FinalResponse::Failed);
    }

    /// Passes a stream on. If nobody waits for it any more, the stream is dropped, which cancels its attempt.
    pub fn stream(self, stream: ResponseStream) {
        self.respond(FinalResponse::Stream(stream));
    }

    fn respond(mut self, response: FinalResponse) {
        self.request_state.close();
        if let Some(sender) = self.response.take() {
            // Fails if the client has disconnected: then the answer is for nobody.
            let _ = sender.send(response);
        }
    }
}

impl Drop for Responder {
    /// Fails the request if the responder was not used, because of a panic, say.
    fn drop(&mut self) {
        self.request_state.close();
        if let Some(sender) = self.response.take() {
            let _ = sender.send(FinalResponse::Failed);
        }
    }
}

/// Reports that the client has disconnected when it is dropped before [`DisconnectGuard::disarm`] was
/// called.
pub struct DisconnectGuard {
    on_disconnect: Option<Rc<dyn Fn()>>,
    request_state: RequestState,
}

impl DisconnectGuard {
    /// Records that the client has its complete answer: dropping the guard does nothing any more.
    pub fn disarm(&mut self) {
        self.on_disconnect = None;
    }

    /// Reports, once, that the client has disconnected. Nothing begins for the request from here on.
    fn disconnect(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            self.request_state.close();
            on_disconnect();
        }
    }
}

impl Drop for DisconnectGuard {
    /// The server drops the guard with the connection's future, however that ends.
    fn drop(&mut self) {
        self.disconnect();
    }
}

/// Waits for the final answer. Dropping it, or the future of one of its methods, reports that the client has
/// disconnected.
pub struct PendingResponse {
    response: oneshot::Receiver<FinalResponse>,
    guard: DisconnectGuard,
}

impl PendingResponse {
    /// Waits for the final answer. The guard has to be kept for as long as the client is being answered.
    pub async fn wait(self) -> (FinalResponse, DisconnectGuard) {
        self.wait_reporting_disconnect(std::future::pending()).await
    }

    /// Waits for the final answer to a client that may disconnect meanwhile, which `disconnected` resolves
    /// at. The driver is then notified and still gives a final answer: a client that has only shut down its
    /// sending side receives it.
    pub async fn wait_reporting_disconnect(
        mut self,
        disconnected: impl Future<Output = ()>,
    ) -> (FinalResponse, DisconnectGuard) {
        let response = tokio::select! {
            // An answer that has been given stands, also if the client disconnects at the same moment.
            biased;
            response = &mut self.response => response,
            () = disconnected => {
                self.guard.disconnect();
                (&mut self.response).await
            }
        };
        let response = response.unwrap_or(FinalResponse::Failed);
        if !matches!(response, FinalResponse::Stream(_)) {
            self.guard.disarm();
        }
        (response, self.guard)
    }
}

/// Opens an exchange; `on_disconnect` is called if the client disconnects before it has its answer.
pub fn open_exchange(on_disconnect: Rc<dyn Fn()>) -> (PendingResponse, Responder) {
    let (sender, response) = oneshot::channel();
    let request_state = RequestState::default();
    let guard = DisconnectGuard { on_disconnect: Some(on_disconnect), request_state: request_state.clone() };
    (PendingResponse { response, guard }, Responder { response: Some(sender), request_state })
}

#[cfg(test)]
mod tests;
