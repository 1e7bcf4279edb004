//! Unit tests of `response_limits`.

use super::*;
use rstest::rstest;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[rstest]
#[case::short_chunks("{CHUNKED}5\r\nhello\r\n3\r\nabc\r\n", Ok(()))]
#[case::longest_chunk("{CHUNKED}40000\r\nhello", Ok(()))]
#[case::longer_chunk("{CHUNKED}5\r\nhello\r\n40001\r\nhello", Err(ResponseTooLong::Chunk))]
#[case::three_gigabytes("{CHUNKED}c0000000;a=b\r\n", Err(ResponseTooLong::Chunk))]
#[case::behind_informational_responses(
    "HTTP/1.1 103 Hints\r\n\r\n{CHUNKED}c0000000\r\n",
    Err(ResponseTooLong::Chunk)
)]
#[case::data_like_a_size("{CHUNKED}a\r\nc0000000\r\n\r\n", Ok(()))]
#[case::fixed_length("HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\nc0000000\r\nc000", Ok(()))]
#[case::not_http("\u{1}\u{2} nothing like HTTP\r\n\r\nc0000000\r\n\r\n", Ok(()))]
fn a_chunk_is_limited_by_its_declared_length(
    #[case] response: &str,
    #[case] expected: Result<(), ResponseTooLong>,
) {
    let response = response.replace("{CHUNKED}", CHUNKED);
    for cut in 0..response.len() {
        let mut limits = ResponseLimits::default();
        limits.record(&response.as_bytes()[..cut]);
        limits.record(&response.as_bytes()[cut..]);
        assert_eq!(limits.check(), expected, "cut at {cut}");
    }
}

#[test]
fn bytes_are_limited_until_the_response_begins() {
    let informational = b"HTTP/1.1 103 Hints\r\n\r\n".repeat(1024);
    let reads = MAX_HEAD_BYTES / informational.len();
    let mut limits = ResponseLimits::default();
    (0..reads).for_each(|_| limits.record(&informational));
    assert_eq!(limits.check(), Ok(()));
    limits.record(&informational);
    assert_eq!(limits.check(), Err(ResponseTooLong::Head));
    let mut limits = ResponseLimits::default();
    limits.begin_response();
    (0..2 * reads).for_each(|_| limits.record(&informational));
    assert_eq!(limits.check(), Ok(()));
}

/// Guards against digits without end, which hyper reads in one turn of the event loop as long as they come.
#[test]
fn the_line_with_the_size_of_a_chunk_is_limited() {
    let mut limits = ResponseLimits::default();
    limits.record(CHUNKED.as_bytes());
    limits.record(&[b'0'; MAX_CHUNK_SIZE_LINE_BYTES - 1]);
    limits.record(b"5\r\nhello\r\n");
    limits.record(&[b'0'; MAX_CHUNK_SIZE_LINE_BYTES]);
    assert_eq!(limits.check(), Ok(()));
    limits.record(b"0");
    assert_eq!(limits.check(), Err(ResponseTooLong::ChunkSizeLine));
}
