//! An HTTP server in the test process: the router's client-facing side without its driver, whose inputs the
//! test receives.
#![allow(dead_code)]

use llm_router::frontend::context::ServiceContext;
use llm_router::frontend::service::RequestService;
use llm_router::interface::{RequestId, RequestSpec};
use llm_router::net::buffer_limit::BufferLimit;
use llm_router::net::memory_budget::MemoryBudget;
use llm_router::net::server::accept::Listener;
use llm_router::net::server::connections::Connections;
use llm_router::net::server::read_limits::ReadLimits;
use llm_router::net::server::shutdown_phase::ShutdownPhase;
use llm_router::runtime::counters::Counters;
use llm_router::runtime::exchange::{ForwardedRequest, Responder};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A complete health check request.
pub const HEALTH_CHECK_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// The timeout for the delivery of a reset, which takes less on loopback.
const RESET_DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The limits of a server.
pub struct ServerOptions {
    /// The maximum number of client connections.
    pub max_connections: usize,
    /// The memory budget of requests, in bytes.
    pub request_memory: usize,
    /// The memory budget of bytes that are read ahead.
    pub read_ahead_memory: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 64, request_memory: 1 << 20, read_ahead_memory: 1 << 20 }
    }
}

/// A server whose socket listens, but that does not accept connections yet.
pub struct Server {
    pub socket: TcpListener,
    pub listener: Listener<RequestService>,
    pub shutdown: watch::Sender<ShutdownPhase>,
    pub connections: Rc<Connections>,
    pub driver_inputs: mpsc::UnboundedReceiver<DriverInput>,
}

impl Server {
    pub async fn bind() -> Server {
        Server::bind_with(ServerOptions::default()).await
    }

    pub async fn bind_with(options: ServerOptions) -> Server {
        let (handle, driver_inputs) = DriverHandle::channel(Clock::start());
        let counters = Rc::<Counters>::default();
        let context = ServiceContext {
            driver: handle,
            request_classes: vec!["explain".into(), "send".into()],
            is_ready: Box::new(|| true),
            counters: counters.clone(),
            request_memory: MemoryBudget::new(options.request_memory),
            request_ids: Rc::default(),
        };
        let (shutdown, phases) = watch::channel(ShutdownPhase::Serving);
        let connections = Rc::new(Connections::default());
        let listener = Listener {
            handler: RequestService { context: Rc::new(context), jsonrpc: None },
            max_connections: options.max_connections,
            max_waiting_requests: 64,
            buffer_limit: BufferLimit::MAX,
            read_limits: ReadLimits::new(options.read_ahead_memory),
            shutdown: phases,
            connections: connections.clone(),
            counters,
        };
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Server { socket, listener, shutdown, connections, driver_inputs }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.socket.local_addr().unwrap()).await.unwrap()
    }

    /// Starts to accept connections.
    pub fn run(self) -> RunningServer {
        let Server { socket, listener, shutdown, connections, driver_inputs } = self;
        let address = socket.local_addr().unwrap();
        tokio::task::spawn_local(listener.accept(socket));
        RunningServer { address, shutdown, connections, driver_inputs }
    }
}

/// A server that accepts connections.
pub struct RunningServer {
    pub address: std::net::SocketAddr,
    pub shutdown: watch::Sender<ShutdownPhase>,
    pub connections: Rc<Connections>,
    pub driver_inputs: mpsc::UnboundedReceiver<DriverInput>,
}

/// A request as submitted to the driver.
pub struct SubmittedRequest {
    pub spec: RequestSpec,
    pub forwarded: Rc<ForwardedRequest>,
    pub responder: Responder,
}

impl RunningServer {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Waits for the next request that is submitted to the driver.
    pub async fn next_request(&mut self) -> SubmittedRequest {
        loop {
            if let DriverInput::RequestReceived { spec, forwarded, responder, .. } =
                self.driver_inputs.recv().await.unwrap()
            {
                return SubmittedRequest { spec, forwarded, responder };
            }
        }
    }

    /// Waits for the next request whose client is reported to the driver as disconnected.
    pub async fn next_disconnected(&mut self) -> RequestId {
        loop {
            if let DriverInput::ClientDisconnected(request) = self.driver_inputs.recv().await.unwrap() {
                return request;
            }
        }
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_all_closed(&self) {
        while self.connections.count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns whether the connection was reset, which means that the server did not read the last bytes sent.
/// After the end of the stream, the kernel reports a reset as a broken pipe.
///
/// On a busy machine the kernel delivers a reset slightly after the close that causes it. Tokio's paused
/// clock does not cover this delay, so the function waits in real time.
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

/// Converts a socket to a blocking one. The async runtime does not run during its calls.
pub fn into_blocking(client: TcpStream) -> std::net::TcpStream {
    let client = client.into_std().unwrap();
    client.set_nonblocking(false).unwrap();
    client
}

/// Reads until the connection ends, and returns everything received.
pub fn read_to_close(client: &mut std::net::TcpStream) -> String {
    let mut text = Vec::new();
    let _ = client.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Runs a test in a `LocalSet`, as the router runs its tasks.
pub async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}
