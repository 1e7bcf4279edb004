//! Relays one tool call of a decode worker to the tool server, and its outcome back to the worker.

use super::active_calls::ActiveCall;
use super::error::ErrorObject;
use super::output::AnswerOutput;
use super::protocol::{Notification, RpcRequest, ToolState, encode_error, encode_result};
use super::relay_error::RelayError;
use super::replay_buffer::{ReplayBuffer, ToolCallKey};
use super::sse::{MAX_EVENT_BYTES, SseDecoder};
use super::tool_client::{ToolOutcome, ToolReply};
use crate::runtime::exchange::{Frame, ResponseStream};
use std::rc::Rc;

/// One tool call, and what of its answer's relay it needs.
///
/// The worker may die, or the client disconnect or cancel, while the tool is running. The relay ends then; the call
/// does not, and its outcome waits in the replay buffer.
pub struct ToolCallRelay<'a> {
    /// The call's key in the replay buffer.
    pub key: ToolCallKey,
    /// The worker's request.
    pub request: RpcRequest,
    /// The worker's stream.
    pub stream: &'a mut ResponseStream,
    /// Collects what the worker streams meanwhile.
    pub events: &'a mut SseDecoder,
    /// The client's call.
    pub active_call: &'a mut ActiveCall,
    /// Where the client is notified.
    pub output: &'a mut AnswerOutput,
}

/// How a tool call ended, and what became of the worker's stream meanwhile.
struct ToolCallEnd {
    outcome: ToolOutcome,
    stream_ended: bool,
}

impl ToolCallRelay<'_> {
    /// Runs the call and tells the client and the worker of it.
    ///
    /// # Errors
    /// The answer can't go on.
    pub async fn run(mut self, replay_buffer: &Rc<ReplayBuffer>) -> Result<(), RelayError> {
        // A worker that waits for a tool result streams nothing: its silence is no failure.
        self.stream.set_awaiting_reply(true);
        let ToolCallEnd { outcome, stream_ended } = self.wait_for_outcome(replay_buffer).await?;
        self.send_response(&outcome).await?;
        self.stream.set_awaiting_reply(false);
        let state =
            if matches!(outcome, Ok(ToolReply::Result(_))) { ToolState::Done } else { ToolState::Error };
        let notification = self.notification(state);
        self.output.line(notification).await?;
        // A stream that ended before its tool call was answered can't use the result.
        if stream_ended { Err(RelayError::EndedDuringToolCall) } else { Ok(()) }
    }

    /// Makes the call while it notifies the client and buffers the worker's stream.
    async fn wait_for_outcome(
        &mut self,
        replay_buffer: &Rc<ReplayBuffer>,
    ) -> Result<ToolCallEnd, RelayError> {
        let calling = self.notification(ToolState::Calling);
        let mut unsent_notification = Some(calling);
        let mut stream_ended = false;
        let disconnected = self.output.disconnected();
        let outcome =
            replay_buffer.call(self.key.clone(), &self.request.method, self.request.params.as_deref());
        tokio::pin!(disconnected, outcome);
        let outcome = loop {
            // Biased: the call is polled, and so started, before the client is notified, as a client that stalls must
            // not keep the tool waiting; an outcome counts even if the client disconnects in the same moment.
            tokio::select! {
                biased;
                outcome = &mut outcome => break outcome,
                sent = send_if_some(self.output, unsent_notification.as_ref()), if unsent_notification.is_some() => {
                    sent?;
                    unsent_notification = None;
                }
                interruption = self.active_call.interrupted() => return Err(interruption.into()),
                () = &mut disconnected => return Err(RelayError::ClientDisconnected),
                // What the worker streams meanwhile is kept for later; beyond its limit the worker has to wait.
                frame = self.stream.next(), if !stream_ended && self.events.buffered_bytes() < MAX_EVENT_BYTES => {
                    match frame {
                        Some(Frame::Data(data)) => self.events.push(&data)?,
                        Some(Frame::End) => stream_ended = true,
                        None => return Err(RelayError::StreamBroken),
                    }
                }
            }
        };
        send_if_some(self.output, unsent_notification.as_ref()).await?;
        Ok(ToolCallEnd { outcome, stream_ended })
    }

    /// Answers the worker's request; a notification has no answer.
    async fn send_response(&self, outcome: &ToolOutcome) -> Result<(), RelayError> {
        let Some(id) = self.request.id.as_deref() else { return Ok(()) };
        let response = match outcome {
            Ok(ToolReply::Result(result)) => encode_result(Some(id), &**result),
            Ok(ToolReply::Error(error)) => encode_error(Some(id), &**error),
            Err(error) => encode_error(Some(id), ErrorObject::from(*error)),
        };
        if self.stream.reply(response.into()).await { Ok(()) } else { Err(RelayError::ToolResultNotAccepted) }
    }

    /// The line that tells the client how far the call has come.
    fn notification(&self, state: ToolState) -> Vec<u8> {
        Notification::Tool { ordinal: self.key.ordinal, state }.encode(&self.key.request)
    }
}

/// Sends a line if there is one. Dropping the future before it resolves sends nothing, so that the line may be sent anew;
/// the client's timeout starts anew then, too.
async fn send_if_some(output: &mut AnswerOutput, line: Option<&Vec<u8>>) -> Result<(), RelayError> {
    match line {
        Some(line) => output.line(line.clone()).await,
        None => Ok(()),
    }
}
