//! The protocols for clients: chat completions over HTTP, and JSON-RPC with tool calls relayed while an
//! answer streams.
//!
//! [`service::RequestService`] handles the requests that the [server](crate::net::server) receives and
//! submits them to the driver.

pub mod chat_completions;
pub mod context;
pub mod error;
pub mod jsonrpc;
pub mod request_body;
pub mod request_ids;
pub mod response_body;
pub mod service;
