//! System calls that fail as Linux documents, under a real router process.

mod support;

use fault_plan::SystemCallFault as Fault;
use std::io::{BufReader, Write};
use support::shim::ShimmedConductor;
use support::*;

/// A router between one prefill and one decode worker, and the two.
fn routed() -> (ShimmedConductor, [Peer; 2]) {
    let (reader, writer) = (Peer::reader(), writer());
    let shimmed = ShimmedConductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    (shimmed, [reader, writer])
}

fn ask_all(conductor: &Conductor, requests: usize) {
    for number in 0..requests {
        let answer = conductor.ask(&format!("id-{number}"), "send");
        assert_eq!((answer.status(), answer.whole), (200, true), "request {number}: {answer:?}");
    }
}

/// Guards against connections that were closed over a signal: of 1,700 requests 200 got no answer while one call in four
/// was interrupted.
#[test]
fn interrupted_calls_end_no_connection() {
    let (shimmed, _workers) = routed();
    for fault in [Fault::ReadInterrupted, Fault::WriteInterrupted, Fault::PollInterrupted] {
        shimmed.control.set_period(fault, 2).unwrap();
    }
    ask_all(&shimmed.conductor, 20);
    assert!(shimmed.control.count(Fault::ReadInterrupted).unwrap() > 20);
    let counters = shimmed.conductor.stop();
    assert_eq!(["taken", "sent", "ended_read", "ended_served"].map(|c| counters.get(c)), [20, 40, 20, 20]);
}

/// Guards against clients that lost their connections because somebody else's was gone before it was accepted.
#[test]
fn a_connection_gone_before_its_accept_costs_nobody_else_anything() {
    let (shimmed, _workers) = routed();
    let mut kept = BufReader::new(shimmed.conductor.connect());
    kept.get_mut().write_all(request("kept-1", "send", "hello").as_bytes()).unwrap();
    assert_eq!(Message::read(&mut kept).unwrap().status(), 200);
    shimmed.control.set_period(Fault::AcceptAborted, 2).unwrap();
    ask_all(&shimmed.conductor, 20);
    kept.get_mut().write_all(request("kept-2", "send", "hello").as_bytes()).unwrap();
    assert_eq!(Message::read(&mut kept).unwrap_or_default().status(), 200);
    assert_eq!(shimmed.conductor.stop().get("connections_evicted"), 0);
}

/// Guards against workers that are blamed, and attempts that are spent, for what is wrong at this machine.
#[test]
fn a_connect_that_fails_locally_costs_no_attempt() {
    for fault in [Fault::ConnectNoAddress, Fault::ConnectUnreachable, Fault::ConnectNoBuffers] {
        let (shimmed, _workers) = routed();
        shimmed.control.set_period(fault, 2).unwrap();
        ask_all(&shimmed.conductor, 20);
        assert!(shimmed.control.count(fault).unwrap() > 0);
        let counters = shimmed.conductor.stop();
        let wanted = [20, 40, 0, 0];
        let seen = ["taken", "sent", "ended_no_connection", "ended_not_sent"].map(|c| counters.get(c));
        assert_eq!(seen, wanted, "{fault:?}");
    }
}

/// Guards against answers that were lost while the system was short of memory for a moment.
#[test]
fn a_write_that_finds_no_buffers_is_made_again() {
    let (shimmed, _workers) = routed();
    shimmed.control.set_period(Fault::WriteNoBuffers, 2).unwrap();
    ask_all(&shimmed.conductor, 20);
    assert_eq!(shimmed.conductor.stop().get("ended_served"), 20);
}

/// Guards against news that was left in the system's buffer: the runtime took a short read for all that had come.
#[test]
fn a_watch_in_short_reads_is_followed_at_once() {
    let (lines, reads) = std::sync::mpsc::channel::<String>();
    let reads = std::sync::Mutex::new(reads);
    let agent = Peer::start(move |message, conn| {
        if !message.line.contains("watch=1") {
            return true;
        }
        conn.begin_stream();
        while let Ok(line) = reads.lock().unwrap().recv() {
            conn.chunk(&line);
        }
        false
    });
    let (reader, writer) = (Peer::reader(), writer());
    let at = format!("discovery = \"{}\"\n", agent.address);
    let shimmed = ShimmedConductor::start(&operator_file(&[reader.address], &[writer.address], &at));
    shimmed.control.set_period(Fault::ShortRead, 1).unwrap();
    ask_all(&shimmed.conductor, 1);
    let entry = r#"{"host":"answer-0","class":"answer","site":"here","health":"draining"}"#;
    lines.send(format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{entry}]}}\n")).unwrap();
    shimmed.conductor.wait_for("answer-0 (answer, here, cell 0) is Draining");
    assert_eq!(shimmed.conductor.ask("id-late", "send").status(), 503);
}
