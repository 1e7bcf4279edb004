//! Variations of whole runs, which apply in addition to the faults.

use std::time::Duration;

/// One seed in this many has a large fleet.
const LARGE_FLEET_INTERVAL: u64 = 3;
/// One seed in this many has short timeouts.
const SHORT_TIMEOUTS_INTERVAL: u64 = 4;
/// One seed in this many has a flood of idle connections.
const IDLE_CONNECTION_FLOOD_INTERVAL: u64 = 5;

/// The number of endpoints per worker in a large fleet, which has about 3,000 endpoints in all.
const LARGE_FLEET_ENDPOINTS_PER_WORKER: usize = 300;

/// The maximum time within which clients expect the first token.
const DEFAULT_MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum time within which clients expect the first token in runs with short timeouts.
const SHORT_MAX_TIMEOUT: Duration = Duration::from_secs(1);

/// The variation of a run. It is computed from the seed without random draws, so that the deployment and
/// the faults that are drawn for the seed stay comparable with earlier versions.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of endpoints that discovery lists for each worker.
    pub endpoints_per_worker: usize,
    /// The maximum time within which clients expect the first token.
    pub max_first_token_timeout: Duration,
    /// Whether idle connections occupy the file descriptors of the routers during the whole run.
    pub has_idle_connection_flood: bool,
}

impl Scenario {
    /// Selects the scenario of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let has_large_fleet = seed.is_multiple_of(LARGE_FLEET_INTERVAL);
        let has_short_timeouts = seed % SHORT_TIMEOUTS_INTERVAL == 1;
        Scenario {
            endpoints_per_worker: if has_large_fleet { LARGE_FLEET_ENDPOINTS_PER_WORKER } else { 1 },
            max_first_token_timeout: if has_short_timeouts { SHORT_MAX_TIMEOUT } else { DEFAULT_MAX_TIMEOUT },
            has_idle_connection_flood: seed % IDLE_CONNECTION_FLOOD_INTERVAL == 2,
        }
    }
}
