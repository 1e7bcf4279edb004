//! Graceful shutdown: every request that was received gets its final answer, and every held KV cache is
//! released.

use crate::frontend::context::ActiveRequestIds;
use crate::net::server::connections::Connections;
use crate::net::server::shutdown_phase::ShutdownPhase;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long connections are still accepted after SIGTERM. Clients keep connecting for up to 0.4 s after it;
/// this is longer.
const ACCEPT_TIME: Duration = Duration::from_millis(700);
/// How often the shutdown checks whether everything has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a graceful shutdown acts on.
pub(super) struct GracefulShutdown {
    /// While it is set, health checks are answered as not ready.
    pub is_stopping: Rc<Cell<bool>>,
    /// Tells the listener and the connections of the closing phase.
    pub phase: watch::Sender<ShutdownPhase>,
    /// The task that accepts connections. It ends after the closing phase was announced.
    pub accept_task: JoinHandle<()>,
    /// The open connections of clients.
    pub connections: Rc<Connections>,
    /// The ids of the requests in flight.
    pub active_ids: Rc<ActiveRequestIds>,
}

impl GracefulShutdown {
    /// Reports the router as not ready, so that balancers in front of it send new connections elsewhere.
    pub fn begin(&self) {
        log::info!("stopping: accepting for {} ms more", ACCEPT_TIME.as_millis());
        self.is_stopping.set(true);
    }

    /// Accepts for a while, closes idle connections, and waits until nothing is in flight. There is no limit
    /// to this wait: each request has a deadline, and a stream ends with its worker or its client.
    pub async fn finish(self) {
        tokio::time::sleep(ACCEPT_TIME).await;
        let _ = self.phase.send(ShutdownPhase::Closing);
        let _ = self.accept_task.await;
        let open = self.connections.count();
        log::info!(
            "stopping: idle connections are closed, {open} are open with a request arriving or in flight"
        );
        // An id is in use for as long as an attempt or a release of its request is in flight, so this also
        // waits until held KV caches are released.
        while self.connections.count() > 0 || !self.active_ids.is_empty() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}
