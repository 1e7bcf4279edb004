//! The exchange: the channel between the server side and the upstream side of one request.
//!
//! [`open_exchange`] returns a [`PendingResponse`] for the server side and a [`Responder`] for the driver.
//! Sending the final response consumes the responder, so a request has exactly one. A responder that is
//! dropped unused fails the request, so that no client waits forever.

mod request;
mod segmented_bytes;
mod stream;

pub use request::{Abandonment, ClientConnection, ForwardedRequest, RequestState};
pub use segmented_bytes::SegmentedBytes;
pub use stream::{Frame, Reply, ResponseStream, ResponseStreamSender, response_stream};

use crate::interface::Micros;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response of a request, or the start of it.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request was rejected: a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries; `None`: not stated.
        retry_after: Option<Micros>,
    },
    /// The request failed: it may or may not have had an effect.
    Failed,
    /// The response stream of a worker.
    Stream(ResponseStream),
}

/// Sends the final response. Sending consumes the responder; dropping it unused fails the request.
#[derive(Debug)]
pub struct Responder {
    response: Option<oneshot::Sender<FinalResponse>>,
    request_state: RequestState,
}

impl Responder {
    /// The state of the request. It may be kept for longer than the responder.
    pub fn request_state(&self) -> RequestState {
        self.request_state.clone()
    }

    /// Rejects the request: a retry is harmless.
    pub fn reject(self, retry_after: Option<Micros>) {
        self.respond(FinalResponse::Rejected { retry_after });
    }

    /// Fails the request: it may or may not have had an effect.
    pub fn fail(self) {
        self.respond(FinalResponse::Failed);
    }

    /// Passes a stream to the client. If the client has disconnected, the stream is dropped, which cancels
    /// its attempt.
    pub fn stream(self, stream: ResponseStream) {
        self.respond(FinalResponse::Stream(stream));
    }

    fn respond(mut self, response: FinalResponse) {
        self.request_state.close();
        if let Some(sender) = self.response.take() {
            // Fails if the client has disconnected: the response is discarded.
            let _ = sender.send(response);
        }
    }
}

impl Drop for Responder {
    /// Fails the request if the responder was not used, for instance because of a panic.
    fn drop(&mut self) {
        self.request_state.close();
        if let Some(sender) = self.response.take() {
            let _ = sender.send(FinalResponse::Failed);
        }
    }
}

/// Reports the client as disconnected when dropped, unless [`DisconnectGuard::disarm`] was called.
pub struct DisconnectGuard {
    on_disconnect: Option<Rc<dyn Fn()>>,
    request_state: RequestState,
}

impl DisconnectGuard {
    /// Disables the report, once the client has its complete response.
    pub fn disarm(&mut self) {
        self.on_disconnect = None;
    }

    /// Reports, at most once, that the client has disconnected. No attempt of the request starts from now on.
    fn disconnect(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            self.request_state.close();
            on_disconnect();
        }
    }
}

impl Drop for DisconnectGuard {
    /// The server drops the guard together with the future of the connection.
    fn drop(&mut self) {
        self.disconnect();
    }
}

/// The receiving end of a final response that has not been sent yet. Dropping it, or the future of one of its
/// methods, reports the client as disconnected.
pub struct PendingResponse {
    response: oneshot::Receiver<FinalResponse>,
    guard: DisconnectGuard,
}

impl PendingResponse {
    /// Waits for the final response. The caller keeps the guard until the response has been sent to the
    /// client.
    pub async fn wait(self) -> (FinalResponse, DisconnectGuard) {
        self.wait_reporting_disconnect(std::future::pending()).await
    }

    /// Waits for the final response, and reports the client as disconnected when `disconnected` resolves
    /// first. The driver still sends a final response after that report: a client that has only shut down its
    /// sending side receives it.
    pub async fn wait_reporting_disconnect(
        mut self,
        disconnected: impl Future<Output = ()>,
    ) -> (FinalResponse, DisconnectGuard) {
        let response = tokio::select! {
            // A response that is ready takes precedence over a disconnect at the same time.
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

/// Opens an exchange; `on_disconnect` is called if the client disconnects before its response is complete.
pub fn open_exchange(on_disconnect: Rc<dyn Fn()>) -> (PendingResponse, Responder) {
    let (sender, response) = oneshot::channel();
    let request_state = RequestState::default();
    let guard = DisconnectGuard { on_disconnect: Some(on_disconnect), request_state: request_state.clone() };
    (PendingResponse { response, guard }, Responder { response: Some(sender), request_state })
}

#[cfg(test)]
mod tests;
