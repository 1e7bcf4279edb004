//! Workers as the discovery agent lists them.

use super::Micros;
use std::sync::Arc;

/// A worker's name, the same at every router and across restarts of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// Whether a worker may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStatus {
    /// In service.
    Ready,
    /// Completes the requests that it has and takes no new ones.
    Draining,
    /// Removed from the list.
    #[default]
    Gone,
}

/// One worker of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: String,
    /// Its kind, a name of [`Settings::worker_kinds`](super::Settings::worker_kinds).
    pub kind: String,
    /// Its cell: workers of one cell move KV caches fastest among each other.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub status: WorkerStatus,
    /// Its capacity relative to others of its role.
    pub weight: f64,
    /// When its process last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed endpoints only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as an earlier process of this router last had it; it may be stale.
    Restored,
    /// A poll or the watch failed; the present list stays in force.
    Unavailable,
}
