//! Directives of proxy sections: `frontend`, `backend`, `listen` and their `defaults`.

use super::error::ImportErrorKind;
use super::lexer::Line;
use super::values::{parse_address, parse_duration, parse_number};
use crate::interface::Micros;
use std::net::SocketAddr;

/// The settings of a proxy section.
#[derive(Clone, Debug, Default)]
pub(super) struct ProxySettings {
    pub binds: Vec<Bind>,
    pub servers: Vec<Server>,
    pub default_backend: Option<BackendReference>,
    pub connect_timeout: Option<Micros>,
    pub server_timeout: Option<Micros>,
    pub keep_alive_timeout: Option<Micros>,
    pub retries: Option<u64>,
}

/// A listening address of a frontend.
#[derive(Clone, Debug)]
pub(super) struct Bind {
    pub line: usize,
    pub address: SocketAddr,
}

/// The default backend of a frontend, for requests that no `use_backend` rule matches.
#[derive(Clone, Debug)]
pub(super) struct BackendReference {
    pub line: usize,
    pub name: String,
}

/// A server of a backend.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub name: String,
    pub address: SocketAddr,
    /// Load-balancing weight, at least 1.
    pub weight: u64,
    /// Whether the server receives no new requests.
    pub is_disabled: bool,
}

impl ProxySettings {
    /// Reads one directive. Returns descriptions of the parts that cannot be imported.
    pub fn read_directive(&mut self, line: &Line<'_>) -> Result<Vec<String>, ImportErrorKind> {
        let mut omissions = Vec::new();
        match (line.keyword, line.arguments) {
            ("bind", [addresses, options @ ..]) => {
                omissions = self.read_bind(line.number, addresses, options)?;
            }
            ("server", [name, address, options @ ..]) => {
                omissions.extend(self.read_server(name, address, options)?);
            }
            ("timeout", [event, duration, ..]) => omissions.extend(self.read_timeout(event, duration)?),
            ("retries", [count, ..]) => self.retries = Some(parse_number(count)?),
            ("default_backend", [name, ..]) => {
                self.default_backend = Some(BackendReference { line: line.number, name: (*name).to_owned() });
            }
            (keyword @ ("bind" | "server" | "timeout" | "retries" | "default_backend"), _) => {
                return Err(ImportErrorKind::MissingValue { keyword: keyword.to_owned() });
            }
            ("mode", ["http"]) => {}
            ("mode", [mode]) => omissions.push(format!("mode {mode}: only HTTP is supported")),
            ("balance", _) => omissions.push("balance: the routing policy selects the worker".into()),
            (keyword, _) => omissions.push(format!("{keyword} has no equivalent")),
        }
        Ok(omissions)
    }

    fn read_bind(
        &mut self,
        line: usize,
        addresses: &str,
        options: &[&str],
    ) -> Result<Vec<String>, ImportErrorKind> {
        let mut omissions = Vec::new();
        for text in addresses.split(',') {
            match parse_address(text)? {
                Some(address) => self.binds.push(Bind { line, address }),
                None => omissions.push(format!("bind {text}: not an IP address with a single port")),
            }
        }
        if !options.is_empty() {
            omissions.push(format!("bind options {}", options.join(" ")));
        }
        Ok(omissions)
    }

    fn read_server(
        &mut self,
        name: &str,
        address: &str,
        options: &[&str],
    ) -> Result<Option<String>, ImportErrorKind> {
        let Some(parsed) = parse_address(address)? else {
            return Ok(Some(format!(
                "server {name}: {address} is not an IP address (names are not resolved)"
            )));
        };
        let mut server = Server { name: name.to_owned(), address: parsed, weight: 1, is_disabled: false };
        let omission = server.read_options(options)?;
        self.servers.push(server);
        Ok(omission)
    }

    fn read_timeout(&mut self, event: &str, duration: &str) -> Result<Option<String>, ImportErrorKind> {
        let duration = parse_duration(duration)?;
        match event {
            "connect" => self.connect_timeout = Some(duration),
            "server" => self.server_timeout = Some(duration),
            "http-keep-alive" => self.keep_alive_timeout = Some(duration),
            other => return Ok(Some(format!("timeout {other}"))),
        }
        Ok(None)
    }
}

impl Server {
    /// Reads the options of a `server` line. Returns a description of those that cannot be imported.
    fn read_options(&mut self, options: &[&str]) -> Result<Option<String>, ImportErrorKind> {
        let mut omitted = Vec::new();
        let mut options = options.iter();
        while let Some(option) = options.next() {
            match *option {
                "weight" => {
                    let weight =
                        options.next().ok_or(ImportErrorKind::MissingNumber { keyword: "weight" })?;
                    self.weight = parse_number(weight)?;
                }
                "disabled" => self.is_disabled = true,
                "enabled" => {}
                other => omitted.push(other),
            }
        }
        // HAProxy sends no new requests to a server of weight 0.
        if self.weight == 0 {
            self.weight = 1;
            self.is_disabled = true;
        }
        Ok((!omitted.is_empty()).then(|| format!("server {}: {}", self.name, omitted.join(" "))))
    }
}
