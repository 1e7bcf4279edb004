//! Unit tests of accepting connections after failed accepts.

use super::*;
use crate::net::server::handler::HandlerBody;
use crate::net::server::received_request::ReceivedRequest;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Response;
use rstest::rstest;
use rustix::io::Errno;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::task::{Context, Poll};
use tokio::task::LocalSet;
use tower::Service;

/// A handler that returns an empty response to every request.
#[derive(Clone)]
struct EmptyResponses;

impl HandlerBody for Empty<Bytes> {
    fn is_stream(&self) -> bool {
        false
    }
}

impl RequestHandler for EmptyResponses {
    type Body = Empty<Bytes>;

    fn overload_response(&self) -> Response<Self::Body> {
        Response::default()
    }
}

impl Service<ReceivedRequest> for EmptyResponses {
    type Response = Response<Empty<Bytes>>;
    type Error = Infallible;
    type Future = std::future::Ready<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: ReceivedRequest) -> Self::Future {
        std::future::ready(Ok(Response::default()))
    }
}

fn listener() -> Listener<EmptyResponses> {
    let (_, shutdown) = watch::channel(ShutdownPhase::Closing);
    Listener {
        handler: EmptyResponses,
        max_connections: 64,
        max_waiting_requests: 64,
        buffer_limit: BufferLimit::MAX,
        read_limits: ReadLimits::new(0),
        shutdown,
        connections: Rc::default(),
        counters: Rc::default(),
    }
}

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// The results of consecutive accepts of this many connections, each preceded by `failures`.
async fn accept_results(failures: &[Errno], connections: usize) -> VecDeque<io::Result<TcpStream>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut results = VecDeque::new();
    for _ in 0..connections {
        results.extend(failures.iter().map(|errno| Err(error(*errno))));
        let _client = std::net::TcpStream::connect(address).unwrap();
        results.push_back(Ok(listener.accept().await.unwrap().0));
    }
    results
}

/// Guards against clients that wait seconds for their accept: a pause of 5 ms after each failed accept,
/// whatever its cause, adds up while connections wait in the listen backlog.
#[rstest]
#[case::system_file_table_full(&[Errno::NFILE], Duration::ZERO)]
#[case::connections_aborted(&[Errno::CONNABORTED, Errno::INTR], Duration::ZERO)]
#[case::persistent(&[Errno::NFILE; 20], 10 * ACCEPT_FAILED_PAUSE)]
#[tokio::test(start_paused = true)]
async fn accepting_pauses_only_after_persistent_failures(
    #[case] failures: &[Errno],
    #[case] expected: Duration,
) {
    let scenario = async {
        let listener = listener();
        let limited =
            ServiceBuilder::new().load_shed().concurrency_limit(1).service(listener.handler.clone());
        let mut results = accept_results(failures, 10).await;
        let accept = || results.pop_front().unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
        let started = tokio::time::Instant::now();
        listener.accept_pending(accept, &limited).await;
        assert_eq!(listener.counters.client_connections.get(), 10);
        // The runtime's timers have a resolution of a millisecond.
        assert!(started.elapsed().abs_diff(expected) <= Duration::from_millis(10), "{:?}", started.elapsed());
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against connections that are reset because a failed accept ended the draining of the listen backlog
/// and the listener closed.
#[tokio::test(start_paused = true)]
async fn a_failed_accept_does_not_stop_draining_the_backlog() {
    let scenario = async {
        let listener = listener();
        let limited =
            ServiceBuilder::new().load_shed().concurrency_limit(1).service(listener.handler.clone());
        let failures =
            [Errno::CONNABORTED, Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::MFILE, Errno::PROTO];
        let mut results = accept_results(&failures, 6).await;
        let accept = || results.pop_front().unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
        listener.accept_pending(accept, &limited).await;
        assert_eq!(listener.counters.client_connections.get(), 6);
    };
    LocalSet::new().run_until(scenario).await;
}
