//! Starts calls: validates a request, forwards it to workers and waits for its answer to stream.

use super::active_calls::{ActiveCall, ActiveCalls};
use super::error::RpcError;
use super::params::CompletionParams;
use super::protocol::RpcRequest;
use crate::frontend::chat_completions;
use crate::frontend::context::ServiceContext;
use crate::interface::{RequestId, RequestSpec};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::received_request::MAX_BODY_BYTES;
use crate::runtime::exchange::{
    Abandonment, DisconnectGuard, FinalResponse, ForwardedRequest, ResponseStream,
};
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::value::RawValue;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The state of a call that the relay of its answer needs.
pub struct CallContext {
    /// The JSON-RPC id of the client's request, for the response.
    pub id: Option<Box<RawValue>>,
    /// The number of tool calls in the answer so far, including those before a resume.
    pub tool_calls: u32,
    /// The call's registration in the table of calls in progress.
    pub active_call: ActiveCall,
}

/// A call whose answer streams.
///
/// The order of the fields is their drop order: first the driver is notified that the client disconnected
/// (unless the stream has ended), then the stream closes, and last the request's name becomes free.
pub struct StreamingCall {
    /// Reports a disconnect to the driver if it is dropped before the stream has ended.
    pub disconnect_guard: DisconnectGuard,
    /// The response of the decode worker, whose events form the answer.
    pub stream: ResponseStream,
    /// The call's state for the relay.
    pub context: CallContext,
}

/// Starts calls and registers them in the table of calls in progress.
pub struct CallStarter {
    context: Rc<ServiceContext>,
    active_calls: Rc<ActiveCalls>,
    /// The seed of the ids of forwarded requests.
    seed: u64,
}

impl CallStarter {
    /// Creates a starter that registers its calls in `active_calls`.
    pub fn new(context: Rc<ServiceContext>, active_calls: Rc<ActiveCalls>, seed: u64) -> Self {
        CallStarter { context, active_calls, seed }
    }

    /// Validates a request, forwards it, and waits until its answer begins to stream. Dropping the future
    /// reports to the driver that the client disconnected, and frees the request's name.
    ///
    /// # Errors
    /// The request is malformed, a duplicate or cancelled, or the driver rejected or failed it.
    pub async fn start(
        &self,
        request: RpcRequest,
        client: &Rc<ClientSocket>,
    ) -> Result<StreamingCall, RpcError> {
        if !self.context.request_classes.contains(&request.method) {
            return Err(RpcError::MethodNotFound);
        }
        let params = CompletionParams::decode(request.params.as_deref())?;
        let body = Bytes::from(params.worker_body(&request.method));
        if body.len() > MAX_BODY_BYTES {
            return Err(RpcError::PromptTooLong);
        }
        let is_resume = params.resume.is_some();
        let tool_calls = params.resume.as_ref().map_or(0, |resume| resume.tool_calls);
        let mut active_call = self.active_calls.register(params.name.as_str().into(), is_resume)?;
        let spec = self.request_spec(params, request.method, body.len(), client);
        let forwarded = self.forwarded_request(active_call.number(), body, client);
        log::debug!(
            "connection {}: JSON-RPC request {} is request {}",
            client.number(),
            active_call.name(),
            forwarded.id
        );
        let pending = self.context.driver.submit_request(spec, forwarded);
        // Not biased: if a cancellation and the answer are ready together, either may win. If the
        // cancellation wins, dropping the pending response cancels the request at the driver.
        let (response, disconnect_guard) = tokio::select! {
            response = pending.wait_reporting_disconnect(client.disconnected()) => response,
            _ = active_call.interrupted() => return Err(RpcError::Cancelled),
        };
        match response {
            FinalResponse::Rejected { retry_after } => Err(RpcError::rejected(retry_after)),
            FinalResponse::Failed => Err(RpcError::Failed),
            FinalResponse::Stream(stream) => {
                active_call.mark_streaming();
                let context = CallContext { id: request.id, tool_calls, active_call };
                Ok(StreamingCall { disconnect_guard, stream, context })
            }
        }
    }

    /// Describes a request for the policy. Its deadline counts from when it was detected behind an earlier
    /// request on the client's connection, or from now if it did not wait.
    fn request_spec(
        &self,
        params: CompletionParams,
        class: String,
        body_bytes: usize,
        client: &ClientSocket,
    ) -> RequestSpec {
        let prompt_tokens =
            params.prompt_tokens.unwrap_or(body_bytes as u64 / chat_completions::BYTES_PER_TOKEN);
        RequestSpec {
            request: RequestId(0),
            deadline: self.context.driver.clock.ago(client.pipeline_wait()) + params.deadline_ms * 1000,
            session: params.session.map(Into::into),
            prefix: params.prefix.map(Into::into),
            prefix_tokens: params.prefix_tokens.min(prompt_tokens),
            prompt_tokens,
            max_tokens: params.max_tokens,
            expected_decode_time: None,
            class,
            tenant: None,
        }
    }

    /// Builds the request for workers. Every call has a new id; the client's name for the request is the
    /// identity that stays the same across resumes.
    fn forwarded_request(
        &self,
        call_number: u64,
        body: Bytes,
        client: &Rc<ClientSocket>,
    ) -> ForwardedRequest {
        let id = format!("{:016x}", xxh3_64_with_seed(&call_number.to_le_bytes(), self.seed));
        let json = HeaderValue::from_static("application/json");
        ForwardedRequest {
            id,
            target: chat_completions::PATH.to_owned(),
            headers: HeaderMap::from_iter([(CONTENT_TYPE, json)]),
            body: body.into(),
            // A call of a tool is an event, too, and takes no tokens of the answer.
            max_output_tokens: None,
            client: client.connection(),
            abandonment: Abandonment::default(),
            resources: None,
        }
    }
}
