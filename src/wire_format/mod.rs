//! The formats of settings and load reports, shared by the configuration files and the simulator's wire.
//!
//! The external names of keys and values appear only here; the rest of the code uses the terms of
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
