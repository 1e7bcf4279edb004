//! Handles one HTTP message of a client: a request, a notification or a batch.

use super::active_calls::ActiveCalls;
use super::call::CallStarter;
use super::error::RpcError;
use super::output::AnswerOutput;
use super::params::CancelParams;
use super::protocol::{RpcRequest, encode_result, encode_rpc_error};
use super::relay::AnswerRelay;
use super::replay_buffer::ReplayBuffer;
use crate::frontend::chat_completions::rejection;
use crate::frontend::response_body::ResponseBody;
use crate::interface::Micros;
use crate::net::server::client_socket::ClientSocket;
use crate::runtime::counters::Counters;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::value::RawValue;
use std::rc::Rc;

/// The most requests in a batch.
const MAX_BATCH_REQUESTS: usize = 16;
/// The method that cancels another request.
const CANCEL_METHOD: &str = "cancel";

/// State shared by all message handlers.
pub struct HandlerContext {
    /// Validates and submits requests.
    pub call_starter: CallStarter,
    pub active_calls: Rc<ActiveCalls>,
    /// Runs tool calls.
    pub replay_buffer: Rc<ReplayBuffer>,
    /// The router's counters.
    pub counters: Rc<Counters>,
}

/// Handles one message of a client.
#[derive(Clone)]
pub struct MessageHandler {
    context: Rc<HandlerContext>,
    client: Rc<ClientSocket>,
}

impl MessageHandler {
    /// Creates a handler of a message received on this connection.
    pub fn new(context: Rc<HandlerContext>, client: Rc<ClientSocket>) -> Self {
        MessageHandler { context, client }
    }

    /// Decodes the message and responds to it.
    pub async fn respond(self, body: Bytes) -> Response<ResponseBody> {
        if body.trim_ascii_start().starts_with(b"[") {
            return match serde_json::from_slice::<Vec<Box<RawValue>>>(&body) {
                Ok(messages) => self.respond_to_batch(messages).await,
                Err(_) => self.error_response(None, RpcError::Parse),
            };
        }
        let Ok(message) = serde_json::from_slice::<Box<RawValue>>(&body) else {
            return self.error_response(None, RpcError::Parse);
        };
        match RpcRequest::decode(&message) {
            Ok(request) => self.respond_to_request(request).await,
            Err(invalid) => self.error_response(invalid.id.as_deref(), RpcError::InvalidRequest),
        }
    }

    /// Responds to a single request. An answer that streams is relayed by a separate task.
    async fn respond_to_request(self, request: RpcRequest) -> Response<ResponseBody> {
        if request.is_notification() {
            self.handle_notification(&request);
            return no_content();
        }
        let id = request.id.clone();
        if request.method == CANCEL_METHOD {
            return match self.cancel(&request) {
                Ok(was_active) => json_response(StatusCode::OK, encode_result(id.as_deref(), was_active)),
                Err(error) => self.error_response(id.as_deref(), error),
            };
        }
        match self.context.call_starter.start(request, &self.client).await {
            Ok(call) => stream_response(AnswerRelay::new(call, self.context.replay_buffer.clone())),
            Err(error) => self.error_response(id.as_deref(), error),
        }
    }

    /// Runs the requests of a batch concurrently, and responds once all have completed.
    async fn respond_to_batch(self, messages: Vec<Box<RawValue>>) -> Response<ResponseBody> {
        if messages.is_empty() || messages.len() > MAX_BATCH_REQUESTS {
            return self.error_response(None, RpcError::InvalidRequest);
        }
        let mut tasks = Vec::new();
        for message in messages {
            let handler = self.clone();
            tasks.push(tokio::task::spawn_local(async move { handler.batch_response(&message).await }));
        }
        let mut responses = Vec::new();
        for task in tasks {
            // If a task panics, only its own request gets no response.
            if let Ok(Some(response)) = task.await {
                responses.push(response);
            }
        }
        if responses.is_empty() {
            return no_content();
        }
        let mut body = vec![b'['];
        body.extend(responses.join(&b','));
        body.push(b']');
        json_response(StatusCode::OK, body)
    }

    /// Builds the response to one message of a batch; a notification has none.
    async fn batch_response(self, message: &RawValue) -> Option<Vec<u8>> {
        let request = match RpcRequest::decode(message) {
            Ok(request) => request,
            Err(invalid) => return Some(encode_rpc_error(invalid.id.as_deref(), &RpcError::InvalidRequest)),
        };
        if request.is_notification() {
            self.handle_notification(&request);
            return None;
        }
        let id = request.id.clone();
        let response = if request.method == CANCEL_METHOD {
            self.cancel(&request).map(|was_active| encode_result(id.as_deref(), was_active))
        } else {
            self.collect_answer(request).await
        };
        Some(response.unwrap_or_else(|error| encode_rpc_error(id.as_deref(), &error)))
    }

    /// Collects a whole answer and builds the response that contains it.
    async fn collect_answer(&self, request: RpcRequest) -> Result<Vec<u8>, RpcError> {
        let call = self.context.call_starter.start(request, &self.client).await?;
        let relay = AnswerRelay::new(call, self.context.replay_buffer.clone());
        let mut output = AnswerOutput::collected(self.client.clone());
        relay.run(&mut output).await.map_err(|_| RpcError::StreamBroken)
    }

    /// Handles a notification. The specification forbids a response, even for an error.
    fn handle_notification(&self, notification: &RpcRequest) {
        if notification.method != CANCEL_METHOD || self.cancel(notification).is_err() {
            self.context.counters.requests_malformed.increment();
            log::debug!(
                "connection {}: ignored a JSON-RPC notification: method {:?} is unknown or its parameters \
                 are invalid",
                self.client.number(),
                notification.method
            );
        }
    }

    /// Cancels a request's attempts and its tool calls in flight. Returns whether a call of this name was in
    /// progress.
    fn cancel(&self, request: &RpcRequest) -> Result<bool, RpcError> {
        let params = CancelParams::decode(request.params.as_deref())?;
        let was_active = self.context.active_calls.cancel(&params.name);
        self.context.replay_buffer.cancel(&params.name);
        Ok(was_active)
    }

    /// Builds an error response to the message.
    fn error_response(&self, id: Option<&RawValue>, error: RpcError) -> Response<ResponseBody> {
        let status = error.status();
        if status.is_client_error() {
            self.context.counters.requests_malformed.increment();
        }
        let mut response = json_response(status, encode_rpc_error(id, &error));
        if let Some(retry_after) = error.retry_after() {
            set_retry_after(retry_after, &mut response);
        }
        response
    }
}

/// Sets the `Retry-After` header, in the same format as on the chat completion path.
fn set_retry_after(retry_after: Micros, response: &mut Response<ResponseBody>) {
    if let Some(value) = rejection(Some(retry_after)).headers_mut().remove(RETRY_AFTER) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Spawns the task that relays an answer, and returns the response whose body it writes.
fn stream_response(relay: AnswerRelay) -> Response<ResponseBody> {
    let (mut output, body) = AnswerOutput::streamed();
    let name = relay.name();
    tokio::task::spawn_local(async move {
        match relay.run(&mut output).await {
            Ok(last_line) => output.finish(last_line).await,
            // Dropping the body without its end closes the client's connection; the client may then resume.
            Err(error) => log::info!("JSON-RPC request {name}: the answer is incomplete: {error}"),
        }
    });
    let mut response = Response::new(ResponseBody::JsonLines(body));
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn json_response(status: StatusCode, mut body: Vec<u8>) -> Response<ResponseBody> {
    body.push(b'\n');
    let mut response = Response::new(ResponseBody::Fixed(Some(body.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn no_content() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Fixed(None));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}
