//! Client connections: accept, limits and evictions, the life of a connection, request framing.

pub mod accept;
pub mod budget;
pub mod client_socket;
pub mod connection;
pub mod connections;
pub mod framing;
