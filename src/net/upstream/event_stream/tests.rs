//! Tests of what is private to `event_stream`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::good("data: a\n\n: hi\r\nevent: x\r\ndata: b\r\n\r\ndata\nid:1\n\n", "", false)]
#[case::cut("data: a\n\ndata: b\n", "data: b\n", false)]
#[case::a_chunk_head("data: a\n\n\r\n2f\r\ndata: b\n\n", "", true)]
#[case::noise("data: a\n\nx\u{7f}\n", "", true)]
fn complete_events_pass_unchanged_and_nothing_else_does(
    #[case] wire: &str,
    #[case] incomplete: &str,
    #[case] corrupted: bool,
) {
    for cut in 0..wire.len() {
        let mut checker = EventChecker::default();
        let mut passed = Vec::new();
        let mut failed = false;
        for part in [&wire[..cut], &wire[cut..]] {
            match checker.push(Bytes::copy_from_slice(part.as_bytes())) {
                Ok(part) => passed.extend_from_slice(&part.bytes),
                Err(_) => failed = true,
            }
        }
        assert_eq!(failed, corrupted, "cut at {cut}");
        assert!(passed.ends_with(b"\n") || passed.is_empty());
        if !corrupted {
            assert_eq!(passed, wire.strip_suffix(incomplete).unwrap().as_bytes(), "cut at {cut}");
            assert_eq!(checker.finish().unwrap(), incomplete);
        }
    }
}

#[test]
fn an_event_without_end_is_rejected() {
    let mut checker = EventChecker::default();
    let part = Bytes::from(vec![b'a'; 1024]);
    assert!(checker.push("data: ".into()).is_ok());
    assert!((0..200).any(|_| checker.push(part.clone()).is_err()));
}
