//! The server side: accepting client connections, limits and eviction, and the life cycle of a connection.
//!
//! Requests are not interpreted here: the listener passes each one to its
//! [`RequestHandler`](handler::RequestHandler).

pub mod accept;
pub mod client_socket;
mod connection;
mod connection_handler;
pub mod connections;
pub mod gated_socket;
pub mod handler;
mod lingering_close;
mod pipeline_wait;
mod read_ahead;
mod read_gate;
pub mod read_limits;
mod read_scheduler;
pub mod received_request;
pub mod request_label;
pub mod shutdown_phase;
mod socket_probe;
mod tracked_body;
