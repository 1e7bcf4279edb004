//! The log must not hold up the service, whoever reads it.

mod support;

use std::path::Path;
use support::*;

/// More lines than a pipe holds.
const REQUESTS: usize = 300;

/// Guards against a router that stood still with its log: once the pipe was full, requests were answered seconds after
/// their time, and workers were told more time than there was.
#[test]
fn requests_are_served_while_nobody_reads_the_log() {
    let (reader, writer) = (Peer::prefill_worker(), decode_worker());
    let file = operator_file(&[reader.address], &[writer.address], "");
    let router = RouterProcess::start_in(1024, &file, &[("RUST_LOG", Path::new("debug"))]);
    let reading = router.log_reading.clone();
    let unread = reading.lock().unwrap();
    for number in 0..REQUESTS {
        assert_eq!(router.request(&format!("id-{number}"), "send").status(), 200);
    }
    drop(unread);
    assert_eq!(router.stop().get("attempts_completed"), REQUESTS as u64);
}
