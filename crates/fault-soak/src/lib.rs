//! A randomized fault soak. Router processes run against the emulated workers, links, discovery agents and
//! clients of [`fleet_emulator`] while overlapping faults are injected. An oracle checks the history of the
//! run against the router's invariants.
//!
//! The [`deployment`], the [`faults`] and their schedule are functions of the seed of a run. The behaviour
//! of the routers and the emulated components is not, so runs with the same seed have the same faults but
//! not the same requests. Each violation is reported with the records and log lines of the affected request.

pub mod deployment;
pub mod error;
pub mod faults;
pub mod load;
pub mod oracle;
pub mod report;
pub mod router;
pub mod run;
pub mod scenario;
pub mod testbed;
