//! The request of a client, its encoding, and its transmission.

use crate::clock::whole_micros;
use crate::record::{Idempotency, RequestId};
use rand::Rng;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// The number of pieces in which a slow client writes a request.
const SLOW_WRITE_PIECES: usize = 6;
/// The longest pause between two pieces.
const MAX_SLOW_WRITE_PAUSE: Duration = Duration::from_millis(60);

/// A chat completion request, as the emulated client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request, which the client sends as `x-request-id`.
    pub id: RequestId,
    /// The name of the request class, which the client sends as `x-class`.
    pub class: &'static str,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The session to which the request belongs, which the client sends as `x-key`.
    pub session: String,
    /// The prefix that the prompt shares with other prompts, if any.
    pub shared_prefix: Option<SharedPrefix>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the response in tokens.
    pub max_tokens: u64,
    /// The time within which the client expects the first token.
    pub first_token_timeout: Duration,
}

/// A prompt prefix that several prompts share.
#[derive(Clone, Debug)]
pub struct SharedPrefix {
    /// The key that identifies the prefix.
    pub key: String,
    /// The length of the prefix in tokens.
    pub tokens: u64,
}

impl Request {
    /// Encodes the head and the body of the request as HTTP/1.1.
    pub fn encode(&self) -> Vec<u8> {
        let Request { id, class, session, prompt_tokens, max_tokens, .. } = self;
        let timeout_us = whole_micros(self.first_token_timeout);
        let prefix = self.shared_prefix.as_ref().map_or_else(String::new, |SharedPrefix { key, tokens }| {
            format!("prefix={key},prefix_len={tokens},")
        });
        let body = format!(
            r#"{{"model":"chat","stream":true,"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"hello"}}]}}"#
        );
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\n\
             x-request-id: {id}\r\nx-class: {class}\r\n\
             x-key: {session}\r\nx-deadline: {timeout_us}u\r\n\
             x-extras: {prefix}prompt_len={prompt_tokens},max_out={max_tokens}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Writes the request at once or, if `slowly`, in pieces with random pauses.
    pub(super) async fn write(&self, output: &mut (impl AsyncWrite + Unpin), slowly: bool) -> io::Result<()> {
        let bytes = self.encode();
        if !slowly {
            return output.write_all(&bytes).await;
        }
        for piece in bytes.chunks(bytes.len().div_ceil(SLOW_WRITE_PIECES)) {
            output.write_all(piece).await?;
            let pause = rand::rng().random_range(Duration::ZERO..MAX_SLOW_WRITE_PAUSE);
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }
}
