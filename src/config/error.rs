//! Errors of the configuration.

use crate::wire_format::SettingsError;
use std::net::AddrParseError;

/// Why a configuration is invalid. The error text is a single line for operators, without the file name.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not valid TOML.
    #[error("configuration: line {line}: {message}")]
    Toml {
        /// The line of the error, from 1; 0 if unknown.
        line: usize,
        /// The parser's message, on a single line.
        message: String,
        /// The parser's error.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// Neither the configuration nor the environment specifies a listen address.
    #[error("configuration: listen is missing")]
    MissingListenAddress,
    /// The value of an environment variable is not a socket address.
    #[error("configuration: {variable}: not an address: {value:?}")]
    InvalidAddress {
        /// The name of the variable.
        variable: &'static str,
        /// The value of the variable.
        value: String,
        /// Why the value is not an address.
        source: AddrParseError,
    },
    /// The settings of the policy are invalid.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The seed is a string, but not a hexadecimal number.
    #[error("configuration: seed: not a hexadecimal number: {value:?}")]
    InvalidSeed {
        /// The string that the configuration contains.
        value: String,
        /// Why the string is not a hexadecimal number.
        source: std::num::ParseIntError,
    },
    /// The memory limit is below the minimum.
    #[error("configuration: limits.memory_mb: at least {minimum_mb} are needed")]
    TooLittleMemory {
        /// The lowest accepted value of `limits.memory_mb`, in MB.
        minimum_mb: usize,
    },
}
