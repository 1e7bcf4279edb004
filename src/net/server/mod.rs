//! The server side of client connections: accepting, limits and eviction, the life of a connection, request framing.
//!
//! Nothing here knows what a request means: the listener passes each one to the [`RequestHandler`](handler::RequestHandler)
//! that it is built with.

pub mod accept;
pub mod budget;
pub mod client_socket;
pub mod connection;
pub mod connection_handler;
pub mod connections;
pub mod framing;
pub mod handler;
pub mod received_request;
pub mod shutdown_phase;
pub mod tracked_body;
