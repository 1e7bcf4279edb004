//! Workers' response streams through the whole program: relayed event by event, or broken off.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use support::*;

#[rstest]
#[case::after_the_first_event_its_stream_is_relayed_as_broken(true, "send", 200, false, 1)]
#[case::before_it_a_non_idempotent_request_fails(false, "send", 502, true, 1)]
#[case::before_it_an_idempotent_one_is_retried_elsewhere(false, "explain", 200, true, 2)]
fn a_decode_worker_that_dies(
    #[case] sends_first_event: bool,
    #[case] class: &str,
    #[case] status: u16,
    #[case] is_complete: bool,
    #[case] attempts: u32,
) {
    let count = Arc::new(AtomicU32::new(0));
    let start_worker = || {
        let count = count.clone();
        Peer::start(move |_, conn| {
            let first = count.fetch_add(1, Ordering::SeqCst) == 0;
            if !first || sends_first_event {
                conn.begin_stream();
                conn.delta("one");
            }
            if !first {
                conn.end_stream();
            }
            !first
        })
    };
    let (decoders, prefill) = ([start_worker(), start_worker()], Peer::prefill_worker());
    let addresses = decoders.each_ref().map(|worker| worker.address);
    let router = RouterProcess::start(&operator_file(&[prefill.address], &addresses, ""));
    let answer = router.request("id-1", class);
    assert_eq!(
        (answer.status(), answer.whole, count.load(Ordering::SeqCst)),
        (status, is_complete, attempts)
    );
    assert!(!sends_first_event || answer.text().contains("one"));
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against what a worker may write in place of a stream, on a connection that it keeps open: before
/// the first event against a retry of a request that must not run twice, and after it against a client that
/// is left waiting, or that gets what is no event.
#[rstest]
#[case::noise("\u{1}\u{2}\u{3} nothing like HTTP\r\n\r\n", false)]
#[case::an_invalid_head("HTTP/1.1 2x0 OK\r\n\r\n", false)]
#[case::noise_for_a_first_event("{HEAD}5\r\nnoise\r\n6\r\nnoise\n\r\n", false)]
#[case::a_comment_before_any_event("{HEAD}8\r\n: ping\n\n\r\nzz\r\n", false)]
#[case::an_invalid_chunk_size("{HEAD}b\r\ndata: one\n\n\r\nzz\r\n", true)]
#[case::a_chunk_size_too_small("{HEAD}b\r\ndata: one\n\n\r\n3\r\ndata: two\n\n\r\n", true)]
#[case::a_chunk_size_too_large(
    "{HEAD}b\r\ndata: one\n\n\r\n40\r\ndata: two\n\n\r\nb\r\ndata: x\n\n\r\n",
    true
)]
#[case::a_chunk_of_three_gigabytes("{HEAD}b\r\ndata: one\n\n\r\nb2d05e00\r\n{MORE}", true)]
fn a_corrupted_stream(
    #[case] wire: &str,
    #[case] has_first_event: bool,
    #[values("send", "explain")] class: &str,
) {
    let (report_closed, closed) = shared_channel();
    let wire = wire.replace("{HEAD}", HEAD);
    let attempts = AtomicU32::new(0);
    let decode = Peer::start(move |_, conn| {
        if attempts.fetch_add(1, Ordering::SeqCst) > 0 {
            conn.begin_stream();
            conn.delta("one");
            conn.end_stream();
            return true;
        }
        let _ = conn.0.write_all(wire.replace("{MORE}", "").as_bytes());
        while wire.contains("{MORE}") && conn.0.write_all(&[b'x'; 4096]).is_ok() {}
        report_closed((wire.contains("{MORE}") || conn.is_closed()).to_string());
        false
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let answer = router.request("id-1", class);
    let status = if has_first_event || class == "explain" { 200 } else { 502 };
    assert_eq!((answer.status(), answer.whole), (status, !has_first_event));
    assert!(!has_first_event || answer.text() == "data: one\n\n", "{}", answer.text());
    assert_eq!(closed.recv().unwrap(), "true");
}

/// Guards against events that are delayed or merged: each one arrives before the next one is written.
#[test]
fn each_event_is_relayed_before_the_next_one_is_written() {
    let (proceed, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        for number in 0..20 {
            conn.delta(&format!("<{number}>"));
            gate.lock().unwrap().recv().unwrap();
        }
        conn.end_stream();
        true
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    for number in 0..20 {
        let mut line = String::new();
        while !line.contains(&format!("<{number}>")) {
            line.clear();
            assert!(client.read_line(&mut line).unwrap() > 0, "ended before event {number}");
        }
        proceed.send(()).unwrap();
    }
}

/// Guards against a client that is left waiting by a stream of comments which brings no further event.
#[test]
fn a_stream_of_comments_without_end_is_broken_off() {
    let (report_closed, closed) = shared_channel();
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        while write!(conn.0, "8\r\n: ping\n\n\r\n").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        report_closed("closed".into());
        false
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let answer = router.request("id-1", "send");
    assert!(answer.status() == 200 && !answer.whole && answer.text().contains("one"));
    closed.recv().unwrap();
}

/// Guards against good streams that are lost over what else a worker writes, and against a second response
/// that is taken for the response to the next request on that connection.
#[rstest]
#[case::informational_responses_before_it(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{HEAD}",
    ""
)]
#[case::an_invalid_load_report("{HEAD}", "")]
#[case::a_second_response("{HEAD}", "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")]
fn a_good_stream_with_more_than_belongs_to_it(#[case] head: &str, #[case] trailing: &'static str) {
    let report = "transfer-encoding: chunked\r\nx-load: \u{1}\u{2}\r\nx-load: what\r\n";
    let head = head.replace("{HEAD}", HEAD).replace("transfer-encoding: chunked\r\n", report);
    let decode = Peer::start(move |message, conn| {
        let _ = conn.0.write_all(head.as_bytes());
        conn.delta(message.header("x-request-id").unwrap());
        // In one piece: what arrives after the next request was sent can't be told from its response by
        // anybody.
        let _ = conn.0.write_all(format!("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n{trailing}").as_bytes());
        true
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    for number in 0..20 {
        let answer = router.request(&format!("id-{number}"), "send");
        assert!(answer.whole && answer.text().contains(&format!("\"id-{number}\"")), "{}", answer.line);
    }
}
