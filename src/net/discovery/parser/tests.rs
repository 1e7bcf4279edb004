//! Tests of how messages are parsed out of the chunks of a response body.

use super::*;
use crate::net::discovery::EndpointUpdate;

/// Pushes chunks and returns the progress of each with the sequence numbers of the messages that it completed.
fn push_all(parser: &mut MessageParser, chunks: &[&str]) -> Vec<(ParseProgress, Vec<u64>)> {
    let push = |chunk: &&str| {
        let mut sequences = Vec::new();
        let progress = parser.push(chunk.as_bytes(), |message| {
            sequences.push(EndpointUpdate::from(message).sequence);
        });
        (progress, sequences)
    };
    chunks.iter().map(push).collect()
}

#[test]
fn messages_are_handed_over_once_they_are_complete() {
    let mut parser = MessageParser::default();
    let progress = push_all(&mut parser, &["{\"seq\":1}{\"seq\":2}\n{\"se", "q\":\n3", "}", "\n\n"]);
    let expected = [
        (ParseProgress::Parsed, vec![1, 2]),
        (ParseProgress::NoMessage, vec![]),
        (ParseProgress::Parsed, vec![3]),
        (ParseProgress::NoMessage, vec![]),
    ];
    assert_eq!(progress, expected);
    assert_eq!(parser.incomplete_bytes(), 0);
}

#[test]
fn malformed_message_is_skipped_and_reported_unless_another_follows() {
    let mut parser = MessageParser::default();
    let progress = push_all(&mut parser, &["{\"seq\":-1}\n", "{\"seq\":-1}\n{\"seq\":4}\n", "no message\n"]);
    let expected = [
        (ParseProgress::Malformed, vec![]),
        (ParseProgress::Parsed, vec![4]),
        (ParseProgress::NoMessage, vec![]),
    ];
    assert_eq!(progress, expected);
    assert_eq!(parser.incomplete_bytes(), 0);
}

#[test]
fn start_of_a_message_counts_as_incomplete_bytes() {
    let mut parser = MessageParser::default();
    push_all(&mut parser, &[" \n {\"seq\""]);
    assert_eq!(parser.incomplete_bytes(), "{\"seq\"".len());
}
