//! Unit tests of decoding workers' events.

use super::*;

#[test]
fn a_chunk_has_its_text_finish_reason_and_usage() {
    let data = r#"{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"},{"delta":{"content":""}},{}],"usage":{"n":1}}"#;
    let Ok(WorkerEvent::Chunk(chunk)) = WorkerEvent::decode(data) else { panic!("no chunk") };
    assert_eq!(chunk.choices.iter().map(Choice::text).collect::<Vec<_>>(), [Some("a"), None, None]);
    assert_eq!(chunk.choices[0].finish_reason.as_deref(), Some("stop"));
    assert_eq!(chunk.usage.unwrap().get(), r#"{"n":1}"#);
}

#[test]
fn an_event_with_a_method_is_a_tool_call_and_a_null_id_makes_it_a_request() {
    let call = r#"{"jsonrpc":"2.0","id":null,"method":"m","params":[1]}"#;
    let Ok(WorkerEvent::ToolCall(request)) = WorkerEvent::decode(call) else { panic!("no tool call") };
    assert!(!request.is_notification() && request.params.unwrap().get() == "[1]");
    let notification = r#"{"jsonrpc":"2.0","method":"m"}"#;
    let Ok(WorkerEvent::ToolCall(request)) = WorkerEvent::decode(notification) else {
        panic!("no tool call")
    };
    assert!(request.is_notification());
}

#[test]
fn the_end_marker_is_empty_and_other_data_is_an_error() {
    for data in ["", "[DONE]"] {
        assert!(matches!(WorkerEvent::decode(data), Ok(WorkerEvent::Empty)), "{data:?}");
    }
    assert!(matches!(WorkerEvent::decode("no JSON"), Err(WorkerEventError::Malformed(_))));
    let unsupported_version = r#"{"jsonrpc":"1.0","id":1,"method":"m"}"#;
    assert!(matches!(
        WorkerEvent::decode(unsupported_version),
        Err(WorkerEventError::InvalidToolCall { .. })
    ));
}
