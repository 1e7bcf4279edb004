//! Unit tests of `event_kind`.

use super::EventKind::{self, Empty, EndMarker, NoOutput, Output, Unknown};
use rstest::rstest;

#[rstest]
#[case::comment(": ping\n\n", Empty)]
#[case::blank_line("\n", Empty)]
#[case::no_data_field("event: ping\nid: 1\n\n", Empty)]
#[case::data_field_without_a_value("data\n\n", Empty)]
#[case::blank_data("data: \r\ndata:\r\n\r\n", Empty)]
#[case::not_json("data: one\n\n", Unknown)]
#[case::no_event_of_an_answer("data: {\"type\":\"ping\"}\n\n", Unknown)]
#[case::choices_of_another_type("data: {\"choices\":1}\n\n", Unknown)]
#[case::no_choices("data: {\"choices\":[]}\n\n", NoOutput)]
#[case::empty_delta("data: {\"choices\":[{\"delta\":{\"content\":\"\",\"tool_calls\":[]}}]}\n\n", NoOutput)]
#[case::no_values(
    "data: {\"choices\":[{\"delta\":null,\"finish_reason\":null}],\"usage\":null}\n\n",
    NoOutput
)]
#[case::text("data: {\"choices\":[{\"delta\":{\"content\":\" \"}}]}\n\n", Output)]
#[case::text_in_two_lines("data: {\"choices\":[{\"delta\":\r\ndata:{\"content\":\"a\"}}]}\r\n\r\n", Output)]
#[case::tool_call_in_a_delta(
    "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0}]}}]}\n\n",
    Output
)]
#[case::finish("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", Output)]
#[case::usage("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n", Output)]
#[case::tool_call("data: {\"jsonrpc\":\"2.0\",\"method\":\"tools/call\"}\n\n", Output)]
#[case::end_marker("data: [DONE]\n\n", EndMarker)]
#[case::end_marker_without_line_end("data:[DONE]", EndMarker)]
fn the_kind_of_a_block_follows_from_its_data(#[case] block: &str, #[case] expected: EventKind) {
    assert_eq!(EventKind::of_block(block.as_bytes()), expected);
}
