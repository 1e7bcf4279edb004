//! Scripted workers that several tests use.

use super::peer::{Peer, PeerConnection, recording_peer, shared_channel};
use super::{HANG_TIMEOUT, Message};
use std::sync::{Mutex, mpsc};

/// Starts a decode worker that streams a completion of two deltas.
pub fn decode_worker() -> Peer {
    Peer::start(|_, conn| {
        conn.begin_stream();
        conn.send_delta("one");
        conn.send_delta("two");
        conn.end_stream();
        true
    })
}

/// Starts a decode worker that streams a completion and records its requests. Returns it and the receiver of
/// the requests.
pub fn recording_decode_worker() -> (Peer, mpsc::Receiver<Message>) {
    let (record, requests) = mpsc::channel();
    let record = Mutex::new(record);
    let worker = Peer::start(move |message, conn| {
        record.lock().unwrap().send(message.clone()).unwrap();
        conn.begin_stream();
        conn.send_delta("one");
        conn.end_stream();
        true
    });
    (worker, requests)
}

/// The script of a decode worker that closes the connection when it receives a cache release.
pub fn decode_worker_without_release(message: &Message, conn: &mut PeerConnection) -> bool {
    let is_request = message.start_line.starts_with("POST");
    if is_request {
        conn.begin_stream();
        conn.send_delta("one");
        conn.end_stream();
    }
    is_request
}

/// A decode worker that streams the first delta of a completion, and ends the stream once its gate is open.
/// An open gate stays open, and dropping this opens it too.
pub struct GatedDecodeWorker {
    pub peer: Peer,
    started: mpsc::Receiver<String>,
    gate: mpsc::Sender<()>,
}

impl GatedDecodeWorker {
    /// Starts a worker whose gate is closed.
    pub fn start() -> GatedDecodeWorker {
        let (report_start, started) = shared_channel();
        let (gate, gate_opened) = mpsc::channel();
        let gate_opened = Mutex::new(gate_opened);
        let peer = Peer::start(move |_, conn| {
            conn.begin_stream();
            conn.send_delta("one");
            report_start("".into());
            // Nothing is sent on this channel: the call returns when the sender is dropped.
            let _ = gate_opened.lock().unwrap().recv();
            conn.end_stream();
            true
        });
        GatedDecodeWorker { peer, started, gate }
    }

    /// Waits until the worker has streamed the first delta of a completion.
    pub fn wait_for_stream(&self) {
        self.started.recv_timeout(HANG_TIMEOUT).unwrap();
    }

    /// Lets the worker end all current and later streams, and returns the worker.
    pub fn open_gate(self) -> Peer {
        drop(self.gate);
        self.peer
    }
}

/// A worker of any role that acknowledges cache releases, and leaves every other request pending until the
/// router closes the connection.
pub struct HangingWorker {
    pub peer: Peer,
    request_lines: mpsc::Receiver<String>,
    pending: mpsc::Receiver<String>,
    closed: mpsc::Receiver<String>,
}

impl HangingWorker {
    /// Starts a worker that sends nothing.
    pub fn start() -> HangingWorker {
        HangingWorker::start_after(|_| ())
    }

    /// Starts a worker that streams the first delta of a completion before it hangs.
    pub fn start_streaming() -> HangingWorker {
        HangingWorker::start_after(|conn| {
            conn.begin_stream();
            conn.send_delta("one");
        })
    }

    /// Starts a worker that calls `begin_response` before it hangs.
    fn start_after(begin_response: impl Fn(&mut PeerConnection) + Send + Sync + 'static) -> HangingWorker {
        let (report_pending, pending) = shared_channel();
        let (report_closed, closed) = shared_channel();
        let (peer, request_lines) = recording_peer(move |_, conn| {
            begin_response(conn);
            report_pending("".into());
            report_closed(conn.wait_for_close().to_string());
            false
        });
        HangingWorker { peer, request_lines, pending, closed }
    }

    /// Waits until a request is pending at the worker.
    pub fn wait_for_request(&self) {
        self.pending.recv_timeout(HANG_TIMEOUT).unwrap();
    }

    /// Waits until the connection of a pending request ends. Returns whether the router closed it.
    pub fn router_closed_connection(&self) -> bool {
        self.closed.recv_timeout(2 * HANG_TIMEOUT).unwrap() == "true"
    }

    /// Waits for a request whose request line starts with `prefix`, and skips earlier ones. Returns whether
    /// it arrived.
    pub fn wait_for_request_line(&self, prefix: &str) -> bool {
        while let Ok(line) = self.request_lines.recv_timeout(HANG_TIMEOUT) {
            if line.starts_with(prefix) {
                return true;
            }
        }
        false
    }

    /// The number of requests, without cache releases, that were received since the last call.
    pub fn requests_received(&self) -> usize {
        self.request_lines.try_iter().filter(|line| line.starts_with("POST")).count()
    }
}
