//! Errors of the import.

/// An error in the HAProxy configuration, with its line.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ImportError {
    /// Line number, from 1; one past the last line if the file as a whole lacks something.
    pub line: usize,
    /// What is wrong with the line or with the file as a whole.
    #[source]
    pub kind: ImportErrorKind,
}

/// The kind of an error in a line or in the file as a whole.
#[derive(Debug, thiserror::Error)]
pub enum ImportErrorKind {
    /// A line ends with a backslash.
    #[error("backslash at the end of the line")]
    TrailingBackslash,
    /// A line ends inside a quote.
    #[error("unterminated quote")]
    UnterminatedQuote,
    /// A duration has a unit that HAProxy does not define.
    #[error("unknown time unit {unit:?} in {text:?}")]
    UnknownTimeUnit {
        /// The part of the duration after its number.
        unit: String,
        /// The duration as written, with its number.
        text: String,
    },
    /// A duration has no number or is too long.
    #[error("{text:?} is not a valid duration")]
    InvalidDuration {
        /// The duration as written.
        text: String,
    },
    /// A value is not a number or is too large.
    #[error("{text:?} is not a number of at most 32 bits")]
    InvalidNumber {
        /// The value as written.
        text: String,
    },
    /// An address has no port.
    #[error("{address:?} has no port")]
    MissingPort {
        /// The address as written.
        address: String,
    },
    /// The port of an address is not a number from 1 to 65535.
    #[error("{port:?} is not a valid port")]
    InvalidPort {
        /// The part of the address after its last colon.
        port: String,
    },
    /// A section refers to a `defaults` section that does not exist.
    #[error("no defaults section is named {name:?}")]
    UnknownDefaults {
        /// The name that the section refers to.
        name: String,
    },
    /// A section that requires a name has none.
    #[error("{keyword} has no name")]
    UnnamedSection {
        /// The type of the section, such as `backend`.
        keyword: String,
    },
    /// The section header of a frontend has an address after the name, as old HAProxy versions allowed.
    #[error("the address of a frontend has to be on a bind line")]
    AddressInSectionHeader,
    /// Two sections of the same type have the same name.
    #[error("duplicate section {keyword} {name:?}")]
    DuplicateSection {
        /// The type of both sections, such as `backend`.
        keyword: String,
        /// The name of both sections.
        name: String,
    },
    /// A directive precedes the first section.
    #[error("{keyword:?} outside of any section")]
    OutsideSection {
        /// The name of the directive.
        keyword: String,
    },
    /// A directive is not allowed in a `defaults` section.
    #[error("{keyword} is not allowed in a defaults section")]
    NotAllowedInDefaults {
        /// The name of the directive.
        keyword: String,
    },
    /// A directive lacks a required value.
    #[error("{keyword} requires a value")]
    MissingValue {
        /// The name of the directive.
        keyword: String,
    },
    /// A directive or an option lacks a required number.
    #[error("{keyword} requires a number")]
    MissingNumber {
        /// The name of the directive or option.
        keyword: &'static str,
    },
    /// No section accepts connections.
    #[error("no frontend or listen section with an address to bind")]
    NoFrontend,
    /// The default backend of a frontend does not exist.
    #[error("no backend is named {name:?}")]
    UnknownBackend {
        /// The name that the frontend refers to.
        name: String,
    },
    /// None of the backends that the frontend uses has a server.
    #[error("no server is reachable from {frontend}")]
    NoServers {
        /// The name of the frontend.
        frontend: String,
    },
    /// The operator's file could not be serialized as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
}

impl ImportErrorKind {
    /// Adds the line number.
    pub(super) fn at(self, line: usize) -> ImportError {
        ImportError { line, kind: self }
    }
}
