//! Tests of what is private to `framing`.

use super::*;
use rstest::rstest;

#[rstest]
#[case::plain("Content-Length: 3\r\n\r\nabc", &[true])]
#[case::twice_the_same("Content-Length: 3\r\ncontent-length:3\r\n\r\nabc", &[true])]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", &[false])]
#[case::negative("Content-Length: -3\r\n\r\n", &[false])]
#[case::huge("Content-Length: 99999999999999999999999\r\n\r\n", &[false])]
#[case::length_first("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::coding_first("transfer-encoding: chunked\nCONTENT-LENGTH: 3\n\n", &[false])]
#[case::coded("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", &[true])]
#[case::behind_a_coded_one("Transfer-Encoding: chunked\r\n\r\nA;x=1\r\n0123456789\r\n0\r\nt: 1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", &[true, false])]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", &[false])]
#[case::coded_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::the_next_one("Content-Length: 1\r\n\r\na\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", &[true, false])]
fn framing_that_can_be_read_in_two_ways_is_seen_wherever_the_bytes_are_cut(
    #[case] rest: &str,
    #[case] wanted: &[bool],
) {
    let wire = format!("\r\nPOST /a:b HTTP/1.1\r\nHost: a\r\n{rest}");
    for cut in 0..wire.len() {
        let mut framing = Framing::default();
        take_all(&mut framing, &wire.as_bytes()[..cut]);
        take_all(&mut framing, &wire.as_bytes()[cut..]);
        assert_eq!(framing.verdicts, wanted, "cut at {cut}");
    }
}

/// Takes one request after another; where each of them ended.
fn take_all(framing: &mut Framing, bytes: &[u8]) -> Vec<usize> {
    let (mut taken, mut ends) = (0, Vec::new());
    while taken < bytes.len() {
        taken += framing.take(&bytes[taken..]);
        if framing.is_at_end() {
            ends.push(taken);
        }
    }
    ends
}

/// Guards against bytes of a later request that are taken for the one in front of it.
#[rstest]
#[case::no_body("GET / HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::length("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello")]
#[case::no_length("POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n")]
#[case::chunks(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n00A\r\n0123456789\r\n0\r\n\r\n"
)]
#[case::trailers("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;a=b\r\n\n\r\n0\r\na: b\r\n\r\n")]
fn a_request_is_taken_to_its_last_byte_and_no_further(#[case] request: &str) {
    let wire = request.repeat(3);
    let ends = take_all(&mut Framing::default(), wire.as_bytes());
    assert_eq!(ends, [1, 2, 3].map(|n| n * request.len()));
}
