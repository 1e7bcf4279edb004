//! The replay of tool calls: a call runs at most once, however often its answer breaks and is resumed.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use support::tool_server::{TOOL_CALL, ToolResults, ToolServer, completion, start_router, tool_result_id};
use support::*;

/// Where a decode worker dies in the course of a tool call.
#[derive(Clone, Copy, PartialEq)]
enum KillPoint {
    CallHalfWritten,
    CallWritten,
    ToolRunning,
    /// As before, and the tool does not finish before the call is repeated.
    ToolBlocked,
    ResultReceived,
    ResultTaken,
}

const KILL_POINTS: [KillPoint; 6] = [
    KillPoint::CallHalfWritten,
    KillPoint::CallWritten,
    KillPoint::ToolRunning,
    KillPoint::ToolBlocked,
    KillPoint::ResultReceived,
    KillPoint::ResultTaken,
];

/// What the test, the decode workers and the tool share.
struct KillScript {
    /// Where the next worker dies; it lives without one.
    kill_point: Mutex<Option<KillPoint>>,
    kills: AtomicU32,
    results: ToolResults,
    tool_started: (Mutex<mpsc::Sender<()>>, Mutex<mpsc::Receiver<()>>),
    tool_is_blocked: Mutex<bool>,
    tool_unblocked: Condvar,
}

impl KillScript {
    fn new() -> Arc<KillScript> {
        let (started, starts) = mpsc::channel();
        Arc::new(KillScript {
            kill_point: Mutex::new(None),
            kills: AtomicU32::new(0),
            results: ToolResults::default(),
            tool_started: (Mutex::new(started), Mutex::new(starts)),
            tool_is_blocked: Mutex::new(false),
            tool_unblocked: Condvar::new(),
        })
    }

    /// Sets where the next worker dies.
    fn arm(&self, point: KillPoint) {
        while self.tool_started.1.lock().unwrap().try_recv().is_ok() {}
        *self.tool_is_blocked.lock().unwrap() = point == KillPoint::ToolBlocked;
        *self.kill_point.lock().unwrap() = Some(point);
    }

    /// Counts a death and lets the later workers live; the connection is to be closed.
    fn die(&self, kill_point: &mut Option<KillPoint>) -> bool {
        self.kills.fetch_add(1, Ordering::SeqCst);
        *kill_point = None;
        false
    }

    /// The tool: it reports its start and runs for as long as it is blocked.
    fn run_tool(&self) -> String {
        self.tool_started.0.lock().unwrap().send(()).unwrap();
        let is_blocked = self.tool_is_blocked.lock().unwrap();
        drop(self.tool_unblocked.wait_while(is_blocked, |is_blocked| *is_blocked));
        r#""result":"annex""#.into()
    }

    /// The script of a decode worker.
    fn serve(&self, message: &Message, conn: &mut Conn) -> bool {
        if let Some(id) = tool_result_id(message) {
            return self.receive_result(id, message, conn);
        }
        if message.line.starts_with("POST") {
            return self.stream_answer(message, conn);
        }
        conn.answer("204 No Content", "", "");
        true
    }

    fn receive_result(&self, id: &str, message: &Message, conn: &mut Conn) -> bool {
        self.results.put(id, message.text());
        // Counted before the router can learn of it: a resume that comes at once must not die at the same point.
        let mut kill_point = self.kill_point.lock().unwrap();
        if *kill_point == Some(KillPoint::ResultReceived) {
            return self.die(&mut kill_point);
        }
        conn.answer("204 No Content", "", "");
        true
    }

    fn stream_answer(&self, message: &Message, conn: &mut Conn) -> bool {
        let kill_point = *self.kill_point.lock().unwrap();
        let die = || self.die(&mut self.kill_point.lock().unwrap());
        conn.begin_stream();
        if !message.text().contains("resume") {
            conn.delta("before ");
        }
        if kill_point == Some(KillPoint::CallHalfWritten) {
            conn.chunk(&format!("data: {}", &TOOL_CALL[..40]));
            return die();
        }
        conn.event(TOOL_CALL);
        match kill_point {
            Some(KillPoint::CallWritten) => return die(),
            Some(KillPoint::ToolRunning | KillPoint::ToolBlocked) => {
                self.tool_started.1.lock().unwrap().recv().unwrap();
                return die();
            }
            _ => {}
        }
        *self.tool_is_blocked.lock().unwrap() = false;
        self.tool_unblocked.notify_all();
        let result = self.results.take(message.header("x-request-id").unwrap());
        match kill_point {
            // The connection on which the result came has died already, and was counted.
            Some(KillPoint::ResultReceived) => return false,
            Some(KillPoint::ResultTaken) => return die(),
            _ => {}
        }
        assert!(result.contains(r#""result":"annex""#), "{result}");
        conn.delta("after");
        conn.end_stream();
        true
    }
}

/// Decode workers are killed in the middle of a tool call 1,000 times, at varied points, and every execution of the tool
/// is counted. Guards against a second execution after a resume: without the replay buffer the tool runs twice wherever
/// the worker died after its call had been sent.
#[test]
fn no_tool_runs_twice_though_workers_die_a_thousand_times_mid_call() {
    const KILLS: u32 = 1000;
    let script = KillScript::new();
    let tool_script = script.clone();
    let tools = ToolServer::start(move || tool_script.run_tool());
    let start_worker = || {
        let script = script.clone();
        Peer::start(move |message, conn| script.serve(message, conn))
    };
    let (workers, prefill) = ([start_worker(), start_worker(), start_worker()], Peer::prefill_worker());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = start_router(prefill.address, &addresses, tools.address(), "");
    for i in 0..KILLS {
        let name = format!("kill-{i}");
        script.arm(KILL_POINTS[i as usize % KILL_POINTS.len()]);
        let first = router.rpc(&completion(&name, ""));
        assert!(!first.whole && first.text().contains("before "), "{i}: {}", first.text());
        let mut rest = Message::default();
        // The workers that died are ejected for a while; the client retries until it is served.
        while rest.status() != 200 {
            rest = router.rpc(&completion(&name, r#","resume":{"calls":0,"text":"before "}"#));
        }
        assert!(rest.whole && rest.text().contains(r#""text":"after""#), "{i}: {}", rest.text());
    }
    assert_eq!(script.kills.load(Ordering::SeqCst), KILLS);
    let executions = tools.executions();
    let executed_twice = executions.iter().filter(|count| **count > 1).count();
    let expected = (KILLS as usize, 0);
    assert_eq!(
        (executions.len(), executed_twice),
        expected,
        "keys, and keys that were executed more than once"
    );
}

#[test]
fn a_key_used_again_with_other_arguments_is_an_error_and_runs_nothing() {
    let tools = ToolServer::start(|| r#""result":"annex""#.into());
    let (streams, results) = (AtomicU32::new(0), ToolResults::default());
    let decode = Peer::start(move |message, conn| {
        if results.accept(message, conn) {
            return true;
        }
        let is_first = streams.fetch_add(1, Ordering::SeqCst) == 0;
        conn.begin_stream();
        conn.event(if is_first {
            TOOL_CALL
        } else {
            r#"{"jsonrpc":"2.0","id":2,"method":"annex.fetch","params":{"page":2}}"#
        });
        let result = results.take(message.header("x-request-id").unwrap());
        if !is_first {
            conn.delta(&result.replace('"', "'"));
            conn.end_stream();
        }
        !is_first
    });
    let prefill = Peer::prefill_worker();
    let router = start_router(prefill.address, &[decode.address], tools.address(), "");
    assert!(!router.rpc(&completion("k1", "")).whole);
    let rest = router.rpc(&completion("k1", r#","resume":{"calls":0,"text":""}"#)).text();
    assert!(rest.contains("'code':-32012"), "{rest}");
    assert_eq!(tools.executions().iter().sum::<u32>(), 1);
}
