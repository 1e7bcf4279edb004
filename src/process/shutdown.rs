//! Graceful shutdown: every received request gets its final response, and every held KV cache is released.

use crate::frontend::request_ids::RequestIds;
use crate::net::server::connections::Connections;
use crate::net::server::shutdown_phase::ShutdownPhase;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long connections are still accepted after SIGTERM. Clients may keep connecting for up to 0.4 s after
/// it.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// How often the shutdown checks whether connections and requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A graceful shutdown, and the components that it controls.
pub(super) struct GracefulShutdown {
    /// Set from the start of the shutdown: health checks then report the router as not ready.
    pub is_stopping: Rc<Cell<bool>>,
    /// Announces the closing phase to the listener and the connections.
    pub phase_sender: watch::Sender<ShutdownPhase>,
    /// The task that accepts connections. It ends once the closing phase is announced.
    pub accept_task: JoinHandle<()>,
    pub connections: Rc<Connections>,
    /// The ids of the requests in flight.
    pub request_ids: Rc<RequestIds>,
}

impl GracefulShutdown {
    /// Reports the router as not ready, so that load balancers send new connections to other routers.
    pub fn begin(&self) {
        log::info!("stopping: accepting for {} ms more", ACCEPT_PERIOD.as_millis());
        self.is_stopping.set(true);
    }

    /// Accepts connections for [`ACCEPT_PERIOD`], closes idle ones, and waits until no request is in flight.
    /// The wait needs no time limit: each request has a deadline, and a stream ends with its worker or its
    /// client.
    pub async fn finish(self) {
        tokio::time::sleep(ACCEPT_PERIOD).await;
        let _ = self.phase_sender.send(ShutdownPhase::Closing);
        let _ = self.accept_task.await;
        let open = self.connections.count();
        log::info!(
            "stopping: idle connections are closed, {open} are open with a request arriving or in flight"
        );
        // A request id is active while an attempt or a cache release of the request is in flight, so this
        // also waits for the release of held KV caches.
        while self.connections.count() > 0 || self.request_ids.has_active() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}
