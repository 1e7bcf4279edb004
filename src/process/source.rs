//! Where the configuration is read from, at start and at each reload.

use super::StartError;
use crate::config::Config;

/// Names the platform's configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// A file with the configuration.
#[derive(Debug)]
pub struct ConfigSource {
    file: String,
    format: Format,
}

#[derive(Debug)]
enum Format {
    /// The platform's JSON; absent fields are taken from the environment.
    Platform,
    /// An operator's TOML file.
    Operator,
}

impl ConfigSource {
    /// The platform's configuration, which the environment names.
    ///
    /// # Errors
    /// The environment does not name it.
    pub fn platform() -> Result<Self, StartError> {
        let file = std::env::var(CONFIG_VARIABLE).map_err(|_| StartError::ConfigNotNamed)?;
        Ok(ConfigSource { file, format: Format::Platform })
    }

    /// An operator's file.
    pub fn operator(file: &str) -> Self {
        ConfigSource { file: file.to_owned(), format: Format::Operator }
    }

    /// Reads the configuration as it is now.
    ///
    /// # Errors
    /// The file can't be read, or is no valid configuration.
    pub fn load(&self) -> Result<Config, StartError> {
        let text = read_file(&self.file)?;
        let config = match self.format {
            Format::Platform => Config::from_json(&text, non_empty_variable)?,
            Format::Operator => Config::from_toml(&text)?,
        };
        Ok(config)
    }
}

/// An environment variable. One that is empty counts as not set.
fn non_empty_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads a text file.
///
/// # Errors
/// It can't be read, or is not valid UTF-8.
pub fn read_file(file: &str) -> Result<String, StartError> {
    std::fs::read_to_string(file).map_err(|source| StartError::ReadFile { file: file.to_owned(), source })
}
