//! The harness of the integration tests: a router process between scripted workers, on loopback sockets.
//!
//! Each test binary compiles its own copy of the harness and uses only a part of it.
#![allow(dead_code, unused_imports)]

mod flood;
mod message;
mod operator_file;
mod peer;
mod requests;
mod router_process;
pub mod server;
pub mod shim;
pub mod tool_server;
pub mod watcher;
mod workers;

pub use flood::Flood;
pub use message::Message;
pub use operator_file::operator_file;
pub use peer::{
    Peer, PeerConnection, discovery_agent, recording_peer, recording_peer_with_releases, shared_channel,
};
pub use requests::{request, rpc_request};
pub use router_process::{Counters, MAX_DESCRIPTORS, RouterProcess, exchange};
pub use workers::{
    GatedDecodeWorker, HangingWorker, decode_worker, decode_worker_without_release, recording_decode_worker,
};

use std::time::Duration;

/// The timeout of every wait in a test; an operation that takes longer is considered hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
