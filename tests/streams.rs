//! Relay of workers' response streams through a router process, with failing and invalid streams.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use support::*;

#[rstest]
#[case::after_the_first_event_the_stream_is_broken(true, "send", 200, false, 1)]
#[case::before_the_first_event_a_non_idempotent_request_fails(false, "send", 502, true, 1)]
#[case::before_the_first_event_an_idempotent_request_is_retried(false, "explain", 200, true, 2)]
fn a_decode_worker_closes_its_connection(
    #[case] sends_first_event: bool,
    #[case] class: &str,
    #[case] status: u16,
    #[case] is_complete: bool,
    #[case] attempts: u32,
) {
    let attempt_count = Arc::new(AtomicU32::new(0));
    let start_worker = || {
        let attempt_count = attempt_count.clone();
        Peer::start(move |_, conn| {
            let is_first_attempt = attempt_count.fetch_add(1, Ordering::SeqCst) == 0;
            if !is_first_attempt || sends_first_event {
                conn.begin_stream();
                conn.send_delta("one");
            }
            if !is_first_attempt {
                conn.end_stream();
            }
            !is_first_attempt
        })
    };
    let (decode_workers, prefill) = ([start_worker(), start_worker()], Peer::prefill_worker());
    let addresses = decode_workers.each_ref().map(|worker| worker.address);
    let router = RouterProcess::start(&operator_file(&[prefill.address], &addresses, ""));
    let response = router.request("id-1", class);
    assert_eq!(
        (response.status(), response.is_complete, attempt_count.load(Ordering::SeqCst)),
        (status, is_complete, attempts)
    );
    assert!(!sends_first_event || response.text().contains("one"));
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// The end of a complete stream.
const END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// Guards against invalid data in place of a stream, on a connection that the worker keeps open. Before the
/// first event, a non-idempotent request must not be retried. After it, the client must neither wait
/// indefinitely nor receive data that is not an event, nor take a stream that is cut for a complete one.
#[rstest]
#[case::not_http("\u{1}\u{2}\u{3} nothing like HTTP\r\n\r\n", false)]
#[case::invalid_response_head("HTTP/1.1 2x0 OK\r\n\r\n", false)]
#[case::invalid_first_event("{HEAD}5\r\nnoise\r\n6\r\nnoise\n\r\n", false)]
#[case::invalid_chunk_size_after_a_comment("{HEAD}8\r\n: ping\n\n\r\nzz\r\n", false)]
#[case::invalid_chunk_size("{HEAD}b\r\ndata: one\n\n\r\nzz\r\n", true)]
#[case::chunk_size_too_small("{HEAD}b\r\ndata: one\n\n\r\n3\r\ndata: two\n\n\r\n", true)]
#[case::chunk_size_too_large("{HEAD}b\r\ndata: one\n\n\r\n40\r\ndata: two\n\n\r\nb\r\ndata: x\n\n\r\n", true)]
// In place of its length, a chunk has the size 0, which ends the body: the rest of the stream follows.
#[case::chunk_of_size_zero("{HEAD}b\r\ndata: one\n\n\r\n0\r\ndata: two\n\n\r\n{END}", true)]
#[case::chunk_of_size_00("{HEAD}b\r\ndata: one\n\n\r\n00;a=b\r\ndata: two\n\n\r\n{END}", true)]
#[case::chunk_of_size_zero_in_an_event(
    "{HEAD}b\r\ndata: one\n\n\r\na\r\ndata: two\n\r\n0\r\nevent: x\n\n\r\n{END}",
    true
)]
#[case::end_marker_of_size_zero("{HEAD}b\r\ndata: one\n\n\r\n0\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true)]
#[case::last_chunk_without_end_marker("{HEAD}b\r\ndata: one\n\n\r\n0\r\n\r\n", true)]
#[case::first_chunk_of_size_zero("{HEAD}0\r\ndata: one\n\n\r\n{END}", false)]
#[case::chunk_of_three_gigabytes("{HEAD}b\r\ndata: one\n\n\r\nb2d05e00\r\n{MORE}", true)]
fn a_worker_sends_a_corrupted_stream(
    #[case] worker_response: &str,
    #[case] has_first_event: bool,
    #[values("send", "explain")] class: &str,
) {
    let (report_closed, closed) = shared_channel();
    let worker_response = worker_response.replace("{HEAD}", HEAD).replace("{END}", END);
    // `{MORE}` stands for endless data.
    let is_endless = worker_response.contains("{MORE}");
    let attempts = AtomicU32::new(0);
    let decode = Peer::start(move |_, conn| {
        if attempts.fetch_add(1, Ordering::SeqCst) > 0 {
            conn.begin_stream();
            conn.send_delta("one");
            conn.end_stream();
            return true;
        }
        let _ = conn.stream.write_all(worker_response.replace("{MORE}", "").as_bytes());
        while is_endless && conn.stream.write_all(&[b'x'; 4096]).is_ok() {}
        report_closed((is_endless || conn.wait_for_close()).to_string());
        false
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let response = router.request("id-1", class);
    let status = if has_first_event || class == "explain" { 200 } else { 502 };
    assert_eq!((response.status(), response.is_complete), (status, !has_first_event));
    assert!(!has_first_event || response.text() == "data: one\n\n", "{}", response.text());
    assert_eq!(closed.recv().unwrap(), "true");
}

/// Guards against events that are delayed or merged: the worker writes an event only after the client has
/// received the previous one.
#[test]
fn each_event_is_relayed_before_the_next_one_is_written() {
    let (proceed, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        for number in 0..20 {
            conn.send_delta(&format!("<{number}>"));
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

/// Guards against a client that waits indefinitely on a stream in which only comments follow the first event.
#[test]
fn an_endless_stream_of_comments_is_terminated() {
    let (report_closed, closed) = shared_channel();
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.send_delta("one");
        while write!(conn.stream, "8\r\n: ping\n\n\r\n").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        report_closed("closed".into());
        false
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let response = router.request("id-1", "send");
    assert!(response.status() == 200 && !response.is_complete && response.text().contains("one"));
    closed.recv().unwrap();
}

/// Guards against valid streams that fail because of other output of the worker, and against a second
/// response that is taken for the response to the next request on the connection.
#[rstest]
#[case::informational_responses_first(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{HEAD}",
    ""
)]
#[case::invalid_load_report("{HEAD}", "")]
#[case::second_response("{HEAD}", "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")]
fn a_valid_stream_is_relayed_despite_surplus_output(#[case] head: &str, #[case] trailing: &'static str) {
    let load_reports = "transfer-encoding: chunked\r\nx-load: \u{1}\u{2}\r\nx-load: what\r\n";
    let head = head.replace("{HEAD}", HEAD).replace("transfer-encoding: chunked\r\n", load_reports);
    let decode = Peer::start(move |message, conn| {
        let _ = conn.stream.write_all(head.as_bytes());
        conn.send_delta(message.header("x-request-id").unwrap());
        // In one write: a second response that arrived after the next request was sent would be
        // indistinguishable from the response to that request.
        let _ = conn.stream.write_all(format!("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n{trailing}").as_bytes());
        true
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    for number in 0..20 {
        let response = router.request(&format!("id-{number}"), "send");
        assert!(
            response.is_complete && response.text().contains(&format!("\"id-{number}\"")),
            "{}",
            response.start_line
        );
    }
}

/// Guards against an investigation without evidence: the log tells when a client gave up a stream, and what the
/// worker had sent by then.
#[test]
fn a_stream_that_its_client_gives_up_is_logged_with_its_progress() {
    let decode = HangingWorker::start_streaming();
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.peer.address], ""));
    let mut client = router.connect();
    client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    decode.wait_for_request();
    let mut head = String::new();
    BufReader::new(&client).read_line(&mut head).unwrap();
    drop(client);
    let line = router.wait_for_log_line("request id-1: stream from ");
    assert!(
        line.contains("was given up: the client disconnected; 1 events with output, the last "),
        "{line}"
    );
}

/// Guards against a stream that is broken off because its client holds it up for longer than a worker may be
/// silent.
#[test]
fn a_stream_that_its_client_holds_up_is_completed() {
    const EVENTS: usize = 600;
    const PAUSE: std::time::Duration = std::time::Duration::from_secs(6);
    let text = "x".repeat(32 * 1024);
    let decode = Peer::start(move |_, conn| {
        conn.begin_stream();
        for _ in 0..EVENTS {
            conn.send_event(&text);
        }
        conn.end_stream();
        true
    });
    let prefill = Peer::prefill_worker();
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let mut client = BufReader::new(router.connect());
    client.get_mut().write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
    client.fill_buf().unwrap();
    std::thread::sleep(PAUSE);
    assert!(Message::read(&mut client).unwrap().is_complete);
}
