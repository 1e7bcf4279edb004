//! Attempts, releases and kept connections at one worker, where something happens between two steps.

mod support;

use bytes::Bytes;
use llm_router::interface::*;
use llm_router::net::discovery::{AddressedEndpoint, Directory, EndpointUpdate};
use llm_router::net::upstream::client::UpstreamClient;
use llm_router::net::upstream::pool::{Pool, PoolLimits};
use llm_router::runtime::counters::Counters;
use llm_router::runtime::exchange::{ClientConnection, ForwardedRequest, RequestState, open};
use llm_router::runtime::{Attempt, Clock, DriverHandle, DriverInput, Outbound, ReleaseProgress};
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Mutex, mpsc};
use std::task::Poll;
use std::time::Duration;
use support::{Conn, Message, Peer};
use tokio::sync::{mpsc as inputs, oneshot};

const SECOND: Micros = 1_000_000;
const WORKER: &str = "a";
/// Turns of the runtime in which all has come about that can.
const MANY_TURNS: usize = 100_000;

/// The client side with the workers it is told of.
struct Client {
    hosts: UpstreamClient,
    inputs: inputs::UnboundedReceiver<DriverInput>,
    cancel: Option<oneshot::Sender<()>>,
}

impl Client {
    fn start(workers: &[(&str, SocketAddr)], sockets: usize) -> Client {
        let (driver, inputs) = DriverHandle::channel(Clock::start());
        let directory = Rc::<Directory>::default();
        let entry = |(worker, address): &(&str, SocketAddr)| {
            let entry = Endpoint {
                worker: WorkerId((*worker).into()),
                zone: String::new(),
                kind: "answer".into(),
                cell: 0,
                status: WorkerStatus::Ready,
                weight: 1.0,
                started_at: None,
            };
            AddressedEndpoint { endpoint: entry, address: Some(*address) }
        };
        directory.apply(&EndpointUpdate {
            sequence: 1,
            complete: true,
            endpoints: workers.iter().map(entry).collect(),
        });
        let counters = Rc::<Counters>::default();
        let time = Duration::from_secs(10);
        // Nothing rests for long enough while a test runs.
        let limits = PoolLimits { sockets, connect_timeout: time, keep: 2 * time, rest: time };
        let pool = Pool::new(limits, counters.clone());
        let hosts = UpstreamClient {
            directory,
            pool,
            driver,
            reports: LoadReporting::None,
            counters,
            poll_requested: Rc::default(),
        };
        Client { hosts, inputs, cancel: None }
    }

    fn now(&self) -> Micros {
        self.hosts.driver.clock.now()
    }

    fn attempt(&mut self, worker: &str, id: &str) -> Attempt {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel = Some(cancel);
        Attempt {
            request: RequestId(1),
            state: RequestState::default(),
            attempt: AttemptIndex(0),
            worker: WorkerId(worker.into()),
            stage: Stage::Prefill,
            forwarded: Rc::new(call(id)),
            until: self.now() + 10 * SECOND,
            begin_before: None,
            after: None,
            cancelled,
            begun: Rc::default(),
        }
    }

    async fn outcome(&mut self, attempt: Attempt) -> Outcome {
        self.hosts.send(attempt);
        self.ended().await
    }

    /// How the attempt that is out ends.
    async fn ended(&mut self) -> Outcome {
        loop {
            if let DriverInput::AttemptEnded { outcome, .. } = self.inputs.recv().await.unwrap() {
                return outcome;
            }
        }
    }
}

fn call(id: &str) -> ForwardedRequest {
    ForwardedRequest {
        id: id.into(),
        target: "/".into(),
        headers: Default::default(),
        body: "hello".into(),
        client: ClientConnection::default(),
        resources: None,
    }
}

/// A worker that notes what it is sent and leaves the rest to `act`.
fn recording_peer(
    act: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<Message>) {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let peer = Peer::start(move |message, conn| {
        tell.lock().unwrap().send(message.clone()).unwrap();
        act(message, conn)
    });
    (peer, told)
}

fn read_done(_: &Message, conn: &mut Conn) -> bool {
    conn.answer("202 Accepted", "", "{}");
    true
}

/// A listener whose queue is full: connections to it do not come up.
struct FullQueue {
    address: SocketAddr,
    _listener: TcpListener,
    _filling: Vec<Socket>,
}

impl FullQueue {
    fn start() -> FullQueue {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let fill = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        FullQueue { address, _filling: (0..3).map(|_| fill()).collect(), _listener: listener }
    }
}

/// Waits until each other task that can run has run once.
async fn next_turn() {
    let mut waited = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut waited, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn story(story: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(story).await;
}

/// What an attempt was decided upon may be over once its connection has come up.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Nothing,
    ItsRequestWasAnswered,
    TheClientLeft,
    ItsTimePassed,
    TheRepeatWindowEnded,
    TheWorkerDrains,
}

/// Guards against a send that was right when it was decided.
#[rstest]
#[case(Meanwhile::Nothing, Outcome::PrefillCompleted)]
#[case(Meanwhile::ItsRequestWasAnswered, Outcome::Cancelled)]
#[case(Meanwhile::TheClientLeft, Outcome::Cancelled)]
#[case(Meanwhile::TheRepeatWindowEnded, Outcome::NotSent)]
#[case(Meanwhile::TheWorkerDrains, Outcome::NotSent)]
#[tokio::test]
async fn at_its_first_byte_an_attempt_is_looked_at_again(
    #[case] meanwhile: Meanwhile,
    #[case] wanted: Outcome,
) {
    story(async {
        let (peer, told) = recording_peer(read_done);
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        let mut attempt = client.attempt(WORKER, "id-1");
        match meanwhile {
            Meanwhile::TheClientLeft => {
                let left = ClientConnection::new(Rc::new(|| true));
                attempt.forwarded = Rc::new(ForwardedRequest { client: left, ..call("id-1") });
            }
            Meanwhile::ItsRequestWasAnswered => {
                let (_server, answer) = open(Rc::new(|| {}));
                attempt.state = answer.request();
                answer.reject(None);
            }
            Meanwhile::TheRepeatWindowEnded => attempt.begin_before = Some(client.now()),
            Meanwhile::TheWorkerDrains => {
                let text = format!(
                    r#"{{"seq":2,"hosts":[{{"host":"a","dial":"{}","health":"draining"}}]}}"#,
                    peer.address
                );
                let message: llm_router::net::discovery::ListMessage = serde_json::from_str(&text).unwrap();
                client.hosts.directory.apply(&message.into());
            }
            Meanwhile::Nothing | Meanwhile::ItsTimePassed => {}
        }
        assert_eq!(client.outcome(attempt).await, wanted);
        let sent = told.try_iter().count();
        assert_eq!(sent, usize::from(wanted == Outcome::PrefillCompleted));
    })
    .await;
}

/// The same at the one place that decides, for what can't be forced on a socket.
#[rstest]
#[case(Meanwhile::Nothing, Ok(()))]
#[case(Meanwhile::ItsTimePassed, Err(Outcome::ConnectFailed))]
#[case(Meanwhile::TheRepeatWindowEnded, Err(Outcome::NotSent))]
#[tokio::test]
async fn an_attempt_may_not_begin_too_late(
    #[case] meanwhile: Meanwhile,
    #[case] wanted: Result<(), Outcome>,
) {
    let mut client = Client::start(&[(WORKER, Peer::nobody())], 4);
    let mut attempt = client.attempt(WORKER, "id-1");
    let now = client.now();
    match meanwhile {
        Meanwhile::ItsTimePassed => attempt.until = now,
        Meanwhile::TheRepeatWindowEnded => attempt.begin_before = Some(now),
        _ => attempt.begin_before = Some(now + 1),
    }
    assert_eq!(client.hosts.may_begin(&attempt, now), wanted);
}

/// Guards against what happens between the last look at an attempt and its first byte: other tasks take as long as they
/// take.
#[tokio::test]
async fn nothing_runs_between_the_last_look_at_an_attempt_and_its_first_byte() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = Client::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let looked = Rc::<Cell<bool>>::default();
        let mut attempt = client.attempt(WORKER, "id-1");
        let look = looked.clone();
        let there = ClientConnection::new(Rc::new(move || {
            look.set(true);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client: there, ..call("id-1") });
        client.hosts.send(attempt);
        // Has its turn between any two others.
        let watch = async move {
            for _ in 0..MANY_TURNS {
                if looked.get() {
                    break;
                }
                next_turn().await;
            }
            let (peer, _) = listener.accept().unwrap();
            peer.set_nonblocking(true).unwrap();
            peer.peek(&mut [0])
        };
        let arrived = tokio::task::spawn_local(watch).await.unwrap();
        assert!(arrived.is_ok_and(|bytes| bytes > 0), "nothing was written yet");
    })
    .await;
}

/// A worker whose system takes no more than a few bytes until they are read.
struct SlowWorker {
    listener: TcpListener,
    body: Bytes,
}

impl SlowWorker {
    fn start() -> SlowWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4 * 1024).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(8).unwrap();
        SlowWorker { listener: socket.into(), body: vec![b'x'; 256 * 1024].into() }
    }

    /// All that reaches it after the connection was given up.
    fn received(&self) -> usize {
        let (mut connection, _) = self.listener.accept().unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes);
        bytes.len()
    }
}

/// Guards against a request that reaches its worker after it was given up: bytes that wait in the system are delivered
/// later, also behind a close, and a worker begins with the last of them.
#[rstest]
#[case::its_client_left(None, Outcome::Cancelled)]
#[case::its_time_passed(Some(SECOND / 4), Outcome::TimedOut)]
#[tokio::test]
async fn what_a_worker_has_not_taken_of_a_given_up_request_never_reaches_it(
    #[case] time: Option<Micros>,
    #[case] wanted: Outcome,
) {
    story(async {
        let worker = SlowWorker::start();
        let mut client = Client::start(&[(WORKER, worker.listener.local_addr().unwrap())], 4);
        let mut attempt = client.attempt(WORKER, "id-1");
        attempt.forwarded = Rc::new(ForwardedRequest { body: worker.body.clone(), ..call("id-1") });
        attempt.until = client.now() + time.unwrap_or(10 * SECOND);
        let begun = attempt.begun.clone();
        client.hosts.send(attempt);
        for _ in 0..MANY_TURNS {
            if begun.get() {
                break;
            }
            tokio::task::yield_now().await;
        }
        if time.is_none() {
            client.cancel = None;
        }
        assert_eq!(client.ended().await, wanted);
        while client.hosts.pool.free_sockets() < 4 {
            tokio::task::yield_now().await;
        }
        let received = worker.received();
        assert!(received < worker.body.len(), "{received} bytes came");
    })
    .await;
}

/// Guards against a deadline told as it was before a wait.
#[tokio::test]
async fn a_worker_is_told_what_is_left_after_the_wait_for_a_release() {
    story(async {
        let (peer, told) = recording_peer(read_done);
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        let mut attempt = client.attempt(WORKER, "id-1");
        let until = attempt.until;
        let (releasing, decided) = (Rc::<ReleaseProgress>::default(), client.now());
        attempt.after = Some(releasing.clone());
        assert_eq!(client.outcome(attempt).await, Outcome::PrefillCompleted);
        let message = told.recv().unwrap();
        let left: Micros = message.header("x-deadline").unwrap().trim_end_matches('u').parse().unwrap();
        // The release was never taken: all of the wait for it has passed.
        assert!(left <= until - decided - 100_000, "{left} us of {}", until - decided);
    })
    .await;
}

/// Guards against a release that goes out after the next read: it would take the state that this one leaves.
#[tokio::test]
async fn a_release_that_was_ended_writes_nothing_any_more() {
    story(async {
        let full = FullQueue::start();
        let client = Client::start(&[(WORKER, full.address)], 1);
        let (releasing, released) = (Rc::<ReleaseProgress>::default(), Rc::new(call("id-1")));
        client.hosts.release_cache(released.clone(), releasing.clone());
        // Its call holds the only socket while it connects.
        while client.hosts.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        releasing.stop();
        // One thread, and nothing to wait for: by then all tasks that were to end have ended.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(Rc::strong_count(&released), 1, "the release goes on");
        assert_eq!(client.hosts.pool.free_sockets(), 1, "the call still connects");
    })
    .await;
}

/// Guards against an answer that is none: a second one that comes some milliseconds behind the first, once the next
/// request is out on that connection, can't be told from that request's answer.
#[tokio::test]
async fn a_late_second_answer_is_not_taken_for_the_next_one_s() {
    story(async {
        let seen = Mutex::new(HashSet::new());
        let (peer, told) = recording_peer(move |_, conn| {
            // A connection that was used before brings the late answer to its first request first.
            if !seen.lock().unwrap().insert(conn.0.peer_addr().unwrap()) {
                let _ = conn.0.write_all(b"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n");
            }
            conn.answer("202 Accepted", "", "{}");
            true
        });
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        for id in ["id-1", "id-2", "id-3"] {
            let attempt = client.attempt(WORKER, id);
            assert_eq!(client.outcome(attempt).await, Outcome::PrefillCompleted);
        }
        assert_eq!(told.try_iter().count(), 3);
    })
    .await;
}

/// Guards against an answer that is believed though it can't belong to the request: it is of the other stage. What a
/// worker names it says nothing: the protocol leaves that to the worker.
#[rstest]
#[case::read_as_asked(Stage::Prefill, "202 Accepted", "", Outcome::PrefillCompleted)]
#[case::a_stream_of_a_reader(Stage::Prefill, "200 OK", "", Outcome::WorkerError)]
#[case::no_stream_of_a_writer(Stage::Decode, "202 Accepted", "", Outcome::WorkerError)]
#[case::named_as_asked(Stage::Prefill, "202 Accepted", "x-request-id: id-1\r\n", Outcome::PrefillCompleted)]
#[case::named_by_the_worker(
    Stage::Prefill,
    "202 Accepted",
    "x-request-id: id-0\r\n",
    Outcome::PrefillCompleted
)]
#[tokio::test]
async fn an_answer_is_taken_for_what_was_asked_only(
    #[case] stage: Stage,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[case] wanted: Outcome,
) {
    story(async {
        let (peer, _told) = recording_peer(move |_, conn| {
            conn.answer(status, headers, "data: {}\n\n");
            true
        });
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        let mut attempt = client.attempt(WORKER, "id-1");
        attempt.stage = stage;
        assert_eq!(client.outcome(attempt).await, wanted);
    })
    .await;
}

/// Guards against an answer that came before its request: whatever it is, it is not that request's.
#[tokio::test]
async fn bytes_that_come_before_a_request_are_not_its_answer() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = Client::start(&[(WORKER, listener.local_addr().unwrap())], 4);
        let mut attempt = client.attempt(WORKER, "id-1");
        let early = RefCell::new(Vec::new());
        // In the last moment before the first byte: the runtime has not told of it.
        let there = ClientConnection::new(Rc::new(move || {
            let (mut peer, _) = listener.accept().unwrap();
            peer.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}").unwrap();
            early.borrow_mut().push(peer);
            false
        }));
        attempt.forwarded = Rc::new(ForwardedRequest { client: there, ..call("id-1") });
        assert_eq!(client.outcome(attempt).await, Outcome::ConnectFailed);
    })
    .await;
}

/// Guards against an attempt that begins on a connection that comes up after its client has left.
#[tokio::test]
async fn an_attempt_cancelled_in_its_connect_ends_at_once() {
    story(async {
        let full = FullQueue::start();
        let mut client = Client::start(&[(WORKER, full.address)], 1);
        let attempt = client.attempt(WORKER, "id-1");
        let begun: Rc<Cell<bool>> = attempt.begun.clone();
        client.hosts.send(attempt);
        while client.hosts.counters.upstream_connections.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        client.cancel = None;
        assert_eq!(client.ended().await, Outcome::Cancelled);
        assert!(!begun.get() && client.hosts.pool.free_sockets() == 1);
    })
    .await;
}

/// A late answer of a given-up attempt goes nowhere: its connection is closed, and the next attempt has one of its own.
#[tokio::test]
async fn a_late_answer_of_a_given_up_attempt_goes_nowhere() {
    story(async {
        let (go, gate) = mpsc::channel::<()>();
        let (closed, closes) = mpsc::channel();
        let script = Mutex::new((gate, closed));
        let (peer, told) = recording_peer(move |message, conn| {
            if message.header("x-request-id") == Some("id-1") {
                let script = script.lock().unwrap();
                script.0.recv().unwrap();
                conn.answer("500 Error", "", "");
                script.1.send(conn.is_closed()).unwrap();
                return false;
            }
            conn.answer("202 Accepted", "", "{}");
            true
        });
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        let mut first = client.attempt(WORKER, "id-1");
        first.until = client.now() + SECOND / 4;
        assert_eq!(client.outcome(first).await, Outcome::TimedOut);
        let second = client.attempt(WORKER, "id-2");
        assert_eq!(client.outcome(second).await, Outcome::PrefillCompleted);
        go.send(()).unwrap();
        assert!(closes.recv().unwrap());
        assert!(client.inputs.try_recv().is_err(), "nothing more is heard of it");
        assert_eq!(told.try_iter().count(), 2);
    })
    .await;
}

/// The pool cleared while a connection is out does not touch the attempt on it.
#[tokio::test]
async fn an_attempt_outlives_a_pool_cleared_meanwhile() {
    story(async {
        let (go, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let (peer, told) = recording_peer(move |_, conn| {
            gate.lock().unwrap().recv().unwrap();
            conn.answer("202 Accepted", "", "{}");
            true
        });
        let mut client = Client::start(&[(WORKER, peer.address)], 4);
        for id in ["id-1", "id-2"] {
            let attempt = client.attempt(WORKER, id);
            let begun = attempt.begun.clone();
            client.hosts.send(attempt);
            while !begun.get() {
                tokio::task::yield_now().await;
            }
            client.hosts.pool.clear();
            client.hosts.pool.close_idle_connections(&WorkerId(WORKER.into()));
            go.send(()).unwrap();
            assert_eq!(client.ended().await, Outcome::PrefillCompleted);
        }
        assert_eq!(told.try_iter().count(), 2);
    })
    .await;
}
