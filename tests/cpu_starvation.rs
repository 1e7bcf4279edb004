//! A router that gets less CPU time than its requests need.

mod support;

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The part of a core that the router gets.
const CPU_SHARE: f64 = 0.2;
/// In each period it runs for its share and is suspended for the rest.
const PERIOD: Duration = Duration::from_millis(100);

/// Requests that arrive for each one that the router has the CPU time to serve.
const OVERLOAD: f64 = 2.0;
/// How long they arrive.
const OVERLOAD_TIME: Duration = Duration::from_secs(5);
/// The deadline of each.
const DEADLINE: Duration = Duration::from_secs(2);
/// A final answer that comes later than this after the deadline counts as none.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Suspends a process for most of each period, until it is dropped.
struct Throttle(Child);

impl Throttle {
    fn start(process: u32) -> Throttle {
        let running = PERIOD.mul_f64(CPU_SHARE).as_secs_f64();
        let suspended = PERIOD.mul_f64(1.0 - CPU_SHARE).as_secs_f64();
        let script = format!(
            "while kill -STOP {process}; do sleep {suspended}; kill -CONT {process}; sleep {running}; done"
        );
        Throttle(Command::new("bash").args(["-c", &script]).spawn().unwrap())
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a client saw of one request.
struct Exchange {
    answer: Message,
    time: Duration,
}

impl Exchange {
    fn send(router: SocketAddr, number: u32) -> Exchange {
        let deadline = format!("x-deadline: {}m", DEADLINE.as_millis());
        let text =
            request(&format!("id-{number}"), "explain", "hello").replace("x-deadline: 8000m", &deadline);
        let sent = Instant::now();
        let answer = exchange(router, text.as_bytes());
        Exchange { answer, time: sent.elapsed() }
    }

    /// Whether it was served, or rejected with advice, before anybody would call it lost.
    fn is_answered(&self) -> bool {
        let is_served = self.answer.status() == 200 && self.answer.whole;
        let is_rejected = self.answer.status() == 503 && self.answer.header("retry-after").is_some();
        self.time < DEADLINE + ANSWER_SLACK && (is_served || is_rejected)
    }
}

/// The CPU time that one request takes.
fn cpu_time_of_a_request(router: &RouterProcess) -> Duration {
    const REQUESTS: u32 = 40;
    let before = router.cpu_time();
    (0..REQUESTS).for_each(|number| assert!(Exchange::send(router.address, number).is_answered()));
    (router.cpu_time() - before) / REQUESTS
}

/// Guards against requests without a final answer where a router gets less CPU time than its requests need: it took
/// every one of them in, and then had no time for the answers.
#[test]
fn a_router_that_is_short_of_cpu_time_answers_nobody_in_time() {
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let interval = cpu_time_of_a_request(&router).div_f64(CPU_SHARE * OVERLOAD);
    let requests = (OVERLOAD_TIME.as_secs_f64() / interval.as_secs_f64()) as u32;
    let (address, throttle) = (router.address, Throttle::start(router.id()));
    let send = |number: u32| {
        thread::sleep(interval * number);
        Exchange::send(address, 1_000 + number)
    };
    let exchanges: Vec<Exchange> = thread::scope(|scope| {
        let clients: Vec<_> = (0..requests).map(|number| scope.spawn(move || send(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    drop(throttle);
    router.signal("-CONT");
    let served = exchanges.iter().filter(|exchange| exchange.answer.status() == 200).count();
    let unanswered = exchanges.iter().filter(|exchange| !exchange.is_answered()).count();
    let slowest = exchanges.iter().map(|exchange| exchange.time).max().unwrap();
    println!("{requests} requests: {served} served, {unanswered} not answered, the slowest in {slowest:?}");
    assert_eq!(unanswered, 0, "of {requests} requests, {served} were served, the slowest in {slowest:?}");
    assert!(served > 0);
}
