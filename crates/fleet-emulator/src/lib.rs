//! An emulator of all peers of a router: workers, network links, discovery agents and clients, on real
//! loopback sockets.
//!
//! A [`worker::Worker`] serves prefill or decode calls behind one [`link::Link`] per router. The link is a
//! proxy that emulates the network between the two, and its faults. An [`agent::Agent`] is the discovery
//! agent of one router. The [`client`] and [`misbehaving_client`] modules send requests. All components add
//! their observations to one [`history::History`], from which an oracle can check the invariants of the
//! router.

pub mod agent;
pub mod client;
pub mod clock;
pub mod fleet;
pub mod history;
pub mod http;
pub mod link;
pub mod misbehaving_client;
pub mod protocol;
pub mod record;
pub mod sync;
pub mod worker;
