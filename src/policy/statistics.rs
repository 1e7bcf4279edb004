//! Decaying sums, moving averages and a running median.

use crate::interface::Micros;

/// Half-life of load measurements. Workers build up queues of several seconds before they reject requests.
pub(super) const LOAD_HALF_LIFE: Micros = 2_000_000;

/// Weight of a new sample in a moving average. About ten recent samples contribute, so that one outlier does
/// not dominate.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;

/// The weight at `now` of a measurement taken at `measured_at`, between 0 and 1.
pub(super) fn decay_factor(now: Micros, measured_at: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(measured_at) as f64 / LOAD_HALF_LIFE as f64)
}

/// A sum that decays with [`LOAD_HALF_LIFE`]; it is never negative.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingSum {
    value: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// The sum, decayed to `now`.
    pub fn value_at(&self, now: Micros) -> f64 {
        if self.value == 0.0 { 0.0 } else { self.value * decay_factor(now, self.updated_at) }
    }

    /// Adds `amount`, which may be negative.
    pub fn add(&mut self, now: Micros, amount: f64) {
        *self = DecayingSum { value: (self.value_at(now) + amount).max(0.0), updated_at: now };
    }
}

/// An exponential moving average. It is the arithmetic mean of the first samples, until the weight of a new
/// sample reaches its minimum [`SAMPLE_WEIGHT`].
#[derive(Clone, Copy, Default)]
pub(super) struct MovingAverage {
    value: f64,
    samples: f64,
}

impl MovingAverage {
    /// Creates an average as if `samples` samples of `value` had been added.
    pub fn with_prior(value: f64, samples: f64) -> Self {
        MovingAverage { value, samples }
    }

    pub fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * SAMPLE_WEIGHT.max(1.0 / self.samples);
    }

    /// The average, or `default` before the first sample.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.samples > 0.0 { self.value } else { default }
    }
}

/// The median of a multiset of values.
#[derive(Default)]
pub(super) struct RunningMedian {
    /// Sorted in ascending order.
    values: Vec<f64>,
}

impl RunningMedian {
    /// Inserts a value.
    pub fn insert(&mut self, value: f64) {
        let index = self.values.partition_point(|other| other.total_cmp(&value).is_lt());
        self.values.insert(index, value);
    }

    /// Removes one occurrence of a value that was inserted before.
    pub fn remove(&mut self, value: f64) {
        if let Ok(index) = self.values.binary_search_by(|other| other.total_cmp(&value)) {
            self.values.remove(index);
        }
    }

    /// The median, the upper one of two; 1 if there are no values.
    pub fn median(&self) -> f64 {
        self.values.get(self.values.len() / 2).copied().unwrap_or(1.0)
    }
}
