//! Settings of the JSON-RPC frontend for tool calls.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the JSON-RPC frontend for tool calls. Only operators' files configure it, the platform never
/// does.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ToolSettings {
    /// The address of the tool server.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The path of the tool server's JSON-RPC endpoint.
    #[serde(default = "defaults::path")]
    pub path: String,
    /// The path of the frontend on the router's listener.
    #[serde(default = "defaults::listen_path")]
    pub listen_path: String,
    /// The timeout of a tool call in milliseconds; see [`ToolSettings::call_timeout`].
    #[serde(default = "defaults::call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// The maximum size of a call's arguments, in bytes.
    #[serde(default = "defaults::max_message_bytes")]
    pub max_call_bytes: usize,
    /// The maximum size of a call's result, in bytes.
    #[serde(default = "defaults::max_message_bytes")]
    pub max_result_bytes: usize,
    /// The maximum number of tool calls per request.
    #[serde(rename = "max_calls", default = "defaults::max_calls_per_request")]
    pub max_calls_per_request: u32,
    /// The maximum number of tool calls in flight over all requests; each has a socket to the tool server.
    #[serde(rename = "max_calls_at_once", default = "defaults::max_concurrent_calls")]
    pub max_concurrent_calls: usize,
    /// How long the result of a call is kept for replay after the call has ended, in seconds.
    #[serde(rename = "remember_s", default = "defaults::retention_s")]
    pub retention_s: u64,
    /// The maximum number of results kept for replay.
    #[serde(rename = "max_entries", default = "defaults::max_replay_entries")]
    pub max_replay_entries: usize,
    /// The maximum total size of the results kept for replay, in bytes.
    #[serde(rename = "max_ledger_bytes", default = "defaults::max_replay_bytes")]
    pub max_replay_bytes: usize,
}

impl ToolSettings {
    /// The timeout of a tool call, connection establishment included.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}

/// Default values of absent fields.
mod defaults {
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
