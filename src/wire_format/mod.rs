//! The formats of settings and of workers' load reports, shared by the router and the simulator's adapter.
//!
//! This module translates the external names of keys and values into the terms of
//! [`interface`](crate::interface).

mod flatten;
mod load_report;
mod setting_values;
mod settings;

pub use flatten::flatten_settings;
pub use load_report::{LoadReportError, parse_load_report};
pub use setting_values::SettingsError;
pub use settings::{idle_connection_timeout, parse_settings};

#[cfg(test)]
mod tests;
