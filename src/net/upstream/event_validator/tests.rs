//! Unit tests of `event_validator`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::complete_events("data: a\n\n: hi\r\nevent: x\r\ndata: b\r\n\r\ndata\nid:1\n\n", "", false)]
#[case::incomplete_last_event("data: a\n\ndata: b\n", "data: b\n", false)]
#[case::chunk_header("data: a\n\n\r\n2f\r\ndata: b\n\n", "", true)]
#[case::invalid_field("data: a\n\nx\u{7f}\n", "", true)]
fn only_complete_events_are_forwarded_and_unchanged(
    #[case] stream: &str,
    #[case] incomplete: &str,
    #[case] corrupted: bool,
) {
    for cut in 0..stream.len() {
        let mut validator = EventValidator::new(MemoryBudget::new(1024 * 1024));
        let mut forwarded = Vec::new();
        let mut failed = false;
        for part in [&stream[..cut], &stream[cut..]] {
            match validator.push(Bytes::copy_from_slice(part.as_bytes())) {
                Ok(part) => forwarded.extend_from_slice(&part.bytes),
                Err(_) => failed = true,
            }
        }
        assert_eq!(failed, corrupted, "cut at {cut}");
        assert!(forwarded.ends_with(b"\n") || forwarded.is_empty());
        if !corrupted {
            assert_eq!(forwarded, stream.strip_suffix(incomplete).unwrap().as_bytes(), "cut at {cut}");
            assert_eq!(validator.buffered, incomplete);
        }
    }
}

#[test]
fn an_event_that_exceeds_the_maximum_length_is_rejected() {
    let mut validator = EventValidator::new(MemoryBudget::new(1024 * 1024));
    let part = Bytes::from(vec![b'a'; 1024]);
    assert!(validator.push("data: ".into()).is_ok());
    assert!((0..200).any(|_| validator.push(part.clone()).is_err()));
}

/// Whether each of these events, in a part of its own, is progress.
fn progress(events: &[&str]) -> Vec<bool> {
    let mut validator = EventValidator::new(MemoryBudget::new(1024 * 1024));
    let mut push = |event: &&str| validator.push(format!("data: {event}\n\n").into()).unwrap().has_progress;
    events.iter().map(&mut push).collect()
}

/// Guards against a stream in a format of its own that is broken off although its events still come.
#[test]
fn events_of_another_format_are_progress_until_an_event_of_an_answer() {
    const OUTPUT: &str = r#"{"choices":[{"delta":{"content":"a"}}]}"#;
    const NO_OUTPUT: &str = r#"{"choices":[]}"#;
    assert_eq!(progress(&["one", "{}", "two"]), [true, true, true]);
    assert_eq!(progress(&["one", OUTPUT, "two", OUTPUT]), [true, true, false, true]);
    assert_eq!(progress(&[NO_OUTPUT, "two", OUTPUT, "[DONE]"]), [false, false, true, true]);
}

#[rstest]
#[case::end_marker("data: {}\n\ndata: [DONE]\n\n", true)]
#[case::end_marker_without_blank_line("data: [DONE]", true)]
#[case::end_marker_without_space("data: {}\r\n\r\ndata:[DONE]\r\n\r\n", true)]
#[case::comment_after_the_end_marker("data: {}\n\ndata: [DONE]\n\n: bye\n\n", true)]
#[case::no_end_marker("data: {}\n\n", false)]
#[case::end_marker_within_a_line("data: see data: [DONE]\n\n", false)]
#[case::second_end_marker("data: [DONE]\n\ndata: [DONE]\n\n", false)]
#[case::second_end_marker_without_blank_line("data: [DONE]\n\ndata: [DONE]", false)]
#[case::comment_without_blank_line_after_the_end_marker("data: [DONE]\n\n: bye", true)]
#[case::end_marker_before_the_end("data: [DONE]\n\ndata: {}\n\n", false)]
fn a_stream_is_complete_if_it_ends_with_the_end_marker(#[case] stream: &'static str, #[case] expected: bool) {
    let mut validator = EventValidator::new(MemoryBudget::new(1024 * 1024));
    let is_complete = validator.push(stream.into()).is_ok() && validator.finish().is_ok();
    assert_eq!(is_complete, expected);
}

fn pushes(validator: &mut EventValidator, bytes: usize) -> Result<(), EventStreamError> {
    const PART: &[u8] = &[b'a'; 1024];
    (0..bytes / PART.len()).try_for_each(|_| validator.push(PART.into()).map(|_| ()))
}

/// Guards against memory for long events that no budget counts.
#[test]
fn the_memory_of_a_long_event_is_reserved_until_its_part_is_dropped() {
    const BUDGET: usize = 256 * 1024;
    let budget = MemoryBudget::new(BUDGET);
    let mut validator = EventValidator::new(budget.clone());
    assert!(validator.push("data: ".into()).is_ok());
    assert!(pushes(&mut validator, 60 * 1024).is_ok());
    let mut other = EventValidator::new(budget.clone());
    assert!(other.push("data: ".into()).is_ok());
    let error = pushes(&mut other, 120 * 1024).unwrap_err();
    assert!(matches!(error, EventStreamError::MemoryExhausted(_)));
    drop(other);
    let part = validator.push("\n\ndata: rest".into()).unwrap();
    assert_eq!(validator.buffered, "data: rest");
    let mut rest = MemoryReservation::new(budget);
    assert!(rest.grow(BUDGET).is_err());
    drop(part);
    assert!(rest.grow(BUDGET).is_ok());
}
