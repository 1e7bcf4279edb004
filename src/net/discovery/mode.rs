//! The ways in which discovery is deployed, and the call timeout of each.

use crate::interface::Settings;
use std::time::Duration;

/// Timeout of a call to the agent on the same machine, which responds at once; it includes connecting.
pub const LOCAL_CALL_TIMEOUT: Duration = Duration::from_secs(1);
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
}
