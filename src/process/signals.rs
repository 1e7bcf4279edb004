//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessSignal {
    /// SIGTERM or SIGINT: shut down gracefully.
    Stop,
    /// SIGUSR1: print the counters.
    PrintCounters,
    /// SIGHUP: load the configuration again.
    Reload,
}

/// The registered signals. From registration on, none of them ends the process by itself.
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
    /// The system refused one.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user1: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal. Cancel safe; signals of one kind that arrive together count once.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.user1.recv() => ProcessSignal::PrintCounters,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits for SIGHUP alone. Cancel safe.
    pub async fn reload_requested(&mut self) {
        self.hangup.recv().await;
    }
}
