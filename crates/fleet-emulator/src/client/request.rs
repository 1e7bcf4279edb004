//! A request of a client, and how it is written to a connection.

use crate::clock::whole_micros;
use crate::record::{Idempotency, RequestId};
use rand::Rng;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// The number of pieces in which a slow client writes a request.
const SLOW_PIECES: usize = 6;
/// The longest pause between two pieces.
const MAX_SLOW_PAUSE: Duration = Duration::from_millis(60);

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: &'static str,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The conversation to which the request belongs.
    pub session: String,
    /// The prefix that the prompt shares with others.
    pub shared_prefix: Option<SharedPrefix>,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The largest length of the response.
    pub max_tokens: u64,
    /// The time within which the client expects the first token.
    pub first_token_timeout: Duration,
}

/// The beginning of a prompt that other prompts have as well.
#[derive(Clone, Debug)]
pub struct SharedPrefix {
    /// The key by which the prefix is recognized.
    pub key: String,
    /// The length of the prefix.
    pub tokens: u64,
}

impl Request {
    /// The request as HTTP/1.1 bytes.
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
            "POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\nx-request-id: {id}\r\nx-class: {class}\r\n\
             x-key: {session}\r\nx-deadline: {timeout_us}u\r\n\
             x-extras: {prefix}prompt_len={prompt_tokens},max_out={max_tokens}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Writes the request, in pieces with pauses if `slowly`.
    pub(super) async fn write(&self, output: &mut (impl AsyncWrite + Unpin), slowly: bool) -> io::Result<()> {
        let bytes = self.encode();
        if !slowly {
            return output.write_all(&bytes).await;
        }
        for piece in bytes.chunks(bytes.len().div_ceil(SLOW_PIECES)) {
            output.write_all(piece).await?;
            let pause = rand::rng().random_range(Duration::ZERO..MAX_SLOW_PAUSE);
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }
}
