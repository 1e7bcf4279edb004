//! Unit tests of `write_progress`.

use super::*;

#[test]
fn a_request_is_complete_only_once_its_last_byte_is_written() {
    let progress = WriteProgress::default();
    let wire = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 1..wire.len() {
        progress.begin_request(4, Box::new(|| Ok(())));
        progress.record(&wire[..cut]);
        assert!(!progress.is_complete(), "after {cut} bytes");
        progress.record(&wire[cut..]);
        assert!(progress.is_complete(), "cut at {cut}");
    }
}
