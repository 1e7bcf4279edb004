//! The frontend that is carried over, and the backends that it leads to.

use super::Omission;
use super::directives::{Bind, Proxy};
use super::error::{ImportError, ImportErrorKind};
use super::roles::{Role, role_of_backend};
use super::sections::{Document, ProxySection};

/// What is carried over of a file's proxies.
pub(super) struct Routes<'a> {
    /// The frontend that clients connect to.
    pub frontend: &'a Proxy,
    /// Its first address.
    pub listen: &'a Bind,
    /// The backends that it leads to, one with servers at least.
    pub backends: Vec<Backend<'a>>,
}

/// A backend, or the part of a `listen` section that is one.
pub(super) struct Backend<'a> {
    pub name: &'a str,
    pub settings: &'a Proxy,
}

impl<'a> Routes<'a> {
    /// Finds the first frontend that listens, and its backends. Gives back, too, what can't be reached from there.
    ///
    /// Beside the default backend, a backend that is named for a role counts as reached: requests pass one worker of
    /// each role. `end` is the line of errors that concern the whole file.
    pub fn find(document: &'a Document, end: usize) -> Result<(Self, Vec<Omission>), ImportError> {
        let proxies = document.proxies();
        let listening = proxies
            .iter()
            .filter(|proxy| proxy.accepts_clients)
            .find_map(|proxy| Some((proxy, proxy.settings.binds.split_first()?)));
        let Some((frontend, (listen, unused_binds))) = listening else {
            return Err(ImportErrorKind::NoFrontend.at(end));
        };
        let mut reached = Vec::from_iter(own_backend(frontend));
        reached.extend(default_backend(proxies, &frontend.settings)?);
        let mut omissions: Vec<Omission> =
            unused_binds.iter().map(|bind| omitted_bind(bind, listen)).collect();
        for proxy in proxies {
            let is_reached =
                reached.iter().any(|(name, section)| section.line == proxy.line || *name == proxy.key);
            if proxy.line == frontend.line || is_reached {
                continue;
            }
            if !proxy.accepts_clients && role_of_backend(&proxy.key) != Role::Unified {
                reached.push((&proxy.key, proxy));
            } else {
                let description = format!("{}: not reached from {}", proxy.key, frontend.key);
                omissions.push(Omission { line: proxy.line, description });
            }
        }
        if reached.iter().all(|(_, section)| section.settings.servers.is_empty()) {
            return Err(ImportErrorKind::NoServers { frontend: frontend.key.clone() }.at(end));
        }
        let backends = reached
            .into_iter()
            .map(|(name, section)| Backend { name, settings: &section.settings })
            .collect();
        Ok((Routes { frontend: &frontend.settings, listen, backends }, omissions))
    }
}

/// A backend's name beside its section.
type NamedSection<'a> = (&'a str, &'a ProxySection);

/// The backend that a frontend with servers of its own is, too.
fn own_backend(frontend: &ProxySection) -> Option<NamedSection<'_>> {
    let has_servers = !frontend.settings.servers.is_empty();
    has_servers.then(|| (frontend.key.trim_start_matches("listen "), frontend))
}

/// The default backend of a frontend: a `backend` section, else a `listen` section of that name.
fn default_backend<'a>(
    proxies: &'a [ProxySection],
    frontend: &'a Proxy,
) -> Result<Option<NamedSection<'a>>, ImportError> {
    let Some(reference) = &frontend.default_backend else { return Ok(None) };
    let name = &reference.name;
    let find = |key: &str| proxies.iter().find(|proxy| proxy.key == key);
    match find(name).or_else(|| find(&format!("listen {name}"))) {
        Some(backend) => Ok(Some((name, backend))),
        None => Err(ImportErrorKind::UnknownBackend { name: name.clone() }.at(reference.line)),
    }
}

/// The note on an address that is not carried over.
fn omitted_bind(bind: &Bind, listen: &Bind) -> Omission {
    let description = format!("bind {}: one address is listened on, {}", bind.address, listen.address);
    Omission { line: bind.line, description }
}
