//! Why a file can't be imported.

/// Why a file can't be imported, and where.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ImportError {
    /// The line, from 1; one past the last where something is missing from the whole file.
    pub line: usize,
    /// What is wrong.
    #[source]
    pub kind: ImportErrorKind,
}

/// What is wrong with a line, or with the whole file.
#[derive(Debug, thiserror::Error)]
pub enum ImportErrorKind {
    /// A line ends with a backslash.
    #[error("nothing follows the backslash")]
    DanglingBackslash,
    /// A line ends inside a quote.
    #[error("a quote is not closed")]
    UnclosedQuote,
    /// A length of time with a unit that HAProxy does not have.
    #[error("unknown unit of time {unit:?} in {text:?}")]
    UnknownTimeUnit {
        /// The unit.
        unit: String,
        /// The whole text.
        text: String,
    },
    /// A length of time without a number, or one that is too long.
    #[error("{text:?} is not a length of time")]
    InvalidTime {
        /// The text.
        text: String,
    },
    /// Not a number, or one that is too large.
    #[error("{text:?} is not a number")]
    InvalidNumber {
        /// The text.
        text: String,
    },
    /// An address without a port.
    #[error("{address:?} has no port")]
    MissingPort {
        /// The address.
        address: String,
    },
    /// An address whose port is not a number from 1 to 65535.
    #[error("{port:?} is not a port")]
    InvalidPort {
        /// The port.
        port: String,
    },
    /// A section takes its defaults from a section that there is not.
    #[error("no defaults section is named {name:?}")]
    UnknownDefaults {
        /// The name.
        name: String,
    },
    /// A section that has to have a name has none.
    #[error("{keyword} has no name")]
    UnnamedSection {
        /// The kind of section.
        keyword: String,
    },
    /// A frontend's section line carries more than its name, as old versions allowed.
    #[error("a frontend's address belongs on a bind line")]
    AddressInSectionLine,
    /// Two sections of a kind have the same name.
    #[error("{keyword} {name:?} is there already")]
    DuplicateSection {
        /// The kind of section.
        keyword: String,
        /// The name.
        name: String,
    },
    /// A directive comes before any section.
    #[error("{keyword:?} stands outside of any section")]
    OutsideSection {
        /// The directive.
        keyword: String,
    },
    /// A directive that HAProxy does not allow among defaults.
    #[error("{keyword} does not belong into defaults")]
    NotAllowedInDefaults {
        /// The directive.
        keyword: String,
    },
    /// A directive without the value that it has to have.
    #[error("{keyword} lacks a value")]
    MissingValue {
        /// The directive.
        keyword: String,
    },
    /// A directive or an option without the number that it has to have.
    #[error("{keyword} has no number")]
    MissingNumber {
        /// The directive or option.
        keyword: &'static str,
    },
    /// Nothing in the file takes connections.
    #[error("no frontend or listen section with an address to bind")]
    NoFrontend,
    /// A frontend's backend does not exist.
    #[error("no backend is named {name:?}")]
    UnknownBackend {
        /// The name.
        name: String,
    },
    /// No server can be reached from the frontend.
    #[error("{frontend} leads to no server")]
    NoServers {
        /// The frontend.
        frontend: String,
    },
    /// The operator's file could not be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
}

impl ImportErrorKind {
    /// The error with its line.
    pub(super) fn at(self, line: usize) -> ImportError {
        ImportError { line, kind: self }
    }
}
