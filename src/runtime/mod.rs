//! The runtime around the policy: it feeds the policy events, executes its actions, and owns the timers and
//! the table of requests.
//!
//! The runtime knows no wire protocol. Requests come in through a [`DriverHandle`], calls go out through
//! [`Outbound`], and their results come back as [`DriverInput`]. Everything runs on one thread, in the order
//! of one queue, in which new requests go last.

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
