//! The log, written to standard error beside the service: a log that nobody reads must not hold up the router.

use env_logger::{Builder, Env, Target};
use std::cell::Cell;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written; more are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;
/// What is logged where `RUST_LOG` does not say.
const DEFAULT_FILTER: &str = "info";

/// The log of this process. Dropped, it writes what still waits, for a second at the most.
pub struct Log {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
    reported: Cell<usize>,
}

impl Log {
    /// Starts the log.
    pub fn start() -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped = writer.error_counter();
        let mut logger = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
        logger.target(Target::Pipe(Box::new(writer))).init();
        Log { _writer: guard, dropped, reported: Cell::new(0) }
    }

    /// Tells of lines that were dropped since it last did.
    pub fn report_dropped_lines(&self) {
        let dropped = self.dropped.dropped_lines();
        let before = self.reported.replace(dropped);
        if dropped > before {
            log::warn!("{} lines of the log were dropped: nobody reads it fast enough", dropped - before);
        }
    }
}
