//! Reload of the configuration on SIGHUP.

use super::StartError;
use super::source::ConfigSource;
use crate::config::Config;
use crate::runtime::counters::Counters;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Reloads the configuration. Only a change of the discovery address takes effect; other changes require a
/// restart. A configuration that cannot be loaded changes nothing.
pub(super) struct Reloader {
    source: ConfigSource,
    /// The configuration that is in effect.
    config: Config,
    discovery_address: Rc<watch::Sender<Option<SocketAddr>>>,
    counters: Rc<Counters>,
}

impl Reloader {
    /// Creates a reloader for a router that was started with `config`. Changes of the discovery address are
    /// sent to `discovery_address`.
    pub fn new(
        source: ConfigSource,
        config: Config,
        discovery_address: Rc<watch::Sender<Option<SocketAddr>>>,
        counters: Rc<Counters>,
    ) -> Self {
        Reloader { source, config, discovery_address, counters }
    }

    /// Loads the configuration and applies the changes that are allowed at run time.
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
        let deferred = self.config.changes_requiring_restart(loaded);
        if !deferred.is_empty() {
            log::warn!("reload: changes of {} require a restart and are not applied", deferred.join(", "));
        }
        self.config.discovery = loaded.discovery;
        let is_changed = self.discovery_address.send_if_modified(|address| {
            let is_changed = *address != loaded.discovery;
            *address = loaded.discovery;
            is_changed
        });
        match loaded.discovery {
            Some(address) if is_changed => log::info!("reload: discovery is now at {address}"),
            None if is_changed => {
                log::info!("reload: discovery is disabled; the endpoint list stays as it is")
            }
            _ => log::info!("reload: discovery stays where it was"),
        }
    }
}
