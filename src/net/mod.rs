//! The network layer of the router: tower services over hyper.
//!
//! [`server`] serves clients, [`upstream`] connects to workers, and [`discovery`] to the discovery agent. A
//! request passes from [`server`] to [`upstream`] only through an [`exchange`](crate::runtime::exchange).
//! [`socket`], [`failure`], [`framing`], [`buffer_limit`], [`memory`] and [`memory_budget`] are shared by several of
//! them.

pub mod buffer_limit;
pub mod discovery;
pub mod failure;
pub mod framing;
pub mod memory;
pub mod memory_budget;
pub mod server;
pub mod socket;
pub mod upstream;

use std::pin::Pin;
use tokio::time::Instant;

/// A boxed future that is not `Send`.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Sleeps until the deadline; never resolves without one.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Whether a client-supplied id is valid: 1 to 64 ASCII letters, digits and `-_.`, so that it needs no
/// escaping in a path or a header.
pub fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= 64 && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
