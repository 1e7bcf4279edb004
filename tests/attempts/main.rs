//! Attempts, cache releases and pooled connections of an upstream client with one worker. The tests force
//! events, such as a disconnect, between two steps of an attempt.

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod deduplication;
mod harness;
mod responses;
mod unreachable_workers;
mod write_guard;
