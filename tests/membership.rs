//! The worker list through the whole program: discovery moves, falls silent, and tells of drains.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use support::*;

/// Guards against sends to a host that was told to drain, and against a list lost with its discovery.
#[test]
fn discovery_moves_work_and_its_silence_changes_nothing() {
    let (old, new, reader) = (recording_peer(|_, _| false), decode_worker(), Peer::prefill_worker());
    let (asked, asks) = shared_channel();
    let address = new.address;
    let discovery = Peer::start(move |message, conn| {
        conn.begin_stream();
        if message.line.contains("after=1 ") {
            conn.chunk("{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"answer-0\",\"health\":\"draining\",\"class\":\"answer\",\"site\":\"here\"},\n");
        } else {
            // The line before was cut off: it came again after a break, from the version held.
            asked(message.line.clone());
            return false;
        }
        conn.chunk(&format!("\n{{\"seq\":7,\"hosts\":[{{\"host\":\"answer-0\",\"health\":\"draining\",\"class\":\"answer\",\"site\":\"here\"}},{{\"host\":\"answer-9\",\"dial\":\"{address}\",\"health\":\"ready\",\"class\":\"answer\",\"site\":\"here\"}}]}}\n\n"));
        false
    });
    let more = format!("discovery = \"{}\"", discovery.address);
    let router = RouterProcess::start(&operator_file(&[reader.address], &[old.0.address], &more));
    for _ in 0..2 {
        assert!(asks.recv().unwrap().contains("GET /v1/servers?watch=1&after=7"));
    }
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(old.1.try_iter().filter(|l| l.starts_with("POST")).count(), 0);
}

/// Guards against a watch that the module's wish for one cuts off: the call left behind is served for nobody.
#[test]
fn where_lists_come_on_request_discovery_is_asked_once() {
    let (asked, asks) = shared_channel();
    let discovery = Peer::start(move |message, conn| {
        asked(message.line.clone());
        conn.begin_stream();
        conn.chunk("{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"answer-0\",\"health\":\"draining\",\"class\":\"answer\",\"site\":\"here\"}]}\n");
        !conn.is_closed()
    });
    let more = format!("discovery = \"{}\"", discovery.address);
    let file = operator_file(&[Peer::nobody()], &[Peer::nobody()], &more);
    let router = RouterProcess::start(&file.replace("\"pushed\"", "\"on_request\""));
    router.wait_for("answer-0 (answer, here, cell 0) is Draining");
    assert_eq!(router.stop().get("watches_lost"), 0);
    assert_eq!(asks.try_iter().count(), 1);
}

/// Guards against a SIGHUP that ends the process, a watch that stays with the old agent for as long as that one
/// lives, and a new agent asked for changes since a version that it never had.
#[test]
fn sighup_moves_discovery_at_once_and_what_is_in_hand_goes_on() {
    let (begun, begins) = shared_channel();
    let go = Arc::new(Mutex::new(()));
    let held = go.lock().unwrap();
    let gate = go.clone();
    let old_writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        begun("".into());
        drop(gate.lock());
        conn.end_stream();
        true
    });
    let (reader, new_writer) = (Peer::prefill_worker(), decode_worker());
    let (closed, closes) = shared_channel();
    let old = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.chunk("\n");
        closed(conn.is_closed().to_string());
        false
    });
    let (asked, asks) = shared_channel();
    let (reads, writes) = (reader.address, new_writer.address);
    let new = Peer::start(move |message, conn| {
        asked(message.line.clone());
        if message.line.contains("watch") {
            conn.begin_stream();
            return !conn.is_closed();
        }
        conn.answer("200 OK", "", &format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{{\"host\":\"prompt-0\",\"dial\":\"{reads}\",\"health\":\"ready\",\"class\":\"prompt\",\"site\":\"here\"}},{{\"host\":\"answer-9\",\"dial\":\"{writes}\",\"health\":\"ready\",\"class\":\"answer\",\"site\":\"here\"}}]}}"));
        true
    });
    let file = |more: &str| operator_file(&[reader.address], &[old_writer.address], more);
    let router = RouterProcess::start(&file(&format!("discovery = \"{}\"", old.address)));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    begins.recv().unwrap();
    router.reload("listen = ");
    assert!(router.wait_for("the configuration held stands").contains("line 1"));
    router.reload(&file(&format!("discovery = \"{}\"", new.address)));
    assert_eq!(closes.recv().unwrap(), "true");
    for wanted in ["GET /v1/servers HTTP", "GET /v1/servers?watch=1&after=1 HTTP"] {
        assert!(asks.recv().unwrap().starts_with(wanted));
    }
    assert_eq!(router.request("id-2", "send").status(), 200);
    drop(held);
    assert!(Message::read(&mut BufReader::new(client)).unwrap().whole);
    let counters = router.stop();
    assert_eq!(["reloads", "reloads_failed", "requests_received"].map(|c| counters.get(c)), [1, 1, 2]);
}

/// Guards against clients that fill the descriptors while discovery is down, some before and some after an answer: the
/// watch has to come back, and so have requests.
#[test]
fn idle_clients_leave_room_for_discovery_and_for_servers() {
    const DESCRIPTORS: usize = 200;
    let (reader, new) = (Peer::prefill_worker(), decode_worker());
    let (asked, asks) = shared_channel();
    let up = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (is_up, address) = (up.clone(), new.address);
    let discovery = Peer::start(move |_, conn| {
        if !is_up.load(Ordering::SeqCst) {
            asked("in vain".into());
            return false;
        }
        conn.begin_stream();
        conn.chunk(&format!("{{\"seq\":2,\"hosts\":[{{\"host\":\"answer-9\",\"dial\":\"{address}\",\"health\":\"ready\",\"class\":\"answer\",\"site\":\"here\"}}]}}\n"));
        conn.is_closed()
    });
    let more = format!(
        "discovery = \"{}\"\nlimits = {{ sockets = {DESCRIPTORS}, memory_mb = 64 }}",
        discovery.address
    );
    let file = operator_file(&[reader.address], &[], &more);
    let router = RouterProcess::start_within(DESCRIPTORS, &file);
    // They come again as soon as they are closed: a descriptor that falls free is taken at once.
    let (address, ended) = (router.address, Arc::new(std::sync::atomic::AtomicBool::new(false)));
    let over = ended.clone();
    let resting = std::thread::spawn(move || {
        let connect = |i: usize| {
            let mut client = std::net::TcpStream::connect(address).unwrap();
            if i.is_multiple_of(2) {
                let _ = client.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
            }
            client.set_nonblocking(true).unwrap();
            client
        };
        let mut clients: Vec<_> = (0..2 * DESCRIPTORS).map(connect).collect();
        while !over.load(Ordering::SeqCst) {
            for (i, client) in clients.iter_mut().enumerate() {
                let still_open = match client.read(&mut [0; 512]) {
                    Ok(read) => read > 0,
                    Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
                };
                if !still_open {
                    *client = connect(i);
                }
            }
            std::thread::yield_now();
        }
    });
    // Once they are all there, discovery is asked in vain some more.
    for _ in 0..asks.try_iter().count() + 3 {
        asks.recv().unwrap();
    }
    up.store(true, Ordering::SeqCst);
    let lines = router.lines_to("answer-9 (answer, here, cell 0) is Ready");
    assert!(!lines.iter().any(|l| l.contains("Too many open files")), "{lines:?}");
    let mut tries = 0;
    while router.request(&format!("id-{tries}"), "send").status() != 200 {
        tries += 1;
    }
    ended.store(true, Ordering::SeqCst);
    resting.join().unwrap();
}

/// Guards against a start that waits for discovery: the list that a router held before is good enough to serve.
#[rstest]
fn a_conductor_is_ready_from_its_known_list_while_discovery_says_nothing(
    #[values("pushed", "on_request")] mode: &str,
) {
    let discovery = Peer::start(|_, conn| {
        conn.is_closed();
        false
    });
    let (reader, writer) = (Peer::prefill_worker(), decode_worker());
    let more = format!("discovery = \"{}\"", discovery.address);
    let file = operator_file(&[reader.address], &[writer.address], &more);
    let router = RouterProcess::start(&file.replace("\"pushed\"", &format!("\"{mode}\"")));
    assert_eq!(router.raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").status(), 200);
    assert_eq!(router.request("id-1", "send").status(), 200);
}

/// Guards against a send that was decided before the news of a drain and happens after it: the list is looked at
/// when the first byte is about to go out.
#[test]
fn a_send_decided_before_the_news_of_a_drain_is_held_back() {
    let (drain, drained) = shared_channel();
    let drained = Mutex::new(drained);
    let (old, told) = recording_peer_with_releases(move |message, _| {
        // The first read breaks; the release before the second one is what the drain comes in.
        if message.line.starts_with("DELETE") {
            drain("now".into());
        }
        false
    });
    let (new, writer) = (Peer::prefill_worker(), Peer::start(decode_worker_without_release));
    let address = new.address;
    let discovery = Peer::start(move |_, conn| {
        conn.begin_stream();
        if drained.lock().unwrap().recv().is_ok() {
            conn.chunk(&format!("{{\"seq\":2,\"hosts\":[{{\"host\":\"prompt-0\",\"health\":\"draining\",\"class\":\"prompt\",\"site\":\"here\"}},{{\"host\":\"prompt-9\",\"dial\":\"{address}\",\"health\":\"ready\",\"class\":\"prompt\",\"site\":\"here\"}}]}}\n"));
            let _ = drained.lock().unwrap().recv();
        }
        false
    });
    let more = format!("discovery = \"{}\"", discovery.address);
    let router = RouterProcess::start(&operator_file(&[old.address], &[writer.address], &more));
    assert_eq!(router.request("id-1", "send").status(), 200);
    assert_eq!(router.stop().get("attempts_withheld"), 1);
    assert_eq!(told.try_iter().filter(|l| l.starts_with("POST")).count(), 1);
}
