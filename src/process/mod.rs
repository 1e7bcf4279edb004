//! The router process: composition, signals, reload and graceful shutdown.
//!
//! [`serve`] runs a router until SIGTERM or SIGINT. The module `router` is the composition root: it creates
//! all components and connects them.

mod error;
mod reload;
mod router;
mod shutdown;
mod signals;
mod sockets;
mod source;

pub use error::StartError;
pub use source::{ConfigSource, read_file};

use crate::config::Config;
use crate::logging::Log;
use reload::Reloader;
use router::Router;
use signals::{ProcessSignal, Signals};
use std::time::Duration;
use tokio::task::LocalSet;

/// How often expired pooled connections and expired outcomes of tool calls are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Serves until SIGTERM or SIGINT, and then shuts down gracefully. Blocks the calling thread, on which the
/// whole router runs.
///
/// # Errors
/// The router could not be started. Once it serves, it ends only on a signal.
pub fn serve(source: ConfigSource, log: &Log) -> Result<(), StartError> {
    let config = source.load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(run(config, source, log)))
}

async fn run(mut config: Config, source: ConfigSource, log: &Log) -> Result<(), StartError> {
    // Registered before the router can be reached: SIGHUP ends a process without a handler.
    let mut signals = Signals::register().map_err(StartError::Signals)?;
    let router = Router::start(&mut config).await?;
    let mut reloader =
        Reloader::new(source, config, router.discovery_address.clone(), router.counters.clone());
    serve_until_stopped(&router, &mut signals, &mut reloader, log).await;
    let Router { shutdown, counters, .. } = router;
    shutdown.begin();
    let finished = shutdown.finish();
    tokio::pin!(finished);
    // Reloads are still handled, since requests in flight may take long and the endpoint list has to follow
    // discovery meanwhile. Other signals are ignored, so that a second SIGTERM does not abort these requests.
    loop {
        tokio::select! {
            () = &mut finished => break,
            () = signals.reload_requested() => reloader.reload(),
        }
    }
    log::info!("stopped; counters: {counters}");
    Ok(())
}

async fn serve_until_stopped(router: &Router, signals: &mut Signals, reloader: &mut Reloader, log: &Log) {
    let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        // Both branches are cancel safe, and neither is ready often enough to starve the other.
        tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Stop => return,
                ProcessSignal::PrintCounters => log::info!("counters: {}", router.counters),
                ProcessSignal::Reload => reloader.reload(),
            },
            _ = maintenance.tick() => {
                router.remove_expired();
                log.report_dropped_lines();
            }
        }
    }
}
