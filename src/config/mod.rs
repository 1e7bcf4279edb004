//! The router's configuration: the platform's JSON, or an operator's TOML file of the same shape.

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

/// A router's configuration, validated.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent; without one, the known endpoints stay in force.
    pub discovery: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// The endpoint list as the writer of the configuration last had it; it may be stale.
    pub initial_endpoints: EndpointUpdate,
    /// The policy's settings.
    pub settings: Settings,
    /// When workers close idle connections.
    pub idle_connection_timeout: Duration,
    /// The JSON-RPC frontend for tool calls, if configured.
    pub tools: Option<ToolSettings>,
}

impl Config {
    /// Reads the platform's form. Environment variables stand in for absent fields.
    ///
    /// # Errors
    /// What is wrong with the text, with the field at fault.
    pub fn from_json(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let value: serde_json::Value = serde_json::from_str(text)?;
        let raw: RawConfig = serde_json::from_value(value)?;
        raw.validate(env)
    }

    /// Reads an operator's file: the same shape, written as TOML. The environment plays no part.
    ///
    /// # Errors
    /// What is wrong with the text, with the line or the field at fault.
    pub fn from_toml(text: &str) -> Result<Self, ConfigError> {
        let value: serde_json::Value = toml::from_str(text).map_err(|error| toml_error(text, error))?;
        let raw: RawConfig = serde_json::from_value(value)?;
        raw.validate(|_| None)
    }

    /// The fields in which another configuration differs and that take effect at a start only.
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

/// The parser's own text spans several lines and quotes the file; operators get one line.
fn toml_error(text: &str, error: toml::de::Error) -> ConfigError {
    let line_of = |offset: usize| text[..offset.min(text.len())].lines().count().max(1);
    ConfigError::Toml {
        line: error.span().map_or(0, |span| line_of(span.start)),
        message: error.message().replace('\n', " "),
        source: Box::new(error),
    }
}

#[cfg(test)]
mod tests;
