//! The regular clients: an open-loop load of requests on each router.

use crate::deployment::{CLASSES, Deployment};
use fleet_emulator::client::{ClientBehaviour, Clients, Outcome, Request, SharedPrefix};
use fleet_emulator::fleet::LoopbackNetwork;
use fleet_emulator::history::History;
use fleet_emulator::record::{Idempotency, RequestId, RouterIndex};
use fleet_emulator::sync::lock;
use rand::Rng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The share of clients that disconnect early if no fault is injected.
pub const DEFAULT_DISCONNECT_SHARE: f64 = 0.06;
/// The maximum number of requests that a client sends until one succeeds.
const MAX_CLIENT_ATTEMPTS: u32 = 3;
/// The pause before a client retries a failed idempotent request. Other failed requests are not retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The share of clients that honour `Retry-After`; the others retry at once.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// The maximum time between a request and the early disconnection of its client.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_secs(1);
/// The share of requests with a timeout that is too short for most responses.
const INSUFFICIENT_TIMEOUT_SHARE: f64 = 0.03;
/// The minimum timeout of the other requests, as a share of the maximum.
const MIN_TIMEOUT_SHARE: f64 = 0.3;
/// The share of requests whose prompts share a prefix with those of other requests.
const SHARED_PREFIX_SHARE: f64 = 0.6;
/// The length of a shared prefix in tokens.
const SHARED_PREFIX_TOKENS: u64 = 400;

static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// The request rate and the behaviour of the clients.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// The factor by which the deployment's request rate is multiplied.
    pub rate_multiplier: f64,
    /// The share of clients that disconnect early.
    pub disconnect_share: f64,
    /// The share of clients that write their requests slowly.
    pub slow_share: f64,
}

/// The load that clients put on all routers.
#[derive(Debug)]
pub struct Load {
    /// Requests per second at each router.
    rate: f64,
    max_first_token_timeout: Duration,
    clients: Vec<Clients>,
    /// Whether each router is in the rotation of the load balancer, that is, gets new connections.
    is_in_rotation: Vec<AtomicBool>,
    profile: Mutex<LoadProfile>,
    is_finished: AtomicBool,
}

impl Load {
    /// Creates the clients of a deployment, with no router in rotation.
    pub fn new(deployment: &Deployment, network: LoopbackNetwork, history: &History) -> Self {
        let clients = |router| Clients::new(router, network.router_address(router), history.clone());
        let profile =
            LoadProfile { rate_multiplier: 1.0, disconnect_share: DEFAULT_DISCONNECT_SHARE, slow_share: 0.0 };
        Load {
            rate: deployment.request_rate,
            max_first_token_timeout: deployment.scenario.max_first_token_timeout,
            clients: (0..deployment.router_count).map(clients).collect(),
            is_in_rotation: (0..deployment.router_count).map(|_| AtomicBool::new(false)).collect(),
            profile: Mutex::new(profile),
            is_finished: AtomicBool::new(false),
        }
    }

    /// Sets whether new connections are sent to a router. Open connections remain in use.
    pub fn set_in_rotation(&self, router: RouterIndex, is_in_rotation: bool) {
        self.is_in_rotation[router].store(is_in_rotation, Ordering::Relaxed);
    }

    /// Stops sending requests. Requests in flight continue.
    pub fn finish(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }

    /// Whether clients have stopped sending requests.
    pub fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }

    /// Changes the load profile.
    pub fn update(&self, change: impl FnOnce(&mut LoadProfile)) {
        change(&mut lock(&self.profile));
    }

    fn profile(&self) -> LoadProfile {
        *lock(&self.profile)
    }

    /// Sends requests to one router until the load is finished, at exponentially distributed intervals.
    pub async fn run(self: Arc<Self>, router: RouterIndex) {
        while !self.is_finished() {
            let rate = self.rate * self.profile().rate_multiplier;
            // The lower bound avoids the logarithm of zero, which would be an infinite pause.
            let pause = -rand::rng().random::<f64>().max(1e-9).ln() / rate;
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            tokio::spawn(self.clone().run_client(router));
        }
    }

    /// Runs one client, which sends a request and may retry it.
    async fn run_client(self: Arc<Self>, router: RouterIndex) {
        let mut request = draw_request(self.max_first_token_timeout);
        for _ in 0..MAX_CLIENT_ATTEMPTS {
            // A client keeps using its connection while that stays open.
            let is_in_rotation = self.is_in_rotation[router].load(Ordering::Relaxed);
            if !is_in_rotation && !self.clients[router].has_idle_connection() {
                return;
            }
            let behaviour = self.draw_behaviour(request.first_token_timeout);
            let outcome = self.clients[router].send(&request, behaviour).await;
            let Some(pause) = retry_pause(outcome, request.idempotency) else { return };
            if self.is_finished() {
                return;
            }
            tokio::time::sleep(pause).await;
            request.id = next_request_id();
        }
    }

    fn draw_behaviour(&self, first_token_timeout: Duration) -> ClientBehaviour {
        let LoadProfile { disconnect_share, slow_share, .. } = self.profile();
        let mut random = rand::rng();
        let disconnects_after = random
            .random_bool(disconnect_share)
            .then(|| random.random_range(Duration::ZERO..first_token_timeout.min(MAX_DISCONNECT_DELAY)));
        ClientBehaviour { disconnects_after, writes_slowly: random.random_bool(slow_share) }
    }
}

/// The pause before a client retries its request, or `None` if a retry is not safe or not needed.
fn retry_pause(outcome: Outcome, idempotency: Idempotency) -> Option<Duration> {
    match outcome {
        Outcome::Completed => None,
        Outcome::Rejected { retry_after } if rand::rng().random_bool(RETRY_AFTER_SHARE) => {
            Some(retry_after.unwrap_or_default())
        }
        Outcome::Rejected { .. } => Some(Duration::ZERO),
        Outcome::Failed if idempotency == Idempotency::Idempotent => Some(RETRY_PAUSE),
        Outcome::Failed => None,
    }
}

fn next_request_id() -> RequestId {
    format!("q{:06}", NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed)).into()
}

fn draw_request(max_first_token_timeout: Duration) -> Request {
    let mut random = rand::rng();
    let class = CLASSES[random.random_range(0..CLASSES.len())];
    let first_token_timeout = if random.random_bool(INSUFFICIENT_TIMEOUT_SHARE) {
        random.random_range(Duration::from_millis(5)..Duration::from_millis(80))
    } else {
        random.random_range(max_first_token_timeout.mul_f64(MIN_TIMEOUT_SHARE)..max_first_token_timeout)
    };
    let shared_prefix = random.random_bool(SHARED_PREFIX_SHARE).then(|| SharedPrefix {
        key: format!("p{}", random.random_range(0..12)),
        tokens: SHARED_PREFIX_TOKENS,
    });
    Request {
        id: next_request_id(),
        class: class.name,
        idempotency: class.idempotency,
        session: format!("s{}", random.random_range(0..500)),
        shared_prefix,
        prompt_tokens: random.random_range(450..2_500),
        max_tokens: random.random_range(8..80),
        first_token_timeout,
    }
}
