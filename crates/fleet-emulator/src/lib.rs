//! Stand-ins for everything that a router talks to, on real loopback sockets.
//!
//! A [`worker::Worker`] serves prefill or decode calls behind one [`link::Link`] for each router. The link emulates the
//! network between the two, and its faults. An [`agent::Agent`] is the discovery agent of one router. The [`client`]
//! and [`misbehaving_client`] modules send requests. All of them write what they observe to one [`history::History`],
//! from which an oracle can judge whether the router kept its invariants.

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
