//! Where the lines of an answer go: to the client as they come, or into one text for the response of a batch.

use super::protocol::Notification;
use super::relay_error::RelayError;
use crate::net::LocalBoxFuture;
use crate::net::server::client_socket::ClientSocket;
use crate::rules::close::CLIENT_WRITE_TIMEOUT;
use crate::runtime::exchange::Frame;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Lines that may wait for a slow client before the relay waits too.
const LINE_BUFFER: usize = 16;
/// The most text that is collected for one answer of a batch.
const MAX_COLLECTED_BYTES: usize = 256 * 1024;

/// The output of one answer.
pub enum AnswerOutput {
    /// Lines of a streamed response body. Dropping it without [`AnswerOutput::finish`] breaks the body off, which tells
    /// the client that its answer is incomplete.
    Streamed(mpsc::Sender<Frame>),
    /// The text of an answer within a batch: only its response is sent, in the end.
    Collected {
        /// The text so far.
        text: String,
        /// The connection on which the batch came.
        client: Rc<ClientSocket>,
    },
}

impl AnswerOutput {
    /// A streamed output and the body's end of it.
    pub fn streamed() -> (AnswerOutput, mpsc::Receiver<Frame>) {
        let (sender, body) = mpsc::channel(LINE_BUFFER);
        (AnswerOutput::Streamed(sender), body)
    }

    /// A collected output for a request of this client.
    pub fn collected(client: Rc<ClientSocket>) -> AnswerOutput {
        AnswerOutput::Collected { text: String::new(), client }
    }

    /// Adds text of the answer.
    ///
    /// # Errors
    /// The client is gone, or the text exceeds what may be collected.
    pub async fn delta(&mut self, request: &str, text: &str) -> Result<(), RelayError> {
        if let AnswerOutput::Collected { text: collected, .. } = self {
            if collected.len() + text.len() > MAX_COLLECTED_BYTES {
                return Err(RelayError::AnswerTooLong);
            }
            collected.push_str(text);
        }
        self.line(Notification::Delta { text }.encode(request)).await
    }

    /// Sends a line to a client that streams; nothing otherwise. Waits while the client is slow, up to its timeout.
    ///
    /// # Errors
    /// The client is gone or takes nothing.
    pub async fn line(&mut self, mut line: Vec<u8>) -> Result<(), RelayError> {
        let AnswerOutput::Streamed(body) = self else { return Ok(()) };
        line.push(b'\n');
        let sending = body.send(Frame::Data(line.into()));
        match tokio::time::timeout(CLIENT_WRITE_TIMEOUT, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(RelayError::ClientDisconnected),
        }
    }

    /// Sends the last line and ends the body in order.
    pub async fn finish(mut self, last_line: Vec<u8>) {
        if self.line(last_line).await.is_err() {
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

    /// Resolves when the client is gone. The future keeps nothing of `self` borrowed.
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
