//! A router that gets less CPU time than its requests need.

mod support;

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The fraction of a core that the router gets.
const CPU_SHARE: f64 = 0.2;
/// In each period the router runs for its share and is suspended for the rest.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);

/// The ratio of the request rate to the rate that the router has the CPU time to serve.
const OVERLOAD_FACTOR: f64 = 2.0;
/// How long the overload lasts.
const OVERLOAD_TIME: Duration = Duration::from_secs(5);
/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// A final response that arrives later than this after the deadline counts as missing.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Suspends a process for most of each period, until it is dropped.
struct Throttle(Child);

impl Throttle {
    fn start(process_id: u32) -> Throttle {
        let running = THROTTLE_PERIOD.mul_f64(CPU_SHARE).as_secs_f64();
        let suspended = THROTTLE_PERIOD.mul_f64(1.0 - CPU_SHARE).as_secs_f64();
        let script = format!(
            "while kill -STOP {process_id}; do sleep {suspended}; \
             kill -CONT {process_id}; sleep {running}; done"
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

/// One request and its response, as the client sees them.
struct Exchange {
    response: Message,
    duration: Duration,
}

impl Exchange {
    fn send(router: SocketAddr, number: u32) -> Exchange {
        let deadline = format!("x-deadline: {}m", DEADLINE.as_millis());
        let text =
            request(&format!("id-{number}"), "explain", "hello").replace("x-deadline: 8000m", &deadline);
        let sent = Instant::now();
        let response = exchange(router, text.as_bytes());
        Exchange { response, duration: sent.elapsed() }
    }

    /// Whether the request was served, or rejected with Retry-After, in time.
    fn is_answered(&self) -> bool {
        let is_served = self.response.status() == 200 && self.response.is_complete;
        let is_rejected = self.response.status() == 503 && self.response.header("retry-after").is_some();
        self.duration < DEADLINE + RESPONSE_SLACK && (is_served || is_rejected)
    }
}

/// The mean CPU time of a request.
fn cpu_time_per_request(router: &RouterProcess) -> Duration {
    const REQUESTS: u32 = 40;
    let before = router.cpu_time();
    (0..REQUESTS).for_each(|number| assert!(Exchange::send(router.address, number).is_answered()));
    (router.cpu_time() - before) / REQUESTS
}

/// Guards against requests without a final response when the router gets less CPU time than its requests
/// need: a router that accepts all of them has no time left to respond.
#[test]
fn a_router_that_is_short_of_cpu_time_answers_every_request_in_time() {
    let (prefill, decode) = (Peer::prefill_worker(), decode_worker());
    let router = RouterProcess::start(&operator_file(&[prefill.address], &[decode.address], ""));
    let interval = cpu_time_per_request(&router).div_f64(CPU_SHARE * OVERLOAD_FACTOR);
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
    let served = exchanges.iter().filter(|exchange| exchange.response.status() == 200).count();
    let unanswered = exchanges.iter().filter(|exchange| !exchange.is_answered()).count();
    let slowest = exchanges.iter().map(|exchange| exchange.duration).max().unwrap();
    println!("{requests} requests: {served} served, {unanswered} not answered, the slowest in {slowest:?}");
    assert_eq!(unanswered, 0, "of {requests} requests, {served} were served, the slowest in {slowest:?}");
    assert!(served > 0);
}
