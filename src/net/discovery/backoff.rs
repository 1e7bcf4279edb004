//! Backoff between calls to discovery.

use super::mode::{DiscoveryMode, SHARED_CALL_TIMEOUT};
use crate::hashing::unit_interval;
use crate::interface::Settings;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time within which the router has to learn of a change once discovery has it and is reachable, whatever
/// failed before.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// Maximum delay for a local agent, where calls are cheap and an update is due as soon as the agent has it.
/// The maximum delay for a shared service is at least this.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Share of each router in the maximum delay for a shared service: routers that all wait that long together
/// make 25 calls per second.
const SHARED_BACKOFF_PER_ROUTER: Duration = Duration::from_millis(40);
/// Number of consecutive failures after the first that double the maximum delay.
const MAX_DOUBLINGS: u32 = 2;

/// Exponential backoff with full jitter for calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    mode: DiscoveryMode,
    /// Maximum delay for a shared service after the first failure.
    shared_max_delay: Duration,
    /// Seed of the jitter; differs between routers and between starts of one router.
    seed: u64,
}

impl Backoff {
    /// Creates the backoff for a deployment. The seed has to differ between routers, otherwise their calls
    /// coincide.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let shared_max_delay = MAX_BACKOFF.max(SHARED_BACKOFF_PER_ROUTER * settings.replica_count);
        Backoff { mode: DiscoveryMode::new(settings), shared_max_delay, seed }
    }

    /// The delay before the next call after `failures` consecutive failures.
    ///
    /// The delay is random below an upper bound that doubles, so that routers that fail at the same time do
    /// not retry at the same time. `unresponsive_for` is the time that the last call or watch waited without
    /// a response. Discovery may have recovered soon after this wait began, so the wait, the delay and the
    /// next call together fit into `UPDATE_DEADLINE`. A local agent that timed out is called again without
    /// delay, since it responds to a pending call as soon as it recovers.
    pub fn delay(&self, failures: u32, unresponsive_for: Duration) -> Duration {
        let upper_bound = match (self.mode, unresponsive_for) {
            (DiscoveryMode::LocalAgent, Duration::ZERO) => MAX_BACKOFF,
            (DiscoveryMode::LocalAgent, _) => Duration::ZERO,
            (DiscoveryMode::SharedService, _) => {
                let time_left = UPDATE_DEADLINE.saturating_sub(unresponsive_for);
                let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
                time_left.saturating_sub(SHARED_CALL_TIMEOUT).min(self.shared_max_delay * (1 << doublings))
            }
        };
        let jitter = unit_interval(xxh3_64_with_seed(&failures.to_le_bytes(), self.seed));
        upper_bound.mul_f64(jitter)
    }

    /// The delay before the first call. Calls to a shared service are spread here too, since routers may
    /// start at the same time; a local agent is called without delay.
    pub(super) fn initial_delay(&self) -> Option<Duration> {
        match self.mode {
            DiscoveryMode::LocalAgent => None,
            DiscoveryMode::SharedService => Some(self.delay(0, Duration::ZERO)),
        }
    }

    /// The way in which discovery is deployed.
    pub(super) fn mode(&self) -> DiscoveryMode {
        self.mode
    }
}
