//! A router process whose system calls fail in the ways that the Linux manual pages document.

mod support;

use fault_plan::SystemCallFault as Fault;
use std::io::{BufReader, Write};
use support::shim::ShimmedRouter;
use support::*;

/// Starts a router with one prefill and one decode worker. Returns it and the workers.
fn start_router() -> (ShimmedRouter, [Peer; 2]) {
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let shimmed = ShimmedRouter::start(&operator_file(&[prefill.address], &[decode.address], ""));
    (shimmed, [prefill, decode])
}

/// Sends requests sequentially, and asserts that each gets a complete response.
fn send_requests(router: &RouterProcess, requests: usize) {
    for number in 0..requests {
        let response = router.request(&format!("id-{number}"), "send");
        assert_eq!((response.status(), response.is_complete), (200, true), "request {number}: {response:?}");
    }
}

/// Guards against connections that are closed because a signal interrupted a system call: with one call in
/// four interrupted, 200 of 1,700 requests got no response.
#[test]
fn interrupted_system_calls_close_no_connection() {
    let (shimmed, _workers) = start_router();
    for fault in [Fault::ReadInterrupted, Fault::WriteInterrupted, Fault::PollInterrupted] {
        shimmed.control.set_period(fault, 2).unwrap();
    }
    send_requests(&shimmed.router, 20);
    assert!(shimmed.control.injection_count(Fault::ReadInterrupted).unwrap() > 20);
    let counters = shimmed.router.stop();
    assert_eq!(
        ["requests_received", "attempts_sent", "attempts_prefill_completed", "attempts_completed"]
            .map(|name| counters.get(name)),
        [20, 40, 20, 20]
    );
}

/// Guards against open connections that are evicted because `accept` failed with ECONNABORTED for another
/// one.
#[test]
fn an_aborted_accept_affects_no_other_connection() {
    let (shimmed, _workers) = start_router();
    let mut idle = BufReader::new(shimmed.router.connect());
    idle.get_mut().write_all(request("idle-1", "send", "hello").as_bytes()).unwrap();
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    shimmed.control.set_period(Fault::AcceptAborted, 2).unwrap();
    send_requests(&shimmed.router, 20);
    idle.get_mut().write_all(request("idle-2", "send", "hello").as_bytes()).unwrap();
    assert_eq!(Message::read(&mut idle).unwrap_or_default().status(), 200);
    assert_eq!(shimmed.router.stop().get("connections_evicted"), 0);
}

/// Guards against local connect failures that count as worker failures or use up the attempts of a request.
#[test]
fn a_local_connect_failure_uses_up_no_attempt() {
    for fault in [Fault::ConnectNoAddress, Fault::ConnectUnreachable, Fault::ConnectNoBuffers] {
        let (shimmed, _workers) = start_router();
        shimmed.control.set_period(fault, 2).unwrap();
        send_requests(&shimmed.router, 20);
        assert!(shimmed.control.injection_count(fault).unwrap() > 0);
        let counters = shimmed.router.stop();
        let expected = [20, 40, 0, 0];
        let counted = ["requests_received", "attempts_sent", "attempts_connect_failed", "attempts_not_sent"]
            .map(|name| counters.get(name));
        assert_eq!(counted, expected, "{fault:?}");
    }
}

/// Guards against responses that are lost when the host is briefly short of socket buffer space.
#[test]
fn a_write_without_buffer_space_is_retried() {
    let (shimmed, _workers) = start_router();
    shimmed.control.set_period(Fault::WriteNoBuffers, 2).unwrap();
    send_requests(&shimmed.router, 20);
    assert_eq!(shimmed.router.stop().get("attempts_completed"), 20);
}

/// Guards against endpoint updates that stay in the kernel's receive buffer: the async runtime took a short
/// read to mean that the buffer was empty.
#[test]
fn updates_on_a_watch_are_applied_at_once_despite_short_reads() {
    let (agent, updates) = discovery_agent();
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let discovery = format!("discovery = \"{}\"\n", agent.address);
    let shimmed = ShimmedRouter::start(&operator_file(&[prefill.address], &[decode.address], &discovery));
    shimmed.control.set_period(Fault::ShortRead, 1).unwrap();
    send_requests(&shimmed.router, 1);
    let endpoint = r#"{"host":"answer-0","class":"answer","site":"here","health":"draining"}"#;
    updates.send(format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{endpoint}]}}\n")).unwrap();
    shimmed.router.wait_for_log_line("answer-0 (answer, here, cell 0) is Draining");
    assert_eq!(shimmed.router.request("id-late", "send").status(), 503);
}

/// Guards against a router that fails to start because the host's file table is briefly full.
#[test]
fn a_router_starts_although_the_file_table_is_briefly_full() {
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let file = operator_file(&[prefill.address], &[decode.address], "");
    let shimmed = ShimmedRouter::start_with_initial_fault(&file, Fault::SocketFileTableFull);
    send_requests(&shimmed.router, 1);
}
