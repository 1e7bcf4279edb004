//! The router as a process: composition, signals, reload and graceful shutdown.
//!
//! [`serve`] runs a router until SIGTERM or SIGINT. Its parts are made in the module `router`, which is the
//! one place that knows all of them.

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

/// How often connections and outcomes that are kept for later use are searched for expired ones.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Serves until the process is told to stop, and then shuts down gracefully. Blocks the thread: a router runs
/// on one.
///
/// # Errors
/// The router could not be started. Once it serves, nothing ends it but a signal.
pub fn serve(source: ConfigSource, log: &Log) -> Result<(), StartError> {
    let config = source.load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(run(config, source, log)))
}

async fn run(mut config: Config, source: ConfigSource, log: &Log) -> Result<(), StartError> {
    // Before clients or operators can reach the process: SIGHUP ends it until a handler is registered.
    let mut signals = Signals::register().map_err(StartError::Signals)?;
    let router = Router::start(&mut config).await?;
    let mut reloader = Reloader::new(source, config, router.discovery.clone(), router.counters.clone());
    serve_until_stopped(&router, &mut signals, &mut reloader, log).await;
    let Router { shutdown, counters, .. } = router;
    shutdown.begin();
    let finished = shutdown.finish();
    tokio::pin!(finished);
    // The requests in flight may take long: the endpoint list has to follow discovery meanwhile. Any other
    // signal is ignored; a second SIGTERM must not cut them off.
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
        // Both branches are cancel safe, and neither occurs often enough to starve the other.
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
