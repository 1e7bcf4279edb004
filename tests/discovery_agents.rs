//! Following discovery where the order of events matters: the test is the agent, one step at a time.

use llm_router::interface::{Settings, UpdateKind, WorkerId};
use llm_router::net::discovery::{Backoff, Dial, Directory, DiscoveryStream, EndpointWatcher};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
const OLD_AGENT: &str = "127.0.0.1:1";
const NEW_AGENT: &str = "127.0.0.1:2";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn entry(host: &str, health: &str) -> String {
    format!(r#"{{"host":"{host}","dial":"127.0.0.1:9","class":"answer","health":"{health}"}}"#)
}

fn whole_list(seq: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

fn change(seq: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":false,"hosts":[{}]}}"#, entries.join(","))
}

/// One connection to an agent, at the agent's end.
struct Call {
    to: SocketAddr,
    stream: DuplexStream,
}

impl Call {
    /// The request line of what is asked on it.
    async fn asked(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.unwrap());
        }
        String::from_utf8(head).unwrap().lines().next().unwrap().to_owned()
    }

    async fn answer(&mut self, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    async fn begin_watch(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.stream.write_all(head).await;
    }

    /// Writes a part of a line.
    async fn piece(&mut self, text: &str) {
        let _ = self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await;
    }

    async fn tell(&mut self, text: &str) {
        self.piece(&format!("{text}\n")).await;
    }
}

/// A router's follower, and everything round it.
struct Following {
    calls: mpsc::UnboundedReceiver<Call>,
    driver: mpsc::UnboundedReceiver<DriverInput>,
    directory: Rc<Directory>,
    poll_requested: Rc<Notify>,
    address: watch::Sender<Option<SocketAddr>>,
    /// Whether connections come up.
    connects: Rc<Cell<bool>>,
}

impl Following {
    fn start() -> Following {
        let (driver, queue) = DriverHandle::channel(Clock::start());
        let (called, calls) = mpsc::unbounded_channel();
        let (directory, poll_requested) = (Rc::<Directory>::default(), Rc::<Notify>::default());
        let connects = Rc::new(Cell::new(true));
        let comes_up = connects.clone();
        let dial: Dial = Rc::new(move |to| {
            let (called, comes_up) = (called.clone(), comes_up.clone());
            Box::pin(async move {
                if !comes_up.get() {
                    std::future::pending::<()>().await;
                }
                let (ours, stream) = tokio::io::duplex(64 * 1024);
                let _ = called.send(Call { to, stream });
                Ok(Box::new(ours) as Box<dyn DiscoveryStream>)
            })
        });
        let follower = EndpointWatcher {
            directory: directory.clone(),
            driver,
            close_idle_connections: Box::new(|_| {}),
            poll_requested: poll_requested.clone(),
            dial,
            backoff: Backoff::new(&Settings { replica_count: 3, ..Settings::default() }, 1),
            counters: Rc::default(),
        };
        let (address, addresses) = watch::channel(Some(address(OLD_AGENT)));
        tokio::task::spawn_local(follower.run(addresses));
        Following { calls, driver: queue, directory, poll_requested, address, connects }
    }

    async fn call(&mut self) -> Call {
        timeout(TOLD_WITHIN, self.calls.recv()).await.expect("no call in time").unwrap()
    }

    /// A watch that has told this whole list.
    async fn watch_with(&mut self, list: &str) -> Call {
        let mut call = self.call().await;
        assert!(call.asked().await.contains("watch=1"));
        call.begin_watch().await;
        call.tell(list).await;
        self.news().await;
        call
    }

    /// The next list or change that the core hears of: its kind and workers.
    async fn news(&mut self) -> (UpdateKind, Vec<String>) {
        let heard = async {
            loop {
                if let Some(DriverInput::EndpointsUpdated { kind, endpoints: entries }) =
                    self.driver.recv().await
                    && kind != UpdateKind::Unavailable
                {
                    return (
                        kind,
                        entries.iter().map(|e| format!("{} {:?}", e.worker.0, e.status)).collect(),
                    );
                }
            }
        };
        timeout(TOLD_WITHIN, heard).await.expect("nothing heard in time")
    }

    fn is_ready(&self, host: &str) -> bool {
        self.directory.is_ready(&WorkerId(host.into()))
    }

    fn move_to_new_agent(&self) {
        self.address.send(Some(address(NEW_AGENT))).unwrap();
    }
}

async fn story(story: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Guards against a list that undoes changes: one fetched beside the watch may be older than what the watch has told.
#[tokio::test(start_paused = true)]
async fn an_older_list_of_the_same_agent_is_not_taken() {
    story(async {
        let mut following = Following::start();
        let all = [entry("a", "ready"), entry("b", "ready")];
        let mut watch = following.watch_with(&whole_list(5, &all)).await;
        following.poll_requested.notify_one();
        let mut beside = following.call().await;
        assert_eq!(beside.asked().await, "GET /v1/servers HTTP/1.1");
        // The answer is on its way when the drain is told.
        watch.tell(&change(7, &[entry("a", "draining")])).await;
        following.news().await;
        beside.answer(&whole_list(6, &all)).await;
        watch.tell(&change(6, &[entry("a", "ready")])).await;
        watch.tell(&change(8, &[entry("c", "ready")])).await;
        assert_eq!(following.news().await, (UpdateKind::Delta, vec!["c Ready".into()]));
        assert!(!following.is_ready("a") && following.is_ready("b") && following.is_ready("c"));
    })
    .await;
}

/// A change between the fetched list and the watch is asked for by the list's version.
#[tokio::test(start_paused = true)]
async fn a_change_between_the_list_and_the_watch_is_not_missed() {
    story(async {
        let mut following = Following::start();
        following.watch_with(&whole_list(5, &[entry("a", "ready")])).await;
        following.move_to_new_agent();
        let mut call = following.call().await;
        assert_eq!((call.to, call.asked().await), (address(NEW_AGENT), "GET /v1/servers HTTP/1.1".into()));
        call.answer(&whole_list(3, &[entry("a", "ready")])).await;
        let mut watch = following.call().await;
        assert!(watch.asked().await.contains("after=3 "));
        watch.begin_watch().await;
        watch.tell(&change(4, &[entry("a", "draining")])).await;
        following.news().await;
        following.news().await;
        assert!(!following.is_ready("a"));
    })
    .await;
}

/// Guards against a list that empties the fleet: an agent that has just started may know nobody yet.
#[tokio::test(start_paused = true)]
async fn an_empty_whole_list_takes_nobody_out_of_service() {
    story(async {
        let mut following = Following::start();
        let mut watch = following.watch_with(&whole_list(5, &[entry("a", "ready")])).await;
        watch.tell(&whole_list(6, &[])).await;
        watch.tell(&change(7, &[entry("b", "ready")])).await;
        assert_eq!(following.news().await, (UpdateKind::Delta, vec!["b Ready".into()]));
        assert!(following.is_ready("a") && following.is_ready("b"));
    })
    .await;
}

/// Guards against a change lost in an object that never ends, while the lines that show life go on.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_cut_off_in_its_middle_is_asked_for_again_in_time(#[values(2, 3, 30)] parts: usize) {
    story(async {
        let mut following = Following::start();
        let mut watch = following.watch_with(&whole_list(5, &[entry("a", "ready")])).await;
        let text = change(6, &[entry("a", "draining")]);
        watch.piece(&text[..text.len() / parts]).await;
        let lines = async {
            loop {
                sleep(Duration::from_secs(1)).await;
                watch.tell("").await;
            }
        };
        let again = async {
            let mut call = following.call().await;
            assert!(call.asked().await.contains("after=5 "));
            call.begin_watch().await;
            call.tell(&text).await;
            following.news().await
        };
        let told = async {
            tokio::select! { news = again => news, () = lines => unreachable!() }
        };
        assert_eq!(timeout(TOLD_WITHIN, told).await.unwrap().1, ["a Draining"]);
    })
    .await;
}

/// A list over many pieces is whole at its last byte, and pieces that each cut an object do not end the watch.
#[tokio::test(start_paused = true)]
async fn objects_that_are_always_cut_are_no_silence() {
    story(async {
        let mut following = Following::start();
        let mut watch = following.watch_with(&whole_list(5, &[entry("a", "ready")])).await;
        let mut rest = String::new();
        for seq in 6..20 {
            let text = change(seq, &[entry(&format!("b-{seq}"), "ready")]);
            let (first, second) = text.split_at(text.len() / 2);
            watch.piece(&format!("{rest}{first}")).await;
            rest = format!("{second}\n");
            sleep(Duration::from_secs(1)).await;
        }
        for seq in 6..19 {
            assert_eq!(following.news().await.1, [format!("b-{seq} Ready")]);
        }
        assert!(following.calls.try_recv().is_err());
    })
    .await;
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum During {
    Connect,
    Call,
    Watch,
    Pause,
}

/// Guards against a move that waits for what is under way with the old agent, and against the old one's answer after it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_move_goes_to_the_new_agent_at_once(
    #[values(During::Connect, During::Call, During::Watch, During::Pause)] during: During,
) {
    story(async {
        let mut following = Following::start();
        let mut old = None;
        match during {
            During::Connect => following.connects.set(false),
            During::Call => {
                let mut call = following.call().await;
                call.asked().await;
                old = Some(call);
            }
            During::Watch => old = Some(following.watch_with(&whole_list(5, &[entry("a", "ready")])).await),
            During::Pause => {
                // Closed without an answer: the follower pauses before it asks again.
                drop(following.call().await);
                while !matches!(
                    following.driver.recv().await,
                    Some(DriverInput::EndpointsUpdated { kind: UpdateKind::Unavailable, .. })
                ) {}
            }
        }
        tokio::task::yield_now().await;
        following.connects.set(true);
        following.move_to_new_agent();
        if let Some(old) = &mut old {
            old.begin_watch().await;
            old.tell(&whole_list(9, &[entry("old", "ready")])).await;
        }
        let mut call = timeout(Duration::from_millis(50), following.call()).await.expect("not at once");
        assert_eq!((call.to, call.asked().await), (address(NEW_AGENT), "GET /v1/servers HTTP/1.1".into()));
        call.answer(&whole_list(2, &[entry("new", "ready")])).await;
        assert_eq!(following.news().await, (UpdateKind::Snapshot, vec!["new Ready".into()]));
        assert!(following.is_ready("new") && !following.is_ready("old") && !following.is_ready("a"));
    })
    .await;
}

/// Guards against work sent to what an agent before said drains or is gone, because the new one has not heard of it yet.
#[rstest]
#[case::drains("draining")]
#[case::is_gone("gone")]
#[tokio::test(start_paused = true)]
async fn an_older_list_of_a_new_agent_brings_nobody_back(#[case] health: &str) {
    story(async {
        let mut following = Following::start();
        let all = [entry("a", "ready"), entry("b", "ready")];
        let mut watch = following.watch_with(&whole_list(5, &all)).await;
        watch.tell(&change(6, &[entry("a", health)])).await;
        following.news().await;
        following.move_to_new_agent();
        let mut call = following.call().await;
        call.asked().await;
        call.answer(&whole_list(4, &all)).await;
        assert_eq!(
            following.news().await,
            (UpdateKind::Snapshot, vec!["a Draining".into(), "b Ready".into()])
        );
        assert!(!following.is_ready("a") && following.is_ready("b"));
        // What the new agent says of it from then on counts.
        let mut watch = following.call().await;
        watch.asked().await;
        watch.begin_watch().await;
        watch.tell(&change(5, &[entry("a", "ready")])).await;
        following.news().await;
        assert!(following.is_ready("a"));
    })
    .await;
}
