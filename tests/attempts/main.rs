//! Attempts, releases and pooled connections at one worker, where something happens between two steps.

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod harness;
mod responses;
mod write_guard;
