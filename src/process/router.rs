//! The composition of a router: which parts there are, and what they share.

use super::StartError;
use super::shutdown::GracefulShutdown;
use super::sockets::SocketBudget;
use crate::config::Config;
use crate::frontend::context::ServiceContext;
use crate::frontend::jsonrpc::JsonRpcService;
use crate::frontend::service::RequestService;
use crate::interface::UpdateKind;
use crate::net::discovery::{Backoff, Directory, EndpointWatcher, dial_tcp};
use crate::net::server::accept::{Listener, RESERVED_CONNECTIONS};
use crate::net::server::connections::Connections;
use crate::net::server::memory_budget::MemoryBudget;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::net::socket::listen;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::pool::{Pool, PoolLimits, TRAILING_BYTES_WAIT};
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

/// A shorter connect timeout in the settings, 0 where none is stated, is raised to this.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(10);

/// A start fails when this machine has had nothing to listen with for this long.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);

/// Unit of the configured memory limit.
const BYTES_PER_MEGABYTE: usize = 1024 * 1024;
/// Bodies of requests may take the memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 3;
/// Pooled connections are kept for the time after which workers close idle ones, divided by this: a request
/// must not cross such a close.
const IDLE_TIME_DIVISOR: u32 = 3;

/// A running router.
pub(super) struct Router {
    /// Counts what happens.
    pub counters: Rc<Counters>,
    /// Discovery's address, which the endpoint watcher follows.
    pub discovery: Rc<watch::Sender<Option<SocketAddr>>>,
    /// Ends it.
    pub shutdown: GracefulShutdown,
    pool: Pool,
    tools: Option<Rc<JsonRpcService>>,
}

impl Router {
    /// Makes the parts, connects them and starts their tasks. The listening socket is opened first: a router
    /// that can't listen starts nothing.
    ///
    /// The endpoints that the configuration knows are moved out of it.
    ///
    /// # Errors
    /// The address can't be listened on, or there are too few sockets.
    pub async fn start(config: &mut Config) -> Result<Self, StartError> {
        let (address, socket) = bind(config).await?;
        let counters = Rc::<Counters>::default();
        let clock = Clock::start();
        let (driver_handle, inputs) = DriverHandle::channel(clock);
        let sockets = SocketBudget::divide(config)?;
        let parts = SharedParts::new(config, sockets, driver_handle, counters.clone());

        let upstream = Rc::new(parts.upstream_client(config));
        let driver = Driver::new(config.settings.clone(), config.seed, clock, upstream, counters.clone());
        let watcher = parts.endpoint_watcher(config);
        watcher.apply(std::mem::take(&mut config.initial_endpoints), UpdateKind::Restored);
        spawn_local(driver.run(inputs));
        let (discovery, discovery_address) = watch::channel(config.discovery);
        spawn_local(watcher.run(discovery_address));

        let is_stopping = Rc::new(Cell::new(false));
        let service = Rc::new(parts.service_context(config, is_stopping.clone()));
        let tools = parts.jsonrpc_service(config, &service);
        let handler = RequestService { context: service, jsonrpc: tools.clone() };
        let shutdown = parts.start_server(sockets, socket, handler, is_stopping);
        log::info!(
            "{} serves on {address}, {} sockets for clients and {} for workers",
            config.name,
            sockets.clients,
            sockets.upstream
        );
        Ok(Router { counters, discovery: Rc::new(discovery), shutdown, pool: parts.pool, tools })
    }

    /// Closes pooled connections that have been idle for too long, and forgets outcomes of tool calls that
    /// have expired.
    pub fn remove_expired(&self) {
        self.pool.close_expired();
        if let Some(tools) = &self.tools {
            tools.evict_expired();
        }
    }
}

async fn bind(config: &Config) -> Result<(SocketAddr, TcpListener), StartError> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    let listener = listen(config.listen, config.limits.sockets, deadline).await;
    let bound = listener.and_then(|listener| Ok((listener.local_addr()?, listener)));
    bound.map_err(|source| StartError::Listen { address: config.listen, source })
}

/// What several parts of a router share.
struct SharedParts {
    connect_timeout: Duration,
    counters: Rc<Counters>,
    directory: Rc<Directory>,
    driver: DriverHandle,
    poll_requested: Rc<Notify>,
    pool: Pool,
}

impl SharedParts {
    /// Makes the parts; nothing runs or connects yet.
    fn new(config: &Config, sockets: SocketBudget, driver: DriverHandle, counters: Rc<Counters>) -> Self {
        let connect_timeout = Duration::from_micros(config.settings.connect_timeout);
        let connect_timeout = connect_timeout.max(MIN_CONNECT_TIMEOUT);
        let limits = PoolLimits {
            sockets: sockets.upstream,
            connect_timeout,
            idle_timeout: config.idle_connection_timeout / IDLE_TIME_DIVISOR,
            trailing_bytes_wait: TRAILING_BYTES_WAIT,
        };
        SharedParts {
            connect_timeout,
            directory: Rc::default(),
            driver,
            poll_requested: Rc::default(),
            pool: Pool::new(limits, counters.clone()),
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
            dial: dial_tcp(),
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
            body_memory: MemoryBudget::new(
                config.limits.memory_mb * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR,
            ),
            active_ids: Rc::default(),
        }
    }

    fn jsonrpc_service(&self, config: &Config, service: &Rc<ServiceContext>) -> Option<Rc<JsonRpcService>> {
        let settings = config.tools.clone()?;
        Some(JsonRpcService::new(service.clone(), settings, self.connect_timeout, config.seed))
    }

    /// Starts to accept connections.
    fn start_server(
        &self,
        sockets: SocketBudget,
        socket: TcpListener,
        handler: RequestService,
        is_stopping: Rc<Cell<bool>>,
    ) -> GracefulShutdown {
        let (phase, phases) = watch::channel(ShutdownPhase::Open);
        let connections = Rc::new(Connections::default());
        let active_ids = handler.context.active_ids.clone();
        let max_connections = sockets.clients - RESERVED_CONNECTIONS;
        let server = Listener {
            handler,
            max_connections,
            max_waiting_requests: max_connections,
            shutdown: phases,
            connections: connections.clone(),
            counters: self.counters.clone(),
        };
        let accept_task = spawn_local(server.accept(socket));
        GracefulShutdown { is_stopping, phase, accept_task, connections, active_ids }
    }
}
