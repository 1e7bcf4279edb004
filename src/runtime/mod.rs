//! The runtime of the policy: it passes events to the policy, executes its actions, and owns the timers and
//! the request table.
//!
//! The runtime is independent of wire protocols. Requests arrive through a [`DriverHandle`], calls to workers
//! and discovery leave through [`Outbound`], and their results return as [`DriverInput`]. Everything runs on
//! one thread, in the order of one input queue, in which new requests have the lowest priority.

mod active_request;
mod clock;
pub mod counters;
mod driver;
pub mod exchange;
#[cfg(test)]
mod fixtures;
mod handle;
mod held_cache;
mod input_queue;
mod lag;
mod outbound;
mod request_table;
mod timers;

pub use clock::Clock;
pub use driver::Driver;
pub use handle::{AttemptResult, DriverHandle, DriverInput};
pub use outbound::{Attempt, Outbound, ReleaseProgress};
