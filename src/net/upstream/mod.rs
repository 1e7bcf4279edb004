//! Connections to workers: the pool, attempts at requests, and response streams.

pub mod client;
pub mod events;
pub mod pool;
