//! Tests of how messages are parsed out of the chunks of a response body.

use super::*;
use crate::net::discovery::EndpointUpdate;
use std::time::{Duration, Instant};

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

/// The list of the largest fleet, indented.
fn long_list() -> String {
    let host = |number: usize| {
        format!(
            "    {{\n      \"host\": \"s-{number:08x}\",\n      \"dial\": \"127.0.0.1:80\",\n      \"site\": \"a\",\n      \
             \"class\": \"m2\",\n      \"block\": 3,\n      \"health\": \"ready\",\n      \"share\": 1.0,\n      \
             \"born_ms\": 0\n    }}"
        )
    };
    let hosts: Vec<String> = (0..3_200).map(host).collect();
    format!("{{\n  \"seq\": 7,\n  \"whole\": true,\n  \"hosts\": [\n{}\n  ]\n}}\n", hosts.join(",\n"))
}

/// Guards against requests that are held up by a list: one of thousands of workers was parsed again from its start at
/// each of its pieces, if it was indented.
#[test]
fn a_long_list_is_parsed_again_at_each_of_its_pieces() {
    const PIECE_BYTES: usize = 1_024;
    /// What the operators allow for each day of the largest fleet, beyond 1.4 times the time of a usual one.
    const ALLOWANCE: Duration = Duration::from_millis(116);
    let list = long_list();
    let time = |piece_bytes: usize| {
        let (mut parser, mut messages) = (MessageParser::default(), 0);
        let start = Instant::now();
        list.as_bytes().chunks(piece_bytes).for_each(|piece| _ = parser.push(piece, |_| messages += 1));
        assert_eq!((messages, parser.incomplete_bytes()), (1, 0));
        start.elapsed()
    };
    let (whole, pieces) = (time(list.len()), time(PIECE_BYTES));
    assert!(pieces <= whole.mul_f64(1.4) + ALLOWANCE, "{whole:?} at once, {pieces:?} in pieces");
}

#[test]
fn a_message_behind_a_long_one_does_not_hold_it_up() {
    let (list, mut parser, mut messages) = (long_list(), MessageParser::default(), 0);
    let (first, rest) = list.as_bytes().split_at(list.len() - 10);
    parser.push(first, |_| messages += 1);
    assert_eq!(messages, 0);
    let rest = [rest, b"{\"seq\": 8, \"hosts\": [{\"host\": \"a }{ \\\" b\","].concat();
    parser.push(&rest, |_| messages += 1);
    assert_eq!(messages, 1);
    parser.push(b" \"health\": \"gone\"}]}", |_| messages += 1);
    assert_eq!(messages, 2);
}
