//! Why the wire can't be served.

use crate::wire_format::SettingsError;
use std::io;
use std::string::FromUtf8Error;

/// Why serving the wire stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A line that the wire does not allow.
    #[error("line {line}: {error}")]
    Malformed {
        /// Its number, from 1.
        line: u64,
        /// What is wrong with it.
        #[source]
        error: LineError,
    },
    /// Reading or writing failed.
    #[error("wire: {0}")]
    Io(#[from] io::Error),
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not text.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[source] FromUtf8Error),
    /// It ends before a field that its message has.
    #[error("{message}: field {field} is missing")]
    MissingField {
        /// The message.
        message: String,
        /// The field.
        field: &'static str,
    },
    /// A field has a value that the wire does not allow.
    #[error("{message}: field {field} has the value {value:?}")]
    InvalidField {
        /// The message.
        message: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A message to a router that was never started or has been shut down.
    #[error("{message}: field router has the value \"{router}\", an instance that is not known")]
    UnknownInstance {
        /// The message.
        message: String,
        /// The router's number.
        router: u32,
    },
    /// A message that the wire does not have.
    #[error("unknown message {message:?}")]
    UnknownMessage {
        /// The message.
        message: String,
    },
    /// A line between batches that does not begin one.
    #[error("message: expected TICK, found {found:?}")]
    NotABatchStart {
        /// The message found.
        found: String,
    },
    /// A line that should be one of the endpoints that a membership message has announced.
    #[error("expected ENTRY, found {found:?}")]
    NotAnEndpoint {
        /// The message found.
        found: String,
    },
    /// The input ended inside a batch.
    #[error("end of input inside a batch: {missing} missing")]
    IncompleteBatch {
        /// The message that was to come.
        missing: &'static str,
    },
    /// A router's settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
