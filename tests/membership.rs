//! End-to-end tests of the endpoint list: discovery changes its address, becomes unresponsive and reports
//! workers as draining.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use support::*;

/// A worker in a discovery message, with an optional address.
fn endpoint(worker: &str, kind: &str, status: &str, address: Option<SocketAddr>) -> String {
    let dial = address.map(|address| format!(r#""dial":"{address}","#)).unwrap_or_default();
    format!(r#"{{"host":"{worker}",{dial}"health":"{status}","class":"{kind}","site":"here"}}"#)
}

/// Guards against requests to a draining worker, and against an endpoint list that is lost with the watch.
#[test]
fn updates_redirect_requests_and_a_lost_watch_keeps_the_list() {
    let (old_decode, old_requests) = recording_peer(|_, _| false);
    let (new_decode, prefill) = (decode_worker(), Peer::prefill_worker());
    let (record_request_line, request_lines) = shared_channel();
    let draining = endpoint("answer-0", "answer", "draining", None);
    let ready = endpoint("answer-9", "answer", "ready", Some(new_decode.address));
    let discovery = Peer::start(move |message, conn| {
        conn.begin_stream();
        if message.start_line.contains("after=1 ") {
            conn.send_chunk(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{draining},\n"));
        } else {
            // The first message was truncated, so the change is requested again after the last applied
            // sequence number.
            record_request_line(message.start_line.clone());
            return false;
        }
        conn.send_chunk(&format!("\n{{\"seq\":7,\"hosts\":[{draining},{ready}]}}\n\n"));
        false
    });
    let extra = format!("discovery = \"{}\"", discovery.address);
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[old_decode.address], &extra));
    for _ in 0..2 {
        assert!(request_lines.recv().unwrap().contains("GET /v1/servers?watch=1&after=7"));
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(old_requests.try_iter().filter(|line| line.starts_with("POST")).count(), 0);
}

/// Guards against a watch that is closed because the policy requests another: a shared discovery service
/// would still process the abandoned call.
#[test]
fn shared_discovery_is_called_once() {
    let (record_request_line, request_lines) = shared_channel();
    let draining = endpoint("answer-0", "answer", "draining", None);
    let discovery = Peer::start(move |message, conn| {
        record_request_line(message.start_line.clone());
        conn.begin_stream();
        conn.send_chunk(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{draining}]}}\n"));
        !conn.wait_for_close()
    });
    let extra = format!("discovery = \"{}\"", discovery.address);
    let file = operator_file(&[Peer::refusing_address()], &[Peer::refusing_address()], &extra);
    let router = RouterProcess::start(&file.replace("\"pushed\"", "\"on_request\""));
    router.wait_for_log_line("answer-0 (answer, here, cell 0) is Draining");
    assert_eq!(router.stop().get("watches_lost"), 0);
    assert_eq!(request_lines.try_iter().count(), 1);
}

/// A decode worker that sends the first token immediately and ends the stream once `gate` can be locked.
/// Calls `report_start` for each stream.
fn gated_decode_worker(gate: Arc<Mutex<()>>, report_start: Arc<dyn Fn(String) + Send + Sync>) -> Peer {
    Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.send_delta("one");
        report_start(String::new());
        drop(gate.lock());
        conn.end_stream();
        true
    })
}

/// Guards against a SIGHUP that ends the process, a watch that stays connected to the old agent as long as
/// that agent responds, and a new agent that is asked for changes after a sequence number of the old one.
#[test]
fn reload_switches_discovery_immediately_and_active_requests_continue() {
    let (report_stream_start, stream_starts) = shared_channel();
    let gate = Arc::new(Mutex::new(()));
    let locked_gate = gate.lock().unwrap();
    let old_decode = gated_decode_worker(gate.clone(), report_stream_start);
    let (prefill, new_decode) = (Peer::prefill_worker(), decode_worker());
    let (record_close, closes) = shared_channel();
    let old_agent = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.send_chunk("\n");
        record_close(conn.wait_for_close().to_string());
        false
    });
    let (record_request_line, request_lines) = shared_channel();
    let listed = [
        endpoint("prompt-0", "prompt", "ready", Some(prefill.address)),
        endpoint("answer-9", "answer", "ready", Some(new_decode.address)),
    ];
    let list = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}", listed.join(","));
    let new_agent = Peer::start(move |message, conn| {
        record_request_line(message.start_line.clone());
        if message.start_line.contains("watch") {
            conn.begin_stream();
            return !conn.wait_for_close();
        }
        conn.respond("200 OK", "", &list);
        true
    });
    let file = |extra: &str| operator_file(&[prefill.address], &[old_decode.address], extra);
    let router = RouterProcess::start(&file(&format!("discovery = \"{}\"", old_agent.address)));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    stream_starts.recv().unwrap();
    router.reload("listen = ");
    assert!(router.wait_for_log_line("the configuration held stands").contains("line 1"));
    router.reload(&file(&format!("discovery = \"{}\"", new_agent.address)));
    assert_eq!(closes.recv().unwrap(), "true");
    for expected in ["GET /v1/servers HTTP", "GET /v1/servers?watch=1&after=1 HTTP"] {
        assert!(request_lines.recv().unwrap().starts_with(expected));
    }
    assert_eq!(router.request("id-2", "send").status(), 200);
    drop(locked_gate);
    assert!(Message::read(&mut BufReader::new(client)).unwrap().is_complete);
    let counters = router.stop();
    assert_eq!(["reloads", "reloads_failed", "requests_received"].map(|name| counters.get(name)), [1, 1, 2]);
}

/// Guards against a call that is abandoned while its response arrives: the list of a new agent would never be
/// received, and a worker that drains would be sent requests until it ends.
#[test]
fn list_that_a_new_agent_sends_in_pieces_is_applied() {
    const PIECES: usize = 10;
    const PAUSE: Duration = Duration::from_millis(160);
    let (old_decode, old_requests) = recording_peer(|_, _| false);
    let (prefill, new_decode) = (Peer::prefill_worker(), decode_worker());
    let listed = [
        endpoint("prompt-0", "prompt", "ready", Some(prefill.address)),
        endpoint("answer-0", "answer", "draining", Some(old_decode.address)),
        endpoint("answer-9", "answer", "ready", Some(new_decode.address)),
    ];
    let list = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}", listed.join(","));
    let (record_request_line, request_lines) = shared_channel();
    let new_agent = Peer::start(move |message, conn| {
        record_request_line(message.start_line.clone());
        conn.begin_stream();
        if message.start_line.contains("watch") {
            return !conn.wait_for_close();
        }
        for piece in list.as_bytes().chunks(list.len().div_ceil(PIECES)) {
            conn.send_chunk(std::str::from_utf8(piece).unwrap());
            thread::sleep(PAUSE);
        }
        let _ = conn.stream.write_all(b"0\r\n\r\n");
        true
    });
    let file = |extra: &str| operator_file(&[prefill.address], &[old_decode.address], extra);
    let (old_agent, _lines) = discovery_agent();
    let router = RouterProcess::start(&file(&format!("discovery = \"{}\"", old_agent.address)));
    router.reload(&file(&format!("discovery = \"{}\"", new_agent.address)));
    for expected in ["GET /v1/servers HTTP", "GET /v1/servers?watch=1&after=1 HTTP"] {
        let request_line = request_lines.recv_timeout(Duration::from_secs(4)).unwrap();
        assert!(request_line.starts_with(expected), "{request_line}");
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(old_requests.try_iter().count(), 0);
}

/// Idle clients that reconnect as soon as their connection is closed, and so use each file descriptor that
/// becomes free.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl IdleClients {
    /// Connects `count` clients; every second one sends a request before it is idle.
    fn start(address: SocketAddr, count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<_> = (0..count).map(|i| Self::connect(address, i)).collect();
            while !stopped.load(Ordering::SeqCst) {
                for (i, client) in clients.iter_mut().enumerate() {
                    if !Self::is_open(client) {
                        *client = Self::connect(address, i);
                    }
                }
                thread::yield_now();
            }
        });
        IdleClients { stop, thread }
    }

    fn connect(address: SocketAddr, index: usize) -> TcpStream {
        let mut client = TcpStream::connect(address).unwrap();
        if index.is_multiple_of(2) {
            let _ = client.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
        }
        client.set_nonblocking(true).unwrap();
        client
    }

    fn is_open(client: &mut TcpStream) -> bool {
        match client.read(&mut [0; 512]) {
            Ok(bytes) => bytes > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap();
    }
}

/// Guards against idle clients that exhaust the file descriptors while discovery is down, some before and
/// some after a response: the watch has to be reopened, and requests have to be served again.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_workers() {
    const DESCRIPTOR_LIMIT: usize = 200;
    let (prefill, new_decode) = (Peer::prefill_worker(), decode_worker());
    let (record_failure, failures) = shared_channel();
    let discovery_up = Arc::new(AtomicBool::new(false));
    let is_up = discovery_up.clone();
    let ready = endpoint("answer-9", "answer", "ready", Some(new_decode.address));
    let discovery = Peer::start(move |_, conn| {
        if !is_up.load(Ordering::SeqCst) {
            record_failure("down".into());
            return false;
        }
        conn.begin_stream();
        conn.send_chunk(&format!("{{\"seq\":2,\"hosts\":[{ready}]}}\n"));
        conn.wait_for_close()
    });
    let extra = format!(
        "discovery = \"{}\"\nlimits = {{ sockets = {DESCRIPTOR_LIMIT}, memory_mb = 64 }}",
        discovery.address
    );
    let file = operator_file(&[prefill.address], &[], &extra);
    let router = RouterProcess::start_with_descriptor_limit(DESCRIPTOR_LIMIT, &file);
    let clients = IdleClients::start(router.address, 2 * DESCRIPTOR_LIMIT);
    // Waits until discovery has failed further calls with all clients connected.
    for _ in 0..failures.try_iter().count() + 3 {
        failures.recv().unwrap();
    }
    discovery_up.store(true, Ordering::SeqCst);
    let lines = router.log_lines_until("answer-9 (answer, here, cell 0) is Ready");
    assert!(!lines.iter().any(|line| line.contains("Too many open files")), "{lines:?}");
    let mut attempts = 0;
    while router.request(&format!("id-{attempts}"), "send").status() != 200 {
        attempts += 1;
    }
    clients.stop();
}

/// Guards against a start that waits for discovery: the restored endpoint list is sufficient to serve
/// requests.
#[rstest]
fn router_is_ready_with_its_restored_list_while_discovery_is_unresponsive(
    #[values("pushed", "on_request")] mode: &str,
) {
    let discovery = Peer::start(|_, conn| {
        conn.wait_for_close();
        false
    });
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let extra = format!("discovery = \"{}\"", discovery.address);
    let file = operator_file(&[prefill.address], &[decode.address], &extra);
    let router = RouterProcess::start(&file.replace("\"pushed\"", &format!("\"{mode}\"")));
    assert_eq!(router.send_raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").status(), 200);
    assert_eq!(router.request("id-1", "send").status(), 200);
}

/// Guards against sending an attempt that was decided on before its worker started to drain: the directory is
/// checked just before the first byte is written.
#[test]
fn attempt_decided_before_a_drain_is_withheld() {
    let (trigger_drain, drain_triggered) = shared_channel();
    let drain_triggered = Mutex::new(drain_triggered);
    let (old_prefill, old_requests) = recording_peer_with_releases(move |message, _| {
        // The first prefill fails; the drain happens during the cache release before the second one.
        if message.start_line.starts_with("DELETE") {
            trigger_drain("now".into());
        }
        false
    });
    let new_prefill = Peer::prefill_worker();
    let decode = Peer::start(decode_worker_without_release);
    let draining = endpoint("prompt-0", "prompt", "draining", None);
    let ready = endpoint("prompt-9", "prompt", "ready", Some(new_prefill.address));
    let discovery = Peer::start(move |_, conn| {
        conn.begin_stream();
        if drain_triggered.lock().unwrap().recv().is_ok() {
            conn.send_chunk(&format!("{{\"seq\":2,\"hosts\":[{draining},{ready}]}}\n"));
            let _ = drain_triggered.lock().unwrap().recv();
        }
        false
    });
    let extra = format!("discovery = \"{}\"", discovery.address);
    let router = RouterProcess::start(&operator_file(&[old_prefill.address], &[decode.address], &extra));
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(router.stop().get("attempts_withheld"), 1);
    assert_eq!(old_requests.try_iter().filter(|line| line.starts_with("POST")).count(), 1);
}
