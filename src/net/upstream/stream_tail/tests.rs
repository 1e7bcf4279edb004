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
#[case::reported(r#"{"usage":{"prompt_tokens_details":{"cached_tokens":4}}}"#, 4)]
#[case::no_usage(r#"{"choices":[]}"#, 0)]
#[case::not_json("one", 0)]
fn cached_tokens_are_read_from_the_usage_report(#[case] event: &str, #[case] expected: u64) {
    let mut tail = StreamTail::new();
    tail.push(format!("data: {event}\n\ndata: [DONE]\n\n").as_bytes());
    assert_eq!(tail.cached_tokens(), expected);
}
