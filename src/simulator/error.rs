//! Errors of the simulator's wire.

use crate::wire_format::SettingsError;
use std::io;
use std::string::FromUtf8Error;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input has a malformed line.
    #[error("line {line}: {error}")]
    Malformed {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong with the line.
        #[source]
        error: LineError,
    },
    /// Reading or writing failed.
    #[error("wire: {0}")]
    Io(#[from] io::Error),
}

/// Why a line is malformed.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not valid UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[source] FromUtf8Error),
    /// The line ends before a field of its message.
    #[error("{message}: field {field} is missing")]
    MissingField {
        /// The name of the message, which is the first field of the line.
        message: String,
        /// The name of the missing field.
        field: &'static str,
    },
    /// A field has an invalid value.
    #[error("{message}: field {field} has the value {value:?}")]
    InvalidField {
        /// The name of the message that the field belongs to.
        message: String,
        /// The name of the invalid field.
        field: &'static str,
        /// The text of the field as received.
        value: String,
    },
    /// The message is addressed to a router that was never started or has been shut down.
    #[error("{message}: field router has the value \"{router}\", which is not a running router")]
    UnknownRouter {
        /// The name of the message.
        message: String,
        /// The number in the message that names no running router.
        router: u32,
    },
    /// The message is not part of the protocol.
    #[error("unknown message {message:?}")]
    UnknownMessage {
        /// The name that the protocol does not define.
        message: String,
    },
    /// A line between two batches does not start a batch.
    #[error("message: expected TICK, found {found:?}")]
    ExpectedBatchStart {
        /// The name of the message found instead.
        found: String,
    },
    /// A line is not one of the endpoints that a membership message announced.
    #[error("expected ENTRY, found {found:?}")]
    ExpectedEndpoint {
        /// The name of the message found instead.
        found: String,
    },
    /// The input ended inside a batch.
    #[error("end of input inside a batch: {missing} missing")]
    IncompleteBatch {
        /// The name of the message that was expected next.
        missing: &'static str,
    },
    /// The settings of a router are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
