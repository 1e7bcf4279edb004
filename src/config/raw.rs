//! The configuration as deserialized, before validation.

use super::{Config, ConfigError, Limits, ToolSettings};
use crate::net::discovery::{EndpointListMessage, EndpointUpdate};
use crate::wire_format::{flatten_settings, idle_connection_timeout, parse_settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The configuration as deserialized. The field names are the keys of the files.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointListMessage>,
    settings: Value,
    tools: Option<ToolSettings>,
}

impl RawConfig {
    /// Validates the configuration and takes absent fields from environment variables.
    pub fn validate(self, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let listen = address_or_variable(self.listen, "NODE_LISTEN", &env)?
            .ok_or(ConfigError::MissingListenAddress)?;
        let discovery = address_or_variable(self.discovery, "NODE_DISCOVERY", &env)?;
        let pairs = flatten_settings(&self.settings);
        let settings = parse_settings(pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())))?;
        let seed = parse_seed(&self.seed)?;
        self.limits.validate()?;
        Ok(Config {
            name: if self.name.is_empty() { env("NODE_NAME").unwrap_or_default() } else { self.name },
            listen,
            discovery,
            seed,
            limits: self.limits,
            initial_endpoints: self.known.map(EndpointUpdate::from).unwrap_or_default(),
            settings,
            idle_connection_timeout: idle_connection_timeout(&pairs),
            tools: self.tools,
        })
    }
}

/// The configured address, else the value of an environment variable.
fn address_or_variable(
    configured: Option<SocketAddr>,
    variable: &'static str,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    if configured.is_some() {
        return Ok(configured);
    }
    let Some(value) = env(variable) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::InvalidAddress { variable, value, source }),
    }
}

/// Parses a seed: a number, or a string of hexadecimal digits. Any other value, or none, counts as 0.
fn parse_seed(seed: &Value) -> Result<u64, ConfigError> {
    match seed {
        Value::String(digits) => u64::from_str_radix(digits, 16)
            .map_err(|source| ConfigError::InvalidSeed { value: digits.clone(), source }),
        other => Ok(other.as_u64().unwrap_or(0)),
    }
}
