//! Stand-ins for everything that a router talks to, on real loopback sockets.
//!
//! A [`worker::Worker`] serves prompts and streams answers, behind one [`link::Link`] for each router, which plays the
//! network between the two and its faults. A [`agent::Agent`] is a router's discovery agent. The [`client`] module
//! sends requests as well-behaved, impatient and broken clients do. All of them write what they see to one
//! [`history::History`], from which an oracle can judge whether the router kept its promises.

pub mod agent;
pub mod client;
pub mod clock;
pub mod fleet;
pub mod history;
pub mod http;
pub mod link;
pub mod misbehaving_client;
pub mod worker;
