//! The router between scripted peers on loopback sockets: one story for each thing that went wrong or would.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use support::*;

#[test]
fn a_request_is_read_then_written_and_nothing_of_it_is_changed() {
    let ((writer, messages), reader) = (recording_decode_worker(), Peer::prefill_worker());
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    assert!(router.raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").line.contains("200"));
    let answer = router.request("id-1", "send");
    let message = messages.recv().unwrap();
    assert_eq!(message.line, "POST /v1/chat/completions?x=1 HTTP/1.1");
    assert_eq!((message.header("x-request-id"), message.text().as_str()), (Some("id-1"), "hello"));
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    let wanted =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one\"},\"finish_reason\":null}]}\n\n";
    assert!(answer.whole && answer.text().starts_with(wanted) && answer.text().ends_with("data: [DONE]\n\n"));
    let counters = router.stop();
    let counts = [
        "requests_received",
        "attempts_sent",
        "attempts_prefill_completed",
        "attempts_completed",
        "responses_streamed",
        "client_disconnects",
    ];
    assert_eq!(counts.map(|c| counters.get(c)), [1, 2, 1, 1, 1, 0]);
}

/// Workers may need any of a request's headers, an idempotency key for one; those of the client's connection concern
/// nobody else, and the deadline is told anew.
#[test]
fn a_request_keeps_its_end_to_end_headers_and_no_others() {
    let ((writer, messages), reader) = (recording_decode_worker(), Peer::prefill_worker());
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let more = "idempotency-key: k-1\r\nx-other: a\r\nx-other: b\r\ncontent-type: application/json\r\n\
                connection: x-hop\r\nx-hop: c\r\nkeep-alive: timeout=5\r\nte: trailers\r\ncontent-length";
    let answer = router.raw(request("id-1", "send", "hello").replace("content-length", more).as_bytes());
    assert_eq!(answer.status(), 200);
    let message = messages.recv().unwrap();
    let all =
        |name: &str| message.headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_str()).collect();
    let headers: [Vec<&str>; 7] =
        ["idempotency-key", "x-other", "content-type", "x-hop", "keep-alive", "te", "connection"].map(all);
    let wanted: [&[&str]; 7] = [&["k-1"], &["a", "b"], &["application/json"], &[], &[], &[], &[]];
    assert_eq!(headers, wanted);
    let deadlines: Vec<&str> = all("x-deadline");
    assert!(
        deadlines.len() == 1 && deadlines[0].ends_with('u') && deadlines[0] != "8000000u",
        "{deadlines:?}"
    );
}

/// Guards against requests written to connections that their hosts have given up without a word: one is enough to
/// know of, and what must not run twice is not written to another.
#[test]
fn after_a_kept_connection_was_found_dead_none_is_used_again() {
    let once = |answer: fn(&mut Conn)| {
        let seen = Mutex::new(std::collections::HashSet::new());
        Peer::start(move |message, conn| {
            let first = seen.lock().unwrap().insert(conn.0.peer_addr().unwrap());
            if message.line.starts_with("DELETE") {
                conn.answer("204 No Content", "", "");
            } else if first {
                answer(conn);
            }
            first
        })
    };
    let reader = once(|conn| conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#));
    let writer = once(|conn| {
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
    });
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    for i in 0..10 {
        assert_eq!(router.request(&format!("id-{i}"), "send").status(), 200, "request {i}");
        // Kept connections are used again once they have rested.
        std::thread::sleep(2 * llm_router::net::upstream::pool::TRAILING_BYTES_WAIT);
    }
    assert_eq!(router.stop().get("stale_connections"), 1);
}

#[rstest]
#[case::unreachable("")]
#[case::turned_away("503 Service Unavailable")]
fn an_unsafe_request_that_never_ran_goes_to_another_writer(#[case] status: &'static str) {
    let full = Peer::start(move |_, conn| {
        conn.answer(status, "x-not-run: 1\r\n", "");
        true
    });
    let (writer, reader) = (decode_worker(), Peer::prefill_worker());
    let first = if status.is_empty() { Peer::nobody() } else { full.address };
    let router = RouterProcess::start(&operator_file(&[reader.address], &[first, writer.address], ""));
    for i in 0..8 {
        assert_eq!(router.request(&format!("id-{i}"), "send").status(), 200);
    }
}

/// Guards against a release that overtakes nothing: sent while the second read is out, it took that read's
/// state, and the writer found none.
#[test]
fn what_a_broken_read_may_have_left_is_released_before_the_next_read() {
    let broken = AtomicU32::new(0);
    let (reader, told) = recording_peer(move |_, conn| {
        if broken.fetch_add(1, Ordering::SeqCst) == 0 {
            return false;
        }
        conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        true
    });
    let writer = Peer::start(|message, conn| {
        if message.line.starts_with("DELETE") {
            // Not this one: the release has to reach a host that takes it.
            return false;
        }
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    });
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    assert_eq!(router.request("id-1", "send").status(), 200);
    let lines: Vec<String> = told.try_iter().collect();
    let wanted = ["POST /v1/chat", "DELETE /internal/reservations/id-1", "POST /v1/chat"];
    assert!(lines.len() == 3 && lines.iter().zip(wanted).all(|(l, w)| l.starts_with(w)), "{lines:?}");
}

/// Guards against a second copy sent under the id of a request whose stream still runs: other clients may name it.
#[test]
fn an_id_is_in_hand_until_its_stream_has_ended() {
    let (begun, begins) = shared_channel();
    let go = Arc::new(Mutex::new(()));
    let held = go.lock().unwrap();
    let gate = go.clone();
    let writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        begun("".into());
        drop(gate.lock());
        conn.end_stream();
        true
    });
    let reader = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    begins.recv().unwrap();
    // The head of the answer: the request has its answer, and its stream runs.
    client.fill_buf().unwrap();
    assert_eq!(router.request("id-1", "send").status(), 409);
    drop(held);
    assert!(Message::read(&mut client).unwrap().whole);
    while router.request("id-1", "send").status() == 409 {}
    assert_eq!(router.stop().get("requests_received"), 2);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along_and_its_state_is_released() {
    let (tell, told) = shared_channel();
    let (closed, closes) = shared_channel();
    // Any host may be asked to let go: one host is both here.
    let (host, deleted) = recording_peer(move |_, conn| {
        tell("read".into());
        closed(conn.is_closed().to_string());
        false
    });
    let router = RouterProcess::start(&operator_file(&[host.address], &[host.address], ""));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    told.recv().unwrap();
    client.shutdown(Shutdown::Both).unwrap();
    assert_eq!(closes.recv().unwrap(), "true");
    assert!(deleted.iter().any(|l| l.starts_with("DELETE /internal/reservations/id-1")));
}

/// A client that has only ended its sending can't be told from one that has gone: nothing more is begun for it, and it
/// hears at once whether trying again is harmless.
#[rstest]
#[case::of_what_may_be_repeated("explain", 503)]
#[case::of_what_may_have_run("send", 502)]
fn a_client_that_ends_its_sending_hears_the_end_of_its_request(#[case] class: &str, #[case] status: u16) {
    let (tell, told) = shared_channel();
    let (host, lines) = recording_peer(move |_, conn| {
        tell("read".into());
        conn.is_closed();
        false
    });
    let router = RouterProcess::start(&operator_file(&[host.address], &[host.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", class, "hello").as_bytes()).unwrap();
    told.recv().unwrap();
    client.get_mut().shutdown(Shutdown::Write).unwrap();
    let answer = Message::read(&mut client).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (status, Some("close")));
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert_eq!(router.stop().get("client_disconnects"), 1);
    assert_eq!(lines.try_iter().filter(|line| line.starts_with("POST")).count(), 1);
}

/// Guards against work for nobody: a close was seen only once the requests ahead of it had been read, and the later ones
/// of such a client were sent on one after another.
#[test]
fn a_client_that_sent_more_and_left_is_gone_at_once_with_all_that_it_sent() {
    let (tell, told) = shared_channel();
    let (closed, closes) = shared_channel();
    let (host, lines) = recording_peer(move |_, conn| {
        tell("read".into());
        closed(conn.is_closed().to_string());
        false
    });
    let router = RouterProcess::start(&operator_file(&[host.address], &[host.address], ""));
    let mut client = router.connect();
    let all = ["id-1", "id-2", "id-3"].map(|id| request(id, "send", "hello")).concat();
    client.write_all(all.as_bytes()).unwrap();
    told.recv().unwrap();
    client.shutdown(Shutdown::Both).unwrap();
    assert_eq!(closes.recv().unwrap(), "true");
    let counters = router.stop();
    assert_eq!(
        ["requests_received", "attempts_sent", "client_disconnects"].map(|c| counters.get(c)),
        [1, 1, 1]
    );
    assert_eq!(lines.try_iter().filter(|l| l.starts_with("POST")).count(), 1);
}

/// Guards against answers held back: what the module gives up is refused at once, with advice.
#[test]
fn what_is_given_up_is_refused_with_advice_long_before_its_deadline() {
    let router = RouterProcess::start(&operator_file(&[Peer::nobody()], &[Peer::nobody()], ""));
    let answer = router.request("id-1", "send");
    assert_eq!(answer.status(), 503);
    let advice: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=2.0).contains(&advice), "{advice}");
}

#[rstest]
#[case::no_toml("listen = ", "line 1")]
#[case::no_settings("listen = \"127.0.0.1:0\"", "settings")]
#[case::setting("listen = \"127.0.0.1:0\"\n[settings]\nmy_zone = \"z\"", "classes.count")]
fn a_broken_configuration_is_one_line_and_a_failure(#[case] text: &str, #[case] names: &str) {
    let file =
        std::env::temp_dir().join(format!("llm-router-broken-{}-{}.toml", std::process::id(), text.len()));
    std::fs::write(&file, text).unwrap();
    let done = Command::new(env!("CARGO_BIN_EXE_llm-router")).arg("serve").arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let error = String::from_utf8(done.stderr).unwrap();
    assert!(!done.status.success() && error.lines().count() == 1 && error.contains(names), "{error}");
}
