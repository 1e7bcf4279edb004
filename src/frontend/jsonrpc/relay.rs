//! Relays a decode worker's stream to the client, event by event.

use super::call::{CallContext, StreamingCall};
use super::error::RpcError;
use super::output::AnswerOutput;
use super::protocol::{AnswerResult, RpcRequest, encode_result, encode_rpc_error};
use super::relay_error::RelayError;
use super::replay_buffer::{ReplayBuffer, ToolCallKey};
use super::sse::SseDecoder;
use super::tool_call::ToolCallRelay;
use super::worker_event::{AnswerChunk, WorkerEvent};
use crate::runtime::exchange::{DisconnectGuard, Frame, ResponseStream};
use serde_json::value::RawValue;
use std::rc::Rc;

/// Relays one answer. Dropping it before the stream has ended reports to the driver that the client
/// disconnected.
pub struct AnswerRelay {
    // These three must be dropped in the same order as the fields of `StreamingCall`.
    disconnect_guard: DisconnectGuard,
    stream: ResponseStream,
    context: CallContext,
    replay_buffer: Rc<ReplayBuffer>,
    decoder: SseDecoder,
    finish_reason: String,
    usage: Option<Box<RawValue>>,
}

impl AnswerRelay {
    pub fn new(call: StreamingCall, replay_buffer: Rc<ReplayBuffer>) -> Self {
        AnswerRelay {
            disconnect_guard: call.disconnect_guard,
            stream: call.stream,
            context: call.context,
            replay_buffer,
            decoder: SseDecoder::default(),
            finish_reason: "stop".into(),
            usage: None,
        }
    }

    /// The client's name for its request.
    pub fn name(&self) -> Rc<str> {
        self.context.active_call.name().clone()
    }

    /// Relays the answer with its tool calls, and returns the JSON-RPC response that ends it. The request's
    /// name is free once this returns.
    ///
    /// # Errors
    /// The answer is incomplete for one of the reasons in [`RelayError`]. [`RelayError::Cancelled`] is not
    /// returned, since a cancelled request still gets a response.
    pub async fn run(mut self, output: &mut AnswerOutput) -> Result<Vec<u8>, RelayError> {
        let id = self.context.id.clone();
        match self.relay_stream(output).await {
            Ok(()) => Ok(self.response(output)),
            // A cancelled request still gets a response.
            Err(RelayError::Cancelled) => Ok(encode_rpc_error(id.as_deref(), &RpcError::Cancelled)),
            Err(error) => Err(error),
        }
    }

    /// Relays the stream until its end.
    ///
    /// # Errors
    /// The answer is incomplete: its stream broke, the call was interrupted, or the client disconnected.
    async fn relay_stream(&mut self, output: &mut AnswerOutput) -> Result<(), RelayError> {
        loop {
            // Biased: a stream that always has a frame ready must not starve interruptions and disconnects.
            // Each branch is cancel safe.
            let frame = tokio::select! {
                biased;
                interruption = self.context.active_call.interrupted() => return Err(interruption.into()),
                () = output.disconnected() => return Err(RelayError::ClientDisconnected),
                frame = self.stream.next() => frame,
            };
            match frame {
                Some(Frame::Data(data)) => self.decoder.push(&data)?,
                Some(Frame::End) => {
                    self.disconnect_guard.disarm();
                    return Ok(());
                }
                None => {
                    self.disconnect_guard.disarm();
                    return Err(RelayError::StreamBroken);
                }
            }
            self.relay_events(output).await?;
        }
    }

    /// Relays all events that have been received in full.
    async fn relay_events(&mut self, output: &mut AnswerOutput) -> Result<(), RelayError> {
        while let Some(data) = self.decoder.next_event()? {
            match WorkerEvent::decode(&data)? {
                WorkerEvent::Empty => {}
                WorkerEvent::Chunk(chunk) => self.relay_chunk(chunk, output).await?,
                WorkerEvent::ToolCall(request) => self.relay_tool_call(request, output).await?,
            }
        }
        Ok(())
    }

    /// Sends the text of a chunk, and records its finish reason and token counts for the JSON-RPC response.
    async fn relay_chunk(&mut self, chunk: AnswerChunk, output: &mut AnswerOutput) -> Result<(), RelayError> {
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        for choice in chunk.choices {
            if let Some(text) = choice.text() {
                output.send_delta(self.context.active_call.name(), text).await?;
            }
            if let Some(reason) = choice.finish_reason {
                self.finish_reason = reason;
            }
        }
        Ok(())
    }

    /// Relays a tool call. Its ordinal in the answer counts the tool calls before a resume too.
    async fn relay_tool_call(
        &mut self,
        request: RpcRequest,
        output: &mut AnswerOutput,
    ) -> Result<(), RelayError> {
        let ordinal = self.context.tool_calls;
        self.context.tool_calls += 1;
        let relay = ToolCallRelay {
            key: ToolCallKey { request: self.name(), ordinal },
            request,
            stream: &mut self.stream,
            decoder: &mut self.decoder,
            active_call: &mut self.context.active_call,
            output,
        };
        relay.run(&self.replay_buffer).await
    }

    /// Builds the JSON-RPC response after a complete answer.
    fn response(&self, output: &AnswerOutput) -> Vec<u8> {
        let result = AnswerResult {
            request: self.context.active_call.name(),
            finish_reason: &self.finish_reason,
            tool_calls: self.context.tool_calls,
            text: output.collected_text(),
            usage: self.usage.as_deref(),
        };
        encode_result(self.context.id.as_deref(), result)
    }
}
