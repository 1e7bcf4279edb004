//! The loop that keeps the endpoint list up to date.

use super::agent::AgentState;
use super::backoff::Backoff;
use super::client::DiscoveryClient;
use super::connector::Connector;
use super::directory::Directory;
use super::error::DiscoveryError;
use super::messages::EndpointListMessage;
use super::update::EndpointUpdate;
use super::watch::read_watch;
use crate::interface::{Endpoint, UpdateKind, WorkerId};
use crate::runtime::counters::Counters;
use crate::runtime::{DriverHandle, DriverInput};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Watches discovery, applies updates to the directory and notifies the driver.
pub struct EndpointWatcher {
    /// The endpoint list that updates are applied to.
    pub directory: Rc<Directory>,
    /// Receives each update, and a notification when discovery becomes unavailable.
    pub driver: DriverHandle,
    /// Called for each worker whose idle connections are stale.
    pub close_idle_connections: Box<dyn Fn(&WorkerId)>,
    /// Notified when the policy requests a poll of the complete list; the watch continues meanwhile.
    pub poll_requested: Rc<Notify>,
    /// Opens connections to the discovery agent.
    pub connector: Connector,
    /// Delays between calls, and the mode that decides on their timeout and hedging.
    pub backoff: Backoff,
    /// Counts failed calls and lost watches.
    pub counters: Rc<Counters>,
}

impl EndpointWatcher {
    /// Applies an update to the directory, closes the idle connections that it makes stale, and notifies the
    /// driver.
    pub fn apply(&self, update: EndpointUpdate, kind: UpdateKind) {
        log_endpoints(&update, kind);
        for worker in self.directory.apply(&update) {
            (self.close_idle_connections)(&worker);
        }
        let endpoints = update.endpoints.into_iter().map(|listed| listed.endpoint).collect();
        self.driver.submit(DriverInput::EndpointsUpdated { kind, endpoints });
    }

    /// Watches the agent at `address` until the sender of the address is dropped.
    ///
    /// A failed watch is reopened after a backoff delay, from the last applied sequence number. When the
    /// address changes, the call or watch in progress is cancelled at once and the new agent is called.
    /// Dropping the future closes the watch; the directory keeps the list.
    pub async fn run(self, mut address: watch::Receiver<Option<SocketAddr>>) {
        let agent = AgentState::default();
        if let Some(delay) = self.backoff.initial_delay() {
            tokio::time::sleep(delay).await;
        }
        loop {
            let Some(current) = *address.borrow_and_update() else {
                if address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let Err(error) = tokio::select! {
                // Biased: once the address has changed, no update of the old agent may be applied.
                biased;
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    agent.reset();
                    continue;
                }
                failed = self.poll_and_watch(current, &agent) => failed,
            };
            self.record_failure(&error, &agent);
            let delay = self.backoff.delay(agent.failures(), error.unresponsive_for());
            tokio::select! {
                // Biased: once the address has changed, the new agent must not be watched from a sequence number
                // of the old one. The backoff protects the old agent only.
                biased;
                _ = address.changed() => agent.reset(),
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    fn record_failure(&self, error: &DiscoveryError, agent: &AgentState) {
        self.counters.watches_lost.increment();
        // An outage may be long, so only its first failure is logged as a warning.
        let level = if agent.failures() == 0 { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, "discovery: {error}; the current endpoint list stays in use");
        agent.record_failure();
        let kind = UpdateKind::Unavailable;
        self.driver.submit(DriverInput::EndpointsUpdated { kind, endpoints: Vec::new() });
    }

    /// Polls the complete list if the agent is new, then watches for changes until a call or the watch fails.
    async fn poll_and_watch(
        &self,
        address: SocketAddr,
        agent: &AgentState,
    ) -> Result<Infallible, DiscoveryError> {
        let client = DiscoveryClient::new(address, self.connector.clone(), self.backoff.mode());
        if agent.needs_snapshot() {
            let snapshot = client.poll(agent.message_timeout()).await?;
            if snapshot.endpoints.is_empty() {
                return Err(DiscoveryError::EmptySnapshot);
            }
            self.apply_from_agent(snapshot, agent);
            agent.record_snapshot();
        }
        let body = client.open_watch(self.directory.sequence()).await?;
        if agent.record_watch_opened() > 0 {
            log::info!("discovery: watch reopened after sequence {}", self.directory.sequence());
        }
        // Watch and poll run concurrently so that neither delays the other; the failure of one ends both. A
        // poll that is cancelled with its watch is not repeated; the driver is notified that discovery is
        // unavailable.
        let on_message = |message: EndpointListMessage| self.apply_from_agent(message.into(), agent);
        tokio::select! {
            failed = read_watch(body, agent.message_timeout(), on_message) => failed,
            failed = self.poll_on_request(&client, agent) => failed,
        }
    }

    /// Polls the complete list whenever the policy requests it, until a poll fails.
    async fn poll_on_request(
        &self,
        client: &DiscoveryClient,
        agent: &AgentState,
    ) -> Result<Infallible, DiscoveryError> {
        loop {
            self.poll_requested.notified().await;
            let snapshot = client.poll(agent.message_timeout()).await?;
            self.apply_from_agent(snapshot, agent);
        }
    }

    /// Applies an update from the current agent unless it is rejected.
    fn apply_from_agent(&self, mut update: EndpointUpdate, agent: &AgentState) {
        if let Err(rejection) = agent.accept(&update) {
            log::warn!("discovery: update rejected: {rejection}");
            return;
        }
        self.directory.mark_withdrawn_as_draining(&mut update);
        let kind = update.kind();
        self.apply(update, kind);
    }
}

/// Logs each worker of an update. Complete lists are long and mostly unchanged, so they are logged at debug
/// level.
fn log_endpoints(update: &EndpointUpdate, update_kind: UpdateKind) {
    let level = if update_kind == UpdateKind::Delta { log::Level::Info } else { log::Level::Debug };
    let sequence = update.sequence;
    for listed in &update.endpoints {
        let Endpoint { worker, zone, kind, cell, status, .. } = &listed.endpoint;
        log::log!(
            level,
            "discovery: {} ({kind}, {zone}, cell {cell}) is {status:?}, {update_kind:?} {sequence}",
            worker.0
        );
    }
}
