//! Logging does not delay requests.

mod support;

use std::path::Path;
use support::*;

/// Enough requests for their log lines to fill a pipe.
const REQUESTS: usize = 300;

/// Guards against log writes that block: once the pipe is full, requests would be answered seconds after
/// their deadline, and workers would be sent more remaining time than there is.
#[test]
fn requests_are_served_while_the_log_is_not_read() {
    let (prefill_worker, decode_worker) = (Peer::prefill_worker(), decode_worker());
    let file = operator_file(&[prefill_worker.address], &[decode_worker.address], "");
    let router =
        RouterProcess::start_with_environment(MAX_DESCRIPTORS, &file, &[("RUST_LOG", Path::new("debug"))]);
    let log_reading = router.log_reading.clone();
    let reading_paused = log_reading.lock().unwrap();
    for number in 0..REQUESTS {
        assert_eq!(router.request(&format!("id-{number}"), "send").status(), 200);
    }
    drop(reading_paused);
    assert_eq!(router.stop().get("attempts_completed"), REQUESTS as u64);
}
