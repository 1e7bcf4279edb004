//! The usual clients: an open loop of requests to each router.

use crate::deployment::{CLASSES, Deployment};
use fleet_emulator::client::{ClientBehaviour, Clients, Outcome, Request};
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::fleet::Network;
use fleet_emulator::history::{History, Idempotency, RouterIndex};
use rand::Rng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The share of clients that leave early, where nothing else is said.
pub const USUAL_LEAVING: f64 = 0.06;
/// Most tries of one client.
const MAX_TRIES: u32 = 3;
/// The share of requests that come with hardly any time left.
const HURRIED: f64 = 0.03;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// How the clients behave now.
#[derive(Clone, Copy, Debug)]
struct Mood {
    times: f64,
    leaving: f64,
    slow: f64,
}

/// The clients of all routers.
#[derive(Debug)]
pub struct Load {
    rate: f64,
    clients: Vec<Clients>,
    /// Whether a router takes new connections, as far as its front knows.
    is_open: Vec<AtomicBool>,
    mood: Mutex<Mood>,
    is_over: AtomicBool,
}

impl Load {
    /// Clients for each router of a deployment; no router is open yet.
    pub fn new(deployment: &Deployment, network: Network, history: &History) -> Self {
        let clients = |router| Clients::new(router, network.router(router), history.clone());
        Load {
            rate: deployment.rate,
            clients: (0..deployment.routers).map(clients).collect(),
            is_open: (0..deployment.routers).map(|_| AtomicBool::new(false)).collect(),
            mood: Mutex::new(Mood { times: 1.0, leaving: USUAL_LEAVING, slow: 0.0 }),
            is_over: AtomicBool::new(false),
        }
    }

    /// Whether the front sends new connections to a router.
    pub fn set_open(&self, router: RouterIndex, is_open: bool) {
        self.is_open[router].store(is_open, Ordering::Relaxed);
    }

    /// Ends the load: nothing new is sent.
    pub fn finish(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn mood(&self) -> std::sync::MutexGuard<'_, Mood> {
        self.mood.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many times the usual load there is.
    pub fn set_times(&self, times: f64) {
        self.mood().times = times;
    }

    /// The share of clients that leave early.
    pub fn set_leaving(&self, share: f64) {
        self.mood().leaving = share;
    }

    /// The share of clients that write slowly.
    pub fn set_slow(&self, share: f64) {
        self.mood().slow = share;
    }

    /// Sends requests to one router until the load is over.
    pub async fn run(self: Arc<Self>, router: RouterIndex) {
        while !self.is_over.load(Ordering::Relaxed) {
            let rate = self.rate * self.mood().times;
            let pause = -rand::rng().random::<f64>().max(1e-9).ln() / rate;
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            tokio::spawn(self.clone().ask(router));
        }
    }

    /// One client, with its tries.
    async fn ask(self: Arc<Self>, router: RouterIndex) {
        let mut request = draw_request();
        for _try in 0..MAX_TRIES {
            // A client on a connection of its own uses it for as long as it stays open.
            let is_open = self.is_open[router].load(Ordering::Relaxed);
            if !is_open && !self.clients[router].has_idle() {
                return;
            }
            let outcome =
                self.clients[router].send(&request, self.draw_behaviour(request.first_token_timeout)).await;
            let wait = match outcome {
                Outcome::Served => return,
                Outcome::Refused(retry_after) if rand::rng().random_bool(0.5) => retry_after.unwrap_or(0),
                Outcome::Refused(_) => 0,
                Outcome::Failed if request.idempotency == Idempotency::Idempotent => 100 * MILLISECOND,
                Outcome::Failed => return,
            };
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(Duration::from_micros(wait)).await;
            request.name = next_name();
        }
    }

    fn draw_behaviour(&self, first_token_timeout: Micros) -> ClientBehaviour {
        let Mood { leaving, slow, .. } = *self.mood();
        let mut random = rand::rng();
        let disconnects_after =
            random.random_bool(leaving).then(|| random.random_range(0..first_token_timeout.min(SECOND)));
        ClientBehaviour { disconnects_after, writes_slowly: random.random_bool(slow) }
    }
}

fn next_name() -> Arc<str> {
    format!("q{:06}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed)).into()
}

fn draw_request() -> Request {
    let mut random = rand::rng();
    let class = CLASSES[random.random_range(0..CLASSES.len())];
    let first_token_timeout = if random.random_bool(HURRIED) {
        random.random_range(5 * MILLISECOND..80 * MILLISECOND)
    } else {
        random.random_range(1_200 * MILLISECOND..4 * SECOND)
    };
    let prefix = random.random_bool(0.6).then(|| (format!("p{}", random.random_range(0..12)), 400));
    Request {
        name: next_name(),
        class: class.name,
        idempotency: class.idempotency,
        session: format!("s{}", random.random_range(0..500)),
        prefix,
        prompt_tokens: random.random_range(450..2_500),
        max_tokens: random.random_range(8..80),
        first_token_timeout,
    }
}
