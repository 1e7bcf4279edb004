//! Connections to workers: the connection pool, attempts at requests, response streams, and the calls around them.
//!
//! [`client::UpstreamClient`] is the entry point. An attempt takes a connection from the [`pool`], sends its request
//! under a write guard, reads the response, and relays it to the client if it is a stream. Whether a request may have
//! run depends on whether its last byte was written, which [`pool::WriteProgress`] observes at the socket.

mod attempt;
mod call;
pub mod client;
mod completion;
mod connection;
mod event_stream;
mod forward;
mod health;
mod load_report;
pub mod pool;
mod release;
mod response;
mod send_guard;
mod slot;
mod stream;
mod stream_tail;
mod write_progress;
