//! Tests of what is private to `server`.

use super::*;
use crate::frontend::service::ServiceContext;
use crate::net::server::budget::Budget;
use crate::runtime::{Clock, DriverHandle};
use rstest::rstest;
use rustix::io::Errno;
use std::collections::VecDeque;
use tokio::task::LocalSet;

fn listener() -> Listener {
    let (driver, _queue) = DriverHandle::channel(Clock::start());
    let shared = ServiceContext {
        driver,
        classes: Vec::new(),
        ready: Box::new(|| true),
        counters: Rc::default(),
        budget: Budget::new(1024),
        ids: Default::default(),
    };
    let (_stage, stage) = watch::channel(ShutdownPhase::Closing);
    let service = RequestService { shared: Rc::new(shared), tools: None };
    Listener { service, bound: 64, waiting: 64, stage, open: Rc::default() }
}

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// What accepts of a queue of connections give, each of them behind `failures`.
async fn results_behind(failures: &[Errno], connections: usize) -> VecDeque<io::Result<TcpStream>> {
    let queue = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = queue.local_addr().unwrap();
    let mut results = VecDeque::new();
    for _ in 0..connections {
        results.extend(failures.iter().map(|errno| Err(error(*errno))));
        let _client = std::net::TcpStream::connect(address).unwrap();
        results.push_back(Ok(queue.accept().await.unwrap().0));
    }
    results
}

/// Guards against newcomers that waited for seconds behind others: each accept that failed, of whomever, took 5 ms.
#[rstest]
#[case::of_the_machine(&[Errno::NFILE], Duration::ZERO)]
#[case::of_connections(&[Errno::CONNABORTED, Errno::INTR], Duration::ZERO)]
#[case::that_lasts(&[Errno::NFILE; 20], 10 * ACCEPT_FAILED_PAUSE)]
#[tokio::test(start_paused = true)]
async fn a_failure_takes_time_only_when_it_lasts(#[case] failures: &[Errno], #[case] wanted: Duration) {
    let story = async {
        let listener = listener();
        let service =
            ServiceBuilder::new().load_shed().concurrency_limit(1).service(listener.service.clone());
        let mut results = results_behind(failures, 10).await;
        let accept = || results.pop_front().unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
        let begun = tokio::time::Instant::now();
        listener.drain(accept, &service).await;
        assert_eq!(listener.counters().client_connections.get(), 10);
        // The runtime's timers are good to a millisecond.
        assert!(begun.elapsed().abs_diff(wanted) <= Duration::from_millis(10), "{:?}", begun.elapsed());
    };
    LocalSet::new().run_until(story).await;
}

/// Guards against connections that are reset with the listener because an accept before them had failed.
#[tokio::test(start_paused = true)]
async fn an_accept_that_fails_does_not_end_the_emptying_of_the_queue() {
    let story = async {
        let listener = listener();
        let service =
            ServiceBuilder::new().load_shed().concurrency_limit(1).service(listener.service.clone());
        let failures =
            [Errno::CONNABORTED, Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::MFILE, Errno::PROTO];
        let mut results = results_behind(&failures, 6).await;
        let accept = || results.pop_front().unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
        listener.drain(accept, &service).await;
        assert_eq!(listener.counters().client_connections.get(), 6);
    };
    LocalSet::new().run_until(story).await;
}
