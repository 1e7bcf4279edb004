//! How routers reach discovery, and how long a call may take there.

use crate::interface::Settings;
use std::time::Duration;

/// A call to the agent on the same machine, which answers at once, is given up after this, connecting included.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The same at a shared service, where a call may be queued: the service itself fails it after 2 s. A router that gave up
/// before that would call again from the end of the queue, and the call left behind would be served for nobody.
pub const SHARED_CALL_TIMEOUT: Duration = Duration::from_millis(2_250);

/// Who answers the calls of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the same machine, called by this router alone.
    LocalAgent,
    /// One service for all routers, which queues their calls. Routers start, lose their watches and fail together, and
    /// calls that come faster than it answers them keep it busy with calls that have timed out already.
    SharedService,
}

impl DiscoveryMode {
    /// The mode of a deployment.
    pub fn new(settings: &Settings) -> Self {
        if settings.watch_required { DiscoveryMode::SharedService } else { DiscoveryMode::LocalAgent }
    }

    /// After how long a call is given up.
    pub fn call_timeout(self) -> Duration {
        match self {
            DiscoveryMode::LocalAgent => CALL_TIMEOUT,
            DiscoveryMode::SharedService => SHARED_CALL_TIMEOUT,
        }
    }
}
