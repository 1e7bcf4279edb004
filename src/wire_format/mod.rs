//! The forms in which the operators state settings and workers report their load.
//!
//! The platform's configuration and the simulator's wire share them. The operators' words for keys and values stand
//! here alone; everything behind this module uses the terms of [`interface`](crate::interface).

mod flatten;
mod load_report;
mod setting_values;
mod settings;

pub use flatten::flatten_settings;
pub use load_report::{LoadReportError, parse_load_report};
pub use setting_values::SettingsError;
pub use settings::{idle_connection_timeout, read_settings};

#[cfg(test)]
mod tests;
