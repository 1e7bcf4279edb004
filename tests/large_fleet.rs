//! CPU time of a router with thousands of workers.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Number of workers in a typical large fleet.
const TYPICAL_WORKERS: usize = 200;
/// Number of workers in the largest supported fleet.
const MAX_WORKERS: usize = 3_200;

/// Request rate of the busiest routers.
const REQUESTS_PER_SECOND: u32 = 20;
/// Number of requests in one measurement.
const REQUESTS: u32 = 100;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(8);

/// Number of endpoint list updates in one measurement.
const UPDATES: usize = 1_000;

/// Maximum ratio of the CPU time for the same requests in the largest fleet to that in a typical fleet.
const MAX_CPU_RATIO: f64 = 1.4;
/// CPU time allowed on top of that ratio: 0.02 s plus 0.03 s per thousand workers.
const CPU_ALLOWANCE: Duration = Duration::from_millis(116);

/// Prefill and decode workers that respond immediately; each is listed as many workers.
struct Workers([Vec<Peer>; 2]);

impl Workers {
    fn start() -> Workers {
        let start_three = |start: fn() -> Peer| (0..3).map(|_| start()).collect();
        Workers([start_three(Peer::prefill_worker), start_three(decode_worker)])
    }

    /// An operator's file that lists `worker_count` workers, half of them for each stage.
    fn operator_file(&self, worker_count: usize, extra: &str) -> String {
        let addresses = |peers: &[Peer]| -> Vec<SocketAddr> {
            peers.iter().map(|peer| peer.address).cycle().take(worker_count / 2).collect()
        };
        let Workers([prefill, decode]) = self;
        operator_file(&addresses(prefill), &addresses(decode), extra)
    }
}

/// Sends requests at a constant rate, independent of the responses. Returns each response with its latency.
fn send_at_rate(
    router: SocketAddr,
    request_count: u32,
    requests_per_second: u32,
    deadline: Duration,
) -> Vec<(Message, Duration)> {
    let deadline = format!("x-deadline: {}m", deadline.as_millis());
    let send = |number: u32| {
        thread::sleep(Duration::from_secs(1) * number / requests_per_second);
        let text = request(&format!("id-{number}"), "send", "hello").replace("x-deadline: 8000m", &deadline);
        let sent_at = Instant::now();
        let response = exchange(router, text.as_bytes());
        (response, sent_at.elapsed())
    };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..request_count).map(|number| scope.spawn(move || send(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// The CPU time of a router with `worker_count` workers for [`REQUESTS`] requests, all of which have to be
/// served.
fn cpu_time_of_requests(worker_count: usize) -> Duration {
    let fleet = Workers::start();
    let router = RouterProcess::start(&fleet.operator_file(worker_count, ""));
    let cpu_time_before = router.cpu_time();
    let responses = send_at_rate(router.address, REQUESTS, REQUESTS_PER_SECOND, DEADLINE);
    let cpu_time = router.cpu_time() - cpu_time_before;
    let served =
        responses.iter().filter(|(response, _)| response.status() == 200 && response.is_complete).count();
    let slowest = responses.iter().map(|(_, latency)| *latency).max().unwrap();
    println!("{worker_count} workers: {served} served, {cpu_time:?} of CPU time, the slowest in {slowest:?}");
    assert_eq!(served, REQUESTS as usize, "{worker_count} workers");
    cpu_time
}

/// Guards against requests without a final response and KV caches that are held too long: each routing
/// decision in a large fleet took so much CPU time that the router fell behind.
#[test]
fn cpu_time_of_requests_is_bounded_in_a_large_fleet() {
    let typical = cpu_time_of_requests(TYPICAL_WORKERS);
    let large = cpu_time_of_requests(MAX_WORKERS);
    assert!(
        large <= typical.mul_f64(MAX_CPU_RATIO) + CPU_ALLOWANCE,
        "{large:?} in the largest fleet, {typical:?} in a typical one"
    );
}

/// The CPU time of a router with `worker_count` workers for [`UPDATES`] updates of one worker each.
fn cpu_time_of_updates(worker_count: usize) -> Duration {
    let fleet = Workers::start();
    let (agent, lines) = discovery_agent();
    let discovery = format!("discovery = \"{}\"\n", agent.address);
    let router = RouterProcess::start(&fleet.operator_file(worker_count, &discovery));
    let send_update = |sequence: usize, host: &str, health: &str| {
        let host =
            format!(r#"{{"host":"{host}","class":"answer","site":"here","block":9,"health":"{health}"}}"#);
        lines.send(format!("{{\"seq\":{sequence},\"whole\":false,\"hosts\":[{host}]}}\n")).unwrap();
    };
    send_update(2, "answer-0", "draining");
    router.wait_for_log_line("answer-0 (answer, here, cell 9) is Draining");
    let cpu_time_before = router.cpu_time();
    for number in 0..UPDATES {
        let health = ["draining", "ready"][number / 10 % 2];
        send_update(3 + number, &format!("answer-{}", number % 10), health);
    }
    send_update(3 + UPDATES, "answer-0", "gone");
    router.wait_for_log_line("answer-0 (answer, here, cell 9) is Gone");
    let cpu_time = router.cpu_time() - cpu_time_before;
    println!("{worker_count} workers: {cpu_time:?} of CPU time for {UPDATES} updates");
    cpu_time
}

/// Guards against a rolling release of the workers that exhausts the CPU time of a router: each update of the
/// endpoint list iterated over the whole list.
#[test]
fn cpu_time_of_updates_is_bounded_in_a_large_fleet() {
    let typical = cpu_time_of_updates(TYPICAL_WORKERS);
    let large = cpu_time_of_updates(MAX_WORKERS);
    assert!(
        large <= typical.mul_f64(MAX_CPU_RATIO) + CPU_ALLOWANCE,
        "{large:?} in the largest fleet, {typical:?} in a typical one"
    );
}

/// The CPU time of a router with `worker_count` workers for requests that stay queued until shortly before
/// their deadline, since no decode worker is in service.
fn cpu_time_of_queued_requests(worker_count: usize) -> Duration {
    const REQUESTS_PER_SECOND: u32 = 60;
    const DEADLINE: Duration = Duration::from_secs(2);
    let fleet = Workers::start();
    let file = fleet.operator_file(worker_count, "");
    let (other_workers, decode_workers) = file.split_at(file.find("host = \"answer-0\"").unwrap());
    let draining = decode_workers.replace("health = \"ready\"", "health = \"draining\"");
    let router = RouterProcess::start(&format!("{other_workers}{draining}"));
    let cpu_time_before = router.cpu_time();
    let responses = send_at_rate(router.address, 3 * REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, DEADLINE);
    let cpu_time = router.cpu_time() - cpu_time_before;
    println!("{worker_count} workers: {cpu_time:?} of CPU time for {} queued requests", responses.len());
    assert!(responses.iter().all(|(response, latency)| response.status() == 503 && *latency < DEADLINE));
    cpu_time
}

/// Guards against a router that falls behind while requests are queued: each timer tick iterated over all
/// workers for each queued request.
#[test]
fn cpu_time_of_queued_requests_is_bounded_in_a_large_fleet() {
    let typical = cpu_time_of_queued_requests(TYPICAL_WORKERS);
    let large = cpu_time_of_queued_requests(MAX_WORKERS);
    assert!(
        large <= typical.mul_f64(MAX_CPU_RATIO) + CPU_ALLOWANCE,
        "{large:?} in the largest fleet, {typical:?} in a typical one"
    );
}
