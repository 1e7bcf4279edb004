//! Following discovery, on a paused clock and over pipes in memory: whatever fails, a change is known in time.

use llm_router::interface::Settings;
use llm_router::net::discovery::{Backoff, Dial, Directory, DiscoveryStream, EndpointWatcher};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use rstest::rstest;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
const CHANGE: &str = "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"answer-9\",\"dial\":\"127.0.0.1:1\",\
                      \"class\":\"answer\",\"health\":\"ready\"}]}";

/// How discovery meets a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meets {
    Refused,
    Unanswered,
    With503,
    /// Answered after so long.
    Answered(Duration),
}

/// A discovery in memory.
struct Agent {
    began: Instant,
    /// How it meets a call that begins so long after the start.
    meets: Box<dyn Fn(Duration) -> Meets>,
    /// From when on it has the change.
    has: Duration,
    /// The watches opened by then say nothing more from then on.
    silent: Option<Duration>,
    /// How the change is written.
    pieces: Vec<String>,
    calls: Cell<usize>,
}

impl Agent {
    fn new(has: Duration, meets: impl Fn(Duration) -> Meets + 'static) -> Agent {
        let pieces = vec![format!("{CHANGE}\n")];
        Agent {
            began: Instant::now(),
            meets: Box::new(meets),
            has,
            silent: None,
            pieces,
            calls: Cell::new(0),
        }
    }

    fn dial(self: Rc<Self>) -> Dial {
        Rc::new(move |_| {
            let agent = self.clone();
            agent.calls.set(agent.calls.get() + 1);
            Box::pin(async move {
                let meets = (agent.meets)(agent.began.elapsed());
                if meets == Meets::Refused {
                    return Err(io::Error::from(io::ErrorKind::ConnectionRefused));
                }
                let (ours, theirs) = tokio::io::duplex(64 * 1024);
                tokio::task::spawn_local(async move {
                    let _ = agent.serve(theirs, meets).await;
                });
                Ok(Box::new(ours) as Box<dyn DiscoveryStream>)
            })
        })
    }

    async fn serve(&self, mut stream: DuplexStream, meets: Meets) -> io::Result<()> {
        let opened = self.began.elapsed();
        let mut asked = Vec::new();
        while !asked.ends_with(b"\r\n\r\n") {
            asked.push(stream.read_u8().await?);
        }
        match meets {
            Meets::Refused | Meets::Unanswered => std::future::pending().await,
            Meets::With503 => {
                return stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
            }
            Meets::Answered(after) => sleep(after).await,
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        let mut told = false;
        loop {
            if self.silent.is_some_and(|at| opened < at && self.began.elapsed() >= at) {
                return std::future::pending().await;
            }
            let due = !told && self.began.elapsed() >= self.has;
            let lines = if due { self.pieces.clone() } else { vec!["\n".to_owned()] };
            told |= due;
            for piece in lines {
                stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).await?;
                sleep(Duration::from_millis(1)).await;
            }
            let next = Instant::now() + Duration::from_secs(2);
            let has = self.began + self.has;
            sleep_until(if told || has <= Instant::now() { next } else { next.min(has) }).await;
        }
    }
}

struct Told {
    driver: mpsc::UnboundedReceiver<DriverInput>,
}

impl Told {
    fn follow(agent: &Rc<Agent>, settings: &Settings, seed: u64) -> Told {
        let (driver, queue) = DriverHandle::channel(Clock::start());
        let follower = EndpointWatcher {
            directory: Rc::new(Directory::default()),
            driver,
            close_idle_connections: Box::new(|_| {}),
            poll_requested: Rc::default(),
            dial: agent.clone().dial(),
            backoff: Backoff::new(settings, seed),
            counters: Rc::default(),
        };
        let (at, address) = watch::channel("127.0.0.1:1".parse().ok());
        tokio::task::spawn_local(async move {
            let _at = at;
            follower.run(address).await;
        });
        Told { driver: queue }
    }

    /// Waits until the core has heard of the change.
    async fn change(&mut self) {
        let news = |input: &DriverInput| match input {
            DriverInput::EndpointsUpdated { endpoints: entries, .. } => {
                entries.iter().any(|e| *e.worker.0 == *"answer-9")
            }
            _ => false,
        };
        while !news(&self.driver.recv().await.expect("the follower ended")) {}
    }
}

fn settings(watch_required: bool) -> Settings {
    Settings { watch_required, replica_count: 300, ..Settings::default() }
}

async fn told_within(agent: Agent, watch_required: bool, seed: u64) -> Duration {
    let (has, agent) = (agent.began + agent.has, Rc::new(agent));
    let whole = async {
        let mut told = Told::follow(&agent, &settings(watch_required), seed);
        timeout(Duration::from_secs(600), told.change()).await.expect("never told");
        Instant::now().saturating_duration_since(has)
    };
    tokio::task::LocalSet::new().run_until(whole).await
}

const AT_ONCE: Meets = Meets::Answered(Duration::ZERO);

/// Guards against a watch that is waited for longer than what it misses may take.
#[rstest]
#[tokio::test(start_paused = true)]
async fn what_a_watch_fallen_silent_misses_is_known_in_time(#[values(false, true)] watch_required: bool) {
    for seed in 0..20 {
        let silent = Duration::from_millis(7_000 + 97 * seed);
        let agent = Agent { silent: Some(silent), ..Agent::new(silent, |_| AT_ONCE) };
        let after = told_within(agent, watch_required, seed).await;
        assert!(after <= TOLD_WITHIN, "{after:?}, seed {seed}");
    }
}

/// Guards against pauses that grow past what a change may take, and against a call left hanging in an outage.
#[rstest]
#[tokio::test(start_paused = true)]
async fn after_an_outage_a_change_is_known_in_time(
    #[values(Meets::Refused, Meets::Unanswered, Meets::With503)] meets: Meets,
    #[values(false, true)] watch_required: bool,
    #[values(3, 8, 45)] seconds: u64,
) {
    for seed in 0..10 {
        let back = Duration::from_millis(seconds * 1_000 + 131 * seed);
        let agent = Agent::new(back, move |at| if at < back { meets } else { AT_ONCE });
        let after = told_within(agent, watch_required, seed).await;
        assert!(after <= TOLD_WITHIN, "{after:?}, seed {seed}");
    }
}

/// Guards against a pause in the moment in which a silent agent speaks again: what it has then counts as told at once,
/// and drains are kept within a quarter of a second.
#[tokio::test(start_paused = true)]
async fn what_the_agent_learns_at_its_return_is_known_at_once() {
    let (silent, back) = (Duration::from_secs(2), Duration::from_secs(8));
    for seed in 0..100 {
        // Calls that wait are answered at its return.
        let meets = move |at: Duration| match at < silent {
            true => AT_ONCE,
            false => Meets::Answered(back.saturating_sub(at)),
        };
        let agent = Agent { silent: Some(silent), ..Agent::new(back, meets) };
        let after = told_within(agent, false, seed).await;
        assert!(after <= Duration::from_millis(250), "{after:?}, seed {seed}");
    }
}

/// Guards against a call given up before its turn at a discovery that is one service for all.
#[tokio::test(start_paused = true)]
async fn a_call_that_has_to_wait_its_turn_is_waited_for() {
    let waits = Duration::from_secs(2);
    let agent = Agent::new(Duration::ZERO, move |_| Meets::Answered(waits));
    assert!(told_within(agent, true, 1).await <= TOLD_WITHIN);
}

/// Guards against a list that is lost for how it is written.
#[rstest]
#[case::over_several_lines(&["{\n  \"seq\": 2,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"answer-9\",\n      \"class\": \"answer\",\n      \"health\": \"ready\"\n    }\n  ]\n}\n"])]
#[case::byte_by_byte(&[])]
#[case::behind_what_is_no_list(&["what\n", CHANGE])]
#[tokio::test(start_paused = true)]
async fn a_change_is_known_however_it_is_written(#[case] pieces: &[&str]) {
    let bytes = || CHANGE.chars().map(String::from).collect();
    let pieces = if pieces.is_empty() { bytes() } else { pieces.iter().map(|p| (*p).to_owned()).collect() };
    let agent = Agent { pieces, ..Agent::new(Duration::from_secs(1), |_| AT_ONCE) };
    assert!(told_within(agent, false, 1).await <= Duration::from_secs(1));
}

/// Guards against conductors that keep a shared discovery busy with the calls that it has just failed them.
#[test]
fn conductors_that_fail_together_spread_their_next_calls() {
    let settings = |watch_required| Settings { replica_count: 100, watch_required, ..Settings::default() };
    let [answered, given_up, silent] = [0, 2_250, 3_000].map(Duration::from_millis);
    let most = [
        (0, answered, 3.75),
        (1, answered, 3.75),
        (40, answered, 3.75),
        (1, silent, 0.75),
        (2, given_up, 1.5),
    ];
    for (failures, silent, longest) in most {
        let mut calls = [0; 10];
        for router in 0..100 {
            let pause = Backoff::new(&settings(true), router).delay(failures, silent).as_secs_f64();
            calls[(pause / longest * 10.0) as usize] += 1;
        }
        assert!(calls.iter().all(|n| (2..=20).contains(n)), "after {failures} failures: {calls:?}");
    }
    // An agent that is asked for nothing but its own list is asked again soon.
    let soon = |router| Backoff::new(&settings(false), router).delay(40, answered) < Duration::from_secs(1);
    assert!((0..100).all(soon));
}

/// Guards against a list that grows with every machine that is replaced under a new id.
#[test]
fn hosts_that_are_gone_are_forgotten() {
    let directory = Directory::default();
    let listing = |whole: bool, host: String, health: &str| {
        let text = format!(
            "{{\"seq\":1,\"whole\":{whole},\"hosts\":[{{\"host\":\"{host}\",\"dial\":\"127.0.0.1:1\",\"health\":\"{health}\"}}]}}"
        );
        serde_json::from_str::<llm_router::net::discovery::ListMessage>(&text).unwrap().into()
    };
    for i in 0..10 {
        directory.apply(&listing(i % 2 == 0, format!("h{i}"), "ready"));
        let gone = directory.apply(&listing(false, format!("h{i}"), "gone"));
        assert_eq!(gone.iter().map(|w| w.0.to_string()).collect::<Vec<_>>(), [format!("h{i}")]);
        assert!(!directory.is_ready(&gone[0]) && directory.address(&gone[0]).is_none());
    }
    assert!(directory.running().is_empty());
}
