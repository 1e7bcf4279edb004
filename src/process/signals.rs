//! Signal handling.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The meaning of a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessSignal {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGUSR1: print the counters.
    PrintCounters,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// The registered signal handlers. From registration on, none of these signals ends the process by default.
pub(super) struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
    user1: Signal,
}

impl Signals {
    /// Registers the handlers.
    ///
    /// # Errors
    /// A handler could not be registered.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user1: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal. Cancel safe; pending signals of the same kind are coalesced.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.user1.recv() => ProcessSignal::PrintCounters,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits for the next SIGHUP. Cancel safe.
    pub async fn reload_requested(&mut self) {
        self.hangup.recv().await;
    }
}
