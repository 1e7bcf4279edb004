//! The errors of the test harness.

use fleet_emulator::record::RouterIndex;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// A failure of the test harness itself, as opposed to a violation by the router.
#[derive(Debug)]
pub enum SoakError {
    /// The emulated fleet could not listen on its addresses.
    StartFleet(io::Error),
    /// The control block of a router's fault shim could not be created.
    CreateControlBlock(RouterIndex, io::Error),
    /// The configuration file of a router could not be written.
    WriteConfiguration(RouterIndex, io::Error),
    /// The process of a router could not be started.
    StartRouter(RouterIndex, io::Error),
    /// A file or directory could not be accessed.
    FileAccess(PathBuf, io::Error),
}

impl fmt::Display for SoakError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SoakError::StartFleet(error) => write!(formatter, "failed to start the emulated fleet: {error}"),
            SoakError::CreateControlBlock(router, error) => {
                write!(formatter, "failed to create the fault control block of router {router}: {error}")
            }
            SoakError::WriteConfiguration(router, error) => {
                write!(formatter, "failed to write the configuration of router {router}: {error}")
            }
            SoakError::StartRouter(router, error) => {
                write!(formatter, "failed to start router {router}: {error}")
            }
            SoakError::FileAccess(path, error) => {
                write!(formatter, "failed to access {}: {error}", path.display())
            }
        }
    }
}

impl Error for SoakError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SoakError::StartFleet(error)
            | SoakError::CreateControlBlock(_, error)
            | SoakError::WriteConfiguration(_, error)
            | SoakError::StartRouter(_, error)
            | SoakError::FileAccess(_, error) => Some(error),
        }
    }
}
