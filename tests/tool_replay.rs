//! Tests of the replay buffer: a tool call is executed at most once, however often its stream breaks and is
//! resumed.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use support::tool_server::{
    TOOL_CALL, ToolResults, ToolServer, completion_request, start_router, tool_result_id,
};
use support::*;

/// The point of a tool call at which a decode worker crashes.
#[derive(Clone, Copy, PartialEq)]
enum CrashPoint {
    CallHalfWritten,
    CallWritten,
    ToolRunning,
    /// As `ToolRunning`, but the tool blocks until the call is repeated.
    ToolBlocked,
    ResultReceived,
    ResultConsumed,
}

const CRASH_POINTS: [CrashPoint; 6] = [
    CrashPoint::CallHalfWritten,
    CrashPoint::CallWritten,
    CrashPoint::ToolRunning,
    CrashPoint::ToolBlocked,
    CrashPoint::ResultReceived,
    CrashPoint::ResultConsumed,
];

/// The state shared by the test, the decode workers and the tool.
struct CrashScript {
    /// The point at which the next worker crashes, if any.
    crash_point: Mutex<Option<CrashPoint>>,
    crashes: AtomicU32,
    results: ToolResults,
    tool_start_sender: Mutex<mpsc::Sender<()>>,
    tool_starts: Mutex<mpsc::Receiver<()>>,
    tool_is_blocked: Mutex<bool>,
    tool_unblocked: Condvar,
}

impl CrashScript {
    fn new() -> Arc<CrashScript> {
        let (tool_start_sender, tool_starts) = mpsc::channel();
        Arc::new(CrashScript {
            crash_point: Mutex::new(None),
            crashes: AtomicU32::new(0),
            results: ToolResults::default(),
            tool_start_sender: Mutex::new(tool_start_sender),
            tool_starts: Mutex::new(tool_starts),
            tool_is_blocked: Mutex::new(false),
            tool_unblocked: Condvar::new(),
        })
    }

    /// Sets the point at which the next worker crashes.
    fn arm(&self, point: CrashPoint) {
        while self.tool_starts.lock().unwrap().try_recv().is_ok() {}
        *self.tool_is_blocked.lock().unwrap() = point == CrashPoint::ToolBlocked;
        *self.crash_point.lock().unwrap() = Some(point);
    }

    /// Counts a crash and disarms the script. Returns `false`, which closes the connection.
    fn crash(&self, crash_point: &mut Option<CrashPoint>) -> bool {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        *crash_point = None;
        false
    }

    /// Runs the tool: reports its start, and waits while it is blocked.
    fn run_tool(&self) -> String {
        self.tool_start_sender.lock().unwrap().send(()).unwrap();
        let is_blocked = self.tool_is_blocked.lock().unwrap();
        drop(self.tool_unblocked.wait_while(is_blocked, |is_blocked| *is_blocked));
        r#""result":"page text""#.into()
    }

    /// Serves one message as a decode worker.
    fn serve(&self, message: &Message, conn: &mut PeerConnection) -> bool {
        if let Some(id) = tool_result_id(message) {
            return self.receive_result(id, message, conn);
        }
        if message.start_line.starts_with("POST") {
            return self.stream_completion(message, conn);
        }
        conn.respond("204 No Content", "", "");
        true
    }

    fn receive_result(&self, id: &str, message: &Message, conn: &mut PeerConnection) -> bool {
        self.results.put(id, message.text());
        // The crash is recorded before the connection closes: a resume that follows at once must not crash
        // here too.
        let mut crash_point = self.crash_point.lock().unwrap();
        if *crash_point == Some(CrashPoint::ResultReceived) {
            return self.crash(&mut crash_point);
        }
        conn.respond("204 No Content", "", "");
        true
    }

    fn stream_completion(&self, message: &Message, conn: &mut PeerConnection) -> bool {
        let crash_point = *self.crash_point.lock().unwrap();
        let crash = || self.crash(&mut self.crash_point.lock().unwrap());
        conn.begin_stream();
        if !message.text().contains("resume") {
            conn.send_delta("before ");
        }
        if crash_point == Some(CrashPoint::CallHalfWritten) {
            conn.send_chunk(&format!("data: {}", &TOOL_CALL[..40]));
            return crash();
        }
        conn.send_event(TOOL_CALL);
        match crash_point {
            Some(CrashPoint::CallWritten) => return crash(),
            Some(CrashPoint::ToolRunning | CrashPoint::ToolBlocked) => {
                self.tool_starts.lock().unwrap().recv().unwrap();
                return crash();
            }
            _ => {}
        }
        *self.tool_is_blocked.lock().unwrap() = false;
        self.tool_unblocked.notify_all();
        let result = self.results.take(message.header("x-request-id").unwrap());
        match crash_point {
            // The crash was recorded when the result was received.
            Some(CrashPoint::ResultReceived) => return false,
            Some(CrashPoint::ResultConsumed) => return crash(),
            _ => {}
        }
        assert!(result.contains(r#""result":"page text""#), "{result}");
        conn.send_delta("after");
        conn.end_stream();
        true
    }
}

/// Guards against a second execution of a tool call after a resume: without the replay buffer the tool runs
/// twice whenever a worker crashes after it has sent the call. Decode workers crash 1,000 times, at varied
/// points of a tool call, and the tool counts its executions by key.
#[test]
fn no_tool_call_is_executed_twice_across_a_thousand_worker_crashes() {
    const CRASHES: u32 = 1000;
    let script = CrashScript::new();
    let tool_script = script.clone();
    let tools = ToolServer::start(move || tool_script.run_tool());
    let start_worker = || {
        let script = script.clone();
        Peer::start(move |message, conn| script.serve(message, conn))
    };
    let (workers, prefill) = ([start_worker(), start_worker(), start_worker()], Peer::prefill_worker());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = start_router(prefill.address, &addresses, tools.address(), "");
    for i in 0..CRASHES {
        let name = format!("crash-{i}");
        script.arm(CRASH_POINTS[i as usize % CRASH_POINTS.len()]);
        let first = router.rpc(&completion_request(&name, ""));
        assert!(!first.is_complete && first.text().contains("before "), "{i}: {}", first.text());
        let mut resumed = Message::default();
        // Crashed workers are ejected for a while, so the client retries until its request is served.
        while resumed.status() != 200 {
            resumed = router.rpc(&completion_request(&name, r#","resume":{"calls":0,"text":"before "}"#));
        }
        assert!(
            resumed.is_complete && resumed.text().contains(r#""text":"after""#),
            "{i}: {}",
            resumed.text()
        );
    }
    assert_eq!(script.crashes.load(Ordering::SeqCst), CRASHES);
    let executions = tools.executions();
    let executed_twice = executions.iter().filter(|count| **count > 1).count();
    let expected = (CRASHES as usize, 0);
    assert_eq!(
        (executions.len(), executed_twice),
        expected,
        "keys, and keys that were executed more than once"
    );
}

#[test]
fn a_key_reused_with_other_arguments_is_rejected_without_execution() {
    let tools = ToolServer::start(|| r#""result":"page text""#.into());
    let (streams, results) = (AtomicU32::new(0), ToolResults::default());
    let decode = Peer::start(move |message, conn| {
        if results.accept(message, conn) {
            return true;
        }
        let is_first = streams.fetch_add(1, Ordering::SeqCst) == 0;
        conn.begin_stream();
        conn.send_event(if is_first {
            TOOL_CALL
        } else {
            r#"{"jsonrpc":"2.0","id":2,"method":"page.fetch","params":{"page":2}}"#
        });
        let result = results.take(message.header("x-request-id").unwrap());
        if !is_first {
            conn.send_delta(&result.replace('"', "'"));
            conn.end_stream();
        }
        !is_first
    });
    let prefill = Peer::prefill_worker();
    let router = start_router(prefill.address, &[decode.address], tools.address(), "");
    assert!(!router.rpc(&completion_request("k1", "")).is_complete);
    let resumed = router.rpc(&completion_request("k1", r#","resume":{"calls":0,"text":""}"#)).text();
    assert!(resumed.contains("'code':-32012"), "{resumed}");
    assert_eq!(tools.executions().iter().sum::<u32>(), 1);
}
