//! Service discovery: the endpoint list and the watch that keeps it up to date.
//!
//! Discovery is either an agent on the same machine or a service that all routers share; both are called the
//! agent here, and `mode` describes the difference. A poll returns a snapshot, the complete endpoint list. A
//! watch delivers deltas, and a snapshot if the agent sends one.
//!
//! [`EndpointWatcher`] polls the agent, watches it for changes, applies updates to the
//! [`Directory`] and notifies the driver. While discovery is unreachable or unresponsive, the current list
//! stays in use: losing discovery never takes a worker out of service.

mod agent;
mod backoff;
mod client;
mod connector;
mod directory;
mod error;
mod hedging;
mod message_timer;
mod messages;
mod mode;
mod object_scanner;
mod parser;
mod update;
mod watch;
mod watcher;
mod withdrawn;

pub use backoff::Backoff;
pub use connector::{Connector, DiscoveryStream, tcp_connector};
pub use directory::Directory;
pub use messages::EndpointListMessage;
pub use update::{AddressedEndpoint, EndpointUpdate};
pub use watcher::EndpointWatcher;

/// Maximum size of a message; leaves room for a list of thousands of workers.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
