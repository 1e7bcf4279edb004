//! Selects the imported frontend and the backends that it uses.

use super::Omission;
use super::directives::{Bind, ProxySettings};
use super::error::{ImportError, ImportErrorKind};
use super::roles::{Role, role_of_backend};
use super::sections::{Document, ProxySection};

/// The proxy sections that are imported.
pub(super) struct Routes<'a> {
    /// The settings of the frontend that clients connect to.
    pub frontend: &'a ProxySettings,
    /// The first listening address of the frontend.
    pub listen: &'a Bind,
    /// The backends that the frontend uses; at least one has servers.
    pub backends: Vec<Backend<'a>>,
}

/// A `backend` section, or the backend part of a `listen` section.
pub(super) struct Backend<'a> {
    pub name: &'a str,
    pub settings: &'a ProxySettings,
}

impl<'a> Routes<'a> {
    /// Finds the first frontend with a listening address and the backends that it uses. Also returns the
    /// omissions: additional listening addresses and sections that the frontend does not use.
    ///
    /// Besides the default backend, a backend named after a role is reachable, since each request passes
    /// through one worker of each role. `end_line` is the line number for errors that concern the whole file.
    pub fn find(document: &'a Document, end_line: usize) -> Result<(Self, Vec<Omission>), ImportError> {
        let proxies = document.proxies();
        let listening = proxies
            .iter()
            .filter(|proxy| proxy.accepts_clients)
            .find_map(|proxy| Some((proxy, proxy.settings.binds.split_first()?)));
        let Some((frontend, (listen, additional_binds))) = listening else {
            return Err(ImportErrorKind::NoFrontend.at(end_line));
        };
        let mut reachable = Vec::from_iter(backend_of_listen(frontend));
        reachable.extend(default_backend(proxies, &frontend.settings)?);
        let mut omissions: Vec<Omission> =
            additional_binds.iter().map(|bind| additional_bind_omission(bind, listen)).collect();
        for proxy in proxies {
            let is_reachable =
                reachable.iter().any(|(name, section)| section.line == proxy.line || *name == proxy.key);
            if proxy.line == frontend.line || is_reachable {
                continue;
            }
            if !proxy.accepts_clients && role_of_backend(&proxy.key) != Role::Unified {
                reachable.push((&proxy.key, proxy));
            } else {
                let description = format!("{}: not reachable from {}", proxy.key, frontend.key);
                omissions.push(Omission { line: proxy.line, description });
            }
        }
        if reachable.iter().all(|(_, section)| section.settings.servers.is_empty()) {
            return Err(ImportErrorKind::NoServers { frontend: frontend.key.clone() }.at(end_line));
        }
        let backends = reachable
            .into_iter()
            .map(|(name, section)| Backend { name, settings: &section.settings })
            .collect();
        Ok((Routes { frontend: &frontend.settings, listen, backends }, omissions))
    }
}

/// The name of a backend and its section.
type NamedSection<'a> = (&'a str, &'a ProxySection);

/// The backend part of a section that both listens and has servers.
fn backend_of_listen(frontend: &ProxySection) -> Option<NamedSection<'_>> {
    let has_servers = !frontend.settings.servers.is_empty();
    has_servers.then(|| (frontend.key.trim_start_matches("listen "), frontend))
}

/// The default backend of a frontend: the `backend` section with that name, otherwise the `listen` section.
fn default_backend<'a>(
    proxies: &'a [ProxySection],
    frontend: &'a ProxySettings,
) -> Result<Option<NamedSection<'a>>, ImportError> {
    let Some(reference) = &frontend.default_backend else { return Ok(None) };
    let name = &reference.name;
    let find = |key: &str| proxies.iter().find(|proxy| proxy.key == key);
    match find(name).or_else(|| find(&format!("listen {name}"))) {
        Some(backend) => Ok(Some((name, backend))),
        None => Err(ImportErrorKind::UnknownBackend { name: name.clone() }.at(reference.line)),
    }
}

/// The omission of an additional listening address.
fn additional_bind_omission(bind: &Bind, listen: &Bind) -> Omission {
    let description =
        format!("bind {}: only one listening address is supported; using {}", bind.address, listen.address);
    Omission { line: bind.line, description }
}
