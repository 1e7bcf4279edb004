//! The source of the configuration at start and at each reload.

use super::StartError;
use crate::config::Config;

/// The environment variable with the path of the platform's configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// A configuration file and its format.
#[derive(Debug)]
pub struct ConfigSource {
    file: String,
    format: Format,
}

#[derive(Debug)]
enum Format {
    /// The platform's JSON file; the environment supplies absent fields.
    Platform,
    /// The operator's TOML file.
    Operator,
}

impl ConfigSource {
    /// The platform's configuration file, whose path is in the environment.
    ///
    /// # Errors
    /// The environment variable is not set.
    pub fn platform() -> Result<Self, StartError> {
        let file = std::env::var(CONFIG_VARIABLE).map_err(|_| StartError::ConfigNotNamed)?;
        Ok(ConfigSource { file, format: Format::Platform })
    }

    /// An operator's configuration file.
    pub fn operator(file: &str) -> Self {
        ConfigSource { file: file.to_owned(), format: Format::Operator }
    }

    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read, or the configuration is invalid.
    pub fn load(&self) -> Result<Config, StartError> {
        let text = read_file(&self.file)?;
        let config = match self.format {
            Format::Platform => Config::from_json(&text, non_empty_variable)?,
            Format::Operator => Config::from_toml(&text)?,
        };
        Ok(config)
    }
}

/// The value of an environment variable. An empty one counts as not set.
fn non_empty_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads a text file.
///
/// # Errors
/// The file cannot be read, or is not valid UTF-8.
pub fn read_file(file: &str) -> Result<String, StartError> {
    std::fs::read_to_string(file).map_err(|source| StartError::ReadFile { file: file.to_owned(), source })
}
