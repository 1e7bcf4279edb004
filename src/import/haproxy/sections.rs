//! Sections of the configuration and the directives in them.

use super::Omission;
use super::directives::ProxySettings;
use super::error::ImportErrorKind;
use super::lexer::Line;
use super::values::parse_number;

/// HAProxy sections without an equivalent in an operator's file.
const UNSUPPORTED_SECTIONS: [&str; 15] = [
    "acme",
    "cache",
    "crt-store",
    "fcgi-app",
    "http-errors",
    "log-forward",
    "log-profile",
    "mailers",
    "peers",
    "program",
    "resolvers",
    "ring",
    "traces",
    "userlist",
    "dynamic-update",
];

/// The parsed part of a configuration.
#[derive(Default)]
pub(super) struct Document {
    current: Option<Section>,
    defaults: Vec<Defaults>,
    proxies: Vec<ProxySection>,
    max_connections: Option<u64>,
    omissions: Vec<Omission>,
}

/// The section being read. Indices refer to the document's lists.
#[derive(Clone, Copy)]
enum Section {
    Global,
    Defaults(usize),
    Proxy(usize),
    Unsupported,
}

/// A `defaults` section.
struct Defaults {
    /// Empty for an unnamed section, which no other section can refer to by name.
    name: String,
    settings: ProxySettings,
}

/// A `frontend`, `backend` or `listen` section.
pub(super) struct ProxySection {
    /// Unique key: the name, preceded by the section type except for a backend, since HAProxy allows a
    /// frontend and a backend with the same name.
    pub key: String,
    /// Line number of the section header.
    pub line: usize,
    /// Whether the section accepts client connections, as `frontend` and `listen` sections do.
    pub accepts_clients: bool,
    /// The settings, including the inherited defaults.
    pub settings: ProxySettings,
}

/// The arguments of a section header.
struct SectionHeader<'a> {
    /// Empty for an unnamed section.
    name: &'a str,
    /// The name of the `defaults` section to inherit from.
    defaults: Option<&'a str>,
}

impl<'a> SectionHeader<'a> {
    fn parse(arguments: &[&'a str]) -> Self {
        let (name, defaults) = match *arguments {
            [] => ("", None),
            ["from", defaults] => ("", Some(defaults)),
            [name, "from", defaults] => (name, Some(defaults)),
            [name, ..] => (name, None),
        };
        SectionHeader { name, defaults }
    }
}

impl Document {
    /// Reads the next line of the file.
    pub fn read(&mut self, line: &Line<'_>) -> Result<(), ImportErrorKind> {
        match self.begin_section(line)? {
            Some(section) => {
                self.current = Some(section);
                Ok(())
            }
            None => self.read_directive(line),
        }
    }

    /// The `frontend`, `backend` and `listen` sections in file order.
    pub fn proxies(&self) -> &[ProxySection] {
        &self.proxies
    }

    /// The connection limit of the process (`maxconn`), if set.
    pub fn max_connections(&self) -> Option<u64> {
        self.max_connections
    }

    /// The parts that cannot be imported, in no particular order.
    pub fn into_omissions(self) -> Vec<Omission> {
        self.omissions
    }

    /// Begins a new section if the line is a section header.
    fn begin_section(&mut self, line: &Line<'_>) -> Result<Option<Section>, ImportErrorKind> {
        match line.keyword {
            "global" => Ok(Some(Section::Global)),
            "defaults" => self.begin_defaults(line).map(Some),
            "frontend" | "listen" | "backend" => self.begin_proxy(line).map(Some),
            other if UNSUPPORTED_SECTIONS.contains(&other) => {
                self.omit(line.number, format!("section {other} has no equivalent"));
                Ok(Some(Section::Unsupported))
            }
            _ => Ok(None),
        }
    }

    /// Begins a `defaults` section, which inherits the settings of the `defaults` section that it names.
    fn begin_defaults(&mut self, line: &Line<'_>) -> Result<Section, ImportErrorKind> {
        let SectionHeader { name, defaults } = SectionHeader::parse(line.arguments);
        let settings = match defaults {
            Some(defaults) => self.named_defaults(defaults)?,
            None => ProxySettings::default(),
        };
        self.defaults.push(Defaults { name: name.to_owned(), settings });
        Ok(Section::Defaults(self.defaults.len() - 1))
    }

    /// Begins a proxy section, which inherits from the `defaults` section that it names, otherwise from the
    /// preceding one.
    fn begin_proxy(&mut self, line: &Line<'_>) -> Result<Section, ImportErrorKind> {
        let keyword = line.keyword;
        let SectionHeader { name, defaults } = SectionHeader::parse(line.arguments);
        if name.is_empty() {
            return Err(ImportErrorKind::UnnamedSection { keyword: keyword.to_owned() });
        }
        if keyword == "frontend" && matches!(line.arguments, [_, second, ..] if *second != "from") {
            return Err(ImportErrorKind::AddressInSectionHeader);
        }
        let key = if keyword == "backend" { name.to_owned() } else { format!("{keyword} {name}") };
        if self.proxies.iter().any(|proxy| proxy.key == key) {
            let (keyword, name) = (keyword.to_owned(), name.to_owned());
            return Err(ImportErrorKind::DuplicateSection { keyword, name });
        }
        let settings = match defaults {
            Some(defaults) => self.named_defaults(defaults)?,
            None => self.defaults.last().map(|last| last.settings.clone()).unwrap_or_default(),
        };
        let accepts_clients = keyword != "backend";
        self.proxies.push(ProxySection { key, line: line.number, accepts_clients, settings });
        Ok(Section::Proxy(self.proxies.len() - 1))
    }

    /// The settings of the last `defaults` section with this name.
    fn named_defaults(&self, name: &str) -> Result<ProxySettings, ImportErrorKind> {
        let found = self.defaults.iter().rev().find(|defaults| !name.is_empty() && defaults.name == name);
        match found {
            Some(defaults) => Ok(defaults.settings.clone()),
            None => Err(ImportErrorKind::UnknownDefaults { name: name.to_owned() }),
        }
    }

    /// Reads a directive of the current section and records the parts that cannot be imported.
    fn read_directive(&mut self, line: &Line<'_>) -> Result<(), ImportErrorKind> {
        let keyword = line.keyword;
        let omissions = match self.current {
            None => return Err(ImportErrorKind::OutsideSection { keyword: keyword.to_owned() }),
            Some(Section::Unsupported) => vec![format!("{keyword}, in a section that has no equivalent")],
            Some(Section::Global) => self.read_global_directive(line)?,
            Some(Section::Defaults(_)) if matches!(keyword, "bind" | "server") => {
                return Err(ImportErrorKind::NotAllowedInDefaults { keyword: keyword.to_owned() });
            }
            Some(Section::Defaults(index)) => self.defaults[index].settings.read_directive(line)?,
            Some(Section::Proxy(index)) => self.proxies[index].settings.read_directive(line)?,
        };
        for description in omissions {
            self.omit(line.number, description);
        }
        Ok(())
    }

    /// Reads a directive of the `global` section. Returns descriptions of the parts that cannot be imported.
    fn read_global_directive(&mut self, line: &Line<'_>) -> Result<Vec<String>, ImportErrorKind> {
        match (line.keyword, line.arguments) {
            ("maxconn", [count, ..]) => {
                self.max_connections = Some(parse_number(count)?);
                Ok(Vec::new())
            }
            ("maxconn", []) => Err(ImportErrorKind::MissingNumber { keyword: "maxconn" }),
            (keyword, _) => Ok(vec![format!("global {keyword} has no equivalent")]),
        }
    }

    fn omit(&mut self, line: usize, description: String) {
        self.omissions.push(Omission { line, description });
    }
}
