//! The parameters of clients' requests, and the body that is forwarded to workers in their place.

use super::error::RpcError;
use super::protocol::encode;
use crate::net::is_valid_id;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::ops::RangeInclusive;

/// The deadlines that a client may state, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
/// The longest session or prefix key.
const MAX_KEY_BYTES: usize = 256;

/// What a client asks of a model.
#[derive(Debug, Deserialize)]
pub struct CompletionParams {
    /// The client's name for the request, the same each time that it resumes the answer.
    #[serde(rename = "request")]
    pub name: String,
    /// The time within which the client wants its answer.
    pub deadline_ms: u64,
    /// The conversation that the request belongs to.
    pub session: Option<String>,
    /// The key of a prefix that the prompt shares with others.
    pub prefix: Option<String>,
    /// The tokens of that prefix.
    #[serde(default, rename = "prefix_len")]
    pub prefix_tokens: u64,
    /// The tokens of the whole prompt, if the client knows them.
    #[serde(rename = "prompt_len")]
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer; 0 leaves it to the worker.
    #[serde(default, rename = "max_out")]
    pub max_tokens: u64,
    /// The conversation's messages, forwarded as they are.
    pub messages: Box<RawValue>,
    /// What the client has of an answer that broke.
    pub resume: Option<ResumePoint>,
}

/// What a client has of an answer that broke.
#[derive(Debug, Deserialize, Serialize)]
pub struct ResumePoint {
    /// The number of `tool` notifications with the state `calling` that came before the last `delta`.
    #[serde(rename = "calls")]
    pub tool_calls: u32,
    /// The text so far.
    pub text: String,
}

impl CompletionParams {
    /// Decodes and checks the parameters of a request.
    ///
    /// # Errors
    /// They are missing, malformed or out of bounds.
    pub fn decode(raw: Option<&RawValue>) -> Result<CompletionParams, RpcError> {
        let raw = raw.ok_or(RpcError::InvalidParams)?;
        let params: CompletionParams =
            serde_json::from_str(raw.get()).map_err(|_| RpcError::InvalidParams)?;
        if params.is_valid() { Ok(params) } else { Err(RpcError::InvalidParams) }
    }

    /// Whether the values are within their bounds.
    fn is_valid(&self) -> bool {
        let fits = |key: &Option<String>| key.as_ref().is_none_or(|key| key.len() <= MAX_KEY_BYTES);
        is_valid_id(&self.name)
            && DEADLINE_MS.contains(&self.deadline_ms)
            && self.messages.get().starts_with('[')
            && fits(&self.session)
            && fits(&self.prefix)
    }

    /// The body for the workers; the class of the request is their model.
    pub fn prompt(&self, class: &str) -> Vec<u8> {
        encode(&Prompt {
            model: class,
            stream: true,
            max_tokens: self.max_tokens,
            messages: &self.messages,
            resume: self.resume.as_ref(),
        })
    }
}

/// The body that workers receive.
#[derive(Serialize)]
struct Prompt<'a> {
    model: &'a str,
    stream: bool,
    #[serde(skip_serializing_if = "is_zero")]
    max_tokens: u64,
    messages: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<&'a ResumePoint>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// The parameters of a cancellation.
#[derive(Debug, Deserialize)]
pub struct CancelParams {
    /// The name of the request to cancel.
    #[serde(rename = "request")]
    pub name: String,
}

impl CancelParams {
    /// Decodes the parameters of a cancellation.
    ///
    /// # Errors
    /// They are missing or malformed.
    pub fn decode(raw: Option<&RawValue>) -> Result<CancelParams, RpcError> {
        let raw = raw.ok_or(RpcError::InvalidParams)?;
        serde_json::from_str(raw.get()).map_err(|_| RpcError::InvalidParams)
    }
}
