//! The log of a router, read from the standard error output of its processes.

use fleet_emulator::clock::{self, Timestamp};
use fleet_emulator::history::History;
use fleet_emulator::record::{Record, RouterIndex};
use fleet_emulator::sync::lock;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;
use tokio::sync::watch;

/// The maximum number of lines that are stored for one router. Later lines are only searched for errors.
const MAX_LINES: usize = 400_000;
/// Texts in log lines that report an invariant violation that the router detected itself, or a panic.
const ERROR_PATTERNS: [&str; 2] = ["violation:", "panicked"];

/// A line of a router's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When the line was read.
    pub at: Timestamp,
    /// The text of the line.
    pub text: String,
}

/// The log of one router across all of its processes. Clones share the same lines.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Vec<LogLine>>>);

impl Log {
    /// The lines that contain a text.
    pub fn lines_containing(&self, text: &str) -> Vec<LogLine> {
        lock(&self.0).iter().filter(|line| line.text.contains(text)).cloned().collect()
    }

    fn add(&self, text: String) {
        let mut lines = lock(&self.0);
        if lines.len() < MAX_LINES {
            lines.push(LogLine { at: clock::now(), text });
        }
    }

    /// Reads the log of a process until its end, and pauses while `is_reading` is false.
    pub(super) async fn read(
        self,
        router: RouterIndex,
        stderr: ChildStderr,
        history: History,
        mut is_reading: watch::Receiver<bool>,
    ) {
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if ERROR_PATTERNS.iter().any(|pattern| line.contains(pattern)) {
                history.add(Record::RouterErrorLogged { router, line: line.clone() });
            }
            self.add(line);
            let _ = is_reading.wait_for(|is_reading| *is_reading).await;
        }
    }
}
