//! The server side of client connections: accepting, limits and eviction, the life of a connection, request framing.
//!
//! Nothing here knows what a request means: the listener passes each one to the [`RequestHandler`](handler::RequestHandler)
//! that it is built with.

pub mod accept;
pub mod client_socket;
mod connection;
mod connection_handler;
pub mod connections;
pub mod framing;
pub mod gated_socket;
pub mod handler;
mod lingering_close;
pub mod memory_budget;
mod read_gate;
pub mod received_request;
pub mod request_label;
pub mod shutdown_phase;
mod socket_probe;
mod tracked_body;
