//! Sections of the file, and which one a directive belongs to.

use super::Omission;
use super::directives::Proxy;
use super::error::ImportErrorKind;
use super::lexer::Line;
use super::values::parse_number;

/// Sections that HAProxy knows and an operator's file has nothing for.
const OTHER_SECTIONS: [&str; 15] = [
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

/// What a file says, as far as it has been read.
#[derive(Default)]
pub(super) struct Document {
    current: Option<Section>,
    defaults: Vec<Defaults>,
    proxies: Vec<ProxySection>,
    max_connections: Option<u64>,
    omissions: Vec<Omission>,
}

/// The section that directives belong to. Indices are into the document's lists.
#[derive(Clone, Copy)]
enum Section {
    Global,
    Defaults(usize),
    Proxy(usize),
    Other,
}

/// A `defaults` section.
struct Defaults {
    /// Empty when it has none: then no section refers to it by name.
    name: String,
    settings: Proxy,
}

/// A `frontend`, `backend` or `listen` section.
pub(super) struct ProxySection {
    /// Its name, with the kind of section before it unless it is a backend: HAProxy allows a frontend and a backend of
    /// one name.
    pub key: String,
    /// The line that begins it.
    pub line: usize,
    /// Whether it takes connections from clients, as a frontend or `listen` section does.
    pub accepts_clients: bool,
    /// What it says, defaults included.
    pub settings: Proxy,
}

/// The words of a section's line after its kind.
struct SectionLine<'a> {
    /// Empty when it has none.
    name: &'a str,
    /// The defaults section that it refers to.
    defaults: Option<&'a str>,
}

impl<'a> SectionLine<'a> {
    fn parse(arguments: &[&'a str]) -> Self {
        let (name, defaults) = match *arguments {
            [] => ("", None),
            ["from", defaults] => ("", Some(defaults)),
            [name, "from", defaults] => (name, Some(defaults)),
            [name, ..] => (name, None),
        };
        SectionLine { name, defaults }
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

    /// The `frontend`, `backend` and `listen` sections, in the order of the file.
    pub fn proxies(&self) -> &[ProxySection] {
        &self.proxies
    }

    /// How many connections the process may have, if stated.
    pub fn max_connections(&self) -> Option<u64> {
        self.max_connections
    }

    /// What could not be carried over, in no particular order.
    pub fn into_omissions(self) -> Vec<Omission> {
        self.omissions
    }

    /// Begins the section that the line names, if it is the first line of one.
    fn begin_section(&mut self, line: &Line<'_>) -> Result<Option<Section>, ImportErrorKind> {
        match line.keyword {
            "global" => Ok(Some(Section::Global)),
            "defaults" => self.begin_defaults(line).map(Some),
            "frontend" | "listen" | "backend" => self.begin_proxy(line).map(Some),
            other if OTHER_SECTIONS.contains(&other) => {
                self.omit(line.number, format!("section {other} has no counterpart"));
                Ok(Some(Section::Other))
            }
            _ => Ok(None),
        }
    }

    /// A `defaults` section begins with what the section that it refers to says.
    fn begin_defaults(&mut self, line: &Line<'_>) -> Result<Section, ImportErrorKind> {
        let SectionLine { name, defaults } = SectionLine::parse(line.arguments);
        let settings = match defaults {
            Some(defaults) => self.named_defaults(defaults)?,
            None => Proxy::default(),
        };
        self.defaults.push(Defaults { name: name.to_owned(), settings });
        Ok(Section::Defaults(self.defaults.len() - 1))
    }

    /// A proxy section begins with the defaults that it names, else with the last ones before it.
    fn begin_proxy(&mut self, line: &Line<'_>) -> Result<Section, ImportErrorKind> {
        let keyword = line.keyword;
        let SectionLine { name, defaults } = SectionLine::parse(line.arguments);
        if name.is_empty() {
            return Err(ImportErrorKind::UnnamedSection { keyword: keyword.to_owned() });
        }
        if keyword == "frontend" && matches!(line.arguments, [_, second, ..] if *second != "from") {
            return Err(ImportErrorKind::AddressInSectionLine);
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

    /// What the defaults section of that name says; of several, the last.
    fn named_defaults(&self, name: &str) -> Result<Proxy, ImportErrorKind> {
        let found = self.defaults.iter().rev().find(|defaults| !name.is_empty() && defaults.name == name);
        match found {
            Some(defaults) => Ok(defaults.settings.clone()),
            None => Err(ImportErrorKind::UnknownDefaults { name: name.to_owned() }),
        }
    }

    /// Passes a directive to the section that it belongs to, and notes what can't be carried over.
    fn read_directive(&mut self, line: &Line<'_>) -> Result<(), ImportErrorKind> {
        let keyword = line.keyword;
        let omissions = match self.current {
            None => return Err(ImportErrorKind::OutsideSection { keyword: keyword.to_owned() }),
            Some(Section::Other) => vec![format!("{keyword}, in a section that has no counterpart")],
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

    /// Gives back what can't be carried over.
    fn read_global_directive(&mut self, line: &Line<'_>) -> Result<Vec<String>, ImportErrorKind> {
        match (line.keyword, line.arguments) {
            ("maxconn", [count, ..]) => {
                self.max_connections = Some(parse_number(count)?);
                Ok(Vec::new())
            }
            ("maxconn", []) => Err(ImportErrorKind::MissingNumber { keyword: "maxconn" }),
            (keyword, _) => Ok(vec![format!("global {keyword} has no counterpart")]),
        }
    }

    fn omit(&mut self, line: usize, description: String) {
        self.omissions.push(Omission { line, description });
    }
}
