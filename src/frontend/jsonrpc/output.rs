//! The output of an answer: lines streamed to the client, or text collected for the response to a batch.

use super::protocol::Notification;
use super::relay_error::RelayError;
use crate::net::LocalBoxFuture;
use crate::net::server::client_socket::ClientSocket;
use crate::rules::close::CLIENT_WRITE_TIMEOUT;
use crate::runtime::exchange::Frame;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The lines buffered for a slow client before the relay of its answer waits.
const LINE_CHANNEL_CAPACITY: usize = 16;
/// The most text collected for one answer of a batch.
const MAX_COLLECTED_BYTES: usize = 256 * 1024;

/// The output of one answer.
pub enum AnswerOutput {
    /// Lines of a streamed response body. Dropping it without [`AnswerOutput::finish`] ends the body with an
    /// error, by which the client detects that its answer is incomplete.
    Streamed(mpsc::Sender<Frame>),
    /// The text of an answer within a batch, which is sent only as part of the batch's response.
    Collected {
        /// The text that the relay has received so far.
        text: String,
        /// The connection on which the batch was received.
        client: Rc<ClientSocket>,
    },
}

impl AnswerOutput {
    /// Creates a streamed output, and the channel from which the response body reads its lines.
    pub fn streamed() -> (AnswerOutput, mpsc::Receiver<Frame>) {
        let (sender, body) = mpsc::channel(LINE_CHANNEL_CAPACITY);
        (AnswerOutput::Streamed(sender), body)
    }

    /// Creates an output that collects the answer to a request of this client.
    pub fn collected(client: Rc<ClientSocket>) -> AnswerOutput {
        AnswerOutput::Collected { text: String::new(), client }
    }

    /// Sends or collects a piece of the answer's text.
    ///
    /// # Errors
    /// The client disconnected or stopped reading, or the collected text exceeds its limit.
    pub async fn send_delta(&mut self, request: &str, text: &str) -> Result<(), RelayError> {
        if let AnswerOutput::Collected { text: collected, .. } = self {
            if collected.len() + text.len() > MAX_COLLECTED_BYTES {
                return Err(RelayError::AnswerTooLong);
            }
            collected.push_str(text);
        }
        self.send_line(Notification::Delta { text }.encode(request)).await
    }

    /// Sends a line to the client if the output is streamed, and waits for a slow client up to the write
    /// timeout.
    ///
    /// # Errors
    /// The client disconnected or stopped reading.
    pub async fn send_line(&mut self, mut line: Vec<u8>) -> Result<(), RelayError> {
        let AnswerOutput::Streamed(body) = self else { return Ok(()) };
        line.push(b'\n');
        let sending = body.send(Frame::Data(line.into()));
        match tokio::time::timeout(CLIENT_WRITE_TIMEOUT, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(RelayError::ClientDisconnected),
        }
    }

    /// Sends the last line and ends the body cleanly.
    pub async fn finish(mut self, last_line: Vec<u8>) {
        if self.send_line(last_line).await.is_err() {
            return;
        }
        if let AnswerOutput::Streamed(body) = self {
            let _ = body.send(Frame::End).await;
        }
    }

    /// The whole text, if it was collected.
    pub fn collected_text(&self) -> Option<&str> {
        match self {
            AnswerOutput::Streamed(_) => None,
            AnswerOutput::Collected { text, .. } => Some(text),
        }
    }

    /// Resolves when the client disconnects. The future does not borrow `self`.
    pub fn disconnected(&self) -> LocalBoxFuture<()> {
        match self {
            AnswerOutput::Streamed(body) => {
                let body = body.clone();
                Box::pin(async move { body.closed().await })
            }
            AnswerOutput::Collected { client, .. } => {
                let client = client.clone();
                Box::pin(async move { client.disconnected().await })
            }
        }
    }
}
