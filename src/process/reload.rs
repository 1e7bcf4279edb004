//! Reload of the configuration on SIGHUP.

use super::StartError;
use super::source::ConfigSource;
use crate::config::Config;
use crate::runtime::counters::Counters;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Loads the configuration again when asked. Only discovery's address takes effect; everything else stays as
/// it was at the start. A configuration that can't be loaded changes nothing.
pub(super) struct Reloader {
    source: ConfigSource,
    /// The configuration in force.
    config: Config,
    discovery: Rc<watch::Sender<Option<SocketAddr>>>,
    counters: Rc<Counters>,
}

impl Reloader {
    /// A reloader for a router that was started with a configuration. Changes of discovery's address go to
    /// `discovery`.
    pub fn new(
        source: ConfigSource,
        config: Config,
        discovery: Rc<watch::Sender<Option<SocketAddr>>>,
        counters: Rc<Counters>,
    ) -> Self {
        Reloader { source, config, discovery, counters }
    }

    /// Loads the configuration and puts into force what may change while the router runs.
    pub fn reload(&mut self) {
        match self.source.load() {
            Ok(loaded) => self.apply(&loaded),
            Err(error) => self.reject(&error),
        }
    }

    fn reject(&self, error: &StartError) {
        self.counters.reloads_failed.increment();
        log::error!("reload: {error}; the configuration held stands");
    }

    fn apply(&mut self, loaded: &Config) {
        self.counters.reloads.increment();
        let not_applied = self.config.changes_requiring_restart(loaded);
        if !not_applied.is_empty() {
            log::warn!("reload: changes of {} take effect at the next start", not_applied.join(", "));
        }
        self.config.discovery = loaded.discovery;
        let has_moved = self.discovery.send_if_modified(|address| {
            let has_moved = *address != loaded.discovery;
            *address = loaded.discovery;
            has_moved
        });
        match loaded.discovery {
            Some(address) if has_moved => log::info!("reload: discovery is now at {address}"),
            None if has_moved => {
                log::info!("reload: there is no discovery any more; the endpoint list stays")
            }
            _ => log::info!("reload: discovery stays where it was"),
        }
    }
}
