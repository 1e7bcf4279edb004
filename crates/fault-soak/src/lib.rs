//! A randomized fault soak. Real router processes run among the stand-ins of [`fleet_emulator`] while overlapping
//! faults are injected, and an oracle checks the history of the run against the router's invariants.
//!
//! The [`deployment`], the [`faults`] and their times follow from the seed of a run. What the router and the stand-ins
//! do in between does not, so a run with the same seed has the same faults but not the same requests. Each violation
//! is reported with the records and the log lines of its request.

pub mod deployment;
pub mod error;
pub mod faults;
pub mod load;
pub mod oracle;
pub mod report;
pub mod router;
pub mod run;
pub mod scenario;
pub mod world;
