//! Resource limits of the machine.

use super::ConfigError;
use serde::Deserialize;

/// The least memory that the router can run with.
const MIN_MEMORY_MB: usize = 32;

/// Resource limits of the machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory limit in MB; the machine kills a router that exceeds it.
    pub memory_mb: usize,
    /// Limit on open file descriptors, sockets to clients and workers included.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

impl Limits {
    /// Checks that the router can run within the limits.
    ///
    /// # Errors
    /// The memory limit is below the minimum.
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory { minimum_mb: MIN_MEMORY_MB });
        }
        Ok(())
    }
}
