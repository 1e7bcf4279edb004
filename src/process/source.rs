//! The source of the configuration at start and at each reload.

use super::StartError;
use crate::config::Config;

/// The environment variable that holds the path of the JSON configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// A configuration file and its format.
#[derive(Debug)]
pub struct ConfigSource {
    file: String,
    format: Format,
}

#[derive(Debug)]
enum Format {
    /// A JSON file; environment variables supply absent fields.
    Json,
    /// An operator's TOML file.
    Toml,
}

impl ConfigSource {
    /// The JSON configuration file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// `NODE_CONFIG` is not set, or not valid UTF-8.
    pub fn from_environment() -> Result<Self, StartError> {
        let file = std::env::var(CONFIG_VARIABLE).map_err(|_| StartError::ConfigNotNamed)?;
        Ok(ConfigSource { file, format: Format::Json })
    }

    /// An operator's TOML file.
    pub fn operator_file(file: &str) -> Self {
        ConfigSource { file: file.to_owned(), format: Format::Toml }
    }

    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read, or the configuration is invalid.
    pub fn load(&self) -> Result<Config, StartError> {
        let text = read_file(&self.file)?;
        let config = match self.format {
            Format::Json => Config::from_json(&text, non_empty_variable)?,
            Format::Toml => Config::from_toml(&text)?,
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
