//! Watching discovery where the order of events matters: the test plays the agent, one step at a time.

use llm_router::interface::{Settings, UpdateKind, WorkerId};
use llm_router::net::discovery::{Backoff, Connector, Directory, DiscoveryStream, EndpointWatcher};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

/// The driver has to be notified of a change this long after discovery had it and could be reached.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const OLD_AGENT: &str = "127.0.0.1:1";
const NEW_AGENT: &str = "127.0.0.1:2";
const POLL_REQUEST_LINE: &str = "GET /v1/servers HTTP/1.1";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn endpoint(worker: &str, status: &str) -> String {
    format!(r#"{{"host":"{worker}","dial":"127.0.0.1:9","class":"answer","health":"{status}"}}"#)
}

fn complete_list(sequence: u64, endpoints: &[String]) -> String {
    format!(r#"{{"seq":{sequence},"whole":true,"hosts":[{}]}}"#, endpoints.join(","))
}

fn change(sequence: u64, endpoints: &[String]) -> String {
    format!(r#"{{"seq":{sequence},"whole":false,"hosts":[{}]}}"#, endpoints.join(","))
}

/// One connection to an agent, at the agent's end.
struct Call {
    agent: SocketAddr,
    stream: DuplexStream,
}

impl Call {
    /// Reads the request and returns its first line.
    async fn request_line(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.unwrap());
        }
        String::from_utf8(head).unwrap().lines().next().unwrap().to_owned()
    }

    async fn respond(&mut self, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    async fn begin_watch(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.stream.write_all(head).await;
    }

    /// Writes a part of a line.
    async fn write_chunk(&mut self, text: &str) {
        let _ = self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await;
    }

    async fn write_line(&mut self, text: &str) {
        self.write_chunk(&format!("{text}\n")).await;
    }
}

/// A running watcher with everything around it.
struct Fixture {
    calls: mpsc::UnboundedReceiver<Call>,
    driver_inputs: mpsc::UnboundedReceiver<DriverInput>,
    directory: Rc<Directory>,
    poll_requested: Rc<Notify>,
    address: watch::Sender<Option<SocketAddr>>,
    /// Whether connections are established; without it they stay pending.
    connects: Rc<Cell<bool>>,
}

impl Fixture {
    fn start() -> Fixture {
        let (driver, driver_inputs) = DriverHandle::channel(Clock::start());
        let (call_sender, calls) = mpsc::unbounded_channel();
        let (directory, poll_requested) = (Rc::<Directory>::default(), Rc::<Notify>::default());
        let connects = Rc::new(Cell::new(true));
        let watcher = EndpointWatcher {
            directory: directory.clone(),
            driver,
            close_idle_connections: Box::new(|_| {}),
            poll_requested: poll_requested.clone(),
            connector: in_memory_connector(call_sender, connects.clone()),
            backoff: Backoff::new(&Settings { replica_count: 3, ..Settings::default() }, 1),
            counters: Rc::default(),
        };
        let (address, address_receiver) = watch::channel(Some(address(OLD_AGENT)));
        tokio::task::spawn_local(watcher.run(address_receiver));
        Fixture { calls, driver_inputs, directory, poll_requested, address, connects }
    }

    async fn call(&mut self) -> Call {
        timeout(UPDATE_DEADLINE, self.calls.recv()).await.expect("no call in time").unwrap()
    }

    /// A watch on which this complete list was sent and received.
    async fn watch_with(&mut self, list: &str) -> Call {
        let mut call = self.call().await;
        assert!(call.request_line().await.contains("watch=1"));
        call.begin_watch().await;
        call.write_line(list).await;
        self.update().await;
        call
    }

    /// The next update that the driver is notified of: its kind and workers.
    async fn update(&mut self) -> (UpdateKind, Vec<String>) {
        let update = async {
            loop {
                if let Some(DriverInput::EndpointsUpdated { kind, endpoints }) =
                    self.driver_inputs.recv().await
                    && kind != UpdateKind::Unavailable
                {
                    let workers = endpoints.iter().map(|e| format!("{} {:?}", e.worker.0, e.status));
                    return (kind, workers.collect());
                }
            }
        };
        timeout(UPDATE_DEADLINE, update).await.expect("no update in time")
    }

    /// Waits until the driver is notified that the list may be stale.
    async fn unavailable(&mut self) {
        while !matches!(
            self.driver_inputs.recv().await,
            Some(DriverInput::EndpointsUpdated { kind: UpdateKind::Unavailable, .. })
        ) {}
    }

    fn is_ready(&self, worker: &str) -> bool {
        self.directory.is_ready(&WorkerId(worker.into()))
    }

    fn switch_to_new_agent(&self) {
        self.address.send(Some(address(NEW_AGENT))).unwrap();
    }
}

/// Hands the agent's end of each connection to the test.
fn in_memory_connector(calls: mpsc::UnboundedSender<Call>, connects: Rc<Cell<bool>>) -> Connector {
    Rc::new(move |agent| {
        let (calls, connects) = (calls.clone(), connects.clone());
        Box::pin(async move {
            if !connects.get() {
                std::future::pending::<()>().await;
            }
            let (client_end, stream) = tokio::io::duplex(64 * 1024);
            let _ = calls.send(Call { agent, stream });
            Ok(Box::new(client_end) as Box<dyn DiscoveryStream>)
        })
    })
}

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a list that undoes changes: one polled beside the watch may be older than what the watch has sent.
#[tokio::test(start_paused = true)]
async fn outdated_list_of_the_same_agent_is_ignored() {
    run_local(async {
        let mut fixture = Fixture::start();
        let all = [endpoint("a", "ready"), endpoint("b", "ready")];
        let mut watch = fixture.watch_with(&complete_list(5, &all)).await;
        fixture.poll_requested.notify_one();
        let mut poll = fixture.call().await;
        assert_eq!(poll.request_line().await, POLL_REQUEST_LINE);
        // The response is under way when the watch reports the drain.
        watch.write_line(&change(7, &[endpoint("a", "draining")])).await;
        fixture.update().await;
        poll.respond(&complete_list(6, &all)).await;
        watch.write_line(&change(6, &[endpoint("a", "ready")])).await;
        watch.write_line(&change(8, &[endpoint("c", "ready")])).await;
        assert_eq!(fixture.update().await, (UpdateKind::Delta, vec!["c Ready".into()]));
        assert!(!fixture.is_ready("a") && fixture.is_ready("b") && fixture.is_ready("c"));
    })
    .await;
}

/// A change between a polled list and the watch after it is requested by the list's sequence number.
#[tokio::test(start_paused = true)]
async fn change_between_poll_and_watch_is_not_missed() {
    run_local(async {
        let mut fixture = Fixture::start();
        fixture.watch_with(&complete_list(5, &[endpoint("a", "ready")])).await;
        fixture.switch_to_new_agent();
        let mut poll = fixture.call().await;
        assert_eq!((poll.agent, poll.request_line().await), (address(NEW_AGENT), POLL_REQUEST_LINE.into()));
        poll.respond(&complete_list(3, &[endpoint("a", "ready")])).await;
        let mut watch = fixture.call().await;
        assert!(watch.request_line().await.contains("after=3 "));
        watch.begin_watch().await;
        watch.write_line(&change(4, &[endpoint("a", "draining")])).await;
        fixture.update().await;
        fixture.update().await;
        assert!(!fixture.is_ready("a"));
    })
    .await;
}

/// Guards against a list that empties the fleet: an agent that has just started may know no workers yet.
#[tokio::test(start_paused = true)]
async fn empty_complete_list_withdraws_no_worker() {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.watch_with(&complete_list(5, &[endpoint("a", "ready")])).await;
        watch.write_line(&complete_list(6, &[])).await;
        watch.write_line(&change(7, &[endpoint("b", "ready")])).await;
        assert_eq!(fixture.update().await, (UpdateKind::Delta, vec!["b Ready".into()]));
        assert!(fixture.is_ready("a") && fixture.is_ready("b"));
    })
    .await;
}

/// Guards against a change lost in a message that never ends, while the empty lines that show life go on.
#[rstest]
#[tokio::test(start_paused = true)]
async fn truncated_change_is_requested_again_in_time(#[values(2, 3, 30)] parts: usize) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.watch_with(&complete_list(5, &[endpoint("a", "ready")])).await;
        let text = change(6, &[endpoint("a", "draining")]);
        watch.write_chunk(&text[..text.len() / parts]).await;
        let heartbeats = async {
            loop {
                sleep(Duration::from_secs(1)).await;
                watch.write_line("").await;
            }
        };
        let next_watch = async {
            let mut watch = fixture.call().await;
            assert!(watch.request_line().await.contains("after=5 "));
            watch.begin_watch().await;
            watch.write_line(&text).await;
            fixture.update().await
        };
        let update = async {
            tokio::select! { update = next_watch => update, () = heartbeats => unreachable!() }
        };
        assert_eq!(timeout(UPDATE_DEADLINE, update).await.unwrap().1, ["a Draining"]);
    })
    .await;
}

/// A message in many chunks is complete at its last byte, and chunks that each end within a message do not end the watch.
#[tokio::test(start_paused = true)]
async fn split_messages_do_not_end_the_watch() {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.watch_with(&complete_list(5, &[endpoint("a", "ready")])).await;
        let mut rest = String::new();
        for sequence in 6..20 {
            let text = change(sequence, &[endpoint(&format!("b-{sequence}"), "ready")]);
            let (first_half, second_half) = text.split_at(text.len() / 2);
            watch.write_chunk(&format!("{rest}{first_half}")).await;
            rest = format!("{second_half}\n");
            sleep(Duration::from_secs(1)).await;
        }
        for sequence in 6..19 {
            assert_eq!(fixture.update().await.1, [format!("b-{sequence} Ready")]);
        }
        assert!(fixture.calls.try_recv().is_err());
    })
    .await;
}

/// What the watcher does when the address of discovery changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum During {
    Connect,
    Call,
    Watch,
    Backoff,
}

/// Guards against a new agent that waits for what is under way with the old one, and against the old agent's responses
/// after the change.
#[rstest]
#[tokio::test(start_paused = true)]
async fn new_agent_is_called_at_once(
    #[values(During::Connect, During::Call, During::Watch, During::Backoff)] during: During,
) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut old_call = None;
        match during {
            During::Connect => fixture.connects.set(false),
            During::Call => {
                let mut call = fixture.call().await;
                call.request_line().await;
                old_call = Some(call);
            }
            During::Watch => {
                old_call = Some(fixture.watch_with(&complete_list(5, &[endpoint("a", "ready")])).await);
            }
            During::Backoff => {
                // Closed without a response: the watcher backs off before it calls again.
                drop(fixture.call().await);
                fixture.unavailable().await;
            }
        }
        tokio::task::yield_now().await;
        fixture.connects.set(true);
        fixture.switch_to_new_agent();
        if let Some(old_call) = &mut old_call {
            old_call.begin_watch().await;
            old_call.write_line(&complete_list(9, &[endpoint("old", "ready")])).await;
        }
        let mut poll = timeout(Duration::from_millis(50), fixture.call()).await.expect("not at once");
        assert_eq!((poll.agent, poll.request_line().await), (address(NEW_AGENT), POLL_REQUEST_LINE.into()));
        poll.respond(&complete_list(2, &[endpoint("new", "ready")])).await;
        assert_eq!(fixture.update().await, (UpdateKind::Snapshot, vec!["new Ready".into()]));
        assert!(fixture.is_ready("new") && !fixture.is_ready("old") && !fixture.is_ready("a"));
    })
    .await;
}

/// Guards against requests to workers that the old agent reported as draining or gone, because the new agent has not
/// heard of it yet.
#[rstest]
#[case::draining("draining")]
#[case::gone("gone")]
#[tokio::test(start_paused = true)]
async fn outdated_list_of_a_new_agent_restores_no_worker(#[case] status: &str) {
    run_local(async {
        let mut fixture = Fixture::start();
        let all = [endpoint("a", "ready"), endpoint("b", "ready")];
        let mut watch = fixture.watch_with(&complete_list(5, &all)).await;
        watch.write_line(&change(6, &[endpoint("a", status)])).await;
        fixture.update().await;
        fixture.switch_to_new_agent();
        let mut poll = fixture.call().await;
        poll.request_line().await;
        poll.respond(&complete_list(4, &all)).await;
        assert_eq!(
            fixture.update().await,
            (UpdateKind::Snapshot, vec!["a Draining".into(), "b Ready".into()])
        );
        assert!(!fixture.is_ready("a") && fixture.is_ready("b"));
        // What the new agent reports of the worker from then on counts.
        let mut watch = fixture.call().await;
        watch.request_line().await;
        watch.begin_watch().await;
        watch.write_line(&change(5, &[endpoint("a", "ready")])).await;
        fixture.update().await;
        assert!(fixture.is_ready("a"));
    })
    .await;
}
