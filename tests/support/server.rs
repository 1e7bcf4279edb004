//! The server side alone, in the process of the test: a listener with a core that the test plays itself.
#![allow(dead_code)]

use llm_router::frontend::service::{RequestService, ServiceContext};
use llm_router::interface::{RequestId, RequestSpec};
use llm_router::net::server::accept::{Listener, ShutdownPhase};
use llm_router::net::server::connections::Connections;
use llm_router::net::server::memory_budget::MemoryBudget;
use llm_router::runtime::exchange::{ForwardedRequest, Responder};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A request that asks whether the router is ready.
pub const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// What a server is built with.
pub struct Options {
    /// Most client connections.
    pub bound: usize,
    /// Bytes of bodies that may be held.
    pub budget: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { bound: 64, budget: 1 << 20 }
    }
}

/// The server side, on a socket of its own.
pub struct Server {
    pub listener: TcpListener,
    pub accepting: Listener<RequestService>,
    pub stage: watch::Sender<ShutdownPhase>,
    pub open: Rc<Connections>,
    pub driver: mpsc::UnboundedReceiver<DriverInput>,
}

impl Server {
    pub async fn start() -> Server {
        Server::start_with(Options::default()).await
    }

    pub async fn start_with(options: Options) -> Server {
        let (handle, driver) = DriverHandle::channel(Clock::start());
        let shared = ServiceContext {
            driver: handle,
            classes: vec!["explain".into(), "send".into()],
            ready: Box::new(|| true),
            counters: Rc::default(),
            budget: MemoryBudget::new(options.budget),
            active_ids: Rc::default(),
        };
        let (stage, stages) = watch::channel(ShutdownPhase::Open);
        let open = Rc::new(Connections::default());
        let accepting = Listener {
            service: RequestService { shared: Rc::new(shared), tools: None },
            bound: options.bound,
            waiting: 64,
            stage: stages,
            open: open.clone(),
        };
        Server { listener: TcpListener::bind("127.0.0.1:0").await.unwrap(), accepting, stage, open, driver }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listener.local_addr().unwrap()).await.unwrap()
    }

    /// Serves from here on.
    pub fn run(self) -> RunningServer {
        let Server { listener, accepting, stage, open, driver } = self;
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(accepting.accept(listener));
        RunningServer { address, stage, open, driver }
    }
}

/// A server that accepts.
pub struct RunningServer {
    pub address: std::net::SocketAddr,
    pub stage: watch::Sender<ShutdownPhase>,
    pub open: Rc<Connections>,
    pub driver: mpsc::UnboundedReceiver<DriverInput>,
}

/// A request as the core is handed it.
pub struct Taken {
    pub ask: RequestSpec,
    pub call: Rc<ForwardedRequest>,
    pub answer: Responder,
}

impl RunningServer {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// The next request that the core is handed.
    pub async fn taken(&mut self) -> Taken {
        loop {
            if let DriverInput::RequestReceived { spec: ask, forwarded: call, responder: answer } =
                self.driver.recv().await.unwrap()
            {
                return Taken { ask, call, answer };
            }
        }
    }

    /// The next request of which the core is told that its client has left.
    pub async fn left(&mut self) -> RequestId {
        loop {
            if let DriverInput::ClientDisconnected(request) = self.driver.recv().await.unwrap() {
                return request;
            }
        }
    }

    /// Waits until every connection has ended.
    pub async fn all_closed(&self) {
        while self.open.count() > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }
}

/// Whether the connection was reset: its last bytes were never read. Behind an end of the stream the system calls that
/// a broken pipe.
pub fn was_reset(client: &TcpStream) -> bool {
    let error = client.take_error().unwrap().map(|e| e.kind());
    matches!(error, Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe))
}

/// The same socket for blocking calls, in which the runtime does not turn.
pub fn blocking(client: TcpStream) -> std::net::TcpStream {
    let client = client.into_std().unwrap();
    client.set_nonblocking(false).unwrap();
    client
}

/// All that has come up to the end of the connection.
pub fn rest(client: &mut std::net::TcpStream) -> String {
    let mut text = Vec::new();
    let _ = client.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Runs a test on one thread.
pub async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}
