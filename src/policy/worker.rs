//! A router's state for one worker.

use super::load_view::LoadView;
use super::outlier::OutlierDetector;
use super::request::AttemptKey;
use super::slow_start_bucket::SlowStartBucket;
use super::statistics::{DecayingSum, MovingAverage, SAMPLE_WEIGHT};
use super::topology::Location;
use crate::interface::{Micros, Role, Settings, WorkerId, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Bounds of one sample of the ratio of elapsed to expected time. They limit the effect of a single extreme
/// measurement.
const SLOWNESS_SAMPLE_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Distance over which a KV cache is transferred from the worker that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Distance {
    /// Within the cell.
    SameCell,
    /// Within the zone.
    SameZone,
    /// Between zones. Also used if no KV cache is transferred.
    Remote,
}

impl Distance {
    /// The next greater distance; [`Distance::Remote`] is the greatest.
    pub fn next(self) -> Self {
        match self {
            Distance::SameCell => Distance::SameZone,
            Distance::SameZone | Distance::Remote => Distance::Remote,
        }
    }
}

/// The maximum number of classes and tenants whose rejections are recorded for a worker, since clients may
/// send ever new names of tenants.
const MAX_REJECTED_TRAFFIC: usize = 64;

/// The request class and tenant to which a rejection by a worker applies.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrafficKey {
    /// Index of the class in the settings.
    pub class_index: usize,
    /// Name of the tenant.
    pub tenant: Option<String>,
}

/// Measurements of a worker since its current process was first listed, and its attempts in flight.
#[derive(Default)]
pub(super) struct WorkerActivity {
    /// Permits during slow start.
    pub slow_start: SlowStartBucket,
    /// Failure rate and ejection.
    pub outlier: OutlierDetector,
    /// Load from the worker's reports and from the gossip of other routers.
    pub load: LoadView,
    /// Keys of the attempts in flight; [`Requests`](super::request::Requests) holds the attempts.
    pub in_flight: BTreeSet<AttemptKey>,
    /// Decayed number of requests that the worker completed for this router.
    pub completions: DecayingSum,
    rejecting_until: BTreeMap<TrafficKey, Micros>,
}

impl WorkerActivity {
    /// Records a successful response, or a response stream that has started.
    pub fn record_success(&mut self, now: Micros) {
        self.outlier.record_success(now);
        self.completions.add(now, 1.0);
    }

    /// Records that the worker rejected a request of this class and tenant. It counts as rejecting such
    /// requests until `until`; other requests may still be sent to it.
    pub fn record_rejection(&mut self, traffic: TrafficKey, now: Micros, until: Micros) {
        if self.rejecting_until.len() >= MAX_REJECTED_TRAFFIC {
            self.rejecting_until.retain(|_, until| *until > now);
        }
        if self.rejecting_until.len() < MAX_REJECTED_TRAFFIC || self.rejecting_until.contains_key(&traffic) {
            self.rejecting_until.insert(traffic, until);
        }
    }

    /// Whether the worker has recently rejected a request of this class and tenant.
    pub fn is_rejecting(&self, traffic: &TrafficKey, now: Micros) -> bool {
        self.rejecting_until.get(traffic).is_some_and(|until| *until > now)
    }

    /// Whether decisions would treat the worker like one without recorded activity. Slowness is part of
    /// [`Worker`] and not considered here.
    fn is_idle(&self, settings: &Settings, now: Micros) -> bool {
        self.in_flight.is_empty()
            && !self.outlier.is_suspect()
            && !self.outlier.is_ejected(now)
            && !self.slow_start.is_active(settings, now)
            && self.load.is_unknown(now)
            && self.rejecting_until.values().all(|until| *until <= now)
    }
}

/// A worker: its entry in the endpoint list and its measurements.
///
/// A decision iterates over all workers of a role, of which a router in a large fleet has recently used only
/// a few. The others are *inactive*: decisions do not read their activity, so they differ only in the other
/// fields of this struct.
pub(super) struct Worker {
    /// ID of the worker.
    pub id: WorkerId,
    /// Stages that the worker serves.
    pub role: Role,
    /// Zone and cell of the worker.
    pub location: Location,
    /// Capacity relative to other workers, from the endpoint list.
    pub weight: f64,
    /// KV cache capacity in tokens.
    pub kv_cache_tokens: f64,
    /// Status from the endpoint list.
    pub status: WorkerStatus,
    slowness: MovingAverage,
    is_inactive: bool,
    activity: Box<WorkerActivity>,
}

impl Worker {
    /// Creates a worker process without measurements. It is not in service until its endpoint is applied.
    pub fn new(id: WorkerId, role: Role, kv_cache_tokens: f64, slow_start: SlowStartBucket) -> Self {
        Worker {
            id,
            role,
            location: Location::default(),
            weight: 0.0,
            kv_cache_tokens,
            status: WorkerStatus::Gone,
            // The prior outweighs a single outlier.
            slowness: MovingAverage::with_prior(1.0, 1.0 / SAMPLE_WEIGHT),
            is_inactive: false,
            activity: Box::new(WorkerActivity { slow_start, ..WorkerActivity::default() }),
        }
    }

    /// Whether the worker is in service.
    pub fn is_ready(&self) -> bool {
        self.status == WorkerStatus::Ready
    }

    pub fn distance_to(&self, other: &Worker) -> Distance {
        if self.location.cell == other.location.cell {
            Distance::SameCell
        } else if self.location.is_same_zone(&other.location) {
            Distance::SameZone
        } else {
            Distance::Remote
        }
    }

    /// Records the ratio of an attempt's elapsed time to the average time of such attempts.
    pub fn record_slowness(&mut self, ratio: f64) {
        let (min, max) = SLOWNESS_SAMPLE_BOUNDS;
        self.slowness.add(ratio.clamp(min, max));
    }

    /// The moving average of the ratio of elapsed to expected time.
    pub fn slowness(&self) -> f64 {
        self.slowness.value_or(1.0)
    }

    /// The activity that decisions have to consider; `None` while the worker is inactive.
    pub fn activity(&self) -> Option<&WorkerActivity> {
        (!self.is_inactive).then_some(&self.activity)
    }

    /// The recorded activity, also of an inactive worker.
    pub fn recorded_activity(&self) -> &WorkerActivity {
        &self.activity
    }

    /// Marks the worker as active and returns its activity for modification.
    pub fn activity_mut(&mut self) -> &mut WorkerActivity {
        self.is_inactive = false;
        &mut self.activity
    }

    /// Marks the worker as inactive if it is idle, else as active. Returns whether it is inactive.
    pub fn deactivate_if_idle(&mut self, settings: &Settings, now: Micros) -> bool {
        self.is_inactive = self.activity.is_idle(settings, now);
        self.is_inactive
    }
}
