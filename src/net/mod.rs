//! The network side of the router: tower services over hyper.
//!
//! [`server`] faces clients, [`upstream`] faces workers, and [`discovery`] the discovery agent. A request
//! passes from [`server`] to [`upstream`] only through an [`exchange`](crate::runtime::exchange). [`socket`]
//! and [`failure`] are shared by all three.

pub mod discovery;
pub mod failure;
pub mod server;
pub mod socket;
pub mod upstream;

use std::pin::Pin;

/// A boxed future that stays on the thread that made it.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// Whether a request id may stand in a path and in a header without escaping.
pub fn is_plain_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= 64 && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
