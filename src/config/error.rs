//! Why a configuration can't be used.

use crate::wire_format::SettingsError;
use std::net::AddrParseError;

/// Why a configuration can't be used. Its text is one line for the operators, without the file's name.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or lacks a field or has one of another form than the configuration's.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not TOML.
    #[error("configuration: line {line}: {message}")]
    Toml {
        /// The line at fault, from 1; 0 when unknown.
        line: usize,
        /// What is wrong there, in one line.
        message: String,
        /// What the parser said.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// Neither the configuration nor the environment says where to listen.
    #[error("configuration: listen is missing")]
    MissingListenAddress,
    /// An environment variable that should hold an address does not.
    #[error("configuration: {variable}: not an address: {value:?}")]
    InvalidAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The settings of the policy can't be used.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The seed is text, but not a hexadecimal number.
    #[error("configuration: seed: not a hexadecimal number: {value:?}")]
    InvalidSeed {
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: std::num::ParseIntError,
    },
    /// Too little memory to run in.
    #[error("configuration: limits.memory_mb: at least {minimum_mb} are needed")]
    TooLittleMemory {
        /// What is needed.
        minimum_mb: usize,
    },
}
