//! Settings of the JSON-RPC frontend for tool calls.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The JSON-RPC frontend for tool calls. Only an operator's file has one: the platform never switches it on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ToolSettings {
    /// Where the tool server listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The path of its JSON-RPC endpoint.
    #[serde(default = "default::path")]
    pub path: String,
    /// The path at which clients reach the frontend.
    #[serde(default = "default::listen_path")]
    pub listen_path: String,
    /// How long a tool call may take, in milliseconds; see [`ToolSettings::call_timeout`].
    #[serde(default = "default::call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// The longest arguments of a call, in bytes.
    #[serde(default = "default::max_message_bytes")]
    pub max_call_bytes: usize,
    /// The longest result of a call, in bytes.
    #[serde(default = "default::max_message_bytes")]
    pub max_result_bytes: usize,
    /// Most tool calls of one request.
    #[serde(rename = "max_calls", default = "default::max_calls_per_request")]
    pub max_calls_per_request: u32,
    /// Most tool calls in flight at once, over all requests: the sockets to the tool server.
    #[serde(rename = "max_calls_at_once", default = "default::max_concurrent_calls")]
    pub max_concurrent_calls: usize,
    /// How long results are kept for replay after their calls have ended, in seconds.
    #[serde(rename = "remember_s", default = "default::retention_s")]
    pub retention_s: u64,
    /// Most results that are kept for replay.
    #[serde(rename = "max_entries", default = "default::max_replay_entries")]
    pub max_replay_entries: usize,
    /// Most bytes that results kept for replay may take.
    #[serde(rename = "max_ledger_bytes", default = "default::max_replay_bytes")]
    pub max_replay_bytes: usize,
}

impl ToolSettings {
    /// How long a tool call may take, connecting included.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}

/// Values of what a file does not state.
mod default {
    pub fn path() -> String {
        "/".into()
    }

    pub fn listen_path() -> String {
        "/rpc".into()
    }

    pub fn call_timeout_ms() -> u64 {
        10_000
    }

    pub fn max_message_bytes() -> usize {
        64 * 1024
    }

    pub fn max_calls_per_request() -> u32 {
        16
    }

    pub fn max_concurrent_calls() -> usize {
        64
    }

    pub fn retention_s() -> u64 {
        900
    }

    pub fn max_replay_entries() -> usize {
        10_000
    }

    pub fn max_replay_bytes() -> usize {
        16 * 1024 * 1024
    }
}
