//! Tests of what is private to `pool`.

use super::*;

#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let meter = WriteProgress::default();
    let wire = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 1..wire.len() {
        meter.begin(4, Box::new(|| Ok(())));
        meter.count(&wire[..cut]);
        assert!(!meter.is_complete(), "after {cut} bytes");
        meter.count(&wire[cut..]);
        assert!(meter.is_complete(), "cut at {cut}");
    }
}
