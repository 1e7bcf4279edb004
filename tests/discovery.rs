//! Tests of the discovery watch with a paused clock and in-memory streams: the driver is notified of each
//! change within the deadline, regardless of failures.

mod support;

use llm_router::interface::Settings;
use llm_router::net::discovery::{
    Backoff, Connector, Directory, DiscoveryStream, EndpointListMessage, EndpointUpdate,
};
use llm_router::runtime::DriverInput;
use rstest::rstest;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use support::watcher::{RunningWatcher, UPDATE_DEADLINE};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Maximum time between two lines of the agent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The change that each agent of these tests reports.
const CHANGE: &str = "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"answer-9\",\"dial\":\"127.0.0.1:1\",\
                      \"class\":\"answer\",\"health\":\"ready\"}]}";
/// The change without an address, indented over several lines.
const INDENTED_CHANGE: &str = "{\n  \"seq\": 2,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \
                               \"host\": \"answer-9\",\n      \"class\": \"answer\",\n      \
                               \"health\": \"ready\"\n    }\n  ]\n}\n";

/// Reaction of an agent to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reaction {
    RefuseConnection,
    NoResponse,
    RespondWith503,
    /// Respond after a delay.
    RespondAfter(Duration),
}

const RESPOND_IMMEDIATELY: Reaction = Reaction::RespondAfter(Duration::ZERO);

/// An in-memory discovery agent. Its durations are relative to its start.
struct Agent {
    started_at: Instant,
    /// Returns the reaction to a call that starts at the given time.
    reaction: Box<dyn Fn(Duration) -> Reaction>,
    /// Time from which the agent has the change.
    change_at: Duration,
    /// Time from which watches opened earlier receive no more data.
    silent_at: Option<Duration>,
    /// The chunks that the change is written in.
    chunks: Vec<String>,
}

impl Agent {
    fn new(change_at: Duration, reaction: impl Fn(Duration) -> Reaction + 'static) -> Agent {
        Agent {
            started_at: Instant::now(),
            reaction: Box::new(reaction),
            change_at,
            silent_at: None,
            chunks: vec![format!("{CHANGE}\n")],
        }
    }

    fn connector(self: Rc<Self>) -> Connector {
        Rc::new(move |_| {
            let agent = self.clone();
            Box::pin(async move {
                let reaction = (agent.reaction)(agent.started_at.elapsed());
                if reaction == Reaction::RefuseConnection {
                    return Err(io::Error::from(io::ErrorKind::ConnectionRefused));
                }
                let (client_end, agent_end) = tokio::io::duplex(64 * 1024);
                tokio::task::spawn_local(async move {
                    let _ = agent.serve(agent_end, reaction).await;
                });
                Ok(Box::new(client_end) as Box<dyn DiscoveryStream>)
            })
        })
    }

    async fn serve(&self, mut stream: DuplexStream, reaction: Reaction) -> io::Result<()> {
        let opened_at = self.started_at.elapsed();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await?);
        }
        match reaction {
            Reaction::RefuseConnection | Reaction::NoResponse => std::future::pending().await,
            Reaction::RespondWith503 => {
                return stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
            }
            Reaction::RespondAfter(delay) => sleep(delay).await,
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        self.serve_watch(stream, opened_at).await
    }

    async fn serve_watch(&self, mut stream: DuplexStream, opened_at: Duration) -> io::Result<()> {
        let mut change_sent = false;
        loop {
            if self.silent_at.is_some_and(|at| opened_at < at && self.started_at.elapsed() >= at) {
                return std::future::pending().await;
            }
            let change_due = !change_sent && self.started_at.elapsed() >= self.change_at;
            let chunks = if change_due { self.chunks.clone() } else { vec!["\n".to_owned()] };
            change_sent |= change_due;
            for chunk in chunks {
                stream.write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes()).await?;
                sleep(Duration::from_millis(1)).await;
            }
            let heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
            let change_instant = self.started_at + self.change_at;
            let change_is_next = !change_sent && change_instant > Instant::now();
            sleep_until(if change_is_next { heartbeat_at.min(change_instant) } else { heartbeat_at }).await;
        }
    }
}

/// A watcher of one agent.
struct AgentWatcher(RunningWatcher);

impl AgentWatcher {
    fn spawn(agent: &Rc<Agent>, settings: &Settings, seed: u64) -> AgentWatcher {
        AgentWatcher(RunningWatcher::spawn(agent.clone().connector(), Backoff::new(settings, seed)))
    }

    /// Waits until the driver is notified of the change.
    async fn wait_for_change(&mut self) {
        let has_change = |input: &DriverInput| match input {
            DriverInput::EndpointsUpdated { endpoints, .. } => {
                endpoints.iter().any(|endpoint| *endpoint.worker.0 == *"answer-9")
            }
            _ => false,
        };
        while !has_change(&self.0.driver_inputs.recv().await.expect("the watcher ended")) {}
    }
}

fn settings(watch_required: bool) -> Settings {
    Settings { watch_required, replica_count: 300, ..Settings::default() }
}

/// The time from the change at the agent to the notification of the driver.
async fn notification_delay(agent: Agent, watch_required: bool, seed: u64) -> Duration {
    let (change_at, agent) = (agent.started_at + agent.change_at, Rc::new(agent));
    let notified = async {
        let mut watcher = AgentWatcher::spawn(&agent, &settings(watch_required), seed);
        timeout(Duration::from_secs(600), watcher.wait_for_change())
            .await
            .expect("the driver was never notified");
        Instant::now().saturating_duration_since(change_at)
    };
    tokio::task::LocalSet::new().run_until(notified).await
}

/// Guards against a dead watch that is detected too late to deliver the change that it missed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn change_missed_by_a_dead_watch_arrives_in_time(#[values(false, true)] watch_required: bool) {
    for seed in 0..20 {
        let silent_at = Duration::from_millis(7_000 + 97 * seed);
        let agent = Agent { silent_at: Some(silent_at), ..Agent::new(silent_at, |_| RESPOND_IMMEDIATELY) };
        let delay = notification_delay(agent, watch_required, seed).await;
        assert!(delay <= UPDATE_DEADLINE, "{delay:?}, seed {seed}");
    }
}

/// Guards against backoff that exceeds the deadline of an update, and against a call that hangs during an
/// outage.
#[rstest]
#[tokio::test(start_paused = true)]
async fn change_during_an_outage_arrives_in_time(
    #[values(Reaction::RefuseConnection, Reaction::NoResponse, Reaction::RespondWith503)] outage: Reaction,
    #[values(false, true)] watch_required: bool,
    #[values(3, 8, 45)] seconds: u64,
) {
    for seed in 0..10 {
        let outage_end = Duration::from_millis(seconds * 1_000 + 131 * seed);
        let reaction = move |at| if at < outage_end { outage } else { RESPOND_IMMEDIATELY };
        let delay = notification_delay(Agent::new(outage_end, reaction), watch_required, seed).await;
        assert!(delay <= UPDATE_DEADLINE, "{delay:?}, seed {seed}");
    }
}

/// Guards against a backoff delay when an unresponsive agent recovers: the router is considered notified as
/// soon as the agent has a change, and has 250 ms to stop sending requests to draining workers.
#[tokio::test(start_paused = true)]
async fn change_at_the_recovery_of_an_agent_arrives_immediately() {
    let (silent_at, recovery_at) = (Duration::from_secs(2), Duration::from_secs(8));
    for seed in 0..100 {
        // Pending calls are answered when the agent recovers.
        let reaction = move |at: Duration| match at < silent_at {
            true => RESPOND_IMMEDIATELY,
            false => Reaction::RespondAfter(recovery_at.saturating_sub(at)),
        };
        let agent = Agent { silent_at: Some(silent_at), ..Agent::new(recovery_at, reaction) };
        let delay = notification_delay(agent, false, seed).await;
        assert!(delay <= Duration::from_millis(250), "{delay:?}, seed {seed}");
    }
}

/// Guards against calls that time out while they are queued at a shared discovery service.
#[tokio::test(start_paused = true)]
async fn queued_call_does_not_time_out() {
    let time_in_queue = Duration::from_secs(2);
    let agent = Agent::new(Duration::ZERO, move |_| Reaction::RespondAfter(time_in_queue));
    assert!(notification_delay(agent, true, 1).await <= UPDATE_DEADLINE);
}

/// Guards against a change that is lost because of its formatting or chunking.
#[rstest]
#[case::over_several_lines(&[INDENTED_CHANGE])]
#[case::byte_by_byte(&[])]
#[case::after_a_malformed_line(&["what\n", CHANGE])]
#[tokio::test(start_paused = true)]
async fn change_is_parsed_in_any_formatting_and_chunking(#[case] chunks: &[&str]) {
    let single_bytes = || CHANGE.chars().map(String::from).collect();
    let chunks = if chunks.is_empty() {
        single_bytes()
    } else {
        chunks.iter().map(|chunk| (*chunk).to_owned()).collect()
    };
    let agent = Agent { chunks, ..Agent::new(Duration::from_secs(1), |_| RESPOND_IMMEDIATELY) };
    assert!(notification_delay(agent, false, 1).await <= Duration::from_secs(1));
}

/// Guards against routers that overload a shared discovery service with simultaneous retries of failed calls.
#[test]
fn routers_that_fail_together_spread_their_retries() {
    let settings = |watch_required| Settings { replica_count: 100, watch_required, ..Settings::default() };
    let [answered, call_timed_out, watch_idle] = [0, 2_250, 3_000].map(Duration::from_millis);
    let upper_bounds = [
        (0, answered, 3.75),
        (1, answered, 3.75),
        (40, answered, 3.75),
        (1, watch_idle, 0.75),
        (2, call_timed_out, 1.5),
    ];
    for (failures, silent_for, upper_bound) in upper_bounds {
        let mut histogram = [0; 10];
        for router in 0..100 {
            let backoff = Backoff::new(&settings(true), router);
            let delay = backoff.delay(failures, silent_for).as_secs_f64();
            histogram[(delay / upper_bound * 10.0) as usize] += 1;
        }
        let is_spread = histogram.iter().all(|calls| (2..=20).contains(calls));
        assert!(is_spread, "after {failures} failures: {histogram:?}");
    }
    // The agent on the same machine serves one router only, so it is called again soon.
    let retries_soon =
        |router| Backoff::new(&settings(false), router).delay(40, answered) < Duration::from_secs(1);
    assert!((0..100).all(retries_soon));
}

/// Guards against a directory that grows with each machine that is replaced under a new id.
#[test]
fn gone_workers_are_removed() {
    let directory = Directory::default();
    let update = |complete: bool, worker: String, status: &str| {
        let text = format!(
            "{{\"seq\":1,\"whole\":{complete},\"hosts\":[{{\"host\":\"{worker}\",\
             \"dial\":\"127.0.0.1:1\",\"health\":\"{status}\"}}]}}"
        );
        EndpointUpdate::from(serde_json::from_str::<EndpointListMessage>(&text).unwrap())
    };
    for i in 0..10 {
        directory.apply(&update(i % 2 == 0, format!("h{i}"), "ready"));
        let gone = directory.apply(&update(false, format!("h{i}"), "gone"));
        assert_eq!(gone.iter().map(|worker| worker.0.to_string()).collect::<Vec<_>>(), [format!("h{i}")]);
        assert!(!directory.is_ready(&gone[0]) && directory.address(&gone[0]).is_none());
    }
    assert!(directory.running_workers(usize::MAX).is_empty());
}
