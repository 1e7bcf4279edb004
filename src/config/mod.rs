//! The router's configuration, read from the platform's JSON or from an operator's TOML file of the same
//! structure.

mod error;
mod limits;
mod raw;
mod tools;

pub use error::ConfigError;
pub use limits::Limits;
pub use tools::ToolSettings;

use crate::interface::Settings;
use crate::net::discovery::EndpointUpdate;
use raw::RawConfig;
use std::net::SocketAddr;
use std::time::Duration;

/// The validated configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name by which the router identifies itself in the log.
    pub name: String,
    /// The address on which the router listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent; without one, the initial endpoints stay in force.
    pub discovery: Option<SocketAddr>,
    /// The seed of the router's random numbers.
    pub seed: u64,
    /// The memory and the open file descriptors that the router may use.
    pub limits: Limits,
    /// The endpoint list that was current when the configuration was written; it may be stale.
    pub initial_endpoints: EndpointUpdate,
    /// The settings of the deployment, which the policy and other components read.
    pub settings: Settings,
    /// How long workers keep idle connections open.
    pub idle_connection_timeout: Duration,
    /// The JSON-RPC frontend for tool calls, if configured.
    pub tools: Option<ToolSettings>,
}

impl Config {
    /// Parses the platform's JSON. Absent fields are taken from environment variables.
    ///
    /// # Errors
    /// The text is not valid; the error names the field.
    pub fn from_json(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let value: serde_json::Value = serde_json::from_str(text)?;
        let raw: RawConfig = serde_json::from_value(value)?;
        raw.validate(env)
    }

    /// Parses an operator's file: the same structure, in TOML. Environment variables are not used.
    ///
    /// # Errors
    /// The text is not valid; the error names the line or the field.
    pub fn from_toml(text: &str) -> Result<Self, ConfigError> {
        let value: serde_json::Value = toml::from_str(text).map_err(|error| toml_error(text, error))?;
        let raw: RawConfig = serde_json::from_value(value)?;
        raw.validate(|_| None)
    }

    /// The fields that differ in another configuration and that a reload does not apply: they take effect at
    /// a restart only.
    pub fn changes_requiring_restart(&self, other: &Config) -> Vec<&'static str> {
        let settings_differ =
            self.settings != other.settings || self.idle_connection_timeout != other.idle_connection_timeout;
        let fields = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("settings", settings_differ),
            ("tools", self.tools != other.tools),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

/// Reduces a parser error to one line for operators: its own text spans several lines and quotes the file.
fn toml_error(text: &str, error: toml::de::Error) -> ConfigError {
    let line_at = |offset: usize| text[..offset.min(text.len())].lines().count().max(1);
    ConfigError::Toml {
        line: error.span().map_or(0, |span| line_at(span.start)),
        message: error.message().replace('\n', " "),
        source: Box::new(error),
    }
}

#[cfg(test)]
mod tests;
