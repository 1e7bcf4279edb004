//! Unit tests of `stream_tail`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::in_small_parts(1)]
#[case::in_parts_as_long_as_the_tail(TAIL_BYTES)]
#[case::in_parts_longer_than_the_tail(TAIL_BYTES + 100)]
fn only_the_last_bytes_are_kept(#[case] part_length: usize) {
    let stream: Vec<u8> = (0..3 * TAIL_BYTES).map(|position| (position % 251) as u8).collect();
    let mut tail = StreamTail::new();
    for part in stream.chunks(part_length) {
        tail.push(part);
    }
    assert_eq!(tail.0, stream[stream.len() - TAIL_BYTES..]);
}

#[rstest]
#[case::end_marker("data: {}\n\ndata: [DONE]\n\n", true)]
#[case::end_marker_without_blank_line("data: [DONE]", true)]
#[case::end_marker_without_space("data: {}\r\n\r\ndata:[DONE]\r\n\r\n", true)]
#[case::comment_after_the_end_marker("data: {}\n\ndata: [DONE]\n\n: bye\n\n", true)]
#[case::no_end_marker("data: {}\n\n", false)]
#[case::end_marker_within_a_line("data: see data: [DONE]\n\n", false)]
#[case::end_marker_before_the_end("data: [DONE]\n\ndata: {}\n\n", false)]
fn a_stream_is_complete_if_it_ends_with_the_end_marker(#[case] stream: &str, #[case] expected: bool) {
    let mut tail = StreamTail::new();
    tail.push(stream.as_bytes());
    assert_eq!(tail.ends_with_end_marker(), expected);
}

#[rstest]
#[case::reported(r#"{"usage":{"prompt_tokens_details":{"cached_tokens":4}}}"#, 4)]
#[case::no_usage(r#"{"choices":[]}"#, 0)]
#[case::not_json("one", 0)]
fn cached_tokens_are_read_from_the_usage_report(#[case] event: &str, #[case] expected: u64) {
    let mut tail = StreamTail::new();
    tail.push(format!("data: {event}\n\ndata: [DONE]\n\n").as_bytes());
    assert_eq!(tail.cached_tokens(), expected);
}
