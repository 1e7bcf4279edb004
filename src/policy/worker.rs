//! What a router knows of one worker.

use super::load_view::LoadView;
use super::outlier::OutlierDetector;
use super::slow_start_bucket::SlowStartBucket;
use super::statistics::{DecayingSum, MovingAverage, SAMPLE_WEIGHT};
use crate::interface::{Micros, Role, WorkerStatus};
use std::collections::BTreeMap;

/// Bounds for one sample of the time taken over the time expected: a single absurd time says little.
const SLOWNESS_SAMPLE_BOUNDS: (f64, f64) = (0.1, 10.0);

/// How far a KV cache travels from the worker that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Distance {
    /// Within the cell.
    SameCell,
    /// Within the zone.
    SameZone,
    /// Between zones; also the distance when no KV cache travels.
    Remote,
}

impl Distance {
    /// The next farther distance.
    pub fn next(self) -> Self {
        match self {
            Distance::SameCell => Distance::SameZone,
            Distance::SameZone | Distance::Remote => Distance::Remote,
        }
    }
}

/// What workers may distinguish when they reject requests.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrafficKey {
    /// The index of the class in the settings.
    pub class_index: usize,
    /// The tenant's name.
    pub tenant: Option<String>,
}

/// The share of the decode capacity that a place holds over its share of the prefill capacity. Above 1 there
/// is capacity for KV caches from elsewhere.
#[derive(Clone, Copy, Default)]
pub(super) struct LocalityShare {
    /// Of the worker's cell.
    pub cell: f64,
    /// Of its zone.
    pub zone: f64,
}

/// A worker: its entry in the endpoint list, and what was learned since its present process was first listed.
#[derive(Default)]
pub(super) struct Worker {
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its capacity relative to other workers, as listed.
    pub weight: f64,
    /// Its KV cache memory, in tokens.
    pub memory_tokens: f64,
    /// Whether it is in service.
    pub status: WorkerStatus,
    /// Decode share over prefill share of its cell and zone.
    pub locality_share: LocalityShare,
    /// Its budget while it warms up.
    pub slow_start: SlowStartBucket,
    /// Its failures.
    pub outlier: OutlierDetector,
    /// Its load as reported and gossiped.
    pub load: LoadView,
    /// Requests that it was seen to complete.
    pub completions: DecayingSum,
    slowness: MovingAverage,
    rejecting_until: BTreeMap<TrafficKey, Micros>,
}

impl Worker {
    /// A worker process of which nothing is known but its role, its memory and its start.
    pub fn new(role: Role, memory_tokens: f64, slow_start: SlowStartBucket) -> Self {
        // The prior outweighs a single odd answer.
        let slowness = MovingAverage::with_prior(1.0, 1.0 / SAMPLE_WEIGHT);
        Worker { role, memory_tokens, slow_start, slowness, ..Worker::default() }
    }

    /// Whether it is in service.
    pub fn is_ready(&self) -> bool {
        self.status == WorkerStatus::Ready
    }

    /// How far a KV cache that this worker holds travels to another worker.
    pub fn distance_to(&self, other: &Worker) -> Distance {
        if self.cell == other.cell {
            Distance::SameCell
        } else if self.zone == other.zone {
            Distance::SameZone
        } else {
            Distance::Remote
        }
    }

    /// Records an answer that was good, or began well.
    pub fn record_success(&mut self, now: Micros) {
        self.outlier.record_success(now);
        self.completions.add(now, 1.0);
    }

    /// Records the time that an attempt took over the time that it takes on average.
    pub fn record_slowness(&mut self, ratio: f64) {
        let (least, most) = SLOWNESS_SAMPLE_BOUNDS;
        self.slowness.add(ratio.clamp(least, most));
    }

    /// Time taken over time expected, as a moving average.
    pub fn slowness(&self) -> f64 {
        self.slowness.value_or(1.0)
    }

    /// Records that it rejects requests of this class and tenant; others may still be sent there.
    pub fn record_rejection(&mut self, traffic: TrafficKey, until: Micros) {
        self.rejecting_until.insert(traffic, until);
    }

    /// Whether it has just rejected a request of this class and tenant.
    pub fn is_rejecting(&self, traffic: &TrafficKey, now: Micros) -> bool {
        self.rejecting_until.get(traffic).is_some_and(|until| *until > now)
    }
}
