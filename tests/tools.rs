//! Tests of the JSON-RPC frontend with scripted workers and tool servers: tool calls relayed during a
//! response stream, conformance to the specification, batches and cancellation.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use support::tool_server::{TOOL_CALL, ToolServer, completion_request, start_router, tool_calling_worker};
use support::*;

#[rstest]
#[case::result(r#""result":{"page":"text"}"#, "", "'result':{'page':'text'}", "done")]
#[case::null_is_a_result(r#""result":null"#, "", "'result':null", "done")]
#[case::tool_error(
    r#""error":{"code":-7,"message":"no"}"#,
    "",
    "'error':{'code':-7,'message':'no'}",
    "error"
)]
#[case::neither_result_nor_error(r#""other":1"#, "", "'error':{'code':-32011", "error")]
#[case::result_too_long(
    r#""result":"0123456789012345678901234567890123456789""#,
    "max_result_bytes = 64",
    "'error':{'code':-32014",
    "error"
)]
#[case::arguments_too_long(r#""result":1"#, "max_call_bytes = 20", "'error':{'code':-32013", "error")]
#[case::too_many_calls(r#""result":1"#, "max_calls = 0", "'error':{'code':-32015", "error")]
fn a_tool_call_is_relayed_and_the_stream_continues_with_its_outcome(
    #[case] reply: &'static str,
    #[case] limits: &str,
    #[case] sent_to_worker: &str,
    #[case] state: &str,
) {
    let tools = ToolServer::start(move || reply.to_owned());
    let (decode, prefill) = (tool_calling_worker(TOOL_CALL), Peer::prefill_worker());
    let router = start_router(prefill.address, &[decode.address], tools.address(), limits);
    let response = router.rpc(&completion_request("r1", ""));
    assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
    let lines: Vec<String> = response.text().lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert_eq!(lines[0], r#"{"jsonrpc":"2.0","method":"delta","params":{"request":"r1","text":"before "}}"#);
    assert!(lines[1].contains(r#""ordinal":0,"state":"calling""#));
    assert!(lines[2].contains(&format!(r#""ordinal":0,"state":"{state}""#)));
    assert!(lines[3].contains(&format!("'id':'w-1',{sent_to_worker}")), "{}", lines[3]);
    assert!(
        lines[4].contains(r#""id":1,"result":{"request":"r1","finish":"stop","calls":1"#),
        "{}",
        lines[4]
    );
    assert_eq!(tools.executions().len(), usize::from(limits.contains("result") || limits.is_empty()));
}

#[rstest]
#[case::unreachable(false, "'code':-32010")]
#[case::no_response(true, "'code':-32011")]
fn a_tool_call_without_a_response_ends_with_an_error(#[case] listens: bool, #[case] sent_to_worker: &str) {
    let unresponsive = Peer::start(|_, conn| !conn.wait_for_close());
    let tools = if listens { unresponsive.address } else { Peer::refusing_address() };
    let (decode, prefill) = (tool_calling_worker(TOOL_CALL), Peer::prefill_worker());
    let router = start_router(prefill.address, &[decode.address], tools, "call_timeout_ms = 300");
    let response = router.rpc(&completion_request("r1", "")).text();
    assert!(response.contains(sent_to_worker), "{response}");
}

#[rstest]
#[case::invalid_json(
    "{",
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}}"#
)]
#[case::not_a_request(
    "[1]",
    200,
    r#"[{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}]"#
)]
#[case::empty_batch(
    "[]",
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::unsupported_version(
    r#"{"jsonrpc":"1.0","id":4,"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":4,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::invalid_id(
    r#"{"jsonrpc":"2.0","id":{},"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::unknown_method(
    r#"{"jsonrpc":"2.0","id":"x","method":"nope","params":[]}"#,
    404,
    r#"{"jsonrpc":"2.0","id":"x","error":{"code":-32601,"message":"method not found"}}"#
)]
#[case::missing_params(
    r#"{"jsonrpc":"2.0","id":5,"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"invalid params"}}"#
)]
#[case::notification(r#"{"jsonrpc":"2.0","method":"nope"}"#, 204, "")]
#[case::batch_of_notifications(r#"[{"jsonrpc":"2.0","method":"nope"}]"#, 204, "")]
#[case::cancel_of_an_unknown_request(
    r#"{"jsonrpc":"2.0","id":null,"method":"cancel","params":{"request":"q"}}"#,
    200,
    r#"{"jsonrpc":"2.0","id":null,"result":false}"#
)]
fn responses_follow_the_json_rpc_specification(
    #[case] body: &str,
    #[case] status: u16,
    #[case] expected: &str,
) {
    let response =
        start_router(Peer::refusing_address(), &[Peer::refusing_address()], Peer::refusing_address(), "")
            .rpc(body);
    assert_eq!((response.status(), response.text().trim_end()), (status, expected));
}

#[test]
fn a_batch_is_answered_in_one_array() {
    let tools = ToolServer::start(|| r#""result":1"#.into());
    let (decode, prefill) = (tool_calling_worker(TOOL_CALL), Peer::prefill_worker());
    let router = start_router(prefill.address, &[decode.address], tools.address(), "");
    let batch = format!("[{},{{}},{}]", completion_request("b1", ""), completion_request("b2", ""));
    let response = router.rpc(&batch).text();
    assert_eq!(response.matches(r#""finish":"stop","calls":1,"text":"before "#).count(), 2, "{response}");
    assert!(response.contains(r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600"#), "{response}");
}

#[test]
fn cancelling_a_request_closes_the_stream_of_its_worker_and_sends_a_response() {
    let (report_closed, closed) = shared_channel();
    let decode = Peer::start(move |message, conn| {
        if message.start_line.starts_with("POST") {
            conn.begin_stream();
            conn.send_delta("x");
            report_closed(conn.wait_for_close().to_string());
        }
        false
    });
    let prefill = Peer::prefill_worker();
    let router = start_router(prefill.address, &[decode.address], Peer::refusing_address(), "");
    let mut stream = router.connect();
    stream.write_all(rpc_request(&completion_request("c1", "")).as_bytes()).unwrap();
    let mut client = BufReader::new(stream);
    let mut line = String::new();
    while !line.contains("delta") {
        line.clear();
        client.read_line(&mut line).unwrap();
    }
    // A second request of the same name is rejected while the first one streams.
    assert_eq!(router.rpc(&completion_request("c1", "")).status(), 409);
    assert_eq!(router.rpc(r#"{"jsonrpc":"2.0","method":"cancel","params":{"request":"c1"}}"#).status(), 204);
    while !line.contains("cancelled") {
        line.clear();
        assert!(client.read_line(&mut line).unwrap() > 0, "no response");
    }
    assert!(line.contains(r#""id":1,"error":{"code":-32002"#), "{line}");
    assert_eq!(closed.recv().unwrap(), "true");
}

/// Guards against work for a disconnected client: the requests of a batch run in separate tasks, which must
/// end both before their first event and in the middle of a stream.
#[rstest]
#[case::single_request_before_its_first_event(false, false)]
#[case::batch_before_its_first_event(true, false)]
#[case::batch_in_the_middle_of_its_stream(true, true)]
fn the_requests_of_a_disconnected_client_are_cancelled(#[case] is_batch: bool, #[case] streams: bool) {
    let worker = if streams { HangingWorker::start_streaming() } else { HangingWorker::start() };
    let prefill = Peer::prefill_worker();
    let prefill_address = if streams { prefill.address } else { worker.peer.address };
    let tools = ToolServer::start(String::new);
    let router = start_router(prefill_address, &[worker.peer.address], tools.address(), "");
    let mut client = router.connect();
    let single = completion_request("r-1", "");
    let message = if is_batch { format!("[{single}]") } else { single };
    client.write_all(rpc_request(&message).as_bytes()).unwrap();
    worker.wait_for_request();
    drop(client);
    assert!(worker.router_closed_connection());
    assert_eq!(router.stop().get("client_disconnects"), 1);
    assert_eq!(worker.requests_received(), 1);
}
