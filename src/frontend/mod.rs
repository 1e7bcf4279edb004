//! What clients speak: the platform's HTTP protocol, and JSON-RPC with tool calls relayed in the middle of a stream.
//!
//! [`service::RequestService`] handles the requests that the [server](crate::net::server) receives, and submits them to
//! the driver.

pub mod context;
pub mod error;
pub mod jsonrpc;
pub mod platform;
pub mod request_body;
pub mod response_body;
pub mod service;
