//! Workers as listed by service discovery.

use super::Micros;
use std::sync::Arc;

/// The name of a worker, the same at all routers and across restarts of the worker's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// The lifecycle status of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerStatus {
    /// In service; accepts requests.
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// Removed from the endpoint list.
    #[default]
    Gone,
}

/// An entry of the endpoint list: one worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the worker, which identifies the entry.
    pub worker: WorkerId,
    /// The availability zone that the worker runs in.
    pub zone: String,
    /// The name of the worker's kind, one of [`Settings::worker_kinds`](super::Settings::worker_kinds).
    pub kind: String,
    /// The worker's cell: KV caches are transferred fastest between workers of the same cell.
    pub cell: u64,
    /// Whether the worker accepts requests, drains or has left.
    pub status: WorkerStatus,
    /// The worker's capacity relative to other workers of the same role.
    pub weight: f64,
    /// When the worker's process last started; `None`: long ago, so that it needs no slow start.
    pub started_at: Option<Micros>,
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that have changed.
    Delta,
    /// The complete list: workers that it lacks have left.
    Snapshot,
    /// The complete list as last saved before this process started; it may be stale.
    Restored,
    /// A poll or the watch failed; the current list stays in force.
    Unavailable,
}
