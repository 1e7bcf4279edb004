//! Unit tests of the framing parser.

use super::HeadFraming::{Ambiguous, Unambiguous};
use super::*;
use rstest::rstest;

#[rstest]
#[case::plain("Content-Length: 3\r\n\r\nabc", &[Unambiguous])]
#[case::same_length_twice("Content-Length: 3\r\ncontent-length:3\r\n\r\nabc", &[Unambiguous])]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", &[Ambiguous])]
#[case::negative("Content-Length: -3\r\n\r\n", &[Ambiguous])]
#[case::huge("Content-Length: 99999999999999999999999\r\n\r\n", &[Ambiguous])]
#[case::length_then_coding("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", &[Ambiguous])]
#[case::coding_then_length("transfer-encoding: chunked\nCONTENT-LENGTH: 3\n\n", &[Ambiguous])]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", &[Unambiguous])]
#[case::after_a_chunked_request(
    "Transfer-Encoding: chunked\r\n\r\nA;x=1\r\n0123456789\r\n0\r\nt: 1\r\n\r\n\
     POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    &[Unambiguous, Ambiguous]
)]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", &[Ambiguous])]
#[case::chunked_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", &[Ambiguous])]
#[case::in_the_second_request(
    "Content-Length: 1\r\n\r\na\r\n\
     POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    &[Unambiguous, Ambiguous]
)]
fn ambiguous_framing_is_detected_wherever_the_bytes_are_split(
    #[case] rest: &str,
    #[case] expected: &[HeadFraming],
) {
    let wire = format!("\r\nPOST /a:b HTTP/1.1\r\nHost: a\r\n{rest}");
    for split in 0..wire.len() {
        let mut framing = FramingParser::default();
        advance_all(&mut framing, &wire.as_bytes()[..split]);
        advance_all(&mut framing, &wire.as_bytes()[split..]);
        assert_eq!(framing.heads, expected, "split at {split}");
    }
}

/// Parses consecutive requests. Returns the offset of the end of each.
fn advance_all(framing: &mut FramingParser, bytes: &[u8]) -> Vec<usize> {
    let (mut offset, mut ends) = (0, Vec::new());
    while offset < bytes.len() {
        offset += framing.advance(&bytes[offset..]);
        if framing.is_at_request_end() {
            ends.push(offset);
        }
    }
    ends
}

/// Guards against attributing bytes of a request to the one before it.
#[rstest]
#[case::no_body("GET / HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::length("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello")]
#[case::no_length("POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n")]
#[case::chunks(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n00A\r\n0123456789\r\n0\r\n\r\n"
)]
#[case::trailers("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;a=b\r\n\n\r\n0\r\na: b\r\n\r\n")]
fn a_request_is_parsed_up_to_its_last_byte_and_no_further(#[case] request: &str) {
    let wire = request.repeat(3);
    let ends = advance_all(&mut FramingParser::default(), wire.as_bytes());
    assert_eq!(ends, [1, 2, 3].map(|n| n * request.len()));
}
