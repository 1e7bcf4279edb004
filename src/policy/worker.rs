//! What a router knows of one worker.

use super::load_view::LoadView;
use super::outlier::OutlierDetector;
use super::places::Location;
use super::request::AttemptKey;
use super::slow_start_bucket::SlowStartBucket;
use super::statistics::{DecayingSum, MovingAverage, SAMPLE_WEIGHT};
use crate::interface::{Micros, Role, Settings, WorkerId, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

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

/// What was learned of a worker since its present process was first listed, and what it is busy with.
#[derive(Default)]
pub(super) struct WorkerActivity {
    /// Its budget while it warms up.
    pub slow_start: SlowStartBucket,
    /// Its failures.
    pub outlier: OutlierDetector,
    /// Its load as reported and gossiped.
    pub load: LoadView,
    /// The attempts in flight at it, of which [`Requests`](super::request::Requests) knows more.
    pub in_flight: BTreeSet<AttemptKey>,
    /// Requests that it was seen to complete.
    pub completions: DecayingSum,
    rejecting_until: BTreeMap<TrafficKey, Micros>,
}

impl WorkerActivity {
    /// Records an answer that was good, or began well.
    pub fn record_success(&mut self, now: Micros) {
        self.outlier.record_success(now);
        self.completions.add(now, 1.0);
    }

    /// Records that it rejects requests of this class and tenant; others may still be sent there.
    pub fn record_rejection(&mut self, traffic: TrafficKey, until: Micros) {
        self.rejecting_until.insert(traffic, until);
    }

    /// Whether it has just rejected a request of this class and tenant.
    pub fn is_rejecting(&self, traffic: &TrafficKey, now: Micros) -> bool {
        self.rejecting_until.get(traffic).is_some_and(|until| *until > now)
    }

    /// Whether there is nothing that would set it apart from a worker of which nothing is known, but its
    /// slowness.
    fn is_ordinary(&self, settings: &Settings, now: Micros) -> bool {
        self.in_flight.is_empty()
            && !self.outlier.is_suspect()
            && !self.outlier.is_ejected(now)
            && !self.slow_start.is_active(settings, now)
            && self.load.is_unknown(now)
            && self.rejecting_until.values().all(|until| *until <= now)
    }
}

/// A worker: its entry in the endpoint list, and what was learned of it.
///
/// A decision goes through all workers of a role, and a router in a large fleet has dealt with few of them
/// lately. The others are *at rest*: they differ by what stands here alone, and their activity is not looked
/// at.
pub(super) struct Worker {
    /// Its name.
    pub id: WorkerId,
    /// What it does.
    pub role: Role,
    /// Its zone and cell.
    pub location: Location,
    /// Its capacity relative to other workers, as listed.
    pub weight: f64,
    /// Its KV cache memory, in tokens.
    pub memory_tokens: f64,
    /// Whether it is in service.
    pub status: WorkerStatus,
    slowness: MovingAverage,
    is_at_rest: bool,
    activity: Box<WorkerActivity>,
}

impl Worker {
    /// A worker process of which nothing is known but its role, its memory and its start.
    pub fn new(id: WorkerId, role: Role, memory_tokens: f64, slow_start: SlowStartBucket) -> Self {
        Worker {
            id,
            role,
            location: Location::default(),
            weight: 0.0,
            memory_tokens,
            status: WorkerStatus::Gone,
            // The prior outweighs a single odd answer.
            slowness: MovingAverage::with_prior(1.0, 1.0 / SAMPLE_WEIGHT),
            is_at_rest: false,
            activity: Box::new(WorkerActivity { slow_start, ..WorkerActivity::default() }),
        }
    }

    /// Whether it is in service.
    pub fn is_ready(&self) -> bool {
        self.status == WorkerStatus::Ready
    }

    /// How far a KV cache that this worker holds travels to another worker.
    pub fn distance_to(&self, other: &Worker) -> Distance {
        if self.location.cell == other.location.cell {
            Distance::SameCell
        } else if self.location.is_same_zone(&other.location) {
            Distance::SameZone
        } else {
            Distance::Remote
        }
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

    /// What a decision has to look at; `None` while it is at rest.
    pub fn activity(&self) -> Option<&WorkerActivity> {
        (!self.is_at_rest).then_some(&self.activity)
    }

    /// All that was learned of it, also at rest.
    pub fn history(&self) -> &WorkerActivity {
        &self.activity
    }

    /// The same, to be changed. It is not at rest from here on.
    pub fn activity_mut(&mut self) -> &mut WorkerActivity {
        self.is_at_rest = false;
        &mut self.activity
    }

    /// Lets it rest if there is no reason to look at its activity; whether it rests now.
    pub fn rest_if_ordinary(&mut self, settings: &Settings, now: Micros) -> bool {
        self.is_at_rest = self.activity.is_ordinary(settings, now);
        self.is_at_rest
    }
}
