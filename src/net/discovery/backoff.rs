//! Delays between calls to discovery.

use super::mode::{DiscoveryMode, SHARED_CALL_TIMEOUT};
use crate::hashing::unit_interval;
use crate::interface::Settings;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The router has to know a change this long after discovery had it and could be reached, whatever failed before.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// The longest delay where a call costs nothing: the agent is on the same machine, and what it learns counts at once.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Each router's part of the longest delay at a shared service: all routers together make 25 calls a second on average.
const SHARED_BACKOFF_PER_ROUTER: Duration = Duration::from_millis(40);
/// How many consecutive failures after the first double the longest delay.
const MAX_DOUBLINGS: u32 = 2;

/// Exponential backoff with full jitter for calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    mode: DiscoveryMode,
    /// The longest delay after a first failure at a shared service.
    shared_max_delay: Duration,
    /// Differs between routers and between starts of one router.
    seed: u64,
}

impl Backoff {
    /// The backoff that suits a deployment. The seed has to differ between routers, else their calls coincide.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let shared_max_delay = MAX_BACKOFF.max(SHARED_BACKOFF_PER_ROUTER * settings.replica_count);
        Backoff { mode: DiscoveryMode::new(settings), shared_max_delay, seed }
    }

    /// How long to wait after so many consecutive failures.
    ///
    /// The delay is random below an upper bound that doubles, so that routers that fail together do not call together.
    /// Discovery may have been back for as long as `silent_for`, the time that the last call or watch waited in vain: that
    /// time, the delay and the next call fit into the deadline of an update. A local agent that was silent is called again at
    /// once, for it answers a call that is already waiting as soon as it is back.
    pub fn delay(&self, failures: u32, silent_for: Duration) -> Duration {
        let upper_bound = match (self.mode, silent_for) {
            (DiscoveryMode::LocalAgent, Duration::ZERO) => MAX_BACKOFF,
            (DiscoveryMode::LocalAgent, _) => Duration::ZERO,
            (DiscoveryMode::SharedService, _) => {
                let time_left = UPDATE_DEADLINE.saturating_sub(silent_for);
                let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
                time_left.saturating_sub(SHARED_CALL_TIMEOUT).min(self.shared_max_delay * (1 << doublings))
            }
        };
        let jitter = unit_interval(xxh3_64_with_seed(&failures.to_le_bytes(), self.seed));
        upper_bound.mul_f64(jitter)
    }

    /// How long to wait before the first call. At a shared service that call is spread as well, since routers may be
    /// started together; a local agent is called without any wait.
    pub(super) fn initial_delay(&self) -> Option<Duration> {
        match self.mode {
            DiscoveryMode::LocalAgent => None,
            DiscoveryMode::SharedService => Some(self.delay(0, Duration::ZERO)),
        }
    }

    /// After how long a call is given up.
    pub(super) fn call_timeout(&self) -> Duration {
        self.mode.call_timeout()
    }
}
