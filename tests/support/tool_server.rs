//! A scripted tool server, and decode workers that call tools.

use super::{Message, Peer, PeerConnection, RouterProcess, operator_file};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};

/// The JSON-RPC request with which a decode worker calls a tool.
pub const TOOL_CALL: &str = r#"{"jsonrpc":"2.0","id":"w-1","method":"page.fetch","params":{"page":1}}"#;

/// A tool server that counts its executions by idempotency key.
pub struct ToolServer {
    peer: Peer,
    executions: Arc<Mutex<HashMap<String, u32>>>,
}

impl ToolServer {
    /// Starts a tool server. `tool` returns the fields of the response that follow the id, and may block.
    pub fn start(tool: impl Fn() -> String + Send + Sync + 'static) -> ToolServer {
        let executions = Arc::new(Mutex::new(HashMap::new()));
        let execution_counts = executions.clone();
        let peer = Peer::start(move |message, conn| {
            let key = message.header("idempotency-key").unwrap().to_owned();
            assert!(message.text().contains(&format!(r#""id":"{key}""#)));
            *execution_counts.lock().unwrap().entry(key.clone()).or_insert(0) += 1;
            conn.respond("200 OK", "", &format!(r#"{{"jsonrpc":"2.0","id":"{key}",{}}}"#, tool()));
            true
        });
        ToolServer { peer, executions }
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// The number of executions of each key so far.
    pub fn executions(&self) -> Vec<u32> {
        self.executions.lock().unwrap().values().copied().collect()
    }
}

/// The tool results that decode workers have received, by request id.
#[derive(Default)]
pub struct ToolResults {
    by_id: Mutex<HashMap<String, String>>,
    changed: Condvar,
}

impl ToolResults {
    /// Stores the result of a request's tool call, and wakes the stream that waits for it.
    pub fn put(&self, id: &str, result: String) {
        self.by_id.lock().unwrap().insert(id.to_owned(), result);
        self.changed.notify_all();
    }

    /// Waits for the result of a request's tool call, and removes it.
    pub fn take(&self, id: &str) -> String {
        let by_id = self.by_id.lock().unwrap();
        let mut by_id = self.changed.wait_while(by_id, |by_id| !by_id.contains_key(id)).unwrap();
        by_id.remove(id).unwrap()
    }

    /// Stores and acknowledges the tool result in a message. Returns whether the message had one.
    pub fn accept(&self, message: &Message, conn: &mut PeerConnection) -> bool {
        let Some(id) = tool_result_id(message) else { return false };
        self.put(id, message.text());
        conn.respond("204 No Content", "", "");
        true
    }
}

/// The request id in the path of a message that posts a tool result; `None` for other messages.
pub fn tool_result_id(message: &Message) -> Option<&str> {
    message.start_line.split(' ').nth(1)?.strip_prefix("/internal/tool-results/")
}

/// Starts a decode worker that calls a tool after the first event of its stream, and streams the tool's
/// result as the last delta.
pub fn tool_calling_worker(call: &'static str) -> Peer {
    let results = ToolResults::default();
    Peer::start(move |message, conn| {
        if results.accept(message, conn) {
            return true;
        }
        if message.start_line.starts_with("POST") {
            conn.begin_stream();
            conn.send_delta("before ");
            conn.send_event(call);
            let result = results.take(message.header("x-request-id").unwrap());
            conn.send_delta(&result.replace('"', "'"));
            conn.end_stream();
        } else {
            conn.respond("204 No Content", "", "");
        }
        true
    })
}

/// Starts a router with these workers and this tool server. `limits` is appended to the `tools` table of the
/// configuration.
pub fn start_router(
    prefill_worker: SocketAddr,
    decode_workers: &[SocketAddr],
    tool_server: SocketAddr,
    limits: &str,
) -> RouterProcess {
    let tools = format!("---[tools]\ndial = \"{tool_server}\"\n{limits}\n");
    RouterProcess::start(&operator_file(&[prefill_worker], decode_workers, &tools))
}

/// Returns a JSON-RPC completion request with this name. `extra` is appended to its parameters.
pub fn completion_request(name: &str, extra: &str) -> String {
    let params = format!(r#"{{"request":"{name}","deadline_ms":8000,"messages":[]{extra}}}"#);
    format!(r#"{{"jsonrpc":"2.0","id":1,"method":"send","params":{params}}}"#)
}
