//! Attempts, cache releases and pooled connections with one worker, with events forced between two steps.

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod harness;
mod responses;
mod write_guard;
