//! The harness of the integration tests: a router process between scripted workers, on loopback sockets.
//!
//! Each test file compiles the harness for itself and uses a part of it.
#![allow(dead_code, unused_imports)]

mod message;
mod operator_file;
mod peer;
mod requests;
mod router_process;
pub mod server;
pub mod shim;
pub mod tool_server;
mod workers;

pub use message::Message;
pub use operator_file::operator_file;
pub use peer::{Conn, Peer, discovery_agent, recording_peer, recording_peer_with_releases, shared_channel};
pub use requests::{request, rpc_request};
pub use router_process::{Counters, RouterProcess, exchange};
pub use workers::{
    GatedDecodeWorker, HangingWorker, decode_worker, decode_worker_without_release, recording_decode_worker,
};

use std::time::Duration;

/// How long a test waits for anything. Nothing takes this long unless it hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
