//! Logging. A separate thread writes the lines to standard error: if the reader is too slow, lines are
//! dropped, and the router is never delayed.

use env_logger::{Builder, Env, Target};
use std::cell::Cell;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// The capacity of the queue of lines to write. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// The log filter if `RUST_LOG` is not set.
const DEFAULT_FILTER: &str = "info";

/// The log of this process. Dropping it writes the queued lines, for one second at most.
pub struct Log {
    _writer: WorkerGuard,
    dropped_lines: ErrorCounter,
    reported_dropped_lines: Cell<usize>,
}

impl Log {
    /// Installs the logger of the process.
    ///
    /// # Panics
    /// If a logger is already installed.
    pub fn start() -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped_lines = writer.error_counter();
        let mut logger = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
        logger.target(Target::Pipe(Box::new(writer))).init();
        Log { _writer: guard, dropped_lines, reported_dropped_lines: Cell::new(0) }
    }

    /// Logs how many lines were dropped since the last report, if any were.
    pub fn report_dropped_lines(&self) {
        let dropped = self.dropped_lines.dropped_lines();
        let reported = self.reported_dropped_lines.replace(dropped);
        if dropped > reported {
            log::warn!(
                "{} log lines were dropped: the reader of standard error is too slow",
                dropped - reported
            );
        }
    }
}
