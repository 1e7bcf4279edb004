//! The machine's limits.

use super::ConfigError;
use serde::Deserialize;

/// The least memory that the router runs in.
const MIN_MEMORY_MB: usize = 32;

/// The machine's limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MB, beyond which the machine kills the router.
    pub memory_mb: usize,
    /// File descriptors, sockets to clients and to workers included.
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
    /// There is too little memory.
    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory { minimum_mb: MIN_MEMORY_MB });
        }
        Ok(())
    }
}
