//! Relays a decode worker's tool call to the tool server, and the outcome back to the worker.

use super::active_calls::ActiveCall;
use super::error::ErrorObject;
use super::output::AnswerOutput;
use super::protocol::{Notification, RpcRequest, ToolCallState, encode_error, encode_result};
use super::relay_error::RelayError;
use super::replay_buffer::{ReplayBuffer, ToolCallKey};
use super::sse::{MAX_EVENT_BYTES, SseDecoder};
use super::tool_client::{ToolOutcome, ToolReply};
use crate::runtime::exchange::{Frame, ResponseStream};
use std::rc::Rc;

/// Relays one tool call, with borrowed parts of the relay of its answer.
///
/// If the worker crashes, or the client disconnects or resumes, while the tool is running, the relay ends but
/// the call goes on: the replay buffer retains its outcome.
pub struct ToolCallRelay<'a> {
    /// The call's key in the replay buffer.
    pub key: ToolCallKey,
    /// The tool call as the worker sent it.
    pub request: RpcRequest,
    /// The worker's stream.
    pub stream: &'a mut ResponseStream,
    /// Buffers the worker's stream during the call.
    pub decoder: &'a mut SseDecoder,
    /// The client's call, which may be interrupted.
    pub active_call: &'a mut ActiveCall,
    /// Sends notifications to the client.
    pub output: &'a mut AnswerOutput,
}

/// The outcome of a tool call, and whether the worker's stream ended during it.
struct CompletedToolCall {
    outcome: ToolOutcome,
    stream_ended: bool,
}

impl ToolCallRelay<'_> {
    /// Executes the call, sends its outcome to the worker and notifies the client.
    ///
    /// # Errors
    /// The answer can't be completed on this stream.
    pub async fn run(mut self, replay_buffer: &Rc<ReplayBuffer>) -> Result<(), RelayError> {
        // A worker that waits for a tool result sends nothing, which must not count as a stalled stream.
        self.stream.set_awaiting_reply(true);
        let CompletedToolCall { outcome, stream_ended } = self.wait_for_outcome(replay_buffer).await?;
        self.send_response(&outcome).await?;
        self.stream.set_awaiting_reply(false);
        let state = if matches!(outcome, Ok(ToolReply::Result(_))) {
            ToolCallState::Done
        } else {
            ToolCallState::Error
        };
        let notification = self.notification(state);
        self.output.send_line(notification).await?;
        // If the worker's stream ended before the tool call completed, the worker can't use the result.
        if stream_ended { Err(RelayError::EndedDuringToolCall) } else { Ok(()) }
    }

    /// Executes the call, and meanwhile notifies the client and buffers the worker's stream.
    async fn wait_for_outcome(
        &mut self,
        replay_buffer: &Rc<ReplayBuffer>,
    ) -> Result<CompletedToolCall, RelayError> {
        let calling = self.notification(ToolCallState::Calling);
        let mut unsent_line = Some(calling);
        let mut stream_ended = false;
        let disconnected = self.output.disconnected();
        let outcome =
            replay_buffer.call(self.key.clone(), &self.request.method, self.request.params.as_deref());
        tokio::pin!(disconnected, outcome);
        let outcome = loop {
            // Biased: polling the call first starts it before the client is notified, so that a stalled
            // client does not delay the tool, and an outcome takes precedence over a disconnect that is
            // detected at the same time.
            tokio::select! {
                biased;
                outcome = &mut outcome => break outcome,
                sent = send_optional_line(self.output, unsent_line.as_ref()), if unsent_line.is_some() => {
                    sent?;
                    unsent_line = None;
                }
                interruption = self.active_call.interrupted() => return Err(interruption.into()),
                () = &mut disconnected => return Err(RelayError::ClientDisconnected),
                // Buffers the worker's stream up to a limit; beyond it, the worker sees backpressure.
                frame = self.stream.next(),
                    if !stream_ended && self.decoder.buffered_bytes() < MAX_EVENT_BYTES =>
                {
                    match frame {
                        Some(Frame::Data(data)) => self.decoder.push(&data)?,
                        Some(Frame::End) => stream_ended = true,
                        None => return Err(RelayError::StreamBroken),
                    }
                }
            }
        };
        send_optional_line(self.output, unsent_line.as_ref()).await?;
        Ok(CompletedToolCall { outcome, stream_ended })
    }

    /// Responds to the worker's request; a notification has no response.
    async fn send_response(&self, outcome: &ToolOutcome) -> Result<(), RelayError> {
        let Some(id) = self.request.id.as_deref() else { return Ok(()) };
        let response = match outcome {
            Ok(ToolReply::Result(result)) => encode_result(Some(id), &**result),
            Ok(ToolReply::Error(error)) => encode_error(Some(id), &**error),
            Err(error) => encode_error(Some(id), ErrorObject::from(*error)),
        };
        if self.stream.reply(response.into()).await { Ok(()) } else { Err(RelayError::ToolResultNotAccepted) }
    }

    /// Encodes the notification of the call's state for the client.
    fn notification(&self, state: ToolCallState) -> Vec<u8> {
        Notification::Tool { ordinal: self.key.ordinal, state }.encode(&self.key.request)
    }
}

/// Sends a line if there is one. Dropping the future before it resolves sends nothing, so the line may be
/// sent again; that restarts the client's write timeout.
async fn send_optional_line(output: &mut AnswerOutput, line: Option<&Vec<u8>>) -> Result<(), RelayError> {
    match line {
        Some(line) => output.send_line(line.clone()).await,
        None => Ok(()),
    }
}
