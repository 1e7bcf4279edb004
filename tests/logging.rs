//! The log must not delay the service, whoever reads it.

mod support;

use std::path::Path;
use support::*;

/// More lines than a pipe holds.
const REQUESTS: usize = 300;

/// Guards against a router that waited for its log: once the pipe was full, requests were answered seconds
/// after their deadline, and workers were told that more time was left than there was.
#[test]
fn requests_are_served_while_nobody_reads_the_log() {
    let (prefill_worker, decode_worker) = (Peer::prefill_worker(), decode_worker());
    let file = operator_file(&[prefill_worker.address], &[decode_worker.address], "");
    let router = RouterProcess::start_in(1024, &file, &[("RUST_LOG", Path::new("debug"))]);
    let log_reading = router.log_reading.clone();
    let paused_reading = log_reading.lock().unwrap();
    for number in 0..REQUESTS {
        assert_eq!(router.request(&format!("id-{number}"), "send").status(), 200);
    }
    drop(paused_reading);
    assert_eq!(router.stop().get("attempts_completed"), REQUESTS as u64);
}
