//! Tests of the parser with messages split into chunks.

use super::*;
use crate::net::discovery::EndpointUpdate;
use std::time::{Duration, Instant};

/// Pushes chunks and returns the outcome of each with the sequence numbers of the messages that it completed.
fn push_all(parser: &mut MessageParser, chunks: &[&str]) -> Vec<(ParseOutcome, Vec<u64>)> {
    let push = |chunk: &&str| {
        let mut sequences = Vec::new();
        let outcome = parser.push(chunk.as_bytes(), |message| {
            sequences.push(EndpointUpdate::from(message).sequence);
        });
        (outcome, sequences)
    };
    chunks.iter().map(push).collect()
}

#[test]
fn messages_are_delivered_once_complete() {
    let mut parser = MessageParser::default();
    let outcomes = push_all(&mut parser, &["{\"seq\":1}{\"seq\":2}\n{\"se", "q\":\n3", "}", "\n\n"]);
    let expected = [
        (ParseOutcome::Parsed, vec![1, 2]),
        (ParseOutcome::NoMessage, vec![]),
        (ParseOutcome::Parsed, vec![3]),
        (ParseOutcome::NoMessage, vec![]),
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(parser.incomplete_bytes(), 0);
}

#[test]
fn malformed_message_is_reported_unless_a_valid_one_follows() {
    let mut parser = MessageParser::default();
    let outcomes = push_all(&mut parser, &["{\"seq\":-1}\n", "{\"seq\":-1}\n{\"seq\":4}\n", "no message\n"]);
    let expected = [
        (ParseOutcome::Malformed, vec![]),
        (ParseOutcome::Parsed, vec![4]),
        (ParseOutcome::NoMessage, vec![]),
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(parser.incomplete_bytes(), 0);
}

#[test]
fn start_of_a_message_counts_as_incomplete() {
    let mut parser = MessageParser::default();
    push_all(&mut parser, &[" \n {\"seq\""]);
    assert_eq!(parser.incomplete_bytes(), "{\"seq\"".len());
}

/// An indented endpoint list of the largest supported fleet.
fn long_list() -> String {
    let host = |number: usize| {
        format!(
            "    {{\n      \"host\": \"s-{number:08x}\",\n      \"dial\": \"127.0.0.1:80\",\n      \
             \"site\": \"a\",\n      \"class\": \"m2\",\n      \"block\": 3,\n      \
             \"health\": \"ready\",\n      \"share\": 1.0,\n      \"born_ms\": 0\n    }}"
        )
    };
    let hosts: Vec<String> = (0..3_200).map(host).collect();
    format!("{{\n  \"seq\": 7,\n  \"whole\": true,\n  \"hosts\": [\n{}\n  ]\n}}\n", hosts.join(",\n"))
}

/// Guards against requests that are delayed by parsing: an indented list of thousands of workers was parsed
/// again from its start after each of its chunks.
#[test]
fn long_list_is_not_parsed_again_after_each_chunk() {
    const CHUNK_BYTES: usize = 1_024;
    /// Allowance of the time target for the largest fleet, on top of 1.4 times the time of a usual fleet.
    const ALLOWANCE: Duration = Duration::from_millis(116);
    let list = long_list();
    let time = |chunk_bytes: usize| {
        let (mut parser, mut messages) = (MessageParser::default(), 0);
        let start = Instant::now();
        list.as_bytes().chunks(chunk_bytes).for_each(|chunk| _ = parser.push(chunk, |_| messages += 1));
        assert_eq!((messages, parser.incomplete_bytes()), (1, 0));
        start.elapsed()
    };
    let (at_once, in_chunks) = (time(list.len()), time(CHUNK_BYTES));
    assert!(in_chunks <= at_once.mul_f64(1.4) + ALLOWANCE, "{at_once:?} at once, {in_chunks:?} in chunks");
}

/// Guards against a complete long message that is held back because the next message is incomplete.
#[test]
fn long_message_is_delivered_before_the_next_is_complete() {
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
