//! Settings of the JSON-RPC front for tool calls.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The JSON-RPC front for tool calls. Only an operator's file has one: the platform never switches it on.
///
/// The fields have the names of the file's keys.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ToolSettings {
    /// Where the tool server listens.
    pub dial: SocketAddr,
    /// The path of its JSON-RPC endpoint.
    #[serde(default = "default::path")]
    pub path: String,
    /// The path at which clients reach the front.
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
    #[serde(default = "default::max_calls")]
    pub max_calls: u32,
    /// Most tool calls in flight at once, over all requests: the sockets to the tool server.
    #[serde(default = "default::max_calls_at_once")]
    pub max_calls_at_once: usize,
    /// How long results are kept for replay after their calls have ended, in seconds.
    #[serde(default = "default::remember_s")]
    pub remember_s: u64,
    /// Most results that are kept for replay.
    #[serde(default = "default::max_entries")]
    pub max_entries: usize,
    /// Most bytes that results kept for replay may take.
    #[serde(default = "default::max_ledger_bytes")]
    pub max_ledger_bytes: usize,
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

    pub fn max_calls() -> u32 {
        16
    }

    pub fn max_calls_at_once() -> usize {
        64
    }

    pub fn remember_s() -> u64 {
        900
    }

    pub fn max_entries() -> usize {
        10_000
    }

    pub fn max_ledger_bytes() -> usize {
        16 * 1024 * 1024
    }
}
