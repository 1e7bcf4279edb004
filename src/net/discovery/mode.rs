//! The ways in which discovery is deployed, and how each is called.

use super::hedging::HedgingPolicy;
use crate::interface::Settings;
use std::time::Duration;

/// Timeout of a call to the agent on the same machine. An agent may be slow, and calls are hedged, so it only
/// limits how long a lost call is kept.
const LOCAL_CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Hedging of calls to the agent on the same machine, where calls are cheap and mostly answered at once.
const LOCAL_HEDGING: HedgingPolicy = HedgingPolicy { delay: Duration::from_secs(1), max_calls: 3 };
/// Calls to a shared service are not hedged: it would process each of them.
const NO_HEDGING: HedgingPolicy = HedgingPolicy { delay: Duration::ZERO, max_calls: 1 };
/// Timeout of a call to a shared service, which queues calls and fails them itself after 2 s. A router that
/// timed out earlier would join the end of the queue again, and the service would still process the abandoned
/// call.
pub const SHARED_CALL_TIMEOUT: Duration = Duration::from_millis(2_250);

/// How discovery is deployed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the same machine that serves only this router.
    LocalAgent,
    /// One service for all routers, which queues their calls. Routers start, lose their watches and fail at
    /// the same time; calls that arrive faster than the service can handle keep it busy with calls that have
    /// already timed out.
    SharedService,
}

impl DiscoveryMode {
    /// The mode that the settings select.
    pub fn new(settings: &Settings) -> Self {
        if settings.watch_required { DiscoveryMode::SharedService } else { DiscoveryMode::LocalAgent }
    }

    /// The timeout of a call, connecting included.
    pub fn call_timeout(self) -> Duration {
        match self {
            DiscoveryMode::LocalAgent => LOCAL_CALL_TIMEOUT,
            DiscoveryMode::SharedService => SHARED_CALL_TIMEOUT,
        }
    }

    /// The hedging of calls.
    pub fn hedging(self) -> HedgingPolicy {
        match self {
            DiscoveryMode::LocalAgent => LOCAL_HEDGING,
            DiscoveryMode::SharedService => NO_HEDGING,
        }
    }
}
