//! The server side alone, in the process of the test: a listener whose driver is played by the test.
#![allow(dead_code)]

use llm_router::frontend::context::ServiceContext;
use llm_router::frontend::service::RequestService;
use llm_router::interface::{RequestId, RequestSpec};
use llm_router::net::server::accept::Listener;
use llm_router::net::server::connections::Connections;
use llm_router::net::server::memory_budget::MemoryBudget;
use llm_router::net::server::shutdown_phase::ShutdownPhase;
use llm_router::runtime::counters::Counters;
use llm_router::runtime::exchange::{ForwardedRequest, Responder};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A health check.
pub const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// No reset takes this long to be delivered on loopback.
const RESET_DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The limits that a server is built with.
pub struct Options {
    /// The most client connections.
    pub max_connections: usize,
    /// The memory that request bodies may take, in bytes.
    pub body_memory: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { max_connections: 64, body_memory: 1 << 20 }
    }
}

/// The server side before it accepts, on a socket of its own.
pub struct Server {
    pub socket: TcpListener,
    pub listener: Listener<RequestService>,
    pub shutdown: watch::Sender<ShutdownPhase>,
    pub connections: Rc<Connections>,
    pub driver: mpsc::UnboundedReceiver<DriverInput>,
}

impl Server {
    pub async fn start() -> Server {
        Server::start_with(Options::default()).await
    }

    pub async fn start_with(options: Options) -> Server {
        let (handle, driver) = DriverHandle::channel(Clock::start());
        let counters = Rc::<Counters>::default();
        let context = ServiceContext {
            driver: handle,
            request_classes: vec!["explain".into(), "send".into()],
            is_ready: Box::new(|| true),
            counters: counters.clone(),
            body_memory: MemoryBudget::new(options.body_memory),
            active_ids: Rc::default(),
        };
        let (shutdown, phases) = watch::channel(ShutdownPhase::Serving);
        let connections = Rc::new(Connections::default());
        let listener = Listener {
            handler: RequestService { context: Rc::new(context), jsonrpc: None },
            max_connections: options.max_connections,
            max_waiting_requests: 64,
            shutdown: phases,
            connections: connections.clone(),
            counters,
        };
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Server { socket, listener, shutdown, connections, driver }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.socket.local_addr().unwrap()).await.unwrap()
    }

    /// Accepts connections from now on.
    pub fn run(self) -> RunningServer {
        let Server { socket, listener, shutdown, connections, driver } = self;
        let address = socket.local_addr().unwrap();
        tokio::task::spawn_local(listener.accept(socket));
        RunningServer { address, shutdown, connections, driver }
    }
}

/// A server that accepts connections.
pub struct RunningServer {
    pub address: std::net::SocketAddr,
    pub shutdown: watch::Sender<ShutdownPhase>,
    pub connections: Rc<Connections>,
    pub driver: mpsc::UnboundedReceiver<DriverInput>,
}

/// A request as it is submitted to the driver.
pub struct SubmittedRequest {
    pub spec: RequestSpec,
    pub forwarded: Rc<ForwardedRequest>,
    pub responder: Responder,
}

impl RunningServer {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// The next request that is submitted to the driver.
    pub async fn next_request(&mut self) -> SubmittedRequest {
        loop {
            if let DriverInput::RequestReceived { spec, forwarded, responder, .. } =
                self.driver.recv().await.unwrap()
            {
                return SubmittedRequest { spec, forwarded, responder };
            }
        }
    }

    /// The next request whose client is reported to the driver as disconnected.
    pub async fn next_disconnected(&mut self) -> RequestId {
        loop {
            if let DriverInput::ClientDisconnected(request) = self.driver.recv().await.unwrap() {
                return request;
            }
        }
    }

    /// Waits until every connection has ended.
    pub async fn all_closed(&self) {
        while self.connections.count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Whether the connection was reset: its last bytes were never read. After an end of the stream the system reports a
/// reset as a broken pipe.
///
/// On a busy machine the system delivers a reset a little later than the close that causes it, which paused time does
/// not tell: it is waited for in real time.
pub fn was_reset(client: &TcpStream) -> bool {
    let deadline = Instant::now() + RESET_DELIVERY_TIMEOUT;
    loop {
        let error = client.take_error().unwrap().map(|e| e.kind());
        if matches!(error, Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The same socket for blocking calls, during which the runtime does not run.
pub fn blocking(client: TcpStream) -> std::net::TcpStream {
    let client = client.into_std().unwrap();
    client.set_nonblocking(false).unwrap();
    client
}

/// Everything that the client receives up to the end of the connection.
pub fn read_to_close(client: &mut std::net::TcpStream) -> String {
    let mut text = Vec::new();
    let _ = client.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Runs a test on one thread, where it may spawn local tasks.
pub async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}
