//! What sets whole runs apart, beside their faults.

use std::time::Duration;

/// One run in so many has a large fleet.
const LARGE_FLEET_PERIOD: u64 = 3;
/// One run in so many has short deadlines.
const SHORT_DEADLINES_PERIOD: u64 = 4;
/// One run in so many has a crowd of idle clients.
const CROWD_PERIOD: u64 = 5;

/// The number of names that a large fleet has for each of its workers: some 3,000 in all.
const NAMES_IN_LARGE_FLEET: usize = 300;

/// The longest deadline of clients.
const USUAL_MAX_DEADLINE: Duration = Duration::from_secs(4);
/// The same where deadlines are short.
const SHORT_MAX_DEADLINE: Duration = Duration::from_secs(1);

/// What sets a run apart. It follows from the seed by itself and not from the draws of the deployment and the faults, so
/// that those stay comparable with earlier versions.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of names under which each worker is listed.
    pub names_per_worker: usize,
    /// The longest deadline of clients.
    pub max_deadline: Duration,
    /// Whether idle clients fill the descriptors of the routers all the time.
    pub has_idle_connection_flood: bool,
}

impl Scenario {
    /// The scenario of a seed.
    pub fn of_seed(seed: u64) -> Self {
        let has_large_fleet = seed.is_multiple_of(LARGE_FLEET_PERIOD);
        let has_short_deadlines = seed % SHORT_DEADLINES_PERIOD == 1;
        Scenario {
            names_per_worker: if has_large_fleet { NAMES_IN_LARGE_FLEET } else { 1 },
            max_deadline: if has_short_deadlines { SHORT_MAX_DEADLINE } else { USUAL_MAX_DEADLINE },
            has_idle_connection_flood: seed % CROWD_PERIOD == 2,
        }
    }
}
