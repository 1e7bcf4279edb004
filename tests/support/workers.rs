//! Workers with the scripts that several tests need.

use super::peer::{Conn, Peer, recording_peer, shared_channel};
use super::{HANG_TIMEOUT, Message};
use std::sync::{Mutex, mpsc};

/// A decode worker that streams one answer.
pub fn decode_worker() -> Peer {
    Peer::start(|_, conn| {
        conn.begin_stream();
        conn.delta("one");
        conn.delta("two");
        conn.end_stream();
        true
    })
}

/// A decode worker that streams one answer, and the messages that it was sent.
pub fn recording_decode_worker() -> (Peer, mpsc::Receiver<Message>) {
    let (record, messages) = mpsc::channel();
    let record = Mutex::new(record);
    let worker = Peer::start(move |message, conn| {
        record.lock().unwrap().send(message.clone()).unwrap();
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    });
    (worker, messages)
}

/// The script of a decode worker that closes the connection on a release.
pub fn decode_worker_without_release(message: &Message, conn: &mut Conn) -> bool {
    let is_request = message.line.starts_with("POST");
    if is_request {
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
    }
    is_request
}

/// A decode worker that streams the first part of an answer, and the rest once its gate is open. The gate stays open
/// then, and opens too when this is dropped.
pub struct GatedDecodeWorker {
    /// The worker.
    pub peer: Peer,
    started: mpsc::Receiver<String>,
    gate: mpsc::Sender<()>,
}

impl GatedDecodeWorker {
    /// Starts a worker whose gate is shut.
    pub fn start() -> GatedDecodeWorker {
        let (report_start, started) = shared_channel();
        let (gate, opened) = mpsc::channel();
        let opened = Mutex::new(opened);
        let peer = Peer::start(move |_, conn| {
            conn.begin_stream();
            conn.delta("one");
            report_start("".into());
            // Nothing is ever sent: this waits until the sender is gone.
            let _ = opened.lock().unwrap().recv();
            conn.end_stream();
            true
        });
        GatedDecodeWorker { peer, started, gate }
    }

    /// Waits until it has streamed the first part of an answer.
    pub fn wait_for_stream(&self) {
        self.started.recv_timeout(HANG_TIMEOUT).unwrap();
    }

    /// Lets it end its streams, this one and all later ones; the worker stays.
    pub fn open_gate(self) -> Peer {
        drop(self.gate);
        self.peer
    }
}

/// A worker of any role that answers releases, but holds every other request until the router closes the connection.
pub struct HangingWorker {
    /// The worker.
    pub peer: Peer,
    lines: mpsc::Receiver<String>,
    held: mpsc::Receiver<String>,
    closed: mpsc::Receiver<String>,
}

impl HangingWorker {
    /// A worker that sends nothing.
    pub fn start() -> HangingWorker {
        HangingWorker::start_after(|_| ())
    }

    /// A worker that begins an answer before it hangs.
    pub fn start_streaming() -> HangingWorker {
        HangingWorker::start_after(|conn| {
            conn.begin_stream();
            conn.delta("one");
        })
    }

    fn start_after(first: impl Fn(&mut Conn) + Send + Sync + 'static) -> HangingWorker {
        let (report_held, held) = shared_channel();
        let (report_closed, closed) = shared_channel();
        let (peer, lines) = recording_peer(move |_, conn| {
            first(conn);
            report_held("".into());
            report_closed(conn.is_closed().to_string());
            false
        });
        HangingWorker { peer, lines, held, closed }
    }

    /// Waits until it holds a request.
    pub fn wait_for_request(&self) {
        self.held.recv_timeout(HANG_TIMEOUT).unwrap();
    }

    /// Waits until the connection of a held request ends; whether the router closed it.
    pub fn router_closed_connection(&self) -> bool {
        self.closed.recv_timeout(2 * HANG_TIMEOUT).unwrap() == "true"
    }

    /// Waits for a request with this beginning of its first line, and skips the ones before it; whether one came.
    pub fn wait_for_line(&self, beginning: &str) -> bool {
        while let Ok(line) = self.lines.recv_timeout(HANG_TIMEOUT) {
            if line.starts_with(beginning) {
                return true;
            }
        }
        false
    }

    /// How many requests, releases not counted, have come since the last look.
    pub fn requests_received(&self) -> usize {
        self.lines.try_iter().filter(|line| line.starts_with("POST")).count()
    }
}
