//! A router of a fleet of thousands of workers.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The workers of a large fleet of the usual size.
const USUAL_WORKERS: usize = 200;
/// The workers of the largest fleet that is supported.
const MANY_WORKERS: usize = 3_200;

/// Requests a second that the busiest routers see.
const REQUESTS_PER_SECOND: u32 = 20;
/// Requests of one measurement.
const REQUESTS: u32 = 100;

/// The deadline of each.
const DEADLINE: Duration = Duration::from_secs(8);

/// Changes of the endpoint list of one measurement.
const UPDATES: usize = 1_000;

/// How much more CPU time a router may take in the largest fleet than in one of the usual size, for the same requests.
const CPU_RATIO: f64 = 1.4;
/// What it may take beyond that ratio: 0.02 s, and 0.03 s for each thousand workers.
const CPU_ALLOWANCE: Duration = Duration::from_millis(116);

/// Prefill and decode workers that answer at once. Each stands for many workers of the list.
struct Workers([Vec<Peer>; 2]);

impl Workers {
    fn start() -> Workers {
        let several = |start: fn() -> Peer| (0..3).map(|_| start()).collect();
        Workers([several(Peer::prefill_worker), several(decode_worker)])
    }

    /// An operator's file that lists this many workers, half of them for each stage.
    fn operator_file(&self, workers: usize, extra: &str) -> String {
        let addresses = |peers: &[Peer]| -> Vec<SocketAddr> {
            peers.iter().map(|peer| peer.address).cycle().take(workers / 2).collect()
        };
        let Workers([prefill, decode]) = self;
        operator_file(&addresses(prefill), &addresses(decode), extra)
    }
}

/// Sends requests at an even rate, none of them waiting for another, and returns their answers.
fn send_at_rate(
    router: SocketAddr,
    requests: u32,
    per_second: u32,
    deadline: Duration,
) -> Vec<(Message, Duration)> {
    let deadline = format!("x-deadline: {}m", deadline.as_millis());
    let send = |number: u32| {
        thread::sleep(Duration::from_secs(1) * number / per_second);
        let text = request(&format!("id-{number}"), "send", "hello").replace("x-deadline: 8000m", &deadline);
        let sent = Instant::now();
        let answer = exchange(router, text.as_bytes());
        (answer, sent.elapsed())
    };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..requests).map(|number| scope.spawn(move || send(number))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// The CPU time that a router of this many workers takes for [`REQUESTS`] requests, all of which have to be served.
fn cpu_time_of_requests(workers: usize) -> Duration {
    let fleet = Workers::start();
    let router = RouterProcess::start(&fleet.operator_file(workers, ""));
    let before = router.cpu_time();
    let answers = send_at_rate(router.address, REQUESTS, REQUESTS_PER_SECOND, DEADLINE);
    let used = router.cpu_time() - before;
    let served = answers.iter().filter(|(answer, _)| answer.status() == 200 && answer.whole).count();
    let slowest = answers.iter().map(|(_, time)| *time).max().unwrap();
    println!("{workers} workers: {served} served, {used:?} of CPU time, the slowest in {slowest:?}");
    assert_eq!(served, REQUESTS as usize, "{workers} workers");
    used
}

/// Guards against requests that get no final answer, and KV caches that are held too long, since each decision of a
/// large fleet took so much CPU time that the router fell behind.
#[test]
fn a_large_fleet_uses_up_the_cpu_time_of_a_router() {
    let usual = cpu_time_of_requests(USUAL_WORKERS);
    let large = cpu_time_of_requests(MANY_WORKERS);
    assert!(large <= usual.mul_f64(CPU_RATIO) + CPU_ALLOWANCE, "{usual:?} and {large:?}");
}

/// The CPU time that a router of this many workers takes for [`UPDATES`] changes of one worker each.
fn cpu_time_of_updates(workers: usize) -> Duration {
    let fleet = Workers::start();
    let (agent, lines) = discovery_agent();
    let discovery = format!("discovery = \"{}\"\n", agent.address);
    let router = RouterProcess::start(&fleet.operator_file(workers, &discovery));
    let change = |sequence: usize, host: &str, health: &str| {
        let host =
            format!(r#"{{"host":"{host}","class":"answer","site":"here","block":9,"health":"{health}"}}"#);
        lines.send(format!("{{\"seq\":{sequence},\"whole\":false,\"hosts\":[{host}]}}\n")).unwrap();
    };
    change(2, "answer-0", "draining");
    router.wait_for("answer-0 (answer, here, cell 9) is Draining");
    let before = router.cpu_time();
    for number in 0..UPDATES {
        let health = ["draining", "ready"][number / 10 % 2];
        change(3 + number, &format!("answer-{}", number % 10), health);
    }
    change(3 + UPDATES, "answer-0", "gone");
    router.wait_for("answer-0 (answer, here, cell 9) is Gone");
    let used = router.cpu_time() - before;
    println!("{workers} workers: {used:?} of CPU time for {UPDATES} updates");
    used
}

/// Guards against a release of the workers that uses up a router's CPU time, since each change of the endpoint list
/// went through the whole list.
#[test]
fn each_update_of_a_large_fleet_goes_through_the_whole_list() {
    let usual = cpu_time_of_updates(USUAL_WORKERS);
    let large = cpu_time_of_updates(MANY_WORKERS);
    assert!(large <= usual.mul_f64(CPU_RATIO) + CPU_ALLOWANCE, "{usual:?} and {large:?}");
}

/// The CPU time that a router of this many workers takes for requests that wait until shortly before their deadline,
/// since no decode worker is in service.
fn cpu_time_of_waiting_requests(workers: usize) -> Duration {
    const REQUESTS_PER_SECOND: u32 = 60;
    const DEADLINE: Duration = Duration::from_secs(2);
    let fleet = Workers::start();
    let file = fleet.operator_file(workers, "");
    let (other_workers, decode_workers) = file.split_at(file.find("host = \"answer-0\"").unwrap());
    let draining = decode_workers.replace("health = \"ready\"", "health = \"draining\"");
    let router = RouterProcess::start(&format!("{other_workers}{draining}"));
    let before = router.cpu_time();
    let answers = send_at_rate(router.address, 3 * REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, DEADLINE);
    let used = router.cpu_time() - before;
    println!("{workers} workers: {used:?} of CPU time for {} requests that wait", answers.len());
    assert!(answers.iter().all(|(answer, time)| answer.status() == 503 && *time < DEADLINE));
    used
}

/// Guards against a router that falls behind while its requests wait for workers: at each step of the timer, each of
/// them went through the whole fleet.
#[test]
fn requests_that_wait_go_through_the_whole_fleet_again_and_again() {
    let usual = cpu_time_of_waiting_requests(USUAL_WORKERS);
    let large = cpu_time_of_waiting_requests(MANY_WORKERS);
    assert!(large <= usual.mul_f64(CPU_RATIO) + CPU_ALLOWANCE, "{usual:?} and {large:?}");
}
