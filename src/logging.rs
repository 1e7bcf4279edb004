//! The log. Lines are written to standard error by a thread of their own: a reader that is too slow costs
//! lines and never delays the router.

use env_logger::{Builder, Env, Target};
use std::cell::Cell;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// How many lines may wait to be written; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;
/// The filter that applies where `RUST_LOG` is not set.
const DEFAULT_FILTER: &str = "info";

/// The log of this process. Dropping it writes the lines that still wait, for a second at most.
pub struct Log {
    _writer: WorkerGuard,
    dropped_lines: ErrorCounter,
    reported_lines: Cell<usize>,
}

impl Log {
    /// Starts the log. A process does this once.
    ///
    /// # Panics
    /// If the process has a log already.
    pub fn start() -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped_lines = writer.error_counter();
        let mut logger = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
        logger.target(Target::Pipe(Box::new(writer))).init();
        Log { _writer: guard, dropped_lines, reported_lines: Cell::new(0) }
    }

    /// Logs how many lines were dropped since the last report, if any were.
    pub fn report_dropped_lines(&self) {
        let dropped = self.dropped_lines.dropped_lines();
        let reported = self.reported_lines.replace(dropped);
        if dropped > reported {
            log::warn!("{} lines of the log were dropped: its reader is too slow", dropped - reported);
        }
    }
}
