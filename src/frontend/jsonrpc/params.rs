//! The parameters of clients' requests, and the request body for workers that is built from them.

use super::error::RpcError;
use super::protocol::encode;
use crate::net::is_valid_id;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::ops::RangeInclusive;

const DEADLINE_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
/// The longest accepted session or prefix key.
const MAX_KEY_BYTES: usize = 256;

/// The parameters of a completion request.
#[derive(Debug, Deserialize)]
pub struct CompletionParams {
    /// The client's name for the request, which stays the same across resumes.
    #[serde(rename = "request")]
    pub name: String,
    /// The client's deadline, relative to when it sent the request.
    pub deadline_ms: u64,
    /// The key of the session that the request belongs to.
    pub session: Option<String>,
    /// The key of the prefix that the prompt shares with other prompts.
    pub prefix: Option<String>,
    /// The length of the shared prefix in tokens.
    #[serde(default, rename = "prefix_len")]
    pub prefix_tokens: u64,
    /// The length of the whole prompt in tokens, if the client knows it.
    #[serde(rename = "prompt_len")]
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer; 0 leaves the limit to the worker.
    #[serde(default, rename = "max_out")]
    pub max_tokens: u64,
    /// The conversation's messages, forwarded unchanged.
    pub messages: Box<RawValue>,
    /// The part of the answer received before its stream broke, if the client resumes it.
    pub resume: Option<ResumePoint>,
}

/// The part of an answer that a client received before its stream broke.
#[derive(Debug, Deserialize, Serialize)]
pub struct ResumePoint {
    /// The number of `tool` notifications with the state `calling` that came before the last `delta`.
    #[serde(rename = "calls")]
    pub tool_calls: u32,
    /// The text that the client received before the stream broke.
    pub text: String,
}

impl CompletionParams {
    /// Decodes and validates the parameters of a request.
    ///
    /// # Errors
    /// The parameters are missing, malformed or out of bounds.
    pub fn decode(raw: Option<&RawValue>) -> Result<CompletionParams, RpcError> {
        let raw = raw.ok_or(RpcError::InvalidParams)?;
        let params: CompletionParams =
            serde_json::from_str(raw.get()).map_err(|_| RpcError::InvalidParams)?;
        if params.is_valid() { Ok(params) } else { Err(RpcError::InvalidParams) }
    }

    /// Whether the values are within their limits.
    fn is_valid(&self) -> bool {
        let is_within_limit =
            |key: &Option<String>| key.as_ref().is_none_or(|key| key.len() <= MAX_KEY_BYTES);
        is_valid_id(&self.name)
            && DEADLINE_RANGE_MS.contains(&self.deadline_ms)
            && self.messages.get().starts_with('[')
            && is_within_limit(&self.session)
            && is_within_limit(&self.prefix)
    }

    /// Encodes the request body for workers. The request class becomes its `model`.
    pub fn worker_body(&self, class: &str) -> Vec<u8> {
        encode(&WorkerRequestBody {
            model: class,
            stream: true,
            max_tokens: self.max_tokens,
            messages: &self.messages,
            resume: self.resume.as_ref(),
        })
    }
}

/// The request body for workers.
#[derive(Serialize)]
struct WorkerRequestBody<'a> {
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
    /// The parameters are missing or malformed.
    pub fn decode(raw: Option<&RawValue>) -> Result<CancelParams, RpcError> {
        let raw = raw.ok_or(RpcError::InvalidParams)?;
        serde_json::from_str(raw.get()).map_err(|_| RpcError::InvalidParams)
    }
}
