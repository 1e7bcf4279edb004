//! A randomized fault soak: real router processes among the stand-ins of [`fleet_emulator`], with faults that overlap, and an
//! oracle that holds what was seen against the router's promises.
//!
//! One run is drawn from one seed: the deployment, the load and the [`trouble::Trouble`]s. What the oracle finds is
//! reported with the records and the log lines of the request that it is about.

pub mod deployment;
pub mod load;
pub mod oracle;
pub mod report;
pub mod router;
pub mod run;
pub mod trouble;
