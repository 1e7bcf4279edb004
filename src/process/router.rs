//! The composition root of a router: creates its components and connects them.

use super::StartError;
use super::shutdown::GracefulShutdown;
use super::sockets::SocketBudget;
use crate::config::Config;
use crate::frontend::context::ServiceContext;
use crate::frontend::jsonrpc::JsonRpcService;
use crate::frontend::service::RequestService;
use crate::interface::UpdateKind;
use crate::net::discovery::{Backoff, Directory, EndpointWatcher, tcp_connector};
use crate::net::memory::MemoryDivision;
use crate::net::memory_budget::MemoryBudget;
use crate::net::server::accept::{Listener, RESERVED_CONNECTIONS};
use crate::net::server::connections::Connections;
use crate::net::server::read_limits::ReadLimits;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::net::socket::listen;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::pool::{Pool, PoolLimits, REUSE_DELAY};
use crate::runtime::counters::Counters;
use crate::runtime::{Clock, Driver, DriverHandle};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The lower bound of the connect timeout. The settings have 0 if none is stated.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(10);

/// How long opening the listening socket is retried while the system lacks resources for it.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle connections stay in the pool for the idle timeout of the workers divided by this, so that no request
/// is written to a connection that its worker is closing.
const IDLE_TIMEOUT_DIVISOR: u32 = 3;

/// A running router.
pub(super) struct Router {
    /// The counters of all components.
    pub counters: Rc<Counters>,
    /// The discovery address that the endpoint watcher uses.
    pub discovery_address: Rc<watch::Sender<Option<SocketAddr>>>,
    /// Shuts the router down.
    pub shutdown: GracefulShutdown,
    pool: Pool,
    jsonrpc: Option<Rc<JsonRpcService>>,
}

impl Router {
    /// Creates the components and starts their tasks. The listening socket is opened first, so that a router
    /// that cannot listen starts no task.
    ///
    /// Takes the initial endpoints out of the configuration.
    ///
    /// # Errors
    /// The listening socket cannot be opened, or there are too few sockets.
    pub async fn start(config: &mut Config) -> Result<Self, StartError> {
        let (address, socket) = bind(config).await?;
        let counters = Rc::<Counters>::default();
        let clock = Clock::start();
        let (driver_handle, inputs) = DriverHandle::channel(clock);
        let sockets = SocketBudget::divide(config)?;
        let components = SharedComponents::new(config, sockets, driver_handle, counters.clone());

        let upstream = Rc::new(components.upstream_client(config));
        let driver = Driver::new(config.settings.clone(), config.seed, clock, upstream, counters.clone());
        let watcher = components.endpoint_watcher(config);
        watcher.apply(std::mem::take(&mut config.initial_endpoints), UpdateKind::Restored);
        spawn_local(driver.run(inputs));
        let (discovery_address, address_changes) = watch::channel(config.discovery);
        spawn_local(watcher.run(address_changes));

        let is_stopping = Rc::new(Cell::new(false));
        let service = Rc::new(components.service_context(config, is_stopping.clone()));
        let jsonrpc = components.jsonrpc_service(config, sockets, &service);
        let handler = RequestService { context: service, jsonrpc: jsonrpc.clone() };
        let shutdown = components.start_server(config, sockets, socket, handler, is_stopping);
        log::info!(
            "{} serves on {address}, {} sockets for clients and {} for workers",
            config.name,
            sockets.clients,
            sockets.upstream
        );
        Ok(Router {
            counters,
            discovery_address: Rc::new(discovery_address),
            shutdown,
            pool: components.pool,
            jsonrpc,
        })
    }

    /// Closes expired pooled connections and removes expired outcomes of tool calls.
    pub fn remove_expired(&self) {
        self.pool.close_expired();
        if let Some(jsonrpc) = &self.jsonrpc {
            jsonrpc.evict_expired();
        }
    }
}

async fn bind(config: &Config) -> Result<(SocketAddr, TcpListener), StartError> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    let listener = listen(config.listen, config.limits.sockets, deadline).await;
    let bound = listener.and_then(|listener| Ok((listener.local_addr()?, listener)));
    bound.map_err(|source| StartError::Listen { address: config.listen, source })
}

/// Components and values that other components share.
struct SharedComponents {
    connect_timeout: Duration,
    counters: Rc<Counters>,
    directory: Rc<Directory>,
    driver: DriverHandle,
    poll_requested: Rc<Notify>,
    pool: Pool,
    /// The memory of requests in flight, and of long events.
    request_memory: Rc<MemoryBudget>,
}

impl SharedComponents {
    /// Creates the components without starting a task.
    fn new(config: &Config, sockets: SocketBudget, driver: DriverHandle, counters: Rc<Counters>) -> Self {
        let connect_timeout = Duration::from_micros(config.settings.connect_timeout);
        let connect_timeout = connect_timeout.max(MIN_CONNECT_TIMEOUT);
        let limits = PoolLimits {
            max_connections: sockets.upstream,
            connect_timeout,
            idle_timeout: config.idle_connection_timeout / IDLE_TIMEOUT_DIVISOR,
            reuse_delay: REUSE_DELAY,
            buffer_limit: sockets.buffer_limit,
        };
        SharedComponents {
            connect_timeout,
            directory: Rc::default(),
            driver,
            poll_requested: Rc::default(),
            pool: Pool::new(limits, counters.clone()),
            request_memory: MemoryBudget::new(MemoryDivision::of(config.limits.memory_mb).requests),
            counters,
        }
    }

    fn upstream_client(&self, config: &Config) -> UpstreamClient {
        UpstreamClient {
            directory: self.directory.clone(),
            pool: self.pool.clone(),
            driver: self.driver.clone(),
            load_reporting: config.settings.load_reporting,
            counters: self.counters.clone(),
            event_memory: self.request_memory.clone(),
            poll_requested: self.poll_requested.clone(),
        }
    }

    fn endpoint_watcher(&self, config: &Config) -> EndpointWatcher {
        let pool = self.pool.clone();
        EndpointWatcher {
            directory: self.directory.clone(),
            driver: self.driver.clone(),
            close_idle_connections: Box::new(move |worker| pool.close_idle_connections(worker)),
            poll_requested: self.poll_requested.clone(),
            connector: tcp_connector(),
            backoff: Backoff::new(&config.settings, config.seed),
            counters: self.counters.clone(),
        }
    }

    fn service_context(&self, config: &Config, is_stopping: Rc<Cell<bool>>) -> ServiceContext {
        let (directory, worker_kinds) = (self.directory.clone(), config.settings.worker_kinds.clone());
        ServiceContext {
            driver: self.driver.clone(),
            request_classes: config.settings.classes.iter().map(|class| class.name.clone()).collect(),
            is_ready: Box::new(move || !is_stopping.get() && directory.can_serve(&worker_kinds)),
            counters: self.counters.clone(),
            request_memory: self.request_memory.clone(),
            request_ids: Rc::default(),
        }
    }

    fn jsonrpc_service(
        &self,
        config: &Config,
        sockets: SocketBudget,
        service: &Rc<ServiceContext>,
    ) -> Option<Rc<JsonRpcService>> {
        let settings = config.tools.clone()?;
        let (connect_timeout, buffer_limit) = (self.connect_timeout, sockets.buffer_limit);
        Some(JsonRpcService::new(service.clone(), settings, connect_timeout, buffer_limit, config.seed))
    }

    /// Starts the server, which accepts connections from now on.
    fn start_server(
        &self,
        config: &Config,
        sockets: SocketBudget,
        socket: TcpListener,
        handler: RequestService,
        is_stopping: Rc<Cell<bool>>,
    ) -> GracefulShutdown {
        let (phase_sender, phase) = watch::channel(ShutdownPhase::Serving);
        let connections = Rc::new(Connections::default());
        let request_ids = handler.context.request_ids.clone();
        let max_connections = sockets.clients - RESERVED_CONNECTIONS;
        let listener = Listener {
            handler,
            max_connections,
            max_waiting_requests: max_connections,
            buffer_limit: sockets.buffer_limit,
            read_limits: ReadLimits::new(MemoryDivision::of(config.limits.memory_mb).read_ahead),
            shutdown: phase,
            connections: connections.clone(),
            counters: self.counters.clone(),
        };
        let accept_task = spawn_local(listener.accept(socket));
        GracefulShutdown { is_stopping, phase_sender, accept_task, connections, request_ids }
    }
}
