//! Unit tests of `event_stream`.

use super::EventValidation::{self, Enforced, Skipped};
use rstest::rstest;

#[rstest]
#[case::event_stream(Some("text/event-stream"), Enforced)]
#[case::with_a_parameter(Some("text/event-stream; charset=utf-8"), Enforced)]
#[case::in_upper_case(Some("TEXT/Event-Stream ;a=b"), Enforced)]
#[case::missing(None, Enforced)]
#[case::empty(Some(" "), Enforced)]
#[case::json(Some("application/json"), Skipped)]
#[case::longer_name(Some("text/event-streams"), Skipped)]
fn event_streams_are_recognised_by_their_media_type(
    #[case] content_type: Option<&str>,
    #[case] expected: EventValidation,
) {
    assert_eq!(EventValidation::for_content_type(content_type), expected);
}
