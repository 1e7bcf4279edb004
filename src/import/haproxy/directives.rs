//! Directives of proxy sections: `frontend`, `backend`, `listen` and their `defaults`.

use super::error::ImportErrorKind;
use super::lexer::Line;
use super::values::{parse_address, parse_number, parse_time};
use crate::interface::Micros;
use std::net::SocketAddr;

/// What a proxy section says.
#[derive(Clone, Debug, Default)]
pub(super) struct Proxy {
    pub binds: Vec<Bind>,
    pub servers: Vec<Server>,
    pub default_backend: Option<BackendReference>,
    pub connect_timeout: Option<Micros>,
    pub server_timeout: Option<Micros>,
    pub keep_alive_timeout: Option<Micros>,
    pub retries: Option<u64>,
}

/// An address to listen on.
#[derive(Clone, Debug)]
pub(super) struct Bind {
    pub line: usize,
    pub address: SocketAddr,
}

/// The backend to which a frontend sends what nothing else applies to.
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
    /// At least 1.
    pub weight: u64,
    /// Whether it gets nothing new.
    pub is_disabled: bool,
}

impl Proxy {
    /// Reads one directive. Gives back what can't be carried over.
    pub fn read_directive(&mut self, line: &Line<'_>) -> Result<Vec<String>, ImportErrorKind> {
        let mut omissions = Vec::new();
        match (line.keyword, line.arguments) {
            ("bind", [addresses, options @ ..]) => {
                omissions = self.read_bind(line.number, addresses, options)?;
            }
            ("server", [name, address, options @ ..]) => {
                omissions.extend(self.read_server(name, address, options)?);
            }
            ("timeout", [event, time, ..]) => omissions.extend(self.read_timeout(event, time)?),
            ("retries", [count, ..]) => self.retries = Some(parse_number(count)?),
            ("default_backend", [name, ..]) => {
                self.default_backend = Some(BackendReference { line: line.number, name: (*name).to_owned() });
            }
            (keyword @ ("bind" | "server" | "timeout" | "retries" | "default_backend"), _) => {
                return Err(ImportErrorKind::MissingValue { keyword: keyword.to_owned() });
            }
            ("mode", ["http"]) => {}
            ("mode", [mode]) => omissions.push(format!("mode {mode}: requests are taken over HTTP")),
            ("balance", _) => omissions.push("balance: the module decides where requests go".into()),
            (keyword, _) => omissions.push(format!("{keyword} has no counterpart")),
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
                None => omissions.push(format!("bind {text}: not an address with one port")),
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
            return Ok(Some(format!("server {name}: {address} is no address (there is no DNS here)")));
        };
        let mut server = Server { name: name.to_owned(), address: parsed, weight: 1, is_disabled: false };
        let omission = server.read_options(options)?;
        self.servers.push(server);
        Ok(omission)
    }

    fn read_timeout(&mut self, event: &str, time: &str) -> Result<Option<String>, ImportErrorKind> {
        let time = parse_time(time)?;
        match event {
            "connect" => self.connect_timeout = Some(time),
            "server" => self.server_timeout = Some(time),
            "http-keep-alive" => self.keep_alive_timeout = Some(time),
            other => return Ok(Some(format!("timeout {other}"))),
        }
        Ok(None)
    }
}

impl Server {
    /// Gives back the options that can't be carried over.
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
        // HAProxy sends nothing new to a server of weight 0.
        if self.weight == 0 {
            self.weight = 1;
            self.is_disabled = true;
        }
        Ok((!omitted.is_empty()).then(|| format!("server {}: {}", self.name, omitted.join(" "))))
    }
}
